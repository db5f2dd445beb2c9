//! Crashes of backend servers and the requests that they are attributed to, over all VMs.
//!
//! Each VM records the crashes that it sees, with its requests that broke at them, and the suspects
//! that completed. VMs send each other these records, so that all come to the same verdict, which
//! [`verdict_of`] gives. docs/PLATFORM.md, "Requests that crash servers", describes the whole.

use std::collections::VecDeque;

use crate::id::{MICROS_PER_MILLI, RequestFingerprint, TimePoint};
use crate::record::SuspectEntry;
use crate::subject::ServerStart;
use crate::suspect::{SuspectVerdict, verdict_of};
use crate::value;

/// How long before a crash a completed run of a request still shows that the request is innocent: a
/// request that crashes each server that runs it never completes.
const INNOCENCE_US: u64 = 60_000_000;
/// How much later than a crash a request must have been sent for its answer to show that the server
/// did not crash. Covers errors of the ages in reports.
const REFUTATION_MARGIN_US: u64 = 100_000;
/// How long after a crash a new start of the server, which is known once its entry is read, shows that an answer given
/// under the server's name was not the crashed one's, in microseconds.
const SUCCESSOR_US: u64 = 5_000_000;
/// Maximum number of starts of servers that are remembered for crashes that are reported later.
const MAX_STARTS: usize = 64;
/// How long a crash is reported often, in microseconds.
const NEW_US: u64 = 2_000_000;
/// Interval of the reports of a new crash, in microseconds.
const NEW_INTERVAL_US: u64 = 300_000;
/// Interval of the reports of what condemns a request, for VMs that start or were cut off.
const KEPT_INTERVAL_US: u64 = 1_000_000;
/// How long a crash is kept that condemns no request, in microseconds.
const RETENTION_US: u64 = 600_000_000;
/// How long a condemned request is refused before it may run once more, in microseconds, by the
/// number of such trials that crashed a server.
const HOLDS_US: [u64; 4] = [5_000_000, 60_000_000, 600_000_000, 86_400_000_000];
/// Time after a request was condemned in which attempts that were on their way may still crash
/// servers, which is no trial.
const SETTLE_US: u64 = 3_000_000;
/// Time slots for trials, in microseconds. The VMs have turns by rank, and a trial begins in the first
/// half of a slot, so that news of it arrive before the next VM begins one.
const TRIAL_SLOT_US: u64 = 1_000_000;
/// Maximum number of turns. Of more VMs several have the same one, since the caller of an innocent
/// request, who knows nothing of turns, would find one of hundreds too seldom.
const MAX_TRIAL_TURNS: usize = 8;
/// How long a trial may take, in microseconds.
const TRIAL_US: u64 = 5_000_000;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 128;
/// Maximum number of requests that one crash is attributed to.
const MAX_SUSPECTS: usize = 64;
/// Maximum number of crashes, and of completions, in one report.
const MAX_REPORTED: usize = 8;
/// Maximum number of completed requests that are remembered.
const MAX_COMPLETED: usize = 512;

value! {
    /// What a VM reports of crashes.
    #[derive(Default)]
    pub struct CrashReport {
        /// Crashes of servers.
        pub crashes: Vec<ReportedCrash>,
        /// Suspects that completed.
        pub completions: Vec<ReportedCompletion>,
    }

    /// A crash of a server.
    pub struct ReportedCrash {
        /// The server and its incarnation.
        pub start: ServerStart,
        /// Milliseconds since the crash.
        pub age_ms: u64,
        /// Requests that ran there, sorted. Only those that matter, if the crash is not new.
        pub suspects: Vec<RequestFingerprint>,
        /// Whether the incarnation answered later, so that it did not crash.
        pub refuted: bool,
    }

    /// A suspect that completed.
    #[derive(Copy)]
    pub struct ReportedCompletion {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// Milliseconds since it completed.
        pub age_ms: u64,
    }
}

/// A crash as this VM knows it.
#[derive(Clone, Debug)]
struct KnownCrash {
    start: ServerStart,
    at: TimePoint,
    suspects: Vec<RequestFingerprint>,
    /// Whether the server seemed to answer later.
    refuted: bool,
    /// Whether a new start of the server showed soon afterwards, which then gave that answer.
    succeeded: bool,
    report_state: ReportState,
}

impl KnownCrash {
    fn is_refuted(&self) -> bool {
        self.refuted && !self.succeeded
    }

    /// Returns whether a start of a server shows that the crashed one had ended.
    fn is_succeeded_by(&self, start: &ServerStart, known_at: TimePoint) -> bool {
        self.start.server == start.server
            && self.start.incarnation < start.incarnation
            && known_at.since(self.at) < SUCCESSOR_US
    }
}

/// A completed suspect as this VM knows it.
#[derive(Clone, Debug)]
struct KnownCompletion {
    fingerprint: RequestFingerprint,
    at: TimePoint,
    report_state: ReportState,
}

/// When a record was reported, and whose it is.
#[derive(Clone, Copy, Debug, Default)]
struct ReportState {
    /// Whether this VM saw it.
    own: bool,
    /// When this VM reported it last; `None` if it changed since.
    reported_at: Option<TimePoint>,
}

impl ReportState {
    /// Returns whether it is reported now: often while it is new, by the VM that saw it or by one that
    /// reports `all`, and now and then by each VM if it is `kept`.
    fn is_due(self, at: TimePoint, kept: bool, all: bool, now: TimePoint) -> bool {
        let elapsed = |interval| self.reported_at.is_none_or(|last| now.since(last) >= interval);
        let is_new = now.since(at) < NEW_US || self.reported_at.is_none();
        (is_new && (self.own || all) && elapsed(NEW_INTERVAL_US))
            || (kept && elapsed(KEPT_INTERVAL_US))
    }
}

/// A request that crashes are attributed to.
#[derive(Clone, Debug)]
struct JudgedRequest {
    entry: SuspectEntry,
    last_crash: TimePoint,
    condemned_at: Option<TimePoint>,
    failed_trials: usize,
}

impl JudgedRequest {
    fn of(fingerprint: RequestFingerprint) -> Self {
        let entry = SuspectEntry { fingerprint, crashes: 0, alone: 0 };
        Self { entry, last_crash: TimePoint(0), condemned_at: None, failed_trials: 0 }
    }

    fn crash(&mut self, at: TimePoint, alone: bool) {
        self.entry.crashes += 1;
        self.entry.alone += u32::from(alone);
        self.last_crash = at;
        match self.condemned_at {
            Some(condemned) => {
                self.failed_trials += usize::from(at.since(condemned) > SETTLE_US);
            }
            None if verdict_of(&self.entry) == SuspectVerdict::Condemned => {
                self.condemned_at = Some(at);
            }
            None => {}
        }
    }

    /// Returns the time until which a VM does not let it run; `None` if it may run once more now.
    fn held_until(&self, turn: TrialTurn, now: TimePoint) -> Option<TimePoint> {
        let hold_us = HOLDS_US[self.failed_trials.min(HOLDS_US.len() - 1)];
        let end = self.last_crash.plus(hold_us);
        let round_us = turn.turns as u64 * TRIAL_SLOT_US;
        let own_us = turn.own as u64 * TRIAL_SLOT_US;
        let in_round_us = now.since(end) % round_us;
        if now >= end && (own_us..own_us + TRIAL_SLOT_US / 2).contains(&in_round_us) {
            return None;
        }
        let wait_us = (round_us + own_us - in_round_us) % round_us;
        Some(now.max(end).plus(wait_us))
    }
}

/// Which of the turns for trials is a VM's.
#[derive(Clone, Copy, Debug)]
struct TrialTurn {
    own: usize,
    turns: usize,
}

impl TrialTurn {
    fn of(rank: usize, vms: usize) -> Self {
        let turns = vms.clamp(1, MAX_TRIAL_TURNS);
        Self { own: rank % turns, turns }
    }
}

/// What a record or report changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashChange {
    /// Whether there is anything new.
    pub changed: bool,
    /// Requests that are condemned since.
    pub condemned: Vec<SuspectEntry>,
    /// Condemned requests that turned out to be innocent.
    pub cleared: Vec<RequestFingerprint>,
}

/// The crashes that a VM knows of, with what follows from them.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// Sorted by server incarnation.
    crashes: Vec<KnownCrash>,
    /// Sorted by fingerprint.
    completions: Vec<KnownCompletion>,
    /// Requests that completed here, oldest first.
    recent: VecDeque<(RequestFingerprint, TimePoint)>,
    /// When the last answered request was sent to a server incarnation; sorted.
    answered: Vec<(ServerStart, TimePoint)>,
    /// Servers that started under a name that was used before, and when this became known.
    starts: VecDeque<(ServerStart, TimePoint)>,
    /// Sorted by fingerprint.
    judged: Vec<JudgedRequest>,
    /// Trials of condemned requests that run here, and when each is given up.
    trials: Vec<(RequestFingerprint, TimePoint)>,
}

impl CrashLedger {
    /// Records that this VM saw a server crash while `suspects` ran there.
    pub fn record_crash(
        &mut self,
        start: &ServerStart,
        at: TimePoint,
        suspects: &[RequestFingerprint],
        now: TimePoint,
    ) -> CrashChange {
        let changed = self.merge_crash(start, at, suspects, false, true, now);
        self.changed(changed, now)
    }

    /// Records that a server answered a request, which refutes a crash of it before `sent`.
    pub fn record_answer(
        &mut self,
        start: &ServerStart,
        sent: TimePoint,
        now: TimePoint,
    ) -> CrashChange {
        match self.answered.binary_search_by(|(known, _)| known.cmp(start)) {
            Ok(at) => self.answered[at].1 = self.answered[at].1.max(sent),
            Err(at) => self.answered.insert(at, (start.clone(), sent)),
        }
        let found = self.crashes.binary_search_by(|crash| crash.start.cmp(start));
        let Ok(at) = found else { return CrashChange::default() };
        let crash = &mut self.crashes[at];
        if crash.refuted || sent <= crash.at.plus(REFUTATION_MARGIN_US) {
            return CrashChange::default();
        }
        crash.refuted = true;
        crash.report_state = ReportState { own: true, reported_at: None };
        self.changed(true, now)
    }

    /// Records that a server started under its name. An answer under the name, by which a crash of an earlier start was taken
    /// back just before, was the new start's.
    pub fn record_start(&mut self, start: &ServerStart, now: TimePoint) -> CrashChange {
        if self.starts.len() >= MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((start.clone(), now));
        let mut changed = false;
        for crash in self.crashes.iter_mut().filter(|crash| crash.is_succeeded_by(start, now)) {
            changed |= crash.is_refuted();
            crash.succeeded = true;
        }
        self.changed(changed, now)
    }

    /// Forgets which servers answered, except for those that `is_known`.
    pub fn keep_answered(&mut self, is_known: impl Fn(&ServerStart) -> bool) {
        self.answered.retain(|(start, _)| is_known(start));
    }

    /// Records that a request completed here.
    pub fn record_completion(
        &mut self,
        fingerprint: RequestFingerprint,
        now: TimePoint,
    ) -> CrashChange {
        if self.recent.len() >= MAX_COMPLETED {
            self.recent.pop_front();
        }
        self.recent.push_back((fingerprint, now));
        self.trials.retain(|(trial, _)| *trial != fingerprint);
        let suspect = self.crashes.iter().any(|crash| crash.has_suspect(fingerprint));
        let changed = suspect && self.merge_completion(fingerprint, now, true);
        self.changed(changed, now)
    }

    /// Applies what another VM reported.
    pub fn apply(&mut self, report: &CrashReport, now: TimePoint) -> CrashChange {
        let ago = |age_ms: u64| TimePoint(now.0.saturating_sub(age_ms * MICROS_PER_MILLI));
        let mut changed = false;
        for crash in &report.crashes {
            let at = ago(crash.age_ms);
            changed |=
                self.merge_crash(&crash.start, at, &crash.suspects, crash.refuted, false, now);
        }
        for completion in &report.completions {
            changed |= self.merge_completion(completion.fingerprint, ago(completion.age_ms), false);
        }
        self.changed(changed, now)
    }

    /// Returns the verdict on a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: RequestFingerprint) -> SuspectVerdict {
        self.find(fingerprint).map_or(SuspectVerdict::Clear, |request| verdict_of(&request.entry))
    }

    /// Returns whether a request is condemned.
    #[must_use]
    pub fn is_condemned(&self, fingerprint: RequestFingerprint) -> bool {
        self.verdict(fingerprint) == SuspectVerdict::Condemned
    }

    /// Returns the time until which a request must not be sent; `None` if it may be sent now. A
    /// condemned request may run once more after a while, as an innocent one would complete. The VM of
    /// this rank among `vms` has turns for that.
    pub fn admit(
        &mut self,
        fingerprint: RequestFingerprint,
        rank: usize,
        vms: usize,
        now: TimePoint,
    ) -> Option<TimePoint> {
        let request = self.find(fingerprint)?;
        if verdict_of(&request.entry) != SuspectVerdict::Condemned {
            return None;
        }
        if let Some(until) = request.held_until(TrialTurn::of(rank, vms), now) {
            return Some(until);
        }
        self.trials.retain(|(_, end)| *end > now);
        if let Some((_, end)) = self.trials.iter().find(|(trial, _)| *trial == fingerprint) {
            return Some(*end);
        }
        self.trials.push((fingerprint, now.plus(TRIAL_US)));
        None
    }

    /// Returns what to report to other VMs now, and marks it as reported: what this VM saw, or `all`
    /// for an aggregator.
    pub fn take_report(&mut self, all: bool, now: TimePoint) -> CrashReport {
        let judged = &self.judged;
        let matters = |fingerprint: &RequestFingerprint| {
            let found = judged.binary_search_by_key(fingerprint, |known| known.entry.fingerprint);
            found.is_ok_and(|at| judged[at].entry.crashes > 1)
        };
        let mut report = CrashReport::default();
        for crash in &mut self.crashes {
            let kept = !crash.is_refuted() && crash.suspects.iter().any(matters);
            let due = crash.report_state.is_due(crash.at, kept, all, now);
            if !due || report.crashes.len() >= MAX_REPORTED {
                continue;
            }
            crash.report_state.reported_at = Some(now);
            let is_new = now.since(crash.at) < NEW_US;
            let suspects = crash.suspects.iter().filter(|suspect| is_new || matters(suspect));
            report.crashes.push(ReportedCrash {
                start: crash.start.clone(),
                age_ms: now.since(crash.at) / MICROS_PER_MILLI,
                suspects: suspects.copied().collect(),
                refuted: crash.is_refuted(),
            });
        }
        for completion in &mut self.completions {
            let due = completion.report_state.is_due(completion.at, false, all, now);
            if !due || report.completions.len() >= MAX_REPORTED {
                continue;
            }
            completion.report_state.reported_at = Some(now);
            let age_ms = now.since(completion.at) / MICROS_PER_MILLI;
            let fingerprint = completion.fingerprint;
            report.completions.push(ReportedCompletion { fingerprint, age_ms });
        }
        report
    }

    /// Lets everything that is kept be reported again, for a VM that knows none of it.
    pub fn report_again(&mut self) {
        for crash in &mut self.crashes {
            crash.report_state.reported_at = None;
            crash.report_state.own = true;
        }
    }

    /// Returns the number of requests under suspicion, and of condemned ones.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let condemned =
            |request: &&JudgedRequest| verdict_of(&request.entry) == SuspectVerdict::Condemned;
        let count = self.judged.iter().filter(condemned).count();
        (self.judged.len() - count, count)
    }

    fn find(&self, fingerprint: RequestFingerprint) -> Option<&JudgedRequest> {
        let found = self.judged.binary_search_by_key(&fingerprint, |known| known.entry.fingerprint);
        found.ok().map(|at| &self.judged[at])
    }

    fn merge_crash(
        &mut self,
        start: &ServerStart,
        at: TimePoint,
        suspects: &[RequestFingerprint],
        refuted: bool,
        own: bool,
        now: TimePoint,
    ) -> bool {
        let answered = self.answered.binary_search_by(|(known, _)| known.cmp(start));
        let answered = answered.map(|at| self.answered[at].1).unwrap_or_default();
        let seen_alive = answered > at.plus(REFUTATION_MARGIN_US);
        let position = match self.crashes.binary_search_by(|crash| crash.start.cmp(start)) {
            Ok(position) => position,
            Err(position) => {
                let reported_at = if own { None } else { Some(now) };
                let report_state = ReportState { own, reported_at };
                let crash = KnownCrash {
                    start: start.clone(),
                    at,
                    suspects: Vec::new(),
                    refuted: false,
                    succeeded: false,
                    report_state,
                };
                self.crashes.insert(position, crash);
                position
            }
        };
        let crash = &mut self.crashes[position];
        let before = (crash.suspects.len(), crash.is_refuted());
        crash.at = crash.at.min(at);
        crash.succeeded |=
            self.starts.iter().any(|(start, known)| crash.is_succeeded_by(start, *known));
        crash.refuted |= refuted || seen_alive;
        for &suspect in suspects {
            if let Err(at) = crash.suspects.binary_search(&suspect)
                && crash.suspects.len() < MAX_SUSPECTS
            {
                crash.suspects.insert(at, suspect);
            }
        }
        let changed = before != (crash.suspects.len(), crash.is_refuted());
        if changed {
            crash.report_state.own |= own || (seen_alive && !refuted);
            crash.report_state.reported_at = None;
            self.clear_recent(position, now);
        }
        changed
    }

    /// Records the completions of a crash's suspects that this VM remembers.
    fn clear_recent(&mut self, position: usize, now: TimePoint) {
        let suspects = self.crashes[position].suspects.clone();
        for suspect in suspects {
            let last = self.recent.iter().rev().find(|(known, _)| *known == suspect);
            if let Some(&(_, at)) = last.filter(|(_, at)| now.since(*at) < INNOCENCE_US) {
                self.merge_completion(suspect, at, true);
            }
        }
    }

    fn merge_completion(
        &mut self,
        fingerprint: RequestFingerprint,
        at: TimePoint,
        own: bool,
    ) -> bool {
        let report_state = ReportState { own, reported_at: None };
        let found = self.completions.binary_search_by_key(&fingerprint, |known| known.fingerprint);
        match found {
            Ok(position) => {
                let known = &mut self.completions[position];
                // The reports of one completion differ by the errors of their ages.
                if at <= known.at.plus(REFUTATION_MARGIN_US) {
                    return false;
                }
                *known = KnownCompletion { fingerprint, at, report_state };
            }
            Err(position) => {
                self.completions
                    .insert(position, KnownCompletion { fingerprint, at, report_state });
            }
        }
        true
    }

    /// Draws the conclusions from what is known now.
    fn changed(&mut self, changed: bool, now: TimePoint) -> CrashChange {
        if !changed {
            return CrashChange::default();
        }
        let before = std::mem::take(&mut self.judged);
        self.judge();
        self.drop_old(now);
        let condemned = |requests: &[JudgedRequest], fingerprint| {
            let found =
                requests.binary_search_by_key(&fingerprint, |known| known.entry.fingerprint);
            found.is_ok_and(|at| verdict_of(&requests[at].entry) == SuspectVerdict::Condemned)
        };
        let entries = self.judged.iter().map(|request| &request.entry);
        let new = entries.filter(|entry| {
            condemned(&self.judged, entry.fingerprint) && !condemned(&before, entry.fingerprint)
        });
        let old = before.iter().map(|request| request.entry.fingerprint);
        let cleared = old.filter(|fingerprint| {
            condemned(&before, *fingerprint) && !condemned(&self.judged, *fingerprint)
        });
        CrashChange { changed: true, condemned: new.cloned().collect(), cleared: cleared.collect() }
    }

    /// Attributes the crashes to requests, in the order in which they happened. Where known suspects
    /// ran at a server, only they are blamed for its crash.
    fn judge(&mut self) {
        let mut order: Vec<&KnownCrash> =
            self.crashes.iter().filter(|crash| !crash.is_refuted()).collect();
        order.sort_by(|a, b| (a.at, &a.start).cmp(&(b.at, &b.start)));
        let mut judged: Vec<JudgedRequest> = Vec::new();
        for crash in order {
            let suspects: Vec<RequestFingerprint> = crash
                .suspects
                .iter()
                .copied()
                .filter(|s| !self.is_innocent(*s, crash.at))
                .collect();
            let is_known = |fingerprint: &RequestFingerprint| {
                judged.binary_search_by_key(fingerprint, |known| known.entry.fingerprint).is_ok()
            };
            let known: Vec<RequestFingerprint> =
                suspects.iter().copied().filter(is_known).collect();
            let blamed = if known.is_empty() { suspects } else { known };
            for &fingerprint in &blamed {
                let found =
                    judged.binary_search_by_key(&fingerprint, |known| known.entry.fingerprint);
                let at = found.unwrap_or_else(|at| {
                    judged.insert(at, JudgedRequest::of(fingerprint));
                    at
                });
                judged[at].crash(crash.at, blamed.len() == 1);
            }
        }
        self.judged = judged;
    }

    /// Returns whether a request completed since, or shortly before, a crash.
    fn is_innocent(&self, fingerprint: RequestFingerprint, crashed: TimePoint) -> bool {
        let found = self.completions.binary_search_by_key(&fingerprint, |known| known.fingerprint);
        found.is_ok_and(|at| self.completions[at].at.plus(INNOCENCE_US) > crashed)
    }

    /// Bounds what is kept: crashes that condemn no request go first.
    fn drop_old(&mut self, now: TimePoint) {
        let longest = HOLDS_US[HOLDS_US.len() - 1];
        let judged = &self.judged;
        let condemns = |crash: &KnownCrash| {
            !crash.is_refuted()
                && crash.suspects.iter().any(|suspect| {
                    let found =
                        judged.binary_search_by_key(suspect, |known| known.entry.fingerprint);
                    found.is_ok_and(|at| judged[at].entry.crashes > 1)
                })
        };
        self.crashes.retain(|crash| {
            let kept_us = if condemns(crash) { longest } else { RETENTION_US };
            now.since(crash.at) < kept_us
        });
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, crash)| (condemns(crash), crash.at));
            let Some((position, _)) = oldest else { break };
            self.crashes.remove(position);
        }
        self.completions.retain(|known| now.since(known.at) < RETENTION_US);
    }
}

impl KnownCrash {
    fn has_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.suspects.binary_search(&fingerprint).is_ok()
    }
}
