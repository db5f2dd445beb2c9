//! Every decision of coltsfoothook, as pure state machines.
//!
//! Nothing here reads a clock, does I/O, knows a runtime or takes a lock: an event, the time and a
//! seeded generator go in, actions come out. The same code runs under HTTP in the entry process, in
//! the long randomised tests and in the benchmarks. docs/DESIGN.md tells how the parts fit.

mod adapter;
mod derive;
mod fleet;
mod load;
mod order;
mod place;
mod queue;

pub mod check;
pub mod delta;
pub mod grant;
pub mod id;
pub mod invariant;
pub mod manifest;
pub mod member;
pub mod message;
pub mod outcome;
pub mod owner;
pub mod record;
pub mod report;
pub mod route;
pub mod slot;
pub mod suspect;

pub use adapter::{AdapterIndex, SlotChoice};
pub use place::PlaceQuery;
