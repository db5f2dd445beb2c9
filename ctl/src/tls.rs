//! TLS towards entry VMs.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use rustls::{ClientConfig, RootCertStore};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, ServerName};
use tokio_rustls::TlsConnector;

use crate::error::CtlError;

/// Connects with TLS, trusting the authorities of one file alone.
pub(crate) struct TlsClient {
    connector: TlsConnector,
    server_name: Option<ServerName<'static>>,
}

impl TlsClient {
    pub(crate) fn load(ca_file: &Path, server_name: Option<&str>) -> Result<Self, CtlError> {
        let unusable = |reason: String| {
            CtlError::usage(format!("{}: no certificates to trust: {reason}", ca_file.display()))
        };
        let mut roots = RootCertStore::empty();
        let certificates = CertificateDer::pem_file_iter(ca_file);
        for certificate in certificates.map_err(|error| unusable(error.to_string()))? {
            let certificate = certificate.map_err(|error| unusable(error.to_string()))?;
            roots.add(certificate).map_err(|error| unusable(error.to_string()))?;
        }
        if roots.is_empty() {
            return Err(unusable("the file holds none".to_owned()));
        }
        let provider = Arc::new(rustls::crypto::aws_lc_rs::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| unusable(error.to_string()))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        let server_name = match server_name {
            None => None,
            Some(name) => Some(ServerName::try_from(name.to_owned()).map_err(|_| {
                CtlError::usage(format!("{name:?} is no name that a certificate can have"))
            })?),
        };
        Ok(Self { connector: TlsConnector::from(Arc::new(config)), server_name })
    }

    /// The name that the certificate at `address` must have.
    pub(crate) fn name(&self, address: SocketAddr) -> ServerName<'static> {
        self.server_name.clone().unwrap_or_else(|| ServerName::IpAddress(address.ip().into()))
    }

    pub(crate) fn connector(&self) -> &TlsConnector {
        &self.connector
    }
}
