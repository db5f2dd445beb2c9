//! How many requests a server that bears few refusals runs and keeps waiting, as they show.
//!
//! Its entry names the places that it has at most. Long prompts, other work or a shorter queue may
//! leave fewer at any moment, and nothing but a refusal says so. A place counts as *proven* once a
//! request took it and was not refused for so long that a refusal would have come. Until then the
//! request may cost a refusal, and no more of them are out than refusals may be risked: what the
//! server turns away is bounded whatever happens to its room, and however little is known of it.

use crate::id::TimePoint;
use crate::usage::MICROS_PER_SECOND;

/// Fraction of the refusals that a server bears in a second which are risked, rounded up.
const RISKED_FRACTION: f64 = 0.6;
/// How long a refusal counts, in microseconds: the second of the server, and the way of the report.
const REFUSAL_WINDOW_US: u64 = 1_200_000;
/// How long it counts for an issuer that knows no other VM but may have some, which issue as well.
const ALONE_WINDOW_US: u64 = 10_000_000;
/// How long a number of places that was refused is not tried again, in microseconds.
const CEILING_US: u64 = 2_000_000;
/// How long an issuer that has just begun risks half, in microseconds: VMs that do not know it yet
/// may still get permits from another one.
const HANDOVER_US: u64 = 2_000_000;
/// Maximum number of refusals that are kept.
const MAX_KEPT: usize = 64;
/// Interval over which the time that a request takes a place is averaged, in microseconds.
const RUN_INTERVAL_US: u64 = 500_000;

/// Returns how many refusals are risked in a second of those that a server bears. A server that
/// bears none is asked all the same: nothing else shows that it has room.
fn risked(refusals_per_s: f64, part: f64) -> usize {
    ((RISKED_FRACTION * refusals_per_s * part).ceil() as usize).max(1)
}

/// Places of a server, as the issuer of its permits counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TakenPlaces {
    /// Those that are taken.
    pub(crate) taken: usize,
    /// Those of them that may still be refused.
    pub(crate) unproven: usize,
}

impl TakenPlaces {
    fn proven(self) -> usize {
        self.taken.saturating_sub(self.unproven)
    }
}

/// What this VM may use of a server's room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomShare {
    /// Places that it may issue at most.
    pub(crate) places: usize,
    /// Part of the refusals that the server bears which it may risk.
    pub(crate) part: f64,
    /// Refusals that it may risk at most.
    pub(crate) max_credit: usize,
    /// Whether other VMs may issue as well without a word of this one.
    pub(crate) is_alone: bool,
}

/// A refusal.
#[derive(Clone, Copy, Debug)]
struct KeptRefusal {
    at: TimePoint,
    /// The number of places taken with the request that was refused.
    level: usize,
    /// Whether as many had been proven before.
    in_size: bool,
}

/// The number of places of a server that may be taken.
#[derive(Clone, Debug)]
pub(crate) struct RoomWindow {
    /// Places that were proven to be there at once, and not refused since.
    size: usize,
    /// Proven places that were taken before the last refusal and not given back since. They say nothing of
    /// a room that has shrunk.
    draining: usize,
    /// Whether nothing was refused since the server started.
    is_starting: bool,
    /// Refusals within [`CEILING_US`] and the window, the oldest first.
    refusals: Vec<KeptRefusal>,
    /// How long a refusal counts, in microseconds.
    window_us: u64,
    refusals_per_s: f64,
    began_at: TimePoint,
    /// Time for which places were taken since the last average, over all of them, and when that
    /// was counted last.
    taken_us: f64,
    counted_at: TimePoint,
    /// Requests that ended since the last average, and when that was.
    ended: u32,
    averaged_at: TimePoint,
    /// How long a request takes its place.
    run_us: Option<f64>,
}

impl RoomWindow {
    pub(crate) fn new(refusals_per_s: f64, now: TimePoint) -> Self {
        Self {
            size: 1,
            draining: 0,
            is_starting: true,
            refusals: Vec::new(),
            window_us: REFUSAL_WINDOW_US,
            refusals_per_s,
            began_at: now,
            taken_us: 0.0,
            counted_at: now,
            ended: 0,
            averaged_at: now,
            run_us: None,
        }
    }

    pub(crate) fn set_refusals(&mut self, per_s: f64) {
        self.refusals_per_s = per_s;
    }

    /// Follows a restart of the server. It has to prove its places again, and the refusals before
    /// still count: what made it fail may be there as before.
    pub(crate) fn restart(&mut self) {
        (self.size, self.draining) = (1, 0);
        self.is_starting = true;
        for refusal in &mut self.refusals {
            refusal.level = usize::MAX;
        }
    }

    fn drop_old(&mut self, now: TimePoint) {
        let kept_us = CEILING_US.max(self.window_us);
        self.refusals.retain(|refusal| now.since(refusal.at) < kept_us);
    }

    fn recent(&self, now: TimePoint) -> impl Iterator<Item = &KeptRefusal> {
        self.refusals.iter().filter(move |refusal| now.since(refusal.at) < self.window_us)
    }

    /// Returns how many refusals may be risked now, if `part` of those that the server bears are
    /// this VM's.
    pub(crate) fn credit(&self, part: f64, now: TimePoint) -> usize {
        let risked = risked(self.refusals_per_s, part);
        let is_new = now.since(self.began_at) < HANDOVER_US;
        let allowed = if is_new { risked.div_ceil(2) } else { risked };
        allowed.saturating_sub(self.recent(now).count())
    }

    /// Returns how many requests may be sent now.
    pub(crate) fn open(&mut self, share: RoomShare, counted: TakenPlaces, now: TimePoint) -> usize {
        self.window_us = if share.is_alone { ALONE_WINDOW_US } else { REFUSAL_WINDOW_US };
        self.drop_old(now);
        let credit = self.credit(share.part, now).min(share.max_credit);
        let tried = self.tried(credit, now);
        let size = (self.size + tried).min(share.places).max(1);
        let risk = credit.saturating_sub(counted.unproven);
        size.saturating_sub(counted.taken).min(risk)
    }

    /// Returns how many places beyond those that are proven may be tried.
    fn tried(&self, credit: usize, now: TimePoint) -> usize {
        if self.is_starting {
            return credit;
        }
        let is_kept = |refusal: &&KeptRefusal| now.since(refusal.at) < CEILING_US;
        let ceiling = self.refusals.iter().filter(is_kept).map(|refusal| refusal.level).min();
        let is_below = ceiling.is_none_or(|ceiling| self.size + 1 < ceiling);
        // One refusal is left for a room that has shrunk.
        let has_credit = credit >= 2 || self.recent(now).next().is_none();
        usize::from(is_below && has_credit)
    }

    /// Returns the number of places that are proven.
    pub(crate) fn size(&self) -> usize {
        self.size
    }

    /// Records a refusal. `counted` includes the place that the refused request had.
    pub(crate) fn refused(&mut self, counted: TakenPlaces, now: TimePoint) {
        self.drop_old(now);
        let level = counted.taken.max(1);
        self.draining = counted.proven();
        let in_size = level <= self.size;
        if in_size {
            // A request that ended unnoticed may have proven a place too many. A room that has
            // shrunk refuses the next one as well.
            let is_repeated = self.recent(now).any(|refusal| refusal.in_size);
            let left = if is_repeated { level / 2 } else { level - 1 };
            self.size = left.max(1);
        }
        self.is_starting = false;
        if self.refusals.len() >= MAX_KEPT {
            self.refusals.remove(0);
        }
        self.refusals.push(KeptRefusal { at: now, level, in_size });
    }

    /// Records places that are taken now.
    pub(crate) fn prove(&mut self, counted: TakenPlaces) {
        let proven = counted.proven();
        self.draining = self.draining.min(proven);
        if proven > self.draining {
            self.size = self.size.max(proven);
        }
    }

    /// Records requests that ended without a refusal.
    pub(crate) fn ended(&mut self, count: u32) {
        self.ended += count;
    }

    /// Counts the time for which `taken` places were taken since the last call.
    pub(crate) fn count_taken(&mut self, taken: usize, now: TimePoint) {
        self.taken_us += taken as f64 * now.since(self.counted_at) as f64;
        self.counted_at = now;
        if now.since(self.averaged_at) < RUN_INTERVAL_US || self.ended == 0 {
            return;
        }
        let run_us = self.taken_us / f64::from(self.ended);
        self.run_us = Some(self.run_us.map_or(run_us, |before| (before + run_us) / 2.0));
        (self.taken_us, self.ended, self.averaged_at) = (0.0, 0, now);
    }

    /// Returns how many of at most `places` become free in a second while all are taken; `None`
    /// while that is not known. A server that has just started will prove more places than it has.
    pub(crate) fn freed_per_s(&self, places: usize) -> Option<f64> {
        let run_us = self.run_us.filter(|run_us| *run_us > 0.0)?;
        let size = if self.is_starting { places } else { self.size.min(places) };
        Some(size as f64 * MICROS_PER_SECOND / run_us)
    }
}
