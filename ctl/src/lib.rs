//! The operators' program, as a function of its arguments.
//!
//! [`run`] does what `coltsfoothook-ctl` does and writes to streams that it is given, so that tests
//! and pipelines in one process see what an operator would see. The exit codes are those of
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
