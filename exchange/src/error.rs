//! Errors of an exchange.

use snafu::Snafu;

/// The stage of an exchange that exceeded its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStage {
    /// Opening the connection or waiting to write the first byte; nothing was sent.
    Connect,
    /// Waiting for the response head after at least one byte was written.
    Head,
    /// Waiting for a chunk of the response body.
    Body,
}

/// Why no complete response arrived. The variant shows whether the request may have run.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// No byte of the request was written, so it did not run.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// The underlying error with its sources, for logs.
        cause: String,
    },
    /// At least one byte was written and no valid response head arrived; whether the request ran is
    /// unknown.
    #[snafu(display("sent, no answer: {cause}"))]
    Sent {
        /// The underlying error with its sources, for logs.
        cause: String,
    },
    /// The response head arrived, but its body ended early or was malformed.
    #[snafu(display("answer cut: {cause}"))]
    BodyFailed {
        /// The underlying error with its sources, for logs.
        cause: String,
    },
    /// A stage exceeded its timeout.
    #[snafu(display("timed out at {stage:?}"))]
    TimedOut {
        /// The stage; only for [`ExchangeStage::Connect`] is it certain that nothing was sent.
        stage: ExchangeStage,
    },
    /// The response body is longer than its reader accepts.
    #[snafu(display("answer longer than {limit} bytes"))]
    TooLarge {
        /// The reader's limit in bytes.
        limit: usize,
    },
}

impl ExchangeError {
    /// Returns whether it is certain that no byte of the request was sent, so that it did not run.
    #[must_use]
    pub fn certainly_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::TimedOut { stage: ExchangeStage::Connect })
    }
}
