//! How much a model engine may be given to read at once.
//!
//! An engine reads prompts in pieces between the tokens of its other streams. While it reads several
//! long prompts in a row, every stream on it pauses for as long as the pieces take, though on average the
//! engine may be reading for less than half of the time. So a request is held back while the prompts
//! ahead of it would keep the engine reading for most of the pause that its streams allow. The pace is
//! learnt from first events, since no server states it. docs/PLACEMENT.md, "Prompts against streams",
//! has the figures.

use std::time::Duration;

use crate::id::TimePoint;

/// The part of the longest allowed pause for which an engine may have prompts to read. The rest goes to
/// the steps themselves, and to prompts that another VM sends in the same moment.
const PAUSE_PART: f64 = 0.5;
/// The shortest prompt that a pace is learnt from: reading fewer tokens takes hardly longer than a step.
const LEAST_SAMPLE: u64 = 400;
/// How far the pace moves towards a faster sample, and towards a slower one. A sample is slow for many
/// reasons (other VMs' prompts, a full batch) and fast for hardly any, so the faster ones tell the pace;
/// with these parts it settles where about one sample in ten is above it.
const FASTER_PART: f64 = 0.09;
const SLOWER_PART: f64 = 0.01;
/// Requests are held back where the longest pause of more than one stream in twenty is too long. Where an
/// engine's pieces are small against the pause that is allowed, streams go on in time whatever it reads;
/// there holding back would only make first events late, those of the longest prompts most of all.
const LONG_RANK: f64 = 0.95;
/// How far one stream moves what is known of long pauses, as a part of what is allowed. Two or three late
/// streams in a row begin to hold requests back; it ends when some hundred were in time.
const PART_STEP: f64 = 0.02;
const FIRST_PART: f64 = 0.95;
const MOST_PART: f64 = 1.2;
/// The shortest time that a held request waits before it looks again: less than a server's step.
const LEAST_HOLD_US: u64 = 4_000;

/// How fast the engines of a service read prompts, in tokens a microsecond; nothing until a first event
/// was seen.
#[derive(Clone, Copy, Debug)]
pub struct ReadingPace {
    tokens_per_us: f64,
    /// The longest pause of a stream that nineteen in twenty stay below, as a part of what is allowed.
    long_part: f64,
}

impl Default for ReadingPace {
    fn default() -> Self {
        Self { tokens_per_us: 0.0, long_part: FIRST_PART }
    }
}

impl ReadingPace {
    /// A prompt of `tokens` was sent to an engine that had nothing else to read, and its first event
    /// came `waited_us` later.
    pub fn observe(&mut self, tokens: u64, waited_us: u64) {
        if tokens < LEAST_SAMPLE || waited_us == 0 {
            return;
        }
        let sample = tokens as f64 / waited_us as f64;
        if self.tokens_per_us == 0.0 {
            self.tokens_per_us = sample;
            return;
        }
        let part = if sample > self.tokens_per_us { FASTER_PART } else { SLOWER_PART };
        self.tokens_per_us += part * (sample - self.tokens_per_us);
    }

    /// A stream ended whole whose longest pause was `pause`, of which it allows `gap`.
    pub fn stream_ended(&mut self, pause: Duration, gap: Duration) {
        let part = pause.as_secs_f64() / gap.as_secs_f64().max(f64::MIN_POSITIVE);
        let step = if part > self.long_part { LONG_RANK } else { LONG_RANK - 1.0 };
        self.long_part = (self.long_part + PART_STEP * step).clamp(0.0, MOST_PART);
    }

    /// Whether so many streams pause too long that requests are held back for them.
    #[must_use]
    pub fn holds_back(&self) -> bool {
        self.long_part > 1.0
    }

    /// The tokens that an engine may have to read, this request's among them, where its streams may
    /// pause for `gap`. None while the pace is not known.
    #[must_use]
    pub fn bound(&self, gap: Duration) -> Option<u64> {
        if self.tokens_per_us == 0.0 {
            return None;
        }
        Some((self.tokens_per_us * gap.as_micros() as f64 * PAUSE_PART) as u64)
    }

    /// The tokens that an engine reads in a time.
    pub(crate) fn tokens_in(&self, us: u64) -> u64 {
        (self.tokens_per_us * us as f64) as u64
    }

    /// When an engine will have read `tokens` from now on.
    #[must_use]
    pub fn read_at(&self, tokens: u64, now: TimePoint) -> TimePoint {
        let us = tokens as f64 / self.tokens_per_us.max(f64::MIN_POSITIVE);
        now.plus((us as u64).max(LEAST_HOLD_US))
    }
}
