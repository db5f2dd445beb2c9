//! What a model engine says of itself.

use crate::id::{ServerIncarnation, SlotName};
use crate::value;

value! {
    /// An engine's report. Reports lag behind the engine, so the owner compares their sequence
    /// with the orders it sent and ignores those of an earlier life.
    #[derive(Default)]
    pub struct EngineReport {
        /// The life of the engine's process.
        pub incarnation: ServerIncarnation,
        /// Grows with each report of one life; an older one that comes late is ignored.
        pub sequence: u64,
        /// Requests in the batch.
        pub running: u32,
        /// Requests that wait at the engine for a place in the batch.
        pub waiting: u32,
        /// The slots that are loaded, in any order.
        pub slots: Vec<SlotReport>,
    }

    /// A loaded slot.
    pub struct SlotReport {
        /// Its name at the engine.
        pub slot: SlotName,
        /// Requests that use it now.
        pub running: u32,
    }
}
