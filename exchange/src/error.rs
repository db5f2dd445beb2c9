//! How an exchange ends before its answer is whole.

use snafu::Snafu;

/// The part of an exchange that took too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStage {
    /// Opening the connection, or waiting to write the first byte; nothing was sent.
    Connect,
    /// From the first byte written to the head of the answer.
    Head,
    /// Between two pieces of the answer's body.
    Body,
}

/// Why there is no whole answer. The variant tells whether the server may have seen the request.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// No byte of the request was written, so it did not run.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// What went wrong, for logs.
        cause: String,
    },
    /// At least one byte was written and no answer came: whether it ran is unknown.
    #[snafu(display("sent, no answer: {cause}"))]
    Sent {
        /// What went wrong, for logs.
        cause: String,
    },
    /// The answer began and was cut.
    #[snafu(display("answer cut: {cause}"))]
    Broken {
        /// What went wrong, for logs.
        cause: String,
    },
    /// A stage outlasted its time.
    #[snafu(display("timed out at {stage:?}"))]
    TimedOut {
        /// Which stage.
        stage: ExchangeStage,
    },
    /// The answer's body is longer than the bound of its reader.
    #[snafu(display("answer longer than {limit} bytes"))]
    TooLarge {
        /// The bound in bytes.
        limit: usize,
    },
}

impl ExchangeError {
    /// Whether the server certainly did not see the request, so that it did not run.
    #[must_use]
    pub fn certainly_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::TimedOut { stage: ExchangeStage::Connect })
    }
}
