//! The process on an entry VM.
//!
//! This package connects the state machines of `coltsfoothook_decision`, which take the decisions,
//! to the interfaces and clients, which are packages of their own. See docs/DESIGN.md.
//!
//! ```no_run
//! # async fn example() -> Result<(), coltsfoothook_entry::EntryError> {
//! use coltsfoothook_entry::{EntryProcess, EntrySettings};
//!
//! let settings = EntrySettings { vm: "vm-1".into(), ..Default::default() };
//! let process = EntryProcess::start(settings).await?;
//! println!("callers reach this VM at {}", process.addresses().caller);
//! process.shut_down().await;
//! # Ok(()) }
//! ```

mod admit;
mod answer;
mod claims;
mod clock;
mod core;
mod faces;
mod follow;
mod gate;
mod health;
mod held;
mod hold;
mod jobs;
mod limits;
mod measure;
mod operate;
mod own;
mod peers;
mod process;
mod release;
mod reserve;
mod restored;
mod roster;
mod serve;
mod services;
mod settings;
mod snapshots;
mod stated;
mod stream;
mod tls;
mod trace;
mod view;
mod watch;
mod write;

pub use process::{EntryAddresses, EntryError, EntryProcess};
pub use settings::{
    CallerInterfaceSettings, EntrySettings, KeySettings, PeerInterfaceSettings, operator_settings,
};
