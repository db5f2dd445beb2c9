//! Tenants' limits and the retry budget of this VM.

use std::sync::Mutex;

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::limit::{LimitRefusal, RetryBudget, RetrySettings, TenantLimiter};
use coltsfoothook_decision::member::TenantUsage;

use crate::core::EntryCore;
use crate::held::lock;

/// The limiter and the budget, each under its own lock.
pub(crate) struct LimitDesk {
    limiter: Mutex<TenantLimiter>,
    budget: Mutex<RetryBudget>,
}

impl LimitDesk {
    pub(crate) fn new() -> Self {
        Self {
            limiter: Mutex::new(TenantLimiter::default()),
            budget: Mutex::new(RetryBudget::new(RetrySettings::default())),
        }
    }

    /// Takes the limits of the configuration in force.
    pub(crate) fn configure(&self, core: &EntryCore) {
        let view = core.view();
        lock(&self.limiter).configure(core.clock.now(), &view.manifest);
    }

    /// Admits a request of `tenant`.
    pub(crate) fn admit(&self, now: TimePoint, tenant: &str) -> Result<(), LimitRefusal> {
        lock(&self.limiter).admit(now, tenant)
    }

    /// Divides the tenants' rates by what the other VMs say they use.
    pub(crate) fn divide(&self, core: &EntryCore) {
        let members = lock(&core.members);
        lock(&self.limiter).divide(core.clock.now(), &members);
    }

    /// This VM's own use, which it tells the others.
    pub(crate) fn usage(&self, now: TimePoint) -> Vec<TenantUsage> {
        lock(&self.limiter).usage(now)
    }

    /// Notes a first try.
    pub(crate) fn first_try(&self) {
        lock(&self.budget).first_try();
    }

    /// Lets a failed try consult the budget.
    pub(crate) fn after_failure<T>(&self, decide: impl FnOnce(&mut RetryBudget) -> T) -> T {
        decide(&mut lock(&self.budget))
    }
}
