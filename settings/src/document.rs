//! A parsed file, and where things stand in it.

use std::fmt;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// Keys that name an entry of a list, so that it can be found as `adapters["x"]`.
const NAMING_KEYS: [&str; 5] = ["name", "version", "class", "region", "id"];

/// A place in a file, both counted from 1; the column counts characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FaultPlace {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// A fault with its place in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedFault {
    /// Where the offending key stands, or the nearest thing around a key that is missing.
    pub place: FaultPlace,
    /// The path of the key, such as `intake.body_bytes`; empty for the file as a whole.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// What is allowed; empty where the problem says it.
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
        let joint = if self.problem.ends_with('?') { " " } else { "; " };
        write!(f, "{joint}allowed: {}", self.allowed)
    }
}

/// A step of a path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PathStep {
    /// Into an object, by key.
    Key(String),
    /// Into a list, by position.
    Position(usize),
    /// Into a list, by the name of an entry or by the text itself.
    Name(String),
}

/// A parsed file with comments, which knows where each key stands.
pub struct SettingsDocument<'a> {
    text: &'a str,
    root: Value<'a>,
}

impl<'a> SettingsDocument<'a> {
    /// Parses JSON with comments and trailing commas.
    ///
    /// # Errors
    ///
    /// If the text is no such JSON or is nested too deeply, with the place; if a key stands twice
    /// in an object, with the place of each repeat.
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
            let place = place_of(text, error.range().start);
            vec![whole_fault(place, format!("syntax error: {}", error.kind()))]
        })?;
        let Some(root) = parsed.value else {
            return Err(vec![whole_fault(place_of(text, 0), "the file is empty".to_owned())]);
        };
        let document = Self { text, root };
        let mut repeats = Vec::new();
        document.find_repeats(&document.root, "", &mut repeats);
        if repeats.is_empty() { Ok(document) } else { Err(repeats) }
    }

    /// The document without comments and places.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        plain_value(&self.root)
    }

    /// Where the thing at `path` stands: `servers[2].address`, `adapters["x"].versions["7"]`. For
    /// something that is missing, the place of the innermost thing around it.
    #[must_use]
    pub fn locate(&self, path: &str) -> FaultPlace {
        self.locate_steps(&parse_path(path))
    }

    pub(crate) fn locate_steps(&self, steps: &[PathStep]) -> FaultPlace {
        let mut value = &self.root;
        let mut start = value.start();
        for step in steps {
            let Some((next, next_start)) = descend(value, step) else { break };
            value = next;
            start = next_start;
        }
        place_of(self.text, start)
    }

    fn find_repeats(&self, value: &Value<'_>, path: &str, repeats: &mut Vec<LocatedFault>) {
        match value {
            Value::Object(object) => {
                self.object_repeats(object, path, repeats);
                for property in &object.properties {
                    let inner = join_path(path, property.name.as_str());
                    self.find_repeats(&property.value, &inner, repeats);
                }
            }
            Value::Array(array) => {
                for (at, element) in array.elements.iter().enumerate() {
                    self.find_repeats(element, &format!("{path}[{at}]"), repeats);
                }
            }
            _ => {}
        }
    }

    fn object_repeats(&self, object: &Object<'_>, path: &str, repeats: &mut Vec<LocatedFault>) {
        let mut properties: Vec<&ObjectProp<'_>> = object.properties.iter().collect();
        properties.sort_by(|a, b| {
            a.name.as_str().cmp(b.name.as_str()).then(a.range.start.cmp(&b.range.start))
        });
        for pair in properties.windows(2) {
            if pair[0].name.as_str() != pair[1].name.as_str() {
                continue;
            }
            let first = place_of(self.text, pair[0].range.start);
            repeats.push(LocatedFault {
                place: place_of(self.text, pair[1].range.start),
                path: join_path(path, pair[1].name.as_str()),
                problem: format!("the key stands in line {} already", first.line),
                allowed: "each key once".to_owned(),
            });
        }
    }
}

pub(crate) fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn whole_fault(place: FaultPlace, problem: String) -> LocatedFault {
    LocatedFault { place, path: String::new(), problem, allowed: String::new() }
}

/// The place of a byte of `text`.
fn place_of(text: &str, offset: usize) -> FaultPlace {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    FaultPlace {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}

/// Goes one step down, and tells where the thing reached starts, its key included.
fn descend<'v, 'a>(value: &'v Value<'a>, step: &PathStep) -> Option<(&'v Value<'a>, usize)> {
    match (value, step) {
        (Value::Object(object), PathStep::Key(key) | PathStep::Name(key)) => {
            let property = object.get(key)?;
            Some((&property.value, property.range.start))
        }
        (Value::Array(array), PathStep::Position(at)) => {
            let element = array.elements.get(*at)?;
            Some((element, element.start()))
        }
        (Value::Array(array), PathStep::Name(name)) => {
            // The last one, since a fault about a repeated name concerns the repeat.
            let element = array.elements.iter().rfind(|element| is_named(element, name))?;
            Some((element, element.start()))
        }
        _ => None,
    }
}

fn is_named(element: &Value<'_>, name: &str) -> bool {
    if let Value::Object(object) = element {
        let naming = NAMING_KEYS.iter().find_map(|key| object.get(key));
        return naming.is_some_and(|property| text_of(&property.value) == Some(name));
    }
    text_of(element) == Some(name)
}

fn text_of<'v>(value: &'v Value<'_>) -> Option<&'v str> {
    value.as_string_lit().map(|literal| literal.value.as_ref())
}

/// Splits `a.b[2]["c.d"].e` into steps. A part that cannot be read ends the path.
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
            (PathStep::Position(at), next)
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

/// Reads a name up to `"]`, with the escapes of Rust's debug format.
fn quoted_name(text: &str) -> Option<(String, &str)> {
    let mut name = String::new();
    let mut letters = text.char_indices();
    while let Some((at, letter)) = letters.next() {
        match letter {
            '"' => return text[at + 1..].strip_prefix(']').map(|rest| (name, rest)),
            '\\' => name.push(letters.next()?.1),
            other => name.push(other),
        }
    }
    None
}

fn plain_value(value: &Value<'_>) -> serde_json::Value {
    match value {
        Value::NullKeyword(_) => serde_json::Value::Null,
        Value::BooleanLit(literal) => literal.value.into(),
        Value::StringLit(literal) => literal.value.as_ref().into(),
        Value::NumberLit(literal) => {
            // A number that JSON cannot hold, such as 1e999, is left to fail as text.
            let number = literal.value.parse::<serde_json::Number>();
            number.map_or_else(|_| literal.value.into(), serde_json::Value::Number)
        }
        Value::Array(array) => array.elements.iter().map(plain_value).collect(),
        Value::Object(object) => {
            let pairs = object.properties.iter();
            pairs.map(|pair| (pair.name.as_str().to_owned(), plain_value(&pair.value))).collect()
        }
    }
}
