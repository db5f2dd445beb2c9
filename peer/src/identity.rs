//! Identity of the VM at the other end of a connection.

use std::sync::Mutex;

use coltsfoothook_decision::id::VmName;
use rustls::client::verify_server_name;
use rustls::server::ParsedCertificate;
use rustls_pki_types::{CertificateDer, ServerName};

/// The identity that the peer proved in the TLS handshake.
pub(crate) struct PeerIdentity {
    /// The verified certificate. `None` on a connection without TLS, where every claimed name is
    /// accepted.
    certificate: Option<CertificateDer<'static>>,
    /// The first claimed name that matched the certificate, cached to parse the certificate once
    /// per connection.
    verified_name: Mutex<Option<VmName>>,
}

impl PeerIdentity {
    pub(crate) fn new(certificate: Option<CertificateDer<'static>>) -> Self {
        Self { certificate, verified_name: Mutex::new(None) }
    }

    /// Returns whether the peer is the VM `claimed`.
    pub(crate) fn is(&self, claimed: &VmName) -> bool {
        let Some(certificate) = &self.certificate else { return true };
        let mut verified_name =
            self.verified_name.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(name) = verified_name.as_ref() {
            return name == claimed;
        }
        let matches = names_vm(certificate, claimed);
        if matches {
            *verified_name = Some(claimed.clone());
        }
        matches
    }
}

/// Returns whether the certificate was issued for the VM `claimed`.
///
/// DNS names are case-insensitive and VM names are not, so one certificate would match several VM
/// names. Names with ASCII uppercase letters are therefore rejected.
fn names_vm(certificate: &CertificateDer<'_>, claimed: &VmName) -> bool {
    let text = claimed.as_str();
    if text.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return false;
    }
    let Ok(name) = ServerName::try_from(text) else { return false };
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else { return false };
    verify_server_name(&parsed, &name).is_ok()
}
