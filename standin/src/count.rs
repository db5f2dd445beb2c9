//! What the model engine stand-in counts.

use coltsfoothook_decision::value;

value! {
    /// What happened at an engine since it was first started; a restart keeps the counts.
    #[derive(Copy, Default, Eq)]
    pub struct EngineCounters {
        /// Requests that began to run.
        pub runs: u64,
        /// Requests that ran to their end.
        pub done: u64,
        /// Requests that were cancelled, also because nobody read them.
        pub cancelled: u64,
        /// Runs whose request id had run before.
        pub repeated_ids: u64,
        /// Runs whose idempotency key had run before.
        pub repeated_keys: u64,
        /// Runs whose body, apart from the slot, had run before.
        pub repeated_bodies: u64,
        /// Requests that named a slot which is not loaded.
        pub slot_missing: u64,
        /// Requests that were cut because their slot was unloaded under them.
        pub evicted_in_use: u64,
        /// Loads that succeeded.
        pub loads: u64,
        /// Loads that failed.
        pub loads_failed: u64,
        /// Loads refused because all slots were taken.
        pub loads_full: u64,
        /// Slots unloaded by order.
        pub unloads: u64,
        /// Orders refused for an old fencing number.
        pub stale_refused: u64,
        /// Orders with an old fencing number that were obeyed.
        pub stale_obeyed: u64,
        /// Steps of the batch.
        pub steps: u64,
        /// Tokens generated.
        pub tokens: u64,
        /// The sum over all steps of the requests in the batch.
        pub batch_sum: u64,
        /// The sum over all steps of the distinct slots in the batch.
        pub adapter_sum: u64,
        /// Restarts with nothing kept, crashes among them.
        pub restarts: u64,
        /// Restarts that a marked request caused.
        pub crashes: u64,
    }
}

impl EngineCounters {
    /// The mean number of requests in a step.
    #[must_use]
    pub fn batch_mean(&self) -> f64 {
        if self.steps == 0 { 0.0 } else { self.batch_sum as f64 / self.steps as f64 }
    }
}
