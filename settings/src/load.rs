//! Reading and validation of settings files.

use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;
use snafu::{ResultExt, Snafu};

use crate::document::{LocatedFault, PathStep, SettingsDocument, parse_path};
use crate::hint::nearest_name;
use crate::value::SettingsFault;

/// Maximum size of a settings file in bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

const SOCKET_ADDRESS: &str = "an IP number and a port, such as 127.0.0.1:8080";

/// Maximum number of decoding passes over a document. Each pass finds at most one fault and removes the
/// part of the document that caused it. After the last pass, the faults found so far are reported.
const MAX_PASSES: usize = 128;

/// Settings whose values can be validated. Implemented by `settings_struct!`.
pub trait CheckedSettings {
    /// Returns all invalid values: out of range, required but missing, or rejected by a rule.
    fn check(&self) -> Vec<SettingsFault>;
}

/// Failure to load settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read, is too large or is not UTF-8.
    #[snafu(display("{}: cannot read the file: {source}", file.display()))]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// I/O error.
        source: std::io::Error,
    },
    /// The content is faulty. The message has one line per fault.
    #[snafu(display("{}", fault_lines(file, faults)))]
    Faulty {
        /// Path of the file, or the name passed to [`parse_settings`].
        file: PathBuf,
        /// All faults found, ordered by position; not empty.
        faults: Vec<LocatedFault>,
    },
}

fn fault_lines(file: &Path, faults: &[LocatedFault]) -> String {
    let lines = faults.iter().map(|fault| format!("{}:{fault}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails if the file cannot be read or is larger than [`MAX_FILE_BYTES`], and on the faults that
/// [`parse_settings`] reports.
pub fn load_settings<T>(path: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned + CheckedSettings,
{
    let text = read_text(path, MAX_FILE_BYTES).context(UnreadableSnafu { file: path })?;
    parse_settings(path, &text)
}

/// Parses and validates settings from `text`; `file` is used only in error messages.
///
/// # Errors
///
/// Returns all faults in the text. A syntax error or duplicate keys are reported alone, because the values
/// are then not decoded.
pub fn parse_settings<T>(file: impl AsRef<Path>, text: &str) -> Result<T, SettingsError>
where
    T: DeserializeOwned + CheckedSettings,
{
    let outcome = SettingsDocument::parse(text).and_then(|document| decode_and_validate(&document));
    outcome.map_err(|faults| SettingsError::Faulty { file: file.as_ref().to_owned(), faults })
}

/// Decodes a document into any type without validating the values.
///
/// # Errors
///
/// Returns all unknown keys, missing fields and values that cannot be decoded.
pub fn parse_document<T: DeserializeOwned>(
    document: &SettingsDocument<'_>,
) -> Result<T, Vec<LocatedFault>> {
    let decoded = decode(document);
    match decoded.value {
        Some(value) if decoded.faults.is_empty() => Ok(value),
        _ => {
            let mut faults = decoded.faults;
            faults.sort_by_key(|fault| fault.place);
            Err(faults)
        }
    }
}

/// Reads a text file of at most `max_bytes` bytes.
///
/// # Errors
///
/// Fails if the file cannot be read, is larger or is not UTF-8.
pub fn read_text(path: &Path, max_bytes: u64) -> std::io::Result<String> {
    let mut text = String::new();
    let file = File::open(path)?;
    file.take(max_bytes.saturating_add(1)).read_to_string(&mut text)?;
    if text.len() as u64 > max_bytes {
        let message = format!("the file is larger than {max_bytes} bytes");
        return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, message));
    }
    Ok(text)
}

fn decode_and_validate<T>(document: &SettingsDocument<'_>) -> Result<T, Vec<LocatedFault>>
where
    T: DeserializeOwned + CheckedSettings,
{
    let decoded = decode::<T>(document);
    let mut faults = decoded.faults;
    let Some(value) = decoded.value else {
        faults.sort_by_key(|fault| fault.place);
        return Err(faults);
    };
    for fault in value.check() {
        let steps = decoded.removed_entries.path_in_file(&parse_path(&fault.path));
        let path = path_text(&steps);
        // A removed value has its default here, and its fault has been recorded by the decoder.
        if faults.iter().any(|known| known.path == path) {
            continue;
        }
        let place = document.locate_steps(&steps);
        faults.push(LocatedFault { place, path, problem: fault.problem, allowed: fault.allowed });
    }
    faults.sort_by_key(|fault| fault.place);
    if faults.is_empty() { Ok(value) } else { Err(faults) }
}

/// Result of decoding a document with faults.
struct Decoded<T> {
    /// The value without the faulty parts; `None` if it could not be decoded even without them.
    value: Option<T>,
    faults: Vec<LocatedFault>,
    removed_entries: RemovedEntries,
}

/// Decodes a document and collects all its faults. Serde stops at the first error, so the part that
/// caused it is removed and the rest decoded again.
fn decode<T: DeserializeOwned>(document: &SettingsDocument<'_>) -> Decoded<T> {
    let mut json = document.to_json();
    let mut faults: Vec<LocatedFault> = Vec::new();
    let mut removed_entries = RemovedEntries::default();
    let mut removed_paths: Vec<Vec<PathStep>> = Vec::new();
    for _ in 0..MAX_PASSES {
        let error = match serde_path_to_error::deserialize::<_, T>(&json) {
            Ok(value) => return Decoded { value: Some(value), faults, removed_entries },
            Err(error) => error,
        };
        let mut steps = steps_of(error.path());
        let message = error.inner().to_string();
        if let Some(missing) = quoted_after(&message, "missing field `") {
            steps.push(PathStep::Key(missing.to_owned()));
        }
        let file_steps = removed_entries.path_in_file(&steps);
        let already_removed = removed_paths.contains(&file_steps);
        if !already_removed {
            faults.push(decode_fault(document, &file_steps, &message));
        }
        // A missing key cannot be removed, so the object that lacks it is removed instead. The same applies
        // to a required key that an earlier pass removed.
        let missing = already_removed || quoted_after(&message, "missing field `").is_some();
        let depth = if missing { steps.len().saturating_sub(1) } else { steps.len() };
        let Some(path) = remove_at(&mut json, &steps[..depth], &mut removed_entries) else { break };
        removed_paths.push(path);
    }
    Decoded { value: None, faults, removed_entries }
}

/// Entries removed from lists, from which an index in the remaining document is converted to the index
/// in the file.
#[derive(Default)]
struct RemovedEntries {
    /// Paths in the file, sorted.
    entries: Vec<Vec<PathStep>>,
}

impl RemovedEntries {
    /// Converts a path in the remaining document to a path in the file.
    fn path_in_file(&self, steps: &[PathStep]) -> Vec<PathStep> {
        let mut path: Vec<PathStep> = Vec::with_capacity(steps.len());
        for step in steps {
            let PathStep::Index(at) = step else {
                path.push(step.clone());
                continue;
            };
            let mut index = *at;
            for entry in &self.entries {
                let Some((PathStep::Index(removed), list)) = entry.split_last() else { continue };
                if list == path && *removed <= index {
                    index += 1;
                }
            }
            path.push(PathStep::Index(index));
        }
        path
    }

    fn add(&mut self, entry: Vec<PathStep>) {
        let at = self.entries.partition_point(|known| *known < entry);
        self.entries.insert(at, entry);
    }
}

fn steps_of(path: &serde_path_to_error::Path) -> Vec<PathStep> {
    let step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(PathStep::Index(*index)),
        Segment::Map { key } => Some(PathStep::Key(key.clone())),
        Segment::Enum { variant } => Some(PathStep::Key(variant.clone())),
        Segment::Unknown => None,
    };
    path.iter().filter_map(step).collect()
}

fn decode_fault(
    document: &SettingsDocument<'_>,
    steps: &[PathStep],
    message: &str,
) -> LocatedFault {
    let (problem, allowed) = describe_error(message);
    LocatedFault { place: document.locate_steps(steps), path: path_text(steps), problem, allowed }
}

fn path_text(steps: &[PathStep]) -> String {
    let mut path = String::new();
    for step in steps {
        match step {
            PathStep::Key(key) if path.is_empty() => path.push_str(key),
            PathStep::Key(key) => path.push_str(&format!(".{key}")),
            PathStep::Index(at) => path.push_str(&format!("[{at}]")),
            PathStep::Name(name) => path.push_str(&format!("[{name:?}]")),
        }
    }
    path
}

/// Converts serde's message to a problem and the allowed values, with a suggestion for a mistyped name.
fn describe_error(message: &str) -> (String, String) {
    for (start, what) in [("unknown field `", "key"), ("unknown variant `", "value")] {
        let Some(given) = quoted_after(message, start) else { continue };
        let allowed = message.split_once("expected ").map_or("", |(_, names)| names);
        let allowed = allowed.strip_prefix("one of ").unwrap_or(allowed);
        let known: Vec<&str> = allowed.split(['`', ',', ' ']).filter(|it| !it.is_empty()).collect();
        let problem = match (nearest_name(given, &known), what) {
            (Some(near), "key") => format!("unknown key; did you mean `{near}`?"),
            (None, "key") => "unknown key".to_owned(),
            (Some(near), _) => format!("unknown value `{given}`; did you mean `{near}`?"),
            (None, _) => format!("unknown value `{given}`"),
        };
        return (problem, allowed.to_owned());
    }
    if quoted_after(message, "missing field `").is_some() {
        return ("it must be given".to_owned(), String::new());
    }
    for start in ["invalid type: ", "invalid value: "] {
        let Some(rest) = message.strip_prefix(start) else { continue };
        if let Some((given, expected)) = rest.rsplit_once(", expected ") {
            return (format!("wrong type or value: {given}"), expected_type(expected));
        }
    }
    let allowed = match message {
        "invalid socket address syntax" => SOCKET_ADDRESS,
        "invalid IP address syntax" => "an IP number, such as 127.0.0.1",
        _ => "",
    };
    (message.to_owned(), allowed.to_owned())
}

/// Converts the type that serde expected to the wording of the settings reference.
fn expected_type(expected: &str) -> String {
    let max = match expected {
        "u8" => u64::from(u8::MAX),
        "u16" => u64::from(u16::MAX),
        "u32" => u64::from(u32::MAX),
        "u64" | "usize" => u64::MAX,
        "i32" | "i64" => return "a whole number".to_owned(),
        "f32" | "f64" => return "a number".to_owned(),
        "socket address" => return SOCKET_ADDRESS.to_owned(),
        "a boolean" => return "true or false".to_owned(),
        other => return other.strip_prefix("struct ").map_or(other, |_| "an object").to_owned(),
    };
    format!("a whole number from 0 to {max}")
}

fn quoted_after<'a>(message: &'a str, start: &str) -> Option<&'a str> {
    message.strip_prefix(start)?.split('`').next()
}

/// Removes the key or entry at `steps` from the document and returns its path in the file, or `None` if
/// there is nothing to remove.
fn remove_at(
    json: &mut Value,
    steps: &[PathStep],
    removed_entries: &mut RemovedEntries,
) -> Option<Vec<PathStep>> {
    let (last, outer) = steps.split_last()?;
    let mut inner = json;
    for step in outer {
        inner = match step {
            PathStep::Key(key) | PathStep::Name(key) => inner.get_mut(key.as_str())?,
            PathStep::Index(at) => inner.get_mut(*at)?,
        };
    }
    let path = removed_entries.path_in_file(steps);
    match last {
        PathStep::Key(key) | PathStep::Name(key) => {
            inner.as_object_mut()?.remove(key)?;
        }
        PathStep::Index(at) => {
            let list = inner.as_array_mut().filter(|list| *at < list.len())?;
            list.remove(*at);
            removed_entries.add(path.clone());
        }
    }
    Some(path)
}
