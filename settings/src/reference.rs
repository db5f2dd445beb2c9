//! Generation of the settings reference from the declarations.

use std::fmt::Write;

use crate::value::SettingValue;

/// Row of the reference: one setting, or a list of structs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReferenceRow {
    /// Path of the key, such as `intake.body_bytes`; `[]` stands for each entry of a list.
    pub key: String,
    /// Type of the value in prose, such as `whole number`.
    pub type_name: String,
    /// Default as text, `none` for an absent option, or `required`.
    pub default: String,
    /// Allowed range with its unit; empty if there is none.
    pub range: String,
    /// The field's doc comment on one line.
    pub meaning: String,
}

/// Returns the rows of a settings struct and of all structs nested in it.
#[must_use]
pub fn reference_rows<T: SettingValue + Default>() -> Vec<ReferenceRow> {
    let mut rows = Vec::new();
    T::default().add_rows(ReferenceRow::default(), &mut rows);
    rows
}

/// Formats `rows` as a Markdown section with a table, headed by `title`.
#[must_use]
pub fn reference_page(title: &str, rows: &[ReferenceRow]) -> String {
    let mut page = format!("## {title}\n\n");
    page.push_str("| key | type | default | range | meaning |\n|---|---|---|---|---|\n");
    for row in rows {
        let default =
            if row.default == REQUIRED { REQUIRED.to_owned() } else { code_span(&row.default) };
        let meaning = row.meaning.replace('|', "\\|");
        // Writing to a string is infallible.
        let _ = writeln!(
            page,
            "| `{}` | {} | {default} | {} | {meaning} |",
            row.key, row.type_name, row.range
        );
    }
    page
}

/// Text in the default column of a setting that has no default.
pub(crate) const REQUIRED: &str = "required";

fn code_span(text: &str) -> String {
    if text.is_empty() { String::new() } else { format!("`{text}`") }
}

impl ReferenceRow {
    /// Returns the row of the field `key` of the struct that `self` describes. `meaning` holds the lines
    /// of the field's doc comment.
    #[doc(hidden)]
    #[must_use]
    pub fn field<T: SettingValue>(&self, key: &str, value: &T, meaning: &[&str]) -> Self {
        let key = if self.key.is_empty() { key.to_owned() } else { format!("{}.{key}", self.key) };
        let lines: Vec<_> = meaning.iter().map(|line| line.trim()).collect();
        Self {
            key,
            type_name: T::type_name(),
            default: value.reference_text(),
            range: String::new(),
            meaning: lines.join(" ").trim().to_owned(),
        }
    }

    /// Replaces the default by `required`.
    #[doc(hidden)]
    #[must_use]
    pub fn required(mut self) -> Self {
        self.default = REQUIRED.to_owned();
        self
    }

    /// Sets the text of the range column.
    #[doc(hidden)]
    #[must_use]
    pub fn with_range(mut self, range: String) -> Self {
        self.range = range;
        self
    }
}
