//! The HTTP interface for callers: OpenAI-compatible completions, calls to plain services, audit
//! jobs, and the list of entry VMs to use.
//!
//! This package parses and checks requests, and writes responses and problem documents. The entry
//! process serves the requests by implementing [`CallHandler`]. docs/CALLERS.md describes headers,
//! outcomes and reasons for callers.
//!
//! ```no_run
//! # use std::sync::Arc;
//! # use coltsfoothook_caller::{CallHandler, CallerServer, CallerSettings};
//! # async fn run(handler: Arc<dyn CallHandler>) -> Result<(), coltsfoothook_caller::StartError> {
//! let settings = CallerSettings { body_bytes: 256 * 1024, ..Default::default() };
//! let server = CallerServer::start(settings, handler, None)?;
//! println!("listening for callers at {}", server.address());
//! server.close().await;
//! # Ok(())
//! # }
//! ```

mod answer;
mod body;
mod handler;
mod header;
mod interface;
mod payload;
mod problem;
mod route;
mod server;
mod settings;

pub use body::{CompletionBody, parse_completion};
pub use handler::{
    AnswerBody, AnswerStream, CallHandler, CompletionAnswer, CompletionCall, CompletionKind,
    EntriesAnswer, EntryAddress, HealthAnswer, JobCall, JobResult, JobState, JobStatus,
    ModelChoice, ModelInfo, ModelPage, ModelQuery, ServiceAnswer, ServiceCall,
};
pub use problem::{CallProblem, InterfaceReason, ProblemReason, ProblemRow, problem_row};
pub use server::{CallerServer, StartError};
pub use settings::CallerSettings;
