//! Secrets, which stand in files of their own that the settings name.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::load::read_text;

/// The most bytes in a file with a secret, such as a chain of certificates.
const SECRET_FILE_BYTES: u64 = 256 * 1024;

/// The path of a file that holds a secret; a relative one starts at the process's working directory.
///
/// The file is read again on each call, so that a secret is replaced without a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SecretFile {
    path: PathBuf,
}

impl SecretFile {
    /// Names the file at `path`.
    #[must_use]
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }

    /// Where the file lies.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the secret, without the white space around it.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is larger than 256 KiB, is no UTF-8 text or holds nothing. The
    /// error names the file and never what stands in it.
    pub fn read(&self) -> Result<SecretText, SecretError> {
        let text = read_text(&self.path, SECRET_FILE_BYTES);
        let text = text.context(UnreadableSnafu { path: &self.path })?;
        let text = text.trim();
        ensure!(!text.is_empty(), EmptySnafu { path: &self.path });
        Ok(SecretText(text.to_owned()))
    }
}

/// A secret's text. It prints as `***`, so that neither logs nor error messages give it away.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a secret that came from elsewhere, such as standard input.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The secret itself, for the one place that needs it.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

/// Why a secret could not be read.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The file cannot be read.
    #[snafu(display("cannot read the secret in {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file holds nothing.
    #[snafu(display("the secret in {} is empty", path.display()))]
    Empty {
        /// The file.
        path: PathBuf,
    },
}
