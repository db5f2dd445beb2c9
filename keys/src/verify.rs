//! Checking other VMs' certificates against authorities that can be replaced.

use std::sync::{Arc, PoisonError, RwLock};

use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{DigitallySignedStruct, DistinguishedName, Error, SignatureScheme};
use rustls_pki_types::{CertificateDer, ServerName, UnixTime};

/// The TLS library's own verifiers for the authorities in force.
#[derive(Clone, Debug)]
pub(crate) struct CurrentVerifiers {
    pub(crate) client: Arc<dyn ClientCertVerifier>,
    pub(crate) server: Arc<WebPkiServerVerifier>,
}

/// Passes every check on to the verifiers in force. It decides nothing itself: the library asks for
/// one verifier for the life of a configuration, and authorities must be replaceable within it.
#[derive(Debug)]
pub(crate) struct PeerVerifier {
    current: RwLock<CurrentVerifiers>,
}

impl PeerVerifier {
    pub(crate) fn new(verifiers: CurrentVerifiers) -> Self {
        Self { current: RwLock::new(verifiers) }
    }

    pub(crate) fn replace(&self, verifiers: CurrentVerifiers) {
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = verifiers;
    }

    fn current(&self) -> CurrentVerifiers {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl ClientCertVerifier for PeerVerifier {
    /// No hints: they would have to outlive a replacement, and VMs have one certificate anyway.
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.current().client.verify_client_cert(end_entity, intermediates, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.current().client.verify_tls12_signature(message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.current().client.verify_tls13_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.current().client.supported_verify_schemes()
    }
}

impl ServerCertVerifier for PeerVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        server_name: &ServerName<'_>,
        ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        let server = self.current().server;
        server.verify_server_cert(end_entity, intermediates, server_name, ocsp_response, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.current().server.verify_tls12_signature(message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.current().server.verify_tls13_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.current().server.supported_verify_schemes()
    }
}
