//! Who is at the other end of a connection.

use std::sync::Mutex;

use coltsfoothook_decision::id::VmName;
use rustls::client::verify_server_name;
use rustls::server::ParsedCertificate;
use rustls_pki_types::{CertificateDer, ServerName};

/// The identity that the other end has proved.
pub(crate) struct PeerIdentity {
    /// The verified certificate; none on a connection without TLS, where names are believed.
    certificate: Option<CertificateDer<'static>>,
    /// The name that was found to be the certificate's, so that it is parsed once a connection.
    proved: Mutex<Option<VmName>>,
}

impl PeerIdentity {
    pub(crate) fn new(certificate: Option<CertificateDer<'static>>) -> Self {
        Self { certificate, proved: Mutex::new(None) }
    }

    /// Whether the other end is the named VM.
    pub(crate) fn is(&self, claimed: &VmName) -> bool {
        let Some(certificate) = &self.certificate else { return true };
        let mut proved = self.proved.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(name) = proved.as_ref() {
            return name == claimed;
        }
        let matches = names_vm(certificate, claimed);
        if matches {
            *proved = Some(claimed.clone());
        }
        matches
    }
}

/// Whether the certificate is that of the named VM.
///
/// DNS names match whatever the case, but VM names are told apart by it, so a name with capitals
/// could stand for two VMs and is refused.
fn names_vm(certificate: &CertificateDer<'_>, claimed: &VmName) -> bool {
    let text = claimed.as_str();
    if text.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return false;
    }
    let Ok(name) = ServerName::try_from(text) else { return false };
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else { return false };
    verify_server_name(&parsed, &name).is_ok()
}
