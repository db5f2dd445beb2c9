//! Keys of the process's faces; docs/KEYS.md tells how they are made and replaced.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_keys::{KeyError, KeyFiles, TlsKeys};
use coltsfoothook_settings::SecretFile;
use tokio_util::sync::CancellationToken;

use crate::process::EntryError;
use crate::settings::{EntrySettings, KeySettings};

/// How often the files are looked at for new keys.
const WATCH_PERIOD: Duration = Duration::from_secs(5);

/// What the faces need to speak TLS; nothing on loopback without TLS.
#[derive(Default)]
pub(crate) struct EntryKeys {
    pub(crate) peer_server: Option<Arc<rustls::ServerConfig>>,
    pub(crate) peer_client: Option<Arc<rustls::ClientConfig>>,
    face: Option<Arc<TlsKeys>>,
    peer: Option<Arc<TlsKeys>>,
}

impl EntryKeys {
    /// Reads the keys that the settings name.
    pub(crate) fn load(settings: &EntrySettings) -> Result<Self, EntryError> {
        if settings.keys.loopback_without_tls {
            return Ok(Self::default());
        }
        let keys = &settings.keys;
        let face = TlsKeys::load(face_files(keys)).map_err(refused)?;
        let peer = TlsKeys::load(peer_files(keys)).map_err(refused)?;
        Ok(Self {
            peer_server: Some(peer.mutual_server().map_err(refused)?),
            peer_client: Some(peer.mutual_client().map_err(refused)?),
            face: Some(face),
            peer: Some(peer),
        })
    }

    /// TLS towards callers or operators.
    pub(crate) fn face(&self) -> Result<Option<rustls::ServerConfig>, EntryError> {
        self.face.as_ref().map(|keys| keys.server()).transpose().map_err(refused)
    }

    /// Replaces the keys whenever their files change, until `closing`.
    pub(crate) fn watch(&self, closing: &CancellationToken) {
        for keys in [&self.face, &self.peer].into_iter().flatten() {
            let (keys, closing) = (Arc::clone(keys), closing.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = keys.watch(WATCH_PERIOD) => {}
                    () = closing.cancelled() => {}
                }
            });
        }
    }
}

fn refused(error: KeyError) -> EntryError {
    EntryError::Keys { reason: error.to_string() }
}

fn path_of(file: Option<&SecretFile>) -> &Path {
    file.map_or(Path::new(""), SecretFile::path)
}

/// The check of the settings has seen to it that every file is named.
fn face_files(keys: &KeySettings) -> KeyFiles {
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
