//! A parsed settings file with the position of each key.

use std::fmt;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// Keys whose value identifies an entry of a list, as in `adapters["x"]`; the first one that an entry
/// has is used.
const NAME_KEYS: [&str; 5] = ["name", "version", "class", "region", "id"];

/// Position in a file. Line and column start at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FilePosition {
    /// Line number.
    pub line: usize,
    /// Column in characters, not bytes.
    pub column: usize,
}

/// Fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedFault {
    /// Position of the offending key, or of the innermost existing parent of a missing key.
    pub place: FilePosition,
    /// Path of the key, such as `intake.body_bytes`; empty for a fault of the whole file.
    pub path: String,
    /// Description of the fault.
    pub problem: String,
    /// Allowed values; empty if `problem` states them.
    pub allowed: String,
}

impl fmt::Display for LocatedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.place.line, self.place.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.problem)?;
        if self.allowed.is_empty() {
            return Ok(());
        }
        let separator = if self.problem.ends_with('?') { " " } else { "; " };
        write!(f, "{separator}allowed: {}", self.allowed)
    }
}

/// Step of a path into a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PathStep {
    /// Property of an object.
    Key(String),
    /// List entry by index.
    Index(usize),
    /// List entry by the value of its name key, or by its own value if it is a string.
    Name(String),
}

/// Parsed JSON with comments that keeps the position of each key.
pub struct SettingsDocument<'a> {
    text: &'a str,
    root: Value<'a>,
}

impl<'a> SettingsDocument<'a> {
    /// Parses JSON with comments and trailing commas.
    ///
    /// # Errors
    ///
    /// Fails on a syntax error, on nesting that is too deep, on an empty file and on duplicate keys in an
    /// object, and returns the position of each fault.
    pub fn parse(text: &'a str) -> Result<Self, Vec<LocatedFault>> {
        let options = ParseOptions {
            allow_comments: true,
            allow_trailing_commas: true,
            allow_loose_object_property_names: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            allow_unary_plus_numbers: false,
            allow_bare_decimal_point_numbers: false,
            allow_non_finite_numbers: false,
            allow_extended_string_escapes: false,
        };
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options);
        let parsed = parsed.map_err(|error| {
            let place = position_at(text, error.range().start);
            vec![file_fault(place, format!("syntax error: {}", error.kind()))]
        })?;
        let Some(root) = parsed.value else {
            return Err(vec![file_fault(position_at(text, 0), "the file is empty".to_owned())]);
        };
        let document = Self { text, root };
        let mut duplicates = Vec::new();
        document.find_duplicates(&document.root, "", &mut duplicates);
        if duplicates.is_empty() { Ok(document) } else { Err(duplicates) }
    }

    /// Converts the document to a JSON value without comments and positions.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        json_value(&self.root)
    }

    /// Returns the position of the value at `path`, such as `servers[2].address` or
    /// `adapters["x"].versions["7"]`. The position is that of the value's key if it has one, and that of
    /// the innermost existing parent if the value is missing.
    #[must_use]
    pub fn locate(&self, path: &str) -> FilePosition {
        self.locate_steps(&parse_path(path))
    }

    pub(crate) fn locate_steps(&self, steps: &[PathStep]) -> FilePosition {
        let mut value = &self.root;
        let mut start = value.start();
        for step in steps {
            let Some((next, next_start)) = descend(value, step) else { break };
            value = next;
            start = next_start;
        }
        position_at(self.text, start)
    }

    fn find_duplicates(&self, value: &Value<'_>, path: &str, duplicates: &mut Vec<LocatedFault>) {
        match value {
            Value::Object(object) => {
                self.object_duplicates(object, path, duplicates);
                for property in &object.properties {
                    let inner = join_path(path, property.name.as_str());
                    self.find_duplicates(&property.value, &inner, duplicates);
                }
            }
            Value::Array(array) => {
                for (at, element) in array.elements.iter().enumerate() {
                    self.find_duplicates(element, &format!("{path}[{at}]"), duplicates);
                }
            }
            _ => {}
        }
    }

    fn object_duplicates(
        &self,
        object: &Object<'_>,
        path: &str,
        duplicates: &mut Vec<LocatedFault>,
    ) {
        let mut properties: Vec<&ObjectProp<'_>> = object.properties.iter().collect();
        properties.sort_by(|a, b| {
            a.name.as_str().cmp(b.name.as_str()).then(a.range.start.cmp(&b.range.start))
        });
        for pair in properties.windows(2) {
            if pair[0].name.as_str() != pair[1].name.as_str() {
                continue;
            }
            let first = position_at(self.text, pair[0].range.start);
            duplicates.push(LocatedFault {
                place: position_at(self.text, pair[1].range.start),
                path: join_path(path, pair[1].name.as_str()),
                problem: format!("duplicate key, already set in line {}", first.line),
                allowed: "each key once".to_owned(),
            });
        }
    }
}

pub(crate) fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn file_fault(place: FilePosition, problem: String) -> LocatedFault {
    LocatedFault { place, path: String::new(), problem, allowed: String::new() }
}

/// Converts a byte offset in `text` to a position.
fn position_at(text: &str, offset: usize) -> FilePosition {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    FilePosition {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}

/// Descends by one step of a path. Returns the value reached and its start offset, which is that of its key if it
/// has one.
fn descend<'v, 'a>(value: &'v Value<'a>, step: &PathStep) -> Option<(&'v Value<'a>, usize)> {
    match (value, step) {
        (Value::Object(object), PathStep::Key(key) | PathStep::Name(key)) => {
            let property = object.get(key)?;
            Some((&property.value, property.range.start))
        }
        (Value::Array(array), PathStep::Index(at)) => {
            let element = array.elements.get(*at)?;
            Some((element, element.start()))
        }
        (Value::Array(array), PathStep::Name(name)) => {
            // The last match, because a fault about a duplicate name concerns the later entry.
            let element = array.elements.iter().rfind(|element| is_named(element, name))?;
            Some((element, element.start()))
        }
        _ => None,
    }
}

fn is_named(element: &Value<'_>, name: &str) -> bool {
    if let Value::Object(object) = element {
        let name_property = NAME_KEYS.iter().find_map(|key| object.get(key));
        return name_property.is_some_and(|property| string_value(&property.value) == Some(name));
    }
    string_value(element) == Some(name)
}

fn string_value<'v>(value: &'v Value<'_>) -> Option<&'v str> {
    value.as_string_lit().map(|literal| literal.value.as_ref())
}

/// Splits `a.b[2]["c.d"].e` into steps. Stops at the first part that is malformed.
pub(crate) fn parse_path(path: &str) -> Vec<PathStep> {
    let mut steps = Vec::new();
    let mut rest = path;
    while !rest.is_empty() {
        let (step, next) = if let Some(inner) = rest.strip_prefix("[\"") {
            let Some((name, next)) = quoted_name(inner) else { break };
            (PathStep::Name(name), next)
        } else if let Some(inner) = rest.strip_prefix('[') {
            let Some((digits, next)) = inner.split_once(']') else { break };
            let Ok(at) = digits.parse() else { break };
            (PathStep::Index(at), next)
        } else {
            let bare = rest.strip_prefix('.').unwrap_or(rest);
            let end = bare.find(['.', '[']).unwrap_or(bare.len());
            if end == 0 {
                break;
            }
            (PathStep::Key(bare[..end].to_owned()), &bare[end..])
        };
        steps.push(step);
        rest = next;
    }
    steps
}

/// Reads a name up to `"]` and returns it with the text that follows. A backslash is dropped and the
/// character after it is taken literally, which undoes the `\"` and `\\` of Rust's debug format.
fn quoted_name(text: &str) -> Option<(String, &str)> {
    let mut name = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return text[at + 1..].strip_prefix(']').map(|rest| (name, rest)),
            '\\' => name.push(chars.next()?.1),
            other => name.push(other),
        }
    }
    None
}

fn json_value(value: &Value<'_>) -> serde_json::Value {
    match value {
        Value::NullKeyword(_) => serde_json::Value::Null,
        Value::BooleanLit(literal) => literal.value.into(),
        Value::StringLit(literal) => literal.value.as_ref().into(),
        Value::NumberLit(literal) => {
            // A number out of range, such as 1e999, becomes a string, which the type check rejects.
            let number = literal.value.parse::<serde_json::Number>();
            number.map_or_else(|_| literal.value.into(), serde_json::Value::Number)
        }
        Value::Array(array) => array.elements.iter().map(json_value).collect(),
        Value::Object(object) => {
            let pairs = object.properties.iter();
            pairs.map(|pair| (pair.name.as_str().to_owned(), json_value(&pair.value))).collect()
        }
    }
}
