//! Reading and parsing of certificate, key and CA files.

use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use rustls::RootCertStore;
use rustls::crypto::{CryptoProvider, aws_lc_rs};
use rustls::sign::CertifiedKey;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{AuthoritySnafu, KeyError, NoPemSnafu, ReadSnafu, TooLargeSnafu, UnusableSnafu};

/// Size limit of a key file; a mistaken path to a large file must not exhaust memory.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Paths of a VM's certificate, private key and trusted CAs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyFiles {
    /// The VM's certificate followed by intermediate CA certificates, in PEM format.
    pub chain: PathBuf,
    /// The certificate's private key, in PEM format.
    pub key: PathBuf,
    /// Certificates of the CAs that must have issued other VMs' certificates, in PEM format.
    /// Required for mutual TLS between VMs; `None` where only the HTTP listeners use the keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub authority: Option<PathBuf>,
}

/// Parsed contents of the files.
pub(crate) struct LoadedKeys {
    pub(crate) certified: Arc<CertifiedKey>,
    /// The trusted CAs; `None` if [`KeyFiles::authority`] is.
    pub(crate) roots: Option<Arc<RootCertStore>>,
    /// SHA-256 of the files' bytes, to detect changes. Modification times are not reliable: a
    /// symbolic link may be changed to point to older files.
    pub(crate) digest: [u8; 32],
}

/// Returns the cryptography provider for all of the project's TLS configurations, so that none
/// depends on the process-wide default.
pub(crate) fn provider() -> Arc<CryptoProvider> {
    Arc::new(aws_lc_rs::default_provider())
}

impl LoadedKeys {
    /// Reads and parses all files, and checks that the private key matches the certificate.
    pub(crate) fn read(files: &KeyFiles) -> Result<Self, KeyError> {
        let chain = read_bounded(&files.chain)?;
        let key = read_bounded(&files.key)?;
        let authority = files.authority.as_deref().map(read_bounded).transpose()?;
        let mut hasher = Sha256::new();
        for part in [&chain, &key].into_iter().chain(&authority) {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let roots = match (&files.authority, &authority) {
            (Some(path), Some(pem)) => Some(Arc::new(parse_roots(path, pem)?)),
            _ => None,
        };
        let certified = Arc::new(parse_certified_key(files, &chain, &key)?);
        Ok(Self { certified, roots, digest: hasher.finalize().into() })
    }
}

/// Parses the certificate chain and the private key, and checks that they match.
fn parse_certified_key(
    files: &KeyFiles,
    chain: &[u8],
    key: &[u8],
) -> Result<CertifiedKey, KeyError> {
    let certificates = parse_certificates(&files.chain, chain)?;
    let what = "private key";
    let key = PrivateKeyDer::from_pem_slice(key).ok();
    let key = key.context(NoPemSnafu { path: &files.key, what })?;
    let certified = CertifiedKey::from_der(certificates, key, &provider());
    certified.context(UnusableSnafu { path: &files.chain })
}

fn parse_certificates(path: &Path, pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let certificates = parsed.ok().filter(|parsed| !parsed.is_empty());
    certificates.context(NoPemSnafu { path, what: "certificate" })
}

fn parse_roots(path: &Path, pem: &[u8]) -> Result<RootCertStore, KeyError> {
    let mut roots = RootCertStore::empty();
    for certificate in parse_certificates(path, pem)? {
        let added = roots.add(certificate);
        added.map_err(|error| AuthoritySnafu { path, reason: error.to_string() }.build())?;
    }
    Ok(roots)
}

/// Reads the CA certificates in a PEM file.
pub(crate) fn read_roots(path: &Path) -> Result<RootCertStore, KeyError> {
    parse_roots(path, &read_bounded(path)?)
}

/// Reads a file of at most [`MAX_FILE_BYTES`].
fn read_bounded(path: &Path) -> Result<Vec<u8>, KeyError> {
    let file = File::open(path).context(ReadSnafu { path })?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).context(ReadSnafu { path })?;
    ensure!(bytes.len() as u64 <= MAX_FILE_BYTES, TooLargeSnafu { path, limit: MAX_FILE_BYTES });
    Ok(bytes)
}
