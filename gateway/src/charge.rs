//! Charges requests to their customers' rate limits.

use std::time::Duration;

use coltsfoothook_decision::id::CustomerName;
use coltsfoothook_decision::routing::ModelNeed;
use http::StatusCode;

use crate::clock;
use crate::refusal::{Refusal, RefusalGrounds};
use crate::state::Gateway;

/// The reason of refusals over a customer's limit, in logs and metrics.
const OVER_LIMIT: &str = "customer_limit";
/// Upper bound of the random addition to `Retry-After`, as a fraction of the wait, so that refused callers do not
/// return together.
const RETRY_JITTER_FRACTION: f64 = 0.5;
/// The shortest `Retry-After` before the random addition, in seconds. Callers that retry at once would be refused
/// again, and each refusal costs CPU time.
const MIN_RETRY_S: f64 = 0.1;

/// The amount that a request was charged to its customer's limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitCharge {
    customer: CustomerName,
    /// In the unit of the customer's limit.
    cost: f64,
}

impl LimitCharge {
    /// Charges a request to its customer's limit, or returns a refusal if the limit is exceeded.
    ///
    /// Returns `None` for requests without a customer and customers without a limit.
    pub(crate) fn take(
        gateway: &Gateway,
        customer: Option<&CustomerName>,
        need: Option<&ModelNeed>,
        config: u64,
    ) -> Result<Option<Self>, Refusal> {
        let Some(customer) = customer.cloned() else { return Ok(None) };
        let now = clock::now();
        let mut view = gateway.view();
        let Some(cost) = view.limiter.cost(customer.as_str(), need) else { return Ok(None) };
        let admitted = view.limiter.admit(now, customer.as_str(), cost);
        view.uses_changed = true;
        let random = view.random();
        drop(view);
        gateway.loads_changed.notify_one();
        let Err(refusal) = admitted else { return Ok(Some(Self { customer, cost })) };
        gateway.metrics.customer(customer.as_str(), OVER_LIMIT);
        let (limit, customer) = (Some(refusal), Some(customer));
        let grounds = RefusalGrounds { customer, limit, ..RefusalGrounds::default() };
        let wait = Duration::from_millis(refusal.retry_after_ms).as_secs_f64();
        let jitter = (random % 1_000) as f64 / 1_000.0 * RETRY_JITTER_FRACTION;
        let refused = Refusal::new(StatusCode::TOO_MANY_REQUESTS, OVER_LIMIT, config);
        let retry_s = Some(wait.max(MIN_RETRY_S) * (1.0 + jitter));
        Err(Refusal { retry_s, ..refused }.with_grounds(grounds))
    }

    /// Returns the charge for each further run of a request whose first run another VM has charged.
    pub(crate) fn of(
        gateway: &Gateway,
        customer: Option<&CustomerName>,
        need: Option<&ModelNeed>,
    ) -> Option<Self> {
        let customer = customer.cloned()?;
        let cost = gateway.view().limiter.cost(customer.as_str(), need)?;
        Some(Self { customer, cost })
    }

    /// Charges the request again, for a further run.
    pub(crate) fn charge_again(&self, gateway: &Gateway) {
        let mut view = gateway.view();
        view.limiter.charge(clock::now(), self.customer.as_str(), self.cost);
        view.uses_changed = true;
    }

    /// Returns the charge to the limit. Only for a request that certainly did not run.
    pub(crate) fn refund(&self, gateway: &Gateway) {
        let mut view = gateway.view();
        view.limiter.refund(clock::now(), self.customer.as_str(), self.cost);
        view.uses_changed = true;
    }
}
