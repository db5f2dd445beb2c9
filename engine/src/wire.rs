//! Messages exchanged with an engine, except for runs and load reports.

use coltsfoothook_decision::id::{OwnerEpoch, SlotName};
use coltsfoothook_decision::value;

value! {
    /// Order to load an adapter version.
    #[derive(Eq)]
    pub struct LoadOrder {
        /// Model name under which runs will address the adapter version.
        pub slot: SlotName,
        /// Location of the weights, sent to the engine as `lora_path`.
        pub weights: String,
        /// Epoch of the owner that sends the order. An engine that checks fencing numbers refuses
        /// an epoch lower than the highest it has received.
        pub fencing: OwnerEpoch,
    }

    /// Order to unload a slot.
    #[derive(Eq)]
    pub struct UnloadOrder {
        /// Name given in the [`LoadOrder`].
        pub slot: SlotName,
        /// Epoch of the owner that sends the order. An engine that checks fencing numbers refuses
        /// an epoch lower than the highest it has received.
        pub fencing: OwnerEpoch,
    }

    /// Order to change an engine's role.
    #[derive(Copy, Eq)]
    pub struct RoleOrder {
        /// The new role.
        pub role: EngineRole,
        /// Epoch of the owner that sends the order. An engine that checks fencing numbers refuses
        /// an epoch lower than the highest it has received.
        pub fencing: OwnerEpoch,
    }

    /// Part of a run that an engine executes.
    #[derive(Copy, Eq, Default)]
    pub enum EngineRole {
        /// Both prefill and decode.
        #[default]
        Mixed,
        /// Prompt processing only; the KV cache is then exported.
        Prefill,
        /// Token generation only, from an imported KV cache.
        Decode,
    }

    /// Description of a run's KV cache for the engine that continues the run.
    #[derive(Eq)]
    pub struct KvExport {
        /// Weights that produced the cache; only a run on the same weights may continue from it.
        pub weights: String,
        /// Hash of the prompt that the cache covers.
        pub prompt_hash: u64,
        /// Number of tokens generated so far.
        pub tokens: u32,
    }

    /// Page of changes to an engine's prefix cache.
    #[derive(Eq)]
    pub struct CacheEventPage {
        /// Events in ascending order of number; a gap means that events were lost.
        pub events: Vec<CacheEvent>,
        /// Number from which to read the next page.
        pub next: u64,
    }

    /// Change to an engine's prefix cache.
    #[derive(Copy, Eq)]
    pub struct CacheEvent {
        /// Position in the engine's sequence of events.
        pub number: u64,
        /// Whether the prefix was stored or evicted.
        pub kind: CacheEventKind,
        /// Hash of the prefix.
        pub prefix: u64,
    }

    /// Kind of a prefix cache change.
    #[derive(Copy, Eq)]
    pub enum CacheEventKind {
        /// The prefix was added to the cache.
        Stored,
        /// The prefix was removed from the cache to free space.
        Evicted,
    }
}
