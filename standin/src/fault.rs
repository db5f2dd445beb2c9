//! What all stand-ins answer at `/standin/`: their faults, a change of these, and their counters.

use async_trait::async_trait;
use http::Request;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::reply::{self, Refusal, Reply};

/// A stand-in whose faults are switched while it runs.
#[async_trait]
pub(crate) trait FaultyServer: Sync {
    /// Its faults; the default has none.
    type Faults: Clone + DeserializeOwned + Serialize + Send;
    /// What it counts.
    type Counters: Serialize;

    /// The faults in force.
    fn faults(&self) -> Self::Faults;

    /// Puts `faults` in the place of those in force.
    fn set_faults(&self, faults: Self::Faults);

    /// What happened so far.
    fn counters(&self) -> Self::Counters;

    /// Answers a request to `/standin/{action}`, whose body has at most `limit` bytes, if it
    /// concerns faults or counters.
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
