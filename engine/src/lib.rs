//! Client of model engines: runs, orders, reports, streams and KV cache.
//!
//! [`RunError`] states the stage at which a run failed: a request is known not to have run only if no
//! byte of it was sent or the engine refused it. [`OrderError`] likewise separates orders that had no
//! effect from those whose effect is unknown.
//!
//! ```no_run
//! # async fn example() -> Result<(), coltsfoothook_engine::RunError> {
//! use coltsfoothook_engine::{EngineClient, EngineSettings, HttpEngine, RunCall, RunPath};
//!
//! let engine = HttpEngine::new(EngineSettings::default());
//! let address = "127.0.0.1:9000".parse().unwrap();
//! let call = RunCall {
//!     path: RunPath::Completions,
//!     body: r#"{"model":"alarms@v3#1.7","prompt":"chiller 4"}"#.into(),
//!     id: "r-1".into(),
//!     ..Default::default()
//! };
//! let answer = engine.run(address, call).await?;
//! println!("{}", answer.status);
//! # Ok(()) }
//! ```

mod client;
mod error;
mod http_engine;
mod wire;

pub use client::{EngineClient, EngineOrder, RunAnswer, RunCall, RunPath};
pub use error::{OrderError, RunError};
pub use http_engine::{EngineSettings, FENCING_HEADER, HttpEngine, REQUEST_ID_HEADER};
pub use wire::{
    CacheEvent, CacheEventKind, CacheEventPage, EngineRole, KvExport, LoadOrder, RoleOrder,
    UnloadOrder,
};
