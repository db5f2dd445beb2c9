//! Certificates for tests, the demonstration and the load tool; never for a deployment.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose, SanType,
};

use crate::files::KeyFiles;

/// An authority that lives in memory.
pub struct TestAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl TestAuthority {
    /// Makes an authority with a fresh key.
    ///
    /// # Panics
    ///
    /// The cryptography library fails, which no test goes on from.
    #[must_use]
    pub fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).expect("no names to be wrong");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let key = KeyPair::generate().expect("a key");
        Self { issuer: CertifiedIssuer::self_signed(params, key).expect("a certificate") }
    }

    /// The authority's certificate in PEM form.
    #[must_use]
    pub fn pem(&self) -> String {
        self.issuer.pem()
    }

    /// Writes the files of a VM of the given name into a directory; 127.0.0.1 is in the certificate.
    ///
    /// # Panics
    ///
    /// The name cannot stand in a certificate, or the directory cannot be written.
    #[must_use]
    pub fn write(&self, directory: &Path, name: &str) -> KeyFiles {
        let mut params = CertificateParams::new(vec![name.to_owned()]).expect("a DNS name");
        params.subject_alt_names.push(SanType::IpAddress(IpAddr::V4(Ipv4Addr::LOCALHOST)));
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, &self.issuer).expect("a certificate");
        KeyFiles {
            chain: put(directory, &format!("{name}.crt"), &certificate.pem()),
            key: put(directory, &format!("{name}.key"), &key.serialize_pem()),
            authority: Some(put(directory, &format!("{name}.ca.crt"), &self.pem())),
        }
    }
}

impl Default for TestAuthority {
    fn default() -> Self {
        Self::new()
    }
}

/// Writes a file whole before it gets its name, as a deployment should.
fn put(directory: &Path, name: &str, text: &str) -> PathBuf {
    let path = directory.join(name);
    let fresh = directory.join(format!("{name}.new"));
    let mut file = std::fs::File::create(&fresh).expect("a file");
    file.write_all(text.as_bytes()).expect("a written file");
    std::fs::rename(&fresh, &path).expect("a renamed file");
    path
}

/// A directory that is removed at the end of a test.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Makes an empty directory of its own for the named test.
    ///
    /// # Panics
    ///
    /// The directory cannot be made.
    #[must_use]
    pub fn new(test: &str) -> Self {
        let name = format!("coltsfoothook-{test}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    /// Where it is.
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
