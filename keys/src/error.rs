//! Errors of loading TLS keys. No message contains a secret.

use std::path::PathBuf;

use snafu::Snafu;

/// TLS keys cannot be loaded, or no TLS configuration can be made from them.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum KeyError {
    /// A file cannot be opened or read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file that cannot be read.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A file exceeds the size limit for key files.
    #[snafu(display("{} has more than {limit} bytes", path.display()))]
    TooLarge {
        /// The oversized file.
        path: PathBuf,
        /// The limit in bytes.
        limit: u64,
    },
    /// A file contains no valid PEM block of the expected type.
    #[snafu(display("{} contains no {what} in PEM format", path.display()))]
    NoPem {
        /// The file without the expected block.
        path: PathBuf,
        /// The expected content: `"certificate"` or `"private key"`.
        what: &'static str,
    },
    /// The TLS library rejects the certificate chain or the private key, or the two do not match.
    #[snafu(display("certificate chain {} and its key cannot be used: {source}", path.display()))]
    Unusable {
        /// The certificate chain's file, even if the fault is in the key.
        path: PathBuf,
        /// The TLS library's error.
        source: rustls::Error,
    },
    /// The TLS library rejects the CA certificates.
    #[snafu(display("the CA certificates in {} cannot be used: {reason}", path.display()))]
    Authority {
        /// The CA file.
        path: PathBuf,
        /// The library's message.
        reason: String,
    },
    /// A mutual TLS configuration was requested, but [`crate::KeyFiles::authority`] is `None`.
    #[snafu(display("mutual TLS needs a CA certificate file in the settings"))]
    NoAuthority,
    /// The TLS library rejects the protocol versions or cipher suites.
    #[snafu(display("cannot configure TLS: {source}"))]
    Configure {
        /// The TLS library's error.
        source: rustls::Error,
    },
}
