//! What is sent to an engine and read from it, besides completions.

use coltsfoothook_decision::id::{OwnerEpoch, SlotName};
use coltsfoothook_decision::value;

value! {
    /// Loads an adapter version.
    #[derive(Eq)]
    pub struct LoadOrder {
        /// The name under which the engine is to know it.
        pub slot: SlotName,
        /// Where the weights are.
        pub weights: String,
        /// The fencing number.
        pub fencing: OwnerEpoch,
    }

    /// Unloads a slot.
    #[derive(Eq)]
    pub struct UnloadOrder {
        /// The slot.
        pub slot: SlotName,
        /// The fencing number.
        pub fencing: OwnerEpoch,
    }

    /// Changes an engine's role.
    #[derive(Copy, Eq)]
    pub struct RoleOrder {
        /// The new role.
        pub role: EngineRole,
        /// The fencing number.
        pub fencing: OwnerEpoch,
    }

    /// What part of the work an engine takes.
    #[derive(Copy, Eq, Default)]
    pub enum EngineRole {
        /// Prompts and generation.
        #[default]
        Mixed,
        /// Prompts alone; the KV cache is then exported.
        Prefill,
        /// Generation alone, from an imported KV cache.
        Decode,
    }

    /// The KV cache of a run, as far as another engine must know it.
    #[derive(Eq)]
    pub struct KvExport {
        /// The weights that it belongs to; no other adapter may continue from it.
        pub weights: String,
        /// A hash of the prompt.
        pub prompt_hash: u64,
        /// Tokens generated so far.
        pub tokens: u32,
    }

    /// Changes of an engine's prefix cache.
    #[derive(Eq)]
    pub struct CacheEventPage {
        /// The events in order of their numbers; numbers that are missing were lost.
        pub events: Vec<CacheEvent>,
        /// From where to read on.
        pub next: u64,
    }

    /// A change of an engine's prefix cache.
    #[derive(Copy, Eq)]
    pub struct CacheEvent {
        /// Its number.
        pub number: u64,
        /// What happened.
        pub kind: CacheEventKind,
        /// A hash of the prefix.
        pub prefix: u64,
    }

    /// What happened to a prefix.
    #[derive(Copy, Eq)]
    pub enum CacheEventKind {
        /// It is cached from now on.
        Stored,
        /// It made room for another.
        Evicted,
    }
}
