//! The bodies of responses.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use snafu::Snafu;

/// An answer ended short; the connection is broken so that the caller sees it.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was cut: {reason}"))]
pub(crate) struct CutError {
    /// What cut it.
    pub(crate) reason: &'static str,
}

/// The body of a response.
pub(crate) type FaceBody = UnsyncBoxBody<Bytes, CutError>;

/// A body that is there already.
pub(crate) fn whole_body(bytes: Bytes) -> FaceBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
