//! Customers' request limits and the retry budget of this VM.

use std::sync::Mutex;

use coltsfoothook_decision::id::{ModelName, RequestId, ServiceName, TimePoint};
use coltsfoothook_decision::limit::{FleetLimiter, LimitRefusal};
use coltsfoothook_decision::member::CustomerUsage;
use coltsfoothook_decision::retry::{RetryBudget, RetrySettings};
use coltsfoothook_telemetry::event;

use crate::core::EntryCore;
use crate::held::lock;

/// Cost of one request; limits count requests, whatever their size.
const REQUEST_COST: f64 = 1.0;

/// The customer limiter and the retry budget, each with its own lock.
pub(crate) struct RequestLimits {
    limiter: Mutex<FleetLimiter>,
    retry_settings: RetrySettings,
    budget: Mutex<RetryBudget>,
}

impl RequestLimits {
    pub(crate) fn new() -> Self {
        let retry_settings = RetrySettings::default();
        Self {
            limiter: Mutex::new(FleetLimiter::default()),
            budget: Mutex::new(RetryBudget::new(retry_settings.clone())),
            retry_settings,
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

    /// Records a request's first attempt, which adds to the retry budget of `service`.
    pub(crate) fn first_try(&self, service: &ServiceName, now: TimePoint) {
        lock(&self.budget).first_try(service, now);
    }

    /// Returns the settings of the retry budget.
    pub(crate) fn retry_settings(&self) -> &RetrySettings {
        &self.retry_settings
    }

    /// Takes a retry at `service` from the budget and returns whether it held one. `why` states what
    /// failed.
    pub(crate) fn take_retry(
        &self,
        request_id: &RequestId,
        service: &ServiceName,
        why: &str,
        now: TimePoint,
    ) -> bool {
        let decision = lock(&self.budget).take(service, now);
        event!(
            RepeatDecided,
            request_id = request_id,
            service = service,
            result = if decision.allowed { "sent" } else { "denied" },
            why = why,
            repeats = decision.repeats,
            requests = decision.requests,
            limit = format_args!("{:.1}", decision.limit),
        );
        decision.allowed
    }
}

/// Returns the name under which retries at the engines of a base model are counted. A plain service
/// may have the model's name.
pub(crate) fn engines_of(model: &ModelName) -> ServiceName {
    ServiceName::from(format!("engines/{model}").as_str())
}
