//! Keys of the process's faces.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::process::EntryError;
use crate::settings::EntrySettings;

/// What the faces need to speak TLS; all none on loopback without TLS.
#[derive(Default)]
pub(crate) struct EntryKeys {
    pub(crate) face: Option<rustls::ServerConfig>,
    pub(crate) peer_server: Option<Arc<rustls::ServerConfig>>,
    pub(crate) peer_client: Option<Arc<rustls::ClientConfig>>,
}

impl EntryKeys {
    pub(crate) fn load(_settings: &EntrySettings) -> Result<Self, EntryError> {
        Ok(Self::default())
    }

    pub(crate) fn watch(&self, _closing: CancellationToken) {}
}
