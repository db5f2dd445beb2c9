//! Stand-in servers for the external components of the system: a model engine, a plain service, the
//! platform's log with its list of VMs, and a weight store.
//!
//! Each stand-in is a library type that runs as tasks on a loopback port, so that tests and the
//! demonstration can host them in one process; the binaries run the same code. Each has faults that
//! can be replaced while it runs, by its handle or by `POST /standin/faults`. They carry out wrong
//! orders and count them instead of guarding against them. docs/STANDINS.md describes them.
//!
//! ```no_run
//! # async fn example() -> std::io::Result<()> {
//! use coltsfoothook_standin::{EngineServerSettings, start_engine};
//!
//! let settings = EngineServerSettings { adapter_slots: 4, ..Default::default() };
//! let engine = start_engine(settings).await?;
//! println!("listening on {}", engine.address());
//! engine.shutdown().await;
//! # Ok(()) }
//! ```

mod answer;
mod batch;
mod command;
mod count;
mod engine;
mod event;
mod fault;
mod metric;
mod orders;
mod platform;
mod prefix;
mod reply;
mod runs;
mod server;
mod service;
mod statement;
mod store;
mod streams;
mod tally;
mod vms;

pub use answer::{AnswerError, ParsedAnswer, answer_text, prompt_hash, read_answer};
pub use command::{ListenSettings, run_standin};
pub use count::EngineCounters;
pub use engine::{
    EngineFaults, EngineHandle, EngineServerSettings, LoadFault, RunCut, start_engine,
};
pub use platform::{
    OutageKind, PlatformCounters, PlatformFaults, PlatformHandle, PlatformServerSettings,
    start_platform,
};
pub use service::{
    MadeTicket, ServiceCounters, ServiceFaults, ServiceHandle, ServiceServerSettings, start_service,
};
pub use statement::StatementFaults;
pub use store::{StoreCounters, StoreFaults, StoreHandle, StoreServerSettings, start_store};
pub use tally::TallyEntry;
pub use vms::VmChange;
