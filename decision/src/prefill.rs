//! Limits the prompt tokens that a model engine has to process at once.
//!
//! An engine processes prompts in pieces between the tokens of its other streams. While it
//! processes several long prompts in a row, all its streams pause, although its mean load may be
//! below half. A request is therefore held back while the prompts ahead of it would take the engine
//! most of the pause that its streams allow. The rate is estimated from first events, since servers
//! don't report it. docs/PLACEMENT.md, "Prompts against streams", has the figures.

use std::time::Duration;

use crate::id::TimePoint;

/// Fraction of the longest allowed pause for which an engine may have prompts to process. The rest
/// is for decoding steps and for prompts that other VMs send at the same time.
const PAUSE_FRACTION: f64 = 0.5;
/// Minimum prompt length, in tokens, of a rate sample: shorter prompts take hardly longer than one
/// step.
const MIN_SAMPLE_TOKENS: u64 = 400;
/// Weights of samples above and below the current rate. Many causes make a sample slow (other VMs'
/// prompts, a full batch) and few make it fast, so fast samples weigh more; the estimate converges
/// to about the 90th percentile.
const FASTER_WEIGHT: f64 = 0.09;
const SLOWER_WEIGHT: f64 = 0.01;
/// Quantile of the streams' longest pauses that decides about holding back: requests are held back
/// if more than one stream in twenty pauses too long. Where an engine's pieces are short against
/// the allowed pause, streams stay on time under any load, and holding back would only delay first
/// events, most of all those of the longest prompts.
const PAUSE_QUANTILE: f64 = 0.95;
/// Step of the quantile estimate for one stream, as a fraction of the allowed pause. From the
/// initial value, two or three late streams in a row start holding back, and some hundred on time
/// end it.
const QUANTILE_STEP: f64 = 0.02;
const INITIAL_PAUSE_FRACTION: f64 = 0.95;
const MAX_PAUSE_FRACTION: f64 = 1.2;
/// Minimum time that a held request waits before it is checked again; shorter than a server's step.
const MIN_HOLD_US: u64 = 4_000;

/// Rate at which the engines of a service process prompts, and how long their streams pause.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    /// Tokens per microsecond; 0 until a first event was received.
    tokens_per_us: f64,
    /// Estimated 95th percentile of the streams' longest pauses, as a fraction of what is allowed.
    long_pause: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens_per_us: 0.0, long_pause: INITIAL_PAUSE_FRACTION }
    }
}

impl PrefillRate {
    /// Records that a prompt of `tokens` was sent to an engine with no other prompt to process, and
    /// that its first event arrived `waited_us` later.
    pub fn observe(&mut self, tokens: u64, waited_us: u64) {
        if tokens < MIN_SAMPLE_TOKENS || waited_us == 0 {
            return;
        }
        let sample = tokens as f64 / waited_us as f64;
        if self.tokens_per_us == 0.0 {
            self.tokens_per_us = sample;
            return;
        }
        let weight = if sample > self.tokens_per_us { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        self.tokens_per_us += weight * (sample - self.tokens_per_us);
    }

    /// Records a stream that ended without failure. `pause` was its longest pause and `gap` the
    /// longest that is on time.
    pub fn stream_ended(&mut self, pause: Duration, gap: Duration) {
        let fraction = pause.as_secs_f64() / gap.as_secs_f64().max(f64::MIN_POSITIVE);
        let step = if fraction > self.long_pause { PAUSE_QUANTILE } else { PAUSE_QUANTILE - 1.0 };
        self.long_pause = (self.long_pause + QUANTILE_STEP * step).clamp(0.0, MAX_PAUSE_FRACTION);
    }

    /// Returns whether streams pause too long, so that requests must be held back.
    #[must_use]
    pub fn holds_back(&self) -> bool {
        self.long_pause > 1.0
    }

    /// Returns the prompt tokens that an engine may have to process, including this request's, if
    /// its streams may pause for `gap`. `None` while the rate is unknown.
    #[must_use]
    pub fn bound(&self, gap: Duration) -> Option<u64> {
        if self.tokens_per_us == 0.0 {
            return None;
        }
        Some((self.tokens_per_us * gap.as_micros() as f64 * PAUSE_FRACTION) as u64)
    }

    /// Returns the prompt tokens that an engine processes in `us` microseconds.
    pub(crate) fn tokens_in(&self, us: u64) -> u64 {
        (self.tokens_per_us * us as f64) as u64
    }

    /// Returns when an engine will have processed `tokens`, at least a minimum hold time from
    /// `now`.
    #[must_use]
    pub fn read_at(&self, tokens: u64, now: TimePoint) -> TimePoint {
        let us = tokens as f64 / self.tokens_per_us.max(f64::MIN_POSITIVE);
        now.plus((us as u64).max(MIN_HOLD_US))
    }
}
