//! Endpoints below `/standin/` that all stand-ins have: faults, which can be replaced, and
//! counters.

use async_trait::async_trait;
use http::Request;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::reply::{self, Refusal, Reply};

/// A stand-in whose faults can be replaced while it runs.
#[async_trait]
pub(crate) trait FaultyServer: Sync {
    /// The faults; the default has none.
    type Faults: Clone + DeserializeOwned + Serialize + Send;
    /// The counters.
    type Counters: Serialize;

    /// Returns the present faults.
    fn faults(&self) -> Self::Faults;

    /// Replaces the faults.
    fn set_faults(&self, faults: Self::Faults);

    /// Returns the counters since the start.
    fn counters(&self) -> Self::Counters;

    /// Answers a request to `/standin/{action}` that concerns faults or counters, and refuses
    /// others. `limit` is the maximum size of the body in bytes.
    async fn handle_faults(
        &self,
        request: Request<Incoming>,
        action: &str,
        limit: usize,
    ) -> Result<Reply, Refusal> {
        match (request.method().as_str(), action) {
            ("GET", "faults") => Ok(reply::ok(&self.faults())),
            ("GET", "counters") => Ok(reply::ok(&self.counters())),
            ("POST", "faults") => {
                let faults: Self::Faults = reply::read_json(request, limit).await?;
                self.set_faults(faults.clone());
                Ok(reply::ok(&faults))
            }
            _ => Err(reply::no_endpoint()),
        }
    }
}
