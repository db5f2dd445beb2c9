//! Statements of a stand-in about itself, in the headers of its answers.

use coltsfoothook_decision::value;
use http::{HeaderValue, StatusCode};

use crate::reply::Reply;

value! {
    /// What a stand-in states in its answers; the default is nothing.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct StatementFaults {
        /// The limit on requests per second over all VMs, as text that may be invalid.
        pub limit: Option<String>,
        /// Whether it leaves.
        pub leaving: bool,
        /// In refusals with 503, for how many seconds it wants no request from the VM, as text that
        /// may be invalid.
        pub retry_after: Option<String>,
    }
}

impl StatementFaults {
    /// Adds the headers to an answer. Text that is no valid header value is left out.
    pub(crate) fn state(&self, reply: &mut Reply) {
        let refused = reply.status() == StatusCode::SERVICE_UNAVAILABLE;
        let headers = [
            ("server-limit", self.limit.as_deref()),
            ("server-leaving", self.leaving.then_some("1")),
            ("retry-after", self.retry_after.as_deref().filter(|_| refused)),
        ];
        for (name, value) in headers {
            if let Some(value) = value.and_then(|text| HeaderValue::from_str(text).ok()) {
                reply.headers_mut().insert(name, value);
            }
        }
    }
}
