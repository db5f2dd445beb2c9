//! Statements of a stand-in about itself, in the headers of its answers.

use coltsfoothook_decision::value;
use http::HeaderValue;

use crate::reply::Reply;

value! {
    /// What a stand-in states in its answers; the default is nothing.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct StatementFaults {
        /// The limit on requests per second over all VMs, as text that may be invalid.
        pub limit: Option<String>,
    }
}

impl StatementFaults {
    /// Adds the headers to an answer. Text that is no valid header value is left out.
    pub(crate) fn state(&self, reply: &mut Reply) {
        let headers = [("server-limit", self.limit.as_deref())];
        for (name, value) in headers {
            if let Some(value) = value.and_then(|text| HeaderValue::from_str(text).ok()) {
                reply.headers_mut().insert(name, value);
            }
        }
    }
}
