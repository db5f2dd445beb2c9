//! Secrets in memory.

use std::fmt;
use std::path::Path;

use snafu::ensure;

use crate::error::{BadSecretSnafu, KeyError};
use crate::files::read_bounded;

/// A secret text. It is never printed: `Debug` and `Display` show a placeholder, and it cannot be
/// serialised.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Takes a text as a secret.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Reads the one line of a secret file; the end of the line is not part of it.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or does not hold exactly one line of text.
    pub fn read(path: &Path) -> Result<Self, KeyError> {
        let bytes = read_bounded(path)?;
        let text = String::from_utf8(bytes).unwrap_or_default();
        let line = text.trim_end_matches(['\n', '\r']);
        let whole = !line.is_empty() && !line.contains(['\n', '\r', '\0']);
        ensure!(whole, BadSecretSnafu { path });
        Ok(Self::new(line))
    }

    /// Shows the secret, for the place that sends or hashes it.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretText(…)")
    }
}

impl fmt::Display for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("…")
    }
}
