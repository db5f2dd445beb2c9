//! Log events and metrics, shared by all processes.
//!
//! A log line is one event in key=value pairs. The first keys are `ts`, `level`, `at` (the VM or process
//! that wrote the line; absent until [`name_process`] is called) and `event`. The names of events are
//! declared in one table, [`EventName`], from which docs/METRICS.md is generated.
//!
//! ```
//! use coltsfoothook_telemetry::event;
//!
//! let server = Some("engine-3");
//! event!(RequestDone, request_id = "r-17", tenant = "wanjiru", outcome = "done", server ?= server);
//! ```
//!
//! Metrics are the families of a [`MetricSet`]. The number of time series is bounded: labels are
//! enumerations, except for tenants, of which only a limited number have their own series (see
//! [`MetricSettings`]), and no label names an adapter, of which there are tens of thousands.
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
pub use process::{ProcessUsage, process_usage};
pub use reference::metrics_page;

#[doc(hidden)]
pub use log;
