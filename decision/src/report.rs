//! State reports of model engines.

use crate::id::{ServerIncarnation, SlotName};
use crate::value;

value! {
    /// Report of an engine about itself. Reports lag behind the engine, so the owner compares their
    /// sequence with the orders that it sent and ignores those of an earlier incarnation.
    #[derive(Default)]
    pub struct EngineReport {
        /// The incarnation of the engine's process.
        pub incarnation: ServerIncarnation,
        /// Grows with each report of an incarnation; a report that arrives out of order is ignored.
        pub sequence: u64,
        /// Requests in the current batch.
        pub running: u32,
        /// Requests queued at the engine for room in the batch.
        pub waiting: u32,
        /// The loaded slots, in any order.
        pub slots: Vec<SlotReport>,
        /// Whether the engine leaves. Engines of earlier releases do not report it.
        #[serde(default)]
        pub leaving: bool,
    }

    /// State of a loaded slot.
    pub struct SlotReport {
        /// The slot's name at the engine.
        pub slot: SlotName,
        /// Requests that currently use it.
        pub running: u32,
    }
}
