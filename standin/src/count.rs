//! Counters of the model engine stand-in.

use coltsfoothook_decision::value;

value! {
    /// Counters of an engine since its process started; a simulated restart keeps them.
    #[derive(Copy, Default, Eq)]
    pub struct EngineCounters {
        /// Requests admitted to the batch.
        pub runs: u64,
        /// Requests that were refused by a fault.
        pub refused_runs: u64,
        /// Requests that were completed.
        pub done: u64,
        /// Requests that were cancelled, by request or because nobody read them.
        pub cancelled: u64,
        /// Requests to go on reading a run.
        pub resumes: u64,
        /// Runs whose request id had run before.
        pub repeated_ids: u64,
        /// Runs whose idempotency key had run before.
        pub repeated_keys: u64,
        /// Runs whose body, apart from the slot, had run before.
        pub repeated_bodies: u64,
        /// Requests for a slot that is not loaded.
        pub slot_missing: u64,
        /// Requests that were cut because their slot was unloaded while in use.
        pub evicted_in_use: u64,
        /// Loads that succeeded.
        pub loads: u64,
        /// Loads that failed.
        pub loads_failed: u64,
        /// Loads refused because all slots were taken.
        pub loads_full: u64,
        /// Slots unloaded by order.
        pub unloads: u64,
        /// Orders refused because of a stale fencing number.
        pub stale_refused: u64,
        /// Orders with a stale fencing number that were carried out.
        pub stale_obeyed: u64,
        /// Steps of the batch.
        pub steps: u64,
        /// Tokens generated.
        pub tokens: u64,
        /// Sum over all steps of the number of requests in the batch.
        pub batch_sum: u64,
        /// Sum over all steps of the number of distinct slots in the batch.
        pub adapter_sum: u64,
        /// Simulated restarts, including crashes.
        pub restarts: u64,
        /// Restarts caused by a request with the crash mark.
        pub crashes: u64,
    }
}

impl EngineCounters {
    /// Returns the mean number of requests in a step, 0 before the first step.
    #[must_use]
    pub fn batch_mean(&self) -> f64 {
        if self.steps == 0 { 0.0 } else { self.batch_sum as f64 / self.steps as f64 }
    }
}
