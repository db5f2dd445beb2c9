//! Certificates and directories for tests and examples. Not for use in deployments.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose, SanType,
};

use crate::files::KeyFiles;

/// A certificate authority (CA) whose key is kept in memory only.
pub struct TestCa {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl TestCa {
    /// Creates a CA with a new key and a self-signed certificate.
    ///
    /// # Panics
    ///
    /// The cryptography library fails.
    #[must_use]
    pub fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).expect("parameters without names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let key = KeyPair::generate().expect("a key");
        Self { issuer: CertifiedIssuer::self_signed(params, key).expect("a certificate") }
    }

    /// Returns the CA's certificate in PEM format.
    #[must_use]
    pub fn pem(&self) -> String {
        self.issuer.pem()
    }

    /// Issues a certificate for the VM `name` and for 127.0.0.1, and writes it, its key and the
    /// CA's certificate to `directory`, replacing earlier files for that name.
    ///
    /// # Panics
    ///
    /// `name` is not a valid DNS name, or a file cannot be written.
    #[must_use]
    pub fn write(&self, directory: &Path, name: &str) -> KeyFiles {
        let mut params = CertificateParams::new(vec![name.to_owned()]).expect("a DNS name");
        params.subject_alt_names.push(SanType::IpAddress(IpAddr::V4(Ipv4Addr::LOCALHOST)));
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, &self.issuer).expect("a certificate");
        KeyFiles {
            chain: write_file(directory, &format!("{name}.crt"), &certificate.pem()),
            key: write_file(directory, &format!("{name}.key"), &key.serialize_pem()),
            authority: Some(write_file(directory, &format!("{name}.ca.crt"), &self.pem())),
        }
    }
}

impl Default for TestCa {
    fn default() -> Self {
        Self::new()
    }
}

/// Writes a file under a temporary name and renames it, so that readers never see part of it.
fn write_file(directory: &Path, name: &str, text: &str) -> PathBuf {
    let path = directory.join(name);
    let temporary = directory.join(format!("{name}.new"));
    let mut file = std::fs::File::create(&temporary).expect("a file");
    file.write_all(text.as_bytes()).expect("a written file");
    std::fs::rename(&temporary, &path).expect("a renamed file");
    path
}

/// A temporary directory that is removed on drop.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Creates the directory. Its name contains `test` and the process id, so `test` must be unique
    /// within the process.
    ///
    /// # Panics
    ///
    /// The directory cannot be created.
    #[must_use]
    pub fn new(test: &str) -> Self {
        let name = format!("coltsfoothook-{test}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    /// Returns the path, which is inside the system's temporary directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
