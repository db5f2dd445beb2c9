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
mod charge;
mod clock;
mod confirm;
mod event_scan;
mod face;
mod find;
mod follow;
mod forward;
mod group;
mod link;
mod message;
mod metrics;
mod news;
mod order;
mod outcome;
mod peer;
mod process;
mod refusal;
mod relay;
mod roster;
mod run;
mod send;
mod sent;
mod settings;
mod share;
mod skipped;
mod state;
mod uses;
mod waits;
mod wish;

#[cfg(test)]
#[path = "../tests/unit/aggregator_turns.rs"]
mod aggregator_turns;
#[cfg(test)]
#[path = "../tests/unit/encoded_names.rs"]
mod encoded_names;
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
#[path = "../tests/unit/told_records.rs"]
mod told_records;
#[cfg(test)]
#[path = "../tests/unit/waiting_datagrams.rs"]
mod waiting_datagrams;

pub use process::{GatewayError, GatewayProcess, run_gateway};
pub use settings::{
    CapacitySettings, GatewaySettings, ListenSettings, PromiseSettings, StoreSettings,
};
