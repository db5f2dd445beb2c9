//! TLS keys that can be replaced without a restart.
//!
//! Certificates, private keys and trusted certificate authorities (CAs) are read from files named
//! in the settings. Every configuration made by [`TlsKeys`] uses the current certificate and CAs at
//! each handshake. docs/KEYS.md describes how to create, install and replace the files.
//!
//! ```no_run
//! # use std::time::Duration;
//! # use coltsfoothook_keys::{KeyFiles, TlsKeys};
//! # async fn run() -> Result<(), coltsfoothook_keys::KeyError> {
//! let files = KeyFiles {
//!     chain: "/run/keys/vm.crt".into(),
//!     key: "/run/keys/vm.key".into(),
//!     authority: Some("/run/keys/ca.crt".into()),
//! };
//! let keys = TlsKeys::load(files)?;
//! let for_callers = keys.server()?;
//! let between_vms = (keys.mutual_server()?, keys.mutual_client()?);
//! tokio::spawn(keys.watch(Duration::from_secs(5)));
//! # drop((for_callers, between_vms));
//! # Ok(())
//! # }
//! ```

mod config;
mod error;
mod files;
#[cfg(feature = "testing")]
pub mod testing;
mod verify;

pub use config::{TlsKeys, client_config};
pub use error::KeyError;
pub use files::KeyFiles;
