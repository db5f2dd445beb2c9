//! The decision logic of coltsfoothook, as pure state machines.
//!
//! State machines here read no clock, do no I/O, use no async runtime and take no locks: they take
//! an event, the time and a seeded random generator, and return actions. The same code runs in the
//! entry process, the randomised soak tests and the benchmarks. docs/DESIGN.md describes how the
//! parts fit together.
//!
//! ```
//! use coltsfoothook_decision::id::{OwnerEpoch, TimePoint};
//! use coltsfoothook_decision::owner::{
//!     GroupOwner, GroupTopology, OwnerAction, OwnerEvent, OwnerSettings,
//! };
//! use rand_pcg::{Pcg64, rand_core::SeedableRng};
//!
//! let mut random = Pcg64::seed_from_u64(1);
//! let topology = GroupTopology { group: "nbo/base/000".into(), ..Default::default() };
//! let (start, later) = (TimePoint(0), TimePoint(50_000));
//! let mut owner = GroupOwner::new(OwnerSettings::default(), topology, OwnerEpoch(1), start);
//! let mut actions: Vec<OwnerAction> = Vec::new();
//! owner.handle(later, OwnerEvent::Tick, &mut random, &mut actions);
//! assert!(actions.is_empty(), "there is nothing to do for a group without engines");
//! ```

mod derive;

mod adapter;
pub mod admission;
pub mod aggregator;
pub mod attempt;
pub mod backend;
mod begun_trial;
mod blame;
pub(crate) mod bucket;
pub mod budget;
pub mod buffer;
pub mod check;
pub mod choice;
pub mod claim;
pub mod config;
pub mod control;
pub mod counts;
pub mod coverage;
pub mod crash;
mod crash_report;
pub mod credential;
pub mod customer;
pub mod delta;
pub mod difference;
mod digest;
pub mod domain_update;
pub mod era;
pub mod estimate;
mod event;
mod fleet;
mod follow;
pub mod freshness;
pub mod grant;
pub mod holding;
pub mod id;
pub mod invariant;
pub mod issuer;
pub mod job;
pub mod lease;
pub mod limit;
pub mod links;
mod load;
pub mod loadtime;
pub mod long_poll;
pub mod manifest;
pub mod member;
pub mod message;
pub mod named_version;
mod order;
pub mod order_tracker;
pub mod origin;
pub mod outcome;
pub mod owner;
pub mod permit;
mod placement;
mod plan;
pub mod prefill;
mod published;
mod queue;
pub mod record;
pub mod report;
pub(crate) mod rest;
pub mod retry;
pub mod room;
pub mod room_issuer;
mod room_window;
pub mod route;
pub mod route_check;
pub mod routing;
mod row;
pub mod second_send;
pub mod server_limit;
pub mod slot;
pub mod snapshot;
pub mod speed;
pub mod stated_servers;
pub mod statement;
pub mod subject;
pub mod suspect;
pub mod takeover;
mod topology;
mod trial;
pub mod usage;
