//! Refusals of requests before anything of them is done.

use coltsfoothook_decision::id::CustomerName;
use coltsfoothook_decision::limit::LimitRefusal;
use coltsfoothook_telemetry::event;
use http::StatusCode;

/// Why a request is refused.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    /// When its caller should come back, in seconds.
    pub(crate) retry_s: Option<f64>,
    /// The configuration that it was judged by.
    pub(crate) config: u64,
    pub(crate) grounds: Option<Box<RefusalGrounds>>,
}

/// What a refusal rests on, as far as it concerns the request's customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusalGrounds {
    pub(crate) customer: Option<CustomerName>,
    /// How long ago the configuration was known to be the newest.
    pub(crate) confirmed_ms: Option<u128>,
    pub(crate) limit: Option<LimitRefusal>,
}

impl Refusal {
    pub(crate) fn new(status: StatusCode, reason: &'static str, config: u64) -> Self {
        Self { status, reason, retry_s: None, config, grounds: None }
    }

    /// The same with what it rests on.
    pub(crate) fn because(self, grounds: RefusalGrounds) -> Self {
        Self { grounds: Some(Box::new(grounds)), ..self }
    }

    /// Logs it.
    pub(crate) fn log(&self, request_id: &str) {
        let grounds = self.grounds.as_deref();
        let limit = grounds.and_then(|grounds| grounds.limit.as_ref());
        event!(
            RequestRefused,
            request_id = request_id,
            status = self.status.as_u16(),
            reason = self.reason,
            config = self.config,
            customer? = grounds.and_then(|grounds| grounds.customer.as_ref()),
            confirmed_ms? = grounds.and_then(|grounds| grounds.confirmed_ms),
            level? = limit.map(|limit| limit.level as i64),
            asked_per_s? = limit.map(|limit| limit.demand_per_s as i64),
            own_part? = limit.map(|limit| limit.own_fraction),
            fleet_part? = limit.map(|limit| limit.fleet_fraction),
            retry_s? = self.retry_s,
        );
    }
}
