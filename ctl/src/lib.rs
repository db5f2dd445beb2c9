//! The operators' command line program as a library.
//!
//! [`run`] executes one `coltsfoothook-ctl` command and writes to the buffers of [`CtlStreams`], so
//! that tests can run commands in their own process. It returns one of the exit codes of
//! [`CtlExit`]; docs/OPERATORS.md lists them with the commands.
//!
//! ```
//! let mut streams = coltsfoothook_ctl::CtlStreams::default();
//! let exit = coltsfoothook_ctl::run(&["check", "no/such/file.json"], &mut streams);
//! assert_eq!(exit, coltsfoothook_ctl::CtlExit::Usage);
//! assert!(streams.err.contains("no/such/file.json"));
//! ```

mod arguments;
mod client;
mod command;
mod configuration;
mod diff;
mod document;
mod error;
mod logline;
mod losses;
mod publish;
mod report;
mod settings;
mod show;
mod table;
mod tls;
mod trace;

pub use command::{CtlStreams, run};
pub use error::CtlExit;
pub use settings::CtlSettings;
