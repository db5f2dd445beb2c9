//! Logs and metrics, the same in every process.
//!
//! A log line is one event: key=value pairs, of which `ts`, `level`, `at` (the
//! VM or process that wrote it) and `event` always stand first.
//! The names of all events stand in one table, [`EventName`], so that none is spelled in two ways and
//! docs/METRICS.md lists them all.
//!
//! ```
//! use coltsfoothook_telemetry::event;
//!
//! let server = Some("engine-3");
//! event!(RequestDone, request_id = "r-17", tenant = "wanjiru", outcome = "done", server ?= server);
//! ```
//!
//! Metrics are the families of a [`MetricSet`]. Labels are enumerations, except for tenants, of which
//! a set tells only so many apart (see [`MetricSettings`]), and there are none for adapters; so the
//! number of time series does not grow with the tens of thousands of adapters.
//!
//! ```
//! use coltsfoothook_decision::outcome::RequestClass;
//! use coltsfoothook_telemetry::{MetricSet, MetricSettings};
//!
//! let metrics = MetricSet::new(&MetricSettings::default());
//! let request = metrics.request("wanjiru", RequestClass::Urgent);
//! request.first_token(0.12);
//! assert!(metrics.text().contains("coltsfoothook_first_token_seconds"));
//! ```

mod event;
mod family;
mod label;
mod logging;
mod metric;
mod process;
mod reference;
mod writer;

#[doc(hidden)]
pub use event::EVENT_TARGET;
pub use event::{EventLevel, EventName, LogEvent};
pub use label::{
    AppendResult, ClaimResult, EvictionReason, LoadResult, OrderKind, OrderResult, PublishResult,
    RetryReason, SlotState, StreamName, TrafficKind,
};
pub use logging::{LogError, LogLevel, LogOutput, LogSettings, name_process, start_logs};
pub use metric::{MetricSet, MetricSettings, RequestMetrics};
pub use process::{ProcessFigures, process_figures};
pub use reference::metrics_page;

#[doc(hidden)]
pub use log;
