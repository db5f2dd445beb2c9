//! Customers' request limits and the retry budget of this VM.

use std::sync::Mutex;

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::limit::{FleetLimiter, LimitRefusal};
use coltsfoothook_decision::member::CustomerUsage;
use coltsfoothook_decision::retry::{RetryBudget, RetrySettings};

use crate::core::EntryCore;
use crate::held::lock;

/// Cost of one request; limits count requests, whatever their size.
const REQUEST_COST: f64 = 1.0;

/// The customer limiter and the retry budget, each with its own lock.
pub(crate) struct RequestLimits {
    limiter: Mutex<FleetLimiter>,
    budget: Mutex<RetryBudget>,
}

impl RequestLimits {
    pub(crate) fn new() -> Self {
        Self {
            limiter: Mutex::new(FleetLimiter::default()),
            budget: Mutex::new(RetryBudget::new(RetrySettings::default())),
        }
    }

    /// Applies the limits of the configuration in force.
    pub(crate) fn configure(&self, core: &EntryCore) {
        let view = core.view();
        lock(&self.limiter).configure_manifest(core.clock.now(), &view.manifest);
    }

    /// Charges one request to `tenant`, or refuses it with the time to wait.
    pub(crate) fn admit(&self, now: TimePoint, tenant: &str) -> Result<(), LimitRefusal> {
        lock(&self.limiter).admit(now, tenant, REQUEST_COST)
    }

    /// Updates the limiter with the usage that other VMs reported.
    pub(crate) fn apply_digests(&self, core: &EntryCore) {
        let members = lock(&core.members);
        lock(&self.limiter).apply_digests(core.clock.now(), &members);
    }

    /// Returns the usage on this VM, which is reported to other VMs.
    pub(crate) fn usage(&self, now: TimePoint) -> Vec<CustomerUsage> {
        lock(&self.limiter).usage(now)
    }

    /// Records a request's first attempt, which adds to the retry budget.
    pub(crate) fn first_try(&self) {
        lock(&self.budget).first_try();
    }

    /// Runs `decide`, the decision after a failed attempt, with the retry budget.
    pub(crate) fn after_failure<T>(&self, decide: impl FnOnce(&mut RetryBudget) -> T) -> T {
        decide(&mut lock(&self.budget))
    }
}
