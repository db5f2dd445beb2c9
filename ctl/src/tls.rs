//! TLS towards entry VMs.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use coltsfoothook_keys::trusting_client;
use rustls_pki_types::ServerName;
use tokio_rustls::TlsConnector;

use crate::error::CtlError;

/// Connects with TLS, trusting the authorities of one file alone.
pub(crate) struct TlsClient {
    connector: TlsConnector,
    server_name: Option<ServerName<'static>>,
}

impl TlsClient {
    pub(crate) fn load(ca_file: &Path, server_name: Option<&str>) -> Result<Self, CtlError> {
        let config = trusting_client(ca_file)?;
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
