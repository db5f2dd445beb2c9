//! When a quarantined request, or a request with a quarantined part, may run once more.
//!
//! A wrong verdict, and a fault that was mended since, end by a completed run. VMs have turns for such a trial, so that
//! one of them at a time risks a server.

use crate::id::TimePoint;
use crate::suspect::CrashSubject;

/// How long a subject is refused after a crash before it may run once more, in microseconds, by the number of trials
/// that crashed a server.
pub(crate) const HOLDS_US: [u64; 4] = [5_000_000, 60_000_000, 600_000_000, 86_400_000_000];
/// Time slots for trials of requests, in microseconds. A trial begins in the first half of a slot, so that news of it arrive
/// before the next VM begins one.
const REQUEST_SLOT_US: u64 = 1_000_000;
/// The same for parts. Many requests have the part, so that the next VM would not miss its turn while a trial waits for
/// its server to begin.
const PART_SLOT_US: u64 = 6_000_000;
/// Maximum number of turns for a request. Of more VMs several have the same one, since the caller of an innocent
/// request, who knows nothing of turns, would find one of hundreds too seldom.
const MAX_REQUEST_TURNS: usize = 24;
/// How long a trial may take, in microseconds.
pub(crate) const TRIAL_US: u64 = 5_000_000;

/// Returns how long a subject is refused after a crash.
pub(crate) fn hold_us(failed_trials: usize) -> u64 {
    HOLDS_US[failed_trials.min(HOLDS_US.len() - 1)]
}

/// Which of the turns for trials is a VM's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialTurn {
    is_part: bool,
    own: u64,
    turns: u64,
    slot_us: u64,
}

impl TrialTurn {
    /// Returns the turn of the VM with this rank among `vms` for a subject.
    pub(crate) fn of(subject: CrashSubject, rank: usize, vms: usize) -> Self {
        let (turns, slot_us) = match subject {
            CrashSubject::Part(_) => (vms.max(1), PART_SLOT_US),
            CrashSubject::Request(_) => (vms.clamp(1, MAX_REQUEST_TURNS), REQUEST_SLOT_US),
        };
        let own = (rank % turns) as u64;
        Self { is_part: subject.is_part(), own, turns: turns as u64, slot_us }
    }

    /// Returns the time until which a request must wait for a trial of what is held until `end`; `None` if the VM may begin
    /// one now.
    pub(crate) fn held_until(self, end: TimePoint, now: TimePoint) -> Option<TimePoint> {
        let (round_us, own_us) = (self.turns * self.slot_us, self.own * self.slot_us);
        let in_round_us = now.since(end) % round_us;
        if now >= end && (own_us..own_us + self.slot_us / 2).contains(&in_round_us) {
            return None;
        }
        if self.is_part {
            // Another VM may release the part long before this one has its turn.
            return Some(end.max(now.plus(self.slot_us / 2)));
        }
        let wait_us = (round_us + own_us - in_round_us) % round_us;
        Some(now.max(end).plus(wait_us))
    }
}
