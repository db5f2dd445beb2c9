//! The type of response bodies and the error that truncates them.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use snafu::Snafu;

/// A streamed body failed before its end. hyper closes the connection on it, so that the caller
/// detects the truncation.
#[derive(Debug, Snafu)]
#[snafu(display("response truncated: {reason}"))]
pub(crate) struct TruncatedError {
    /// The name of the problem's reason, such as `answer_lost`.
    pub(crate) reason: &'static str,
}

/// A response body, complete or streamed.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, TruncatedError>;

/// Wraps bytes that are complete already.
pub(crate) fn whole_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
