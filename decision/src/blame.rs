//! Attributes crashes of servers to what ran there.
//!
//! What crashes each server that runs it is present at each of its crashes and never completes in between. Of all that
//! broke at a crash, what explains the most crashes before is blamed for this one as well, and only that. See
//! docs/PLATFORM.md, "Requests that crash servers".

use crate::begun_trial::TrialCount;
use crate::id::TimePoint;
use crate::suspect::{CrashSubject, SuspectVerdict};
use crate::trial::hold_us;

/// Time after a subject was quarantined in which attempts that were on their way may still crash servers, which is no
/// trial.
const SETTLE_US: u64 = 3_000_000;
/// Crashes of a part within this time count once: servers that end together, as in the loss of a failure domain, may
/// all run it.
const SAME_EVENT_US: u64 = 50_000;

/// A crash and what it may be attributed to.
pub(crate) struct CrashScene {
    pub(crate) at: TimePoint,
    /// What broke there and did not complete about that time.
    pub(crate) suspects: Vec<CrashSuspect>,
    /// Whether others may have completed that this VM was not told of yet.
    pub(crate) is_untold: bool,
}

/// One of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashSuspect {
    pub(crate) subject: CrashSubject,
    /// Whether it completed some time before.
    pub(crate) completed_before: bool,
}

/// A subject that crashes are attributed to.
#[derive(Clone, Debug)]
pub(crate) struct JudgedSubject {
    pub(crate) subject: CrashSubject,
    /// Number of crashes that are attributed to it.
    pub(crate) crashes: u32,
    /// Number of these that are attributed to nothing else.
    pub(crate) alone: u32,
    pub(crate) last_crash: TimePoint,
    last_counted: Option<TimePoint>,
    quarantined_at: Option<TimePoint>,
    failed_trials: usize,
}

impl JudgedSubject {
    fn new(subject: CrashSubject) -> Self {
        Self {
            subject,
            crashes: 0,
            alone: 0,
            last_crash: TimePoint(0),
            last_counted: None,
            quarantined_at: None,
            failed_trials: 0,
        }
    }

    pub(crate) fn verdict(&self) -> SuspectVerdict {
        self.subject.verdict(self.crashes, self.alone)
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        self.verdict() == SuspectVerdict::Condemned
    }

    /// Returns until when it is refused, after these trials. `extra` failed ones are added.
    pub(crate) fn hold_end(&self, trials: TrialCount, extra: usize) -> TimePoint {
        let failed = self.failed_trials.max(trials.begun);
        self.last_crash.max(trials.last).plus(hold_us(failed + extra))
    }

    fn crash(&mut self, at: TimePoint, alone: bool) {
        self.last_crash = at;
        let is_same = |counted: TimePoint| at.since(counted) < SAME_EVENT_US;
        if self.subject.is_part() && self.last_counted.is_some_and(is_same) {
            return;
        }
        self.last_counted = Some(at);
        self.crashes += 1;
        self.alone += u32::from(alone);
        match self.quarantined_at {
            Some(quarantined) => {
                self.failed_trials += usize::from(at.since(quarantined) > SETTLE_US)
            }
            None if self.is_quarantined() => self.quarantined_at = Some(at),
            None => {}
        }
    }
}

/// Attributes crashes, in the order in which they happened, to their suspects. Returns those that any is attributed to,
/// sorted.
pub(crate) fn judge(scenes: &[CrashScene]) -> Vec<JudgedSubject> {
    let all = scenes.iter().flat_map(|scene| &scene.suspects);
    let mut subjects: Vec<CrashSubject> = all.map(|suspect| suspect.subject).collect();
    subjects.sort_unstable();
    subjects.dedup();
    let mut judged: Vec<JudgedSubject> = subjects.into_iter().map(JudgedSubject::new).collect();
    for scene in scenes {
        let blamed = blamed(&judged, &scene.suspects);
        for &at in &blamed {
            judged[at].crash(scene.at, blamed.len() == 1 && !scene.is_untold);
        }
    }
    judged.retain(|subject| subject.crashes > 0);
    judged
}

/// Returns the indices of the subjects that are blamed for a crash: quarantined ones if any ran there, else those with
/// the most crashes so far. Of parts with equally many, one that never completed is blamed rather than one that did:
/// the requests that crash servers may all have both.
fn blamed(judged: &[JudgedSubject], suspects: &[CrashSuspect]) -> Vec<usize> {
    let find = |suspect: &CrashSuspect| {
        let found = judged.binary_search_by_key(&suspect.subject, |known| known.subject);
        found.ok().map(|at| (at, suspect.completed_before))
    };
    let mut found: Vec<(usize, bool)> = suspects.iter().filter_map(find).collect();
    if found.iter().any(|(at, _)| judged[*at].is_quarantined()) {
        found.retain(|(at, _)| judged[*at].is_quarantined());
    } else {
        let most = found.iter().map(|(at, _)| judged[*at].crashes).max().unwrap_or(0);
        found.retain(|(at, _)| judged[*at].crashes == most);
        let is_new = |(at, completed): &(usize, bool)| judged[*at].subject.is_part() && !completed;
        if most > 0 && found.iter().any(is_new) {
            found.retain(|(at, completed)| !judged[*at].subject.is_part() || !completed);
        }
    }
    found.into_iter().map(|(at, _)| at).collect()
}
