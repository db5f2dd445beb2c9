//! The gateway process of an entry VM on the operators' platform. It forwards callers' requests to backend servers
//! and returns the answers unchanged, and it orders which adapters the servers hold.
//!
//! The decisions are made in `coltsfoothook-decision` (`routing`, `backend`, `order_tracker`,
//! `lease`, `budget`), and the platform's names and formats are defined in
//! `coltsfoothook-platform`. This package connects both to sockets and clocks. docs/PLATFORM.md
//! describes the path of a request.
//!
//! ```no_run
//! # async fn example() -> Result<(), coltsfoothook_gateway::GatewayError> {
//! use coltsfoothook_gateway::{GatewaySettings, run_gateway};
//!
//! let settings = GatewaySettings { vm: "nbo-1".into(), ..GatewaySettings::default() };
//! run_gateway(settings, "gateway.json".as_ref()).await
//! # }
//! ```

mod admit;
mod aggregate;
mod answer;
mod buffer;
mod charge;
mod clock;
mod confirm;
mod crash_records;
mod datagram;
mod estimates;
mod event_scan;
mod face;
mod find;
mod follow;
mod forward;
mod group;
mod hand_over;
mod limit_use;
mod link;
mod links;
mod load_request;
mod message;
mod metrics;
mod operator_records;
mod order;
mod origin_records;
mod origins;
mod outcome;
mod peer;
mod permit;
mod process;
mod record_exchange;
mod record_updates;
mod refusal;
mod relay;
mod resume;
mod room;
mod roster;
mod run;
mod second_send;
mod send;
mod sent;
mod settings;
mod skipped;
mod state;
mod statement;
mod suspects;
mod uses;
mod waits;

#[cfg(test)]
#[path = "../tests/unit/encoded_names.rs"]
mod encoded_names;
#[cfg(test)]
#[path = "../tests/unit/event_scan.rs"]
mod event_scan_forms;
#[cfg(test)]
#[path = "../tests/unit/large_fleet.rs"]
mod large_fleet;
#[cfg(test)]
#[path = "../tests/unit/leaving_servers.rs"]
mod leaving_servers;
#[cfg(test)]
#[path = "../tests/unit/metrics_page.rs"]
mod metrics_page;
#[cfg(test)]
#[path = "../tests/unit/permit_issuers.rs"]
mod permit_issuers;
#[cfg(test)]
#[path = "../tests/unit/queued_datagrams.rs"]
mod queued_datagrams;
#[cfg(test)]
#[path = "../tests/unit/reader_reports.rs"]
mod reader_reports;
#[cfg(test)]
#[path = "../tests/unit/second_send_counts.rs"]
mod second_send_counts;
#[cfg(test)]
#[path = "../tests/unit/stream_holders.rs"]
mod stream_holders;

pub use process::{GatewayError, GatewayProcess, run_gateway};
pub use settings::{
    BufferSettings, CapacitySettings, GatewaySettings, ListenSettings, PromiseSettings,
    SecondSendSettings, StoreSettings,
};
