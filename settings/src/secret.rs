//! Secrets, each read from a file that the settings refer to.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::load::read_text;

/// Maximum size of a secret file in bytes; large enough for a certificate chain.
const SECRET_FILE_BYTES: u64 = 256 * 1024;

/// Path of a file that holds a secret. A relative path is resolved against the process's working
/// directory.
///
/// The file is read on each call of [`SecretFile::read`], so a secret can be replaced without a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SecretFile {
    path: PathBuf,
}

impl SecretFile {
    /// Refers to the file at `path`, which is not opened until [`SecretFile::read`].
    #[must_use]
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }

    /// Returns the path as given; empty if the setting is unset.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the secret and trims surrounding white space.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is larger than 256 KiB, is not UTF-8 or contains only white
    /// space. The error includes the path but never the content.
    pub fn read(&self) -> Result<SecretText, SecretError> {
        let text = read_text(&self.path, SECRET_FILE_BYTES);
        let text = text.context(UnreadableSnafu { path: &self.path })?;
        let text = text.trim();
        ensure!(!text.is_empty(), EmptySnafu { path: &self.path });
        Ok(SecretText(text.to_owned()))
    }
}

/// Text of a secret. Its `Debug` output is `***`, which keeps it out of logs and error messages.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a secret that was not read from a [`SecretFile`], such as one from standard input.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the plain text, which the caller must not log.
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

/// Failure to read a secret.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The file cannot be read, is too large or is not UTF-8.
    #[snafu(display("cannot read the secret in {}: {source}", path.display()))]
    Unreadable {
        /// Path as given in the settings.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// The file is empty or contains only white space.
    #[snafu(display("the secret in {} is empty", path.display()))]
    Empty {
        /// Path as given in the settings.
        path: PathBuf,
    },
}
