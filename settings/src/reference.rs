//! The reference of settings, made from their declarations.

use std::fmt::Write;

use crate::value::SettingValue;

/// A row of the reference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReferenceRow {
    /// The path of the key.
    pub key: String,
    /// The type of its values.
    pub type_name: String,
    /// The default as it would stand in a file, or `required`.
    pub default: String,
    /// The range, if it has one.
    pub range: String,
    /// What it means.
    pub meaning: String,
}

/// The rows of a settings struct, those of the structs within it included.
#[must_use]
pub fn reference_rows<T: SettingValue + Default>() -> Vec<ReferenceRow> {
    let mut rows = Vec::new();
    T::default().add_rows(ReferenceRow::default(), &mut rows);
    rows
}

/// A Markdown section with a table of `rows`, under `title`.
#[must_use]
pub fn reference_page(title: &str, rows: &[ReferenceRow]) -> String {
    let mut page = format!("## {title}\n\n");
    page.push_str("| key | type | default | range | meaning |\n|---|---|---|---|---|\n");
    for row in rows {
        let default =
            if row.default == REQUIRED { REQUIRED.to_owned() } else { coded(&row.default) };
        let meaning = row.meaning.replace('|', "\\|");
        // Writing into a string does not fail.
        let _ = writeln!(
            page,
            "| `{}` | {} | {default} | {} | {meaning} |",
            row.key, row.type_name, row.range
        );
    }
    page
}

/// What stands in place of the default of a setting that must be given.
pub(crate) const REQUIRED: &str = "required";

fn coded(text: &str) -> String {
    if text.is_empty() { String::new() } else { format!("`{text}`") }
}

impl ReferenceRow {
    /// Fills the row of the field `key` inside the row of its struct.
    #[doc(hidden)]
    #[must_use]
    pub fn field<T: SettingValue>(&self, key: &str, value: &T, meaning: &[&str]) -> Self {
        let key = if self.key.is_empty() { key.to_owned() } else { format!("{}.{key}", self.key) };
        let lines: Vec<_> = meaning.iter().map(|line| line.trim()).collect();
        Self {
            key,
            type_name: T::type_name(),
            default: value.shown(),
            range: String::new(),
            meaning: lines.join(" ").trim().to_owned(),
        }
    }

    /// Marks the row's setting as required.
    #[doc(hidden)]
    #[must_use]
    pub fn required(mut self) -> Self {
        self.default = REQUIRED.to_owned();
        self
    }

    /// States the row's range.
    #[doc(hidden)]
    #[must_use]
    pub fn with_range(mut self, range: String) -> Self {
        self.range = range;
        self
    }
}
