//! Calls between entry VMs: tarpc over TCP with named-field MessagePack and mutual TLS.
//!
//! [`PeerServer`] passes calls of other VMs to the [`PeerHandler`] that the entry process
//! implements. [`PeerPool`] keeps one connection to each VM that this one calls. [`PeerSettings`]
//! and docs/KEYS.md, "Between entry VMs", describe the frames and the compatibility between
//! releases.
//!
//! ```no_run
//! # use std::{sync::Arc, time::Duration};
//! # use coltsfoothook_peer::{PeerHandler, PeerPool, PeerServer, PeerSettings, PeerTarget};
//! # async fn run(handler: Arc<dyn PeerHandler>) -> Result<(), Box<dyn std::error::Error>> {
//! let settings = PeerSettings { plaintext: true, ..Default::default() };
//! let server = PeerServer::start(settings.clone(), handler, None)?;
//! let pool = PeerPool::new(settings, None)?;
//! let target = PeerTarget { vm: "nbo-1".into(), address: server.address() };
//! let status = pool.status(&target, Duration::from_secs(1)).await?;
//! println!("{} has configuration {}", status.vm.vm, status.config);
//! # Ok(())
//! # }
//! ```

mod handler;
mod identity;
mod pool;
mod server;
mod service;
mod settings;
mod wire;

#[cfg(test)]
#[path = "../tests/unit/encoded_names.rs"]
mod encoded_names;

pub use handler::PeerHandler;
pub use pool::{PeerError, PeerPool, PeerTarget};
pub use server::PeerServer;
pub use service::{FaultReason, PeerFault};
pub use settings::{PeerCounters, PeerSettings, SetupError, TrafficCount};
