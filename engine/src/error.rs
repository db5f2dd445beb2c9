//! How runs and orders fail.

use coltsfoothook_exchange::{ExchangeError, ExchangeStage};
use http::StatusCode;
use snafu::Snafu;

/// Why a run has no whole answer, by the stage that was reached.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum RunError {
    /// No byte was sent: it did not run.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// For logs.
        cause: String,
    },
    /// The engine does not know the slot: it did not run.
    #[snafu(display("slot not loaded"))]
    SlotMissing,
    /// The engine refused it before it ran.
    #[snafu(display("refused with {status}: {reason}"))]
    Refused {
        /// The status.
        status: StatusCode,
        /// The engine's words, cut to a bound.
        reason: String,
    },
    /// The engine began and says that it failed.
    #[snafu(display("failed with {status}: {reason}"))]
    Failed {
        /// The status.
        status: StatusCode,
        /// The engine's words, cut to a bound.
        reason: String,
    },
    /// It was sent and no answer came: whether it ran is unknown.
    #[snafu(display("sent, no answer: {cause}"))]
    Sent {
        /// For logs.
        cause: String,
    },
    /// The answer began and was cut.
    #[snafu(display("answer cut: {cause}"))]
    Broken {
        /// For logs.
        cause: String,
    },
    /// A stage outlasted its time.
    #[snafu(display("timed out at {stage:?}"))]
    Timeout {
        /// Which stage. At [`ExchangeStage::Connect`] it did not run.
        stage: ExchangeStage,
    },
    /// The answer is longer than its bound.
    #[snafu(display("answer longer than {limit} bytes"))]
    TooLarge {
        /// The bound in bytes.
        limit: usize,
    },
}

impl RunError {
    /// Whether the request certainly did not run.
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
            ExchangeError::Broken { cause } => Self::Broken { cause },
            ExchangeError::TimedOut { stage } => Self::Timeout { stage },
            ExchangeError::TooLarge { limit } => Self::TooLarge { limit },
        }
    }
}

/// Why an order or a question has no good answer.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum OrderError {
    /// The engine did not see it.
    #[snafu(display("not sent: {cause}"))]
    OrderNotSent {
        /// For logs.
        cause: String,
    },
    /// The engine may have seen it, or may yet carry it out: the effect is unknown.
    #[snafu(display("effect unknown: {cause}"))]
    EffectUnknown {
        /// For logs.
        cause: String,
    },
    /// The engine has seen a higher fencing number; the sender is no longer the owner.
    #[snafu(display("stale fencing number"))]
    StaleFencing,
    /// No slot is free; nothing was loaded.
    #[snafu(display("all slots are in use"))]
    SlotsFull,
    /// The engine tried to load and says that it failed.
    #[snafu(display("load failed: {reason}"))]
    LoadFailed {
        /// The engine's words, cut to a bound.
        reason: String,
    },
    /// What the order names is not there.
    #[snafu(display("not found"))]
    NotFound,
    /// The engine refuses it; nothing was done.
    #[snafu(display("refused with {status}: {reason}"))]
    OrderRefused {
        /// The status.
        status: StatusCode,
        /// The engine's words, cut to a bound.
        reason: String,
    },
    /// The answer is not one of an engine.
    #[snafu(display("answer not understood: {cause}"))]
    BadAnswer {
        /// For logs.
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
