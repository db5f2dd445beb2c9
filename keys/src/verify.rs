//! Verification of other VMs' certificates against a replaceable set of CAs.

use std::sync::{Arc, PoisonError, RwLock};

use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{DigitallySignedStruct, DistinguishedName, Error, SignatureScheme};
use rustls_pki_types::{CertificateDer, ServerName, UnixTime};

/// The TLS library's verifiers for the current CAs.
#[derive(Clone, Debug)]
pub(crate) struct CurrentVerifiers {
    /// Verifies client certificates.
    pub(crate) client: Arc<dyn ClientCertVerifier>,
    /// Verifies server certificates.
    pub(crate) server: Arc<WebPkiServerVerifier>,
}

/// Delegates every check to the current verifiers. A TLS configuration holds one verifier for its
/// whole lifetime; delegating lets the CAs be replaced meanwhile.
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
    /// Returns no hints: a list borrowed from `self` could not be replaced with the CAs, and
    /// clients do not need one, because each VM has a single certificate to present.
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
