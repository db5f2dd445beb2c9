//! TLS connections to entry VMs.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use coltsfoothook_keys::client_config;
use rustls_pki_types::ServerName;
use tokio_rustls::TlsConnector;

use crate::error::CtlError;

/// TLS client that trusts only the certificate authorities of one file.
pub(crate) struct TlsClient {
    connector: TlsConnector,
    server_name: Option<ServerName<'static>>,
}

impl TlsClient {
    pub(crate) fn load(ca_file: &Path, server_name: Option<&str>) -> Result<Self, CtlError> {
        let config = client_config(ca_file)?;
        let server_name = match server_name {
            None => None,
            Some(name) => Some(ServerName::try_from(name.to_owned()).map_err(|_| {
                CtlError::usage(format!("{name:?} is not a valid server name for a certificate"))
            })?),
        };
        Ok(Self { connector: TlsConnector::from(Arc::new(config)), server_name })
    }

    /// Returns the name that the certificate of the VM at `address` must carry: the configured
    /// server name, else the IP address.
    pub(crate) fn name(&self, address: SocketAddr) -> ServerName<'static> {
        self.server_name.clone().unwrap_or_else(|| ServerName::IpAddress(address.ip().into()))
    }

    pub(crate) fn connector(&self) -> &TlsConnector {
        &self.connector
    }
}
