//! TLS keys of the process's interfaces; docs/KEYS.md describes how to create and replace them.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_keys::{KeyError, KeyFiles, TlsKeys};
use coltsfoothook_settings::SecretFile;
use tokio_util::sync::CancellationToken;

use crate::process::EntryError;
use crate::settings::{EntrySettings, KeySettings};

/// Interval at which the files are checked for new keys.
const WATCH_INTERVAL: Duration = Duration::from_secs(5);

/// TLS configurations of the interfaces; all `None` on loopback without TLS.
#[derive(Default)]
pub(crate) struct EntryKeys {
    pub(crate) peer_server: Option<Arc<rustls::ServerConfig>>,
    pub(crate) peer_client: Option<Arc<rustls::ClientConfig>>,
    interface: Option<Arc<TlsKeys>>,
    peer: Option<Arc<TlsKeys>>,
}

impl EntryKeys {
    /// Loads the keys named in the settings.
    pub(crate) fn load(settings: &EntrySettings) -> Result<Self, EntryError> {
        if settings.keys.loopback_without_tls {
            return Ok(Self::default());
        }
        let keys = &settings.keys;
        let interface = TlsKeys::load(interface_files(keys)).map_err(key_error)?;
        let peer = TlsKeys::load(peer_files(keys)).map_err(key_error)?;
        Ok(Self {
            peer_server: Some(peer.mutual_server().map_err(key_error)?),
            peer_client: Some(peer.mutual_client().map_err(key_error)?),
            interface: Some(interface),
            peer: Some(peer),
        })
    }

    /// Returns the TLS configuration of the caller and operator interfaces; `None` without TLS.
    pub(crate) fn interface(&self) -> Result<Option<rustls::ServerConfig>, EntryError> {
        self.interface.as_ref().map(|keys| keys.server()).transpose().map_err(key_error)
    }

    /// Starts tasks that reload the keys when their files change, until `closing` is cancelled.
    pub(crate) fn watch(&self, closing: &CancellationToken) {
        for keys in [&self.interface, &self.peer].into_iter().flatten() {
            let (keys, closing) = (Arc::clone(keys), closing.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = keys.watch(WATCH_INTERVAL) => {}
                    () = closing.cancelled() => {}
                }
            });
        }
    }
}

fn key_error(error: KeyError) -> EntryError {
    EntryError::Keys { reason: error.to_string() }
}

fn path_of(file: Option<&SecretFile>) -> &Path {
    file.map_or(Path::new(""), SecretFile::path)
}

/// Returns the files for callers and operators. The check of the settings ensures that all are
/// given.
fn interface_files(keys: &KeySettings) -> KeyFiles {
    KeyFiles {
        chain: keys.face_certificate.clone().unwrap_or_default(),
        key: path_of(keys.face_key.as_ref()).to_owned(),
        authority: None,
    }
}

fn peer_files(keys: &KeySettings) -> KeyFiles {
    KeyFiles {
        chain: keys.peer_certificate.clone().unwrap_or_default(),
        key: path_of(keys.peer_key.as_ref()).to_owned(),
        authority: keys.peer_authority.clone(),
    }
}
