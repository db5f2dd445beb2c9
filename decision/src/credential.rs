//! Credentials of customers and operators, stored only as hashes.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;
use subtle::ConstantTimeEq;

/// Length of the hash prefix that a table is sorted by, in bytes.
const INDEX_BYTES: usize = 8;

/// Error for a credential hash that is not a SHA-256 digest in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a credential's hash must have 64 hexadecimal digits"))]
pub struct BadHash;

/// SHA-256 digest of a credential. Credentials must be random, since a guessable one can be found
/// from its digest by trial.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CredentialHash([u8; 32]);

impl CredentialHash {
    /// Returns the hash of a credential.
    #[must_use]
    pub fn of(credential: &str) -> Self {
        Self(Sha256::digest(credential.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits, the form used in manifests.
    ///
    /// # Errors
    ///
    /// Returns [`BadHash`] for any other text.
    pub fn parse(text: &str) -> Result<Self, BadHash> {
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return Err(BadHash);
        }
        let mut hash = [0; 32];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
        }
        Ok(Self(hash))
    }

    /// Returns the hash as 64 lower-case hexadecimal digits.
    #[must_use]
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Compares two hashes in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    fn index(&self) -> &[u8] {
        &self.0[..INDEX_BYTES]
    }
}

impl fmt::Debug for CredentialHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CredentialHash(…)")
    }
}

fn hex_digit(digit: u8) -> Result<u8, BadHash> {
    let value = char::from(digit).to_digit(16).and_then(|value| u8::try_from(value).ok());
    value.ok_or(BadHash)
}

/// Owners of credentials, by hash. Customers and operators have separate tables, so that a
/// credential of one role never authorises a call of the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CredentialTable<T> {
    /// Sorted by the first [`INDEX_BYTES`] bytes of the hash.
    entries: Vec<(CredentialHash, T)>,
}

impl<T> Default for CredentialTable<T> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<T> CredentialTable<T> {
    /// Creates a table of entries in any order. If a hash occurs twice, the later entry wins.
    #[must_use]
    pub fn new(mut entries: Vec<(CredentialHash, T)>) -> Self {
        entries.sort_by(|(left, _), (right, _)| left.index().cmp(right.index()));
        Self { entries }
    }

    /// Returns the owner of a credential.
    ///
    /// The search by hash prefix is not constant-time, but leaks nothing useful: nobody can choose
    /// a credential by its hash. The final comparison is in constant time.
    #[must_use]
    pub fn find(&self, credential: &str) -> Option<&T> {
        self.find_hash(&CredentialHash::of(credential))
    }

    /// Returns the owner of the credential with this hash.
    #[must_use]
    pub fn find_hash(&self, hash: &CredentialHash) -> Option<&T> {
        let from = self.entries.partition_point(|(other, _)| other.index() < hash.index());
        let candidates =
            self.entries[from..].iter().take_while(|(other, _)| other.index() == hash.index());
        let mut found = None;
        for (other, owner) in candidates {
            if other.matches(hash) {
                found = Some(owner);
            }
        }
        found
    }

    /// Returns whether a credential is in both tables, which would give one secret two roles.
    #[must_use]
    pub fn overlaps<U>(&self, other: &CredentialTable<U>) -> bool {
        let other_entries = &other.entries;
        self.entries
            .iter()
            .any(|(hash, _)| other_entries.iter().any(|(other_hash, _)| other_hash.matches(hash)))
    }
}
