//! Errors of runs and orders.

use coltsfoothook_exchange::{ExchangeError, ExchangeStage};
use http::{HeaderMap, StatusCode};
use snafu::Snafu;

/// Failure of a run, by the stage that it reached.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum RunError {
    /// No byte was sent: the request did not run.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// Description of the underlying error, for logs.
        cause: String,
    },
    /// The engine has no such slot: the request did not run.
    #[snafu(display("slot not loaded"))]
    SlotMissing,
    /// The engine refused the request before running it.
    #[snafu(display("refused with {status}: {reason}"))]
    Refused {
        /// A client error status or 503.
        status: StatusCode,
        /// The engine's error message, truncated.
        reason: String,
        /// The response's headers, in which the engine may state something about itself.
        headers: HeaderMap,
    },
    /// The engine returned any other error status: the request may have run in part.
    #[snafu(display("failed with {status}: {reason}"))]
    Failed {
        /// A status that is neither a client error nor 503.
        status: StatusCode,
        /// The engine's error message, truncated.
        reason: String,
    },
    /// The request was sent, at least in part, but no valid response head arrived: whether it ran is unknown.
    #[snafu(display("sent, no answer: {cause}"))]
    Sent {
        /// Description of the underlying error, for logs.
        cause: String,
    },
    /// The response head arrived, but the body ended early or was malformed.
    #[snafu(display("answer cut: {cause}"))]
    Broken {
        /// Description of the underlying error, for logs.
        cause: String,
    },
    /// A stage exceeded its timeout.
    #[snafu(display("timed out at {stage:?}"))]
    Timeout {
        /// Stage that timed out. At [`ExchangeStage::Connect`] the request did not run.
        stage: ExchangeStage,
    },
    /// The response body exceeds the size limit.
    #[snafu(display("answer longer than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

impl RunError {
    /// Returns whether the request is known not to have run, so that a retry cannot run it twice.
    #[must_use]
    pub fn certainly_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent { .. }
                | Self::SlotMissing
                | Self::Refused { .. }
                | Self::Timeout { stage: ExchangeStage::Connect }
        )
    }
}

impl From<ExchangeError> for RunError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent { cause } => Self::NotSent { cause },
            ExchangeError::Sent { cause } => Self::Sent { cause },
            ExchangeError::BodyFailed { cause } => Self::Broken { cause },
            ExchangeError::TimedOut { stage } => Self::Timeout { stage },
            ExchangeError::TooLarge { limit } => Self::TooLarge { limit },
        }
    }
}

/// Failure of an order or a query.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum OrderError {
    /// The engine did not receive the order.
    #[snafu(display("not sent: {cause}"))]
    OrderNotSent {
        /// Description of the underlying error, for logs.
        cause: String,
    },
    /// The engine may have executed the order or may still execute it.
    #[snafu(display("effect unknown: {cause}"))]
    EffectUnknown {
        /// Description of the underlying error, for logs.
        cause: String,
    },
    /// The engine has received a higher fencing number: the sender is no longer the owner.
    #[snafu(display("stale fencing number"))]
    StaleFencing,
    /// The engine has no free slot; nothing was loaded.
    #[snafu(display("all slots are in use"))]
    SlotsFull,
    /// The engine reported that loading the adapter failed.
    #[snafu(display("load failed: {reason}"))]
    LoadFailed {
        /// The engine's error message, truncated.
        reason: String,
    },
    /// The slot, run or endpoint that the call names does not exist.
    #[snafu(display("not found"))]
    NotFound,
    /// The engine refused the order without executing it.
    #[snafu(display("refused with {status}: {reason}"))]
    OrderRefused {
        /// A client error status or 503.
        status: StatusCode,
        /// The engine's error message, truncated.
        reason: String,
    },
    /// The response body could not be decoded.
    #[snafu(display("answer not understood: {cause}"))]
    BadAnswer {
        /// The decoder's error, for logs.
        cause: String,
    },
}

impl From<ExchangeError> for OrderError {
    fn from(error: ExchangeError) -> Self {
        let cause = error.to_string();
        if error.certainly_not_sent() {
            Self::OrderNotSent { cause }
        } else {
            Self::EffectUnknown { cause }
        }
    }
}
