//! Reading key files.

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

/// The largest file that is read.
const FILE_BYTES: u64 = 1024 * 1024;

/// The files of a VM's key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyFiles {
    /// The certificate and those between it and the authority, in PEM form.
    pub chain: PathBuf,
    /// The private key, in PEM form.
    pub key: PathBuf,
    /// The authorities whose certificates other VMs must have, in PEM form; needed between VMs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub authority: Option<PathBuf>,
}

/// The contents of the files.
pub(crate) struct LoadedKeys {
    pub(crate) certified: Arc<CertifiedKey>,
    pub(crate) roots: Option<Arc<RootCertStore>>,
    /// A hash of the files' bytes, which tells whether they changed. Times of files do not: a link
    /// may be moved to files that were written long ago.
    pub(crate) digest: [u8; 32],
}

/// The cryptography that all of the project's TLS uses, so that no process-wide choice is needed.
pub(crate) fn provider() -> Arc<CryptoProvider> {
    Arc::new(aws_lc_rs::default_provider())
}

impl LoadedKeys {
    /// Reads all files, and checks that the key is the certificate's.
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
        let certified = Arc::new(certify(files, &chain, &key)?);
        Ok(Self { certified, roots, digest: hasher.finalize().into() })
    }
}

fn certify(files: &KeyFiles, chain: &[u8], key: &[u8]) -> Result<CertifiedKey, KeyError> {
    let certificates = parse_certificates(&files.chain, chain)?;
    let what = "private key";
    let key = PrivateKeyDer::from_pem_slice(key).ok();
    let key = key.context(NoPemSnafu { path: &files.key, what })?;
    let certified = CertifiedKey::from_der(certificates, key, &provider());
    certified.context(UnusableSnafu { path: &files.chain })
}

fn parse_certificates(path: &Path, pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let certificates = parsed.ok().filter(|found| !found.is_empty());
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

/// Reads a file of authorities.
pub(crate) fn read_roots(path: &Path) -> Result<RootCertStore, KeyError> {
    parse_roots(path, &read_bounded(path)?)
}

/// Reads a file within the bound.
fn read_bounded(path: &Path) -> Result<Vec<u8>, KeyError> {
    let file = File::open(path).context(ReadSnafu { path })?;
    let mut bytes = Vec::new();
    file.take(FILE_BYTES + 1).read_to_end(&mut bytes).context(ReadSnafu { path })?;
    ensure!(bytes.len() as u64 <= FILE_BYTES, TooLargeSnafu { path, most: FILE_BYTES });
    Ok(bytes)
}
