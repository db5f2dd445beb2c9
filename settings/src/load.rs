//! From a file to checked settings.

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

/// The most bytes in a settings file.
pub const DEFAULT_FILE_BYTES: u64 = 1 << 20;

const SOCKET_ADDRESS: &str = "an IP number and a port, such as 127.0.0.1:8080";

/// The most passes over a document. Each tells a fault of shape or takes out what one leaves behind.
const MOST_PASSES: usize = 128;

/// Settings that can tell what is wrong with their values.
pub trait CheckedSettings {
    /// Every value outside its range, with the path of its key.
    fn check(&self) -> Vec<SettingsFault>;
}

/// Why settings were refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: cannot read the file: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file has faults; the message has one line for each.
    #[snafu(display("{}", fault_lines(file, faults)))]
    Faulty {
        /// The file.
        file: PathBuf,
        /// The faults.
        faults: Vec<LocatedFault>,
    },
}

fn fault_lines(file: &Path, faults: &[LocatedFault]) -> String {
    let lines = faults.iter().map(|fault| format!("{}:{fault}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// If the file cannot be read or is larger than [`DEFAULT_FILE_BYTES`], and every fault in it.
pub fn load_settings<T>(path: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned + CheckedSettings,
{
    let text = read_text(path, DEFAULT_FILE_BYTES).context(UnreadableSnafu { file: path })?;
    parse_settings(path, &text)
}

/// Checks settings that stand in `text`; `file` only names them in errors.
///
/// # Errors
///
/// Every fault in the text.
pub fn parse_settings<T>(file: impl AsRef<Path>, text: &str) -> Result<T, SettingsError>
where
    T: DeserializeOwned + CheckedSettings,
{
    let outcome = SettingsDocument::parse(text).and_then(|document| checked(&document));
    outcome.map_err(|faults| SettingsError::Faulty { file: file.as_ref().to_owned(), faults })
}

/// Reads a document of any type, without a check of its values. Faults of its shape (unknown keys,
/// wrong types) are told all at once.
///
/// # Errors
///
/// Every fault of its shape.
pub fn parse_document<T: DeserializeOwned>(
    document: &SettingsDocument<'_>,
) -> Result<T, Vec<LocatedFault>> {
    let shape = read_shape(document);
    match shape.value {
        Some(value) if shape.faults.is_empty() => Ok(value),
        _ => {
            let mut faults = shape.faults;
            faults.sort_by_key(|fault| fault.place);
            Err(faults)
        }
    }
}

/// Reads a text file of at most `most_bytes` bytes.
///
/// # Errors
///
/// If it cannot be read, is larger or is no UTF-8 text.
pub fn read_text(path: &Path, most_bytes: u64) -> std::io::Result<String> {
    let mut text = String::new();
    let file = File::open(path)?;
    file.take(most_bytes.saturating_add(1)).read_to_string(&mut text)?;
    if text.len() as u64 > most_bytes {
        let message = format!("it has more than {most_bytes} bytes");
        return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, message));
    }
    Ok(text)
}

fn checked<T>(document: &SettingsDocument<'_>) -> Result<T, Vec<LocatedFault>>
where
    T: DeserializeOwned + CheckedSettings,
{
    let shape = read_shape::<T>(document);
    let mut faults = shape.faults;
    let Some(value) = shape.value else {
        faults.sort_by_key(|fault| fault.place);
        return Err(faults);
    };
    for fault in value.check() {
        let steps = shape.gaps.in_file(&parse_path(&fault.path));
        let path = path_text(&steps);
        // What was taken out stands at its default now and is told already.
        if faults.iter().any(|told| told.path == path) {
            continue;
        }
        let place = document.locate_steps(&steps);
        faults.push(LocatedFault { place, path, problem: fault.problem, allowed: fault.allowed });
    }
    faults.sort_by_key(|fault| fault.place);
    if faults.is_empty() { Ok(value) } else { Err(faults) }
}

/// What could be read of a document, and what stood in the way.
struct DocumentShape<T> {
    value: Option<T>,
    faults: Vec<LocatedFault>,
    gaps: ListGaps,
}

/// Reads a document; what cannot be read is told, taken out and the rest read again, since serde
/// stops at the first error and an operator wants all of them.
fn read_shape<T: DeserializeOwned>(document: &SettingsDocument<'_>) -> DocumentShape<T> {
    let mut json = document.to_json();
    let mut faults: Vec<LocatedFault> = Vec::new();
    let mut gaps = ListGaps::default();
    let mut taken_out: Vec<Vec<PathStep>> = Vec::new();
    for _ in 0..MOST_PASSES {
        let error = match serde_path_to_error::deserialize::<_, T>(&json) {
            Ok(value) => return DocumentShape { value: Some(value), faults, gaps },
            Err(error) => error,
        };
        let mut steps = steps_of(error.path());
        let message = error.inner().to_string();
        if let Some(missing) = quoted_after(&message, "missing field `") {
            steps.push(PathStep::Key(missing.to_owned()));
        }
        let places = gaps.in_file(&steps);
        let consequence = taken_out.contains(&places);
        if !consequence {
            faults.push(shape_fault(document, &places, &message));
        }
        // A key that is missing takes what it is missing from with it, or the pass would end there.
        let missing = consequence || quoted_after(&message, "missing field `").is_some();
        let cut = if missing { steps.len().saturating_sub(1) } else { steps.len() };
        let Some(gone) = take_out(&mut json, &steps[..cut], &mut gaps) else { break };
        taken_out.push(gone);
    }
    DocumentShape { value: None, faults, gaps }
}

/// Entries that were taken out of lists, so that later positions can be told as in the file.
#[derive(Default)]
struct ListGaps {
    /// Paths of taken entries, in terms of the file, sorted.
    entries: Vec<Vec<PathStep>>,
}

impl ListGaps {
    /// Turns a path in what is left of the document into one in the file.
    fn in_file(&self, steps: &[PathStep]) -> Vec<PathStep> {
        let mut path: Vec<PathStep> = Vec::with_capacity(steps.len());
        for step in steps {
            let PathStep::Position(at) = step else {
                path.push(step.clone());
                continue;
            };
            let mut position = *at;
            for entry in &self.entries {
                let Some((PathStep::Position(gone), list)) = entry.split_last() else { continue };
                if list == path && *gone <= position {
                    position += 1;
                }
            }
            path.push(PathStep::Position(position));
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
        Segment::Seq { index } => Some(PathStep::Position(*index)),
        Segment::Map { key } => Some(PathStep::Key(key.clone())),
        Segment::Enum { variant } => Some(PathStep::Key(variant.clone())),
        Segment::Unknown => None,
    };
    path.iter().filter_map(step).collect()
}

fn shape_fault(document: &SettingsDocument<'_>, steps: &[PathStep], message: &str) -> LocatedFault {
    let (problem, allowed) = told_plainly(message);
    LocatedFault { place: document.locate_steps(steps), path: path_text(steps), problem, allowed }
}

fn path_text(steps: &[PathStep]) -> String {
    let mut path = String::new();
    for step in steps {
        match step {
            PathStep::Key(key) if path.is_empty() => path.push_str(key),
            PathStep::Key(key) => path.push_str(&format!(".{key}")),
            PathStep::Position(at) => path.push_str(&format!("[{at}]")),
            PathStep::Name(name) => path.push_str(&format!("[{name:?}]")),
        }
    }
    path
}

/// Turns serde's message into the problem and what is allowed, with a hint for a mistyped name.
fn told_plainly(message: &str) -> (String, String) {
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

/// What serde expected, in the words of the reference.
fn expected_type(expected: &str) -> String {
    let most = match expected {
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
    format!("a whole number from 0 to {most}")
}

fn quoted_after<'a>(message: &'a str, start: &str) -> Option<&'a str> {
    message.strip_prefix(start)?.split('`').next()
}

/// Takes the key or entry at `steps` out of the document and gives its path in the file.
fn take_out(json: &mut Value, steps: &[PathStep], gaps: &mut ListGaps) -> Option<Vec<PathStep>> {
    let (last, outer) = steps.split_last()?;
    let mut inner = json;
    for step in outer {
        inner = match step {
            PathStep::Key(key) | PathStep::Name(key) => inner.get_mut(key.as_str())?,
            PathStep::Position(at) => inner.get_mut(*at)?,
        };
    }
    let path = gaps.in_file(steps);
    match last {
        PathStep::Key(key) | PathStep::Name(key) => {
            inner.as_object_mut()?.remove(key)?;
        }
        PathStep::Position(at) => {
            let list = inner.as_array_mut().filter(|list| *at < list.len())?;
            list.remove(*at);
            gaps.add(path.clone());
        }
    }
    Some(path)
}
