//! Refusals of requests before they are sent to a server.

use coltsfoothook_decision::id::CustomerName;
use coltsfoothook_decision::limit::LimitRefusal;
use coltsfoothook_telemetry::event;
use http::StatusCode;

/// The answer to a refused request, and what is logged of it.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// The reason in logs and metrics.
    pub(crate) reason: &'static str,
    /// `Retry-After` in seconds; without the header if `None`.
    pub(crate) retry_s: Option<f64>,
    /// Version of the configuration that the request was judged by; 0 if there was none.
    pub(crate) config: u64,
    pub(crate) grounds: Option<Box<RefusalGrounds>>,
}

/// Details of a refusal that concern the customer or its configuration, for the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusalGrounds {
    pub(crate) customer: Option<CustomerName>,
    /// Time since the configuration was last confirmed to be the newest, in milliseconds.
    pub(crate) confirmed_ms: Option<u128>,
    pub(crate) limit: Option<LimitRefusal>,
    /// How many bytes the VM held for callers and servers, if the request's body had no room.
    pub(crate) buffered: Option<usize>,
}

impl Refusal {
    pub(crate) fn new(status: StatusCode, reason: &'static str, config: u64) -> Self {
        Self { status, reason, retry_s: None, config, grounds: None }
    }

    /// Adds the details that are logged with the refusal.
    pub(crate) fn with_grounds(self, grounds: RefusalGrounds) -> Self {
        Self { grounds: Some(Box::new(grounds)), ..self }
    }

    /// Logs the refusal as a `RequestRefused` event.
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
            buffered? = grounds.and_then(|grounds| grounds.buffered),
            retry_s? = self.retry_s,
        );
    }
}
