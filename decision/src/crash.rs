//! Crashes of backend servers and what they are attributed to, over all VMs.
//!
//! Each VM records the crashes that it sees, with its requests that broke at them and the parts that their prompts
//! share, and the suspects that completed. VMs send each other these records, so that all come to the same verdict,
//! which [`CrashSubject::verdict`] gives. docs/PLATFORM.md, "Requests that crash servers", describes the whole.

use std::cmp::Reverse;
use std::collections::VecDeque;

use crate::begun_trial::TrialList;
use crate::blame::{CrashScene, CrashSuspect, JudgedSubject, judge};
pub use crate::crash_report::{
    CompletedPart, CrashReport, ReportedCompletion, ReportedCrash, ReportedTrial,
};
use crate::crash_report::{NEW_US, ReportState};
use crate::id::{MICROS_PER_MILLI, PartFingerprint, RequestFingerprint, TimePoint};
use crate::subject::ServerStart;
use crate::suspect::{CrashSubject, SuspectVerdict};
use crate::trial::{HOLDS_US, TRIAL_US, TrialTurn};

/// How long before a crash a completed run of a request still shows that the request is innocent: a
/// request that crashes each server that runs it never completes. A part that completed for so long before is blamed
/// only if nothing else explains the crash as well.
const INNOCENCE_US: u64 = 60_000_000;
/// How long before a crash a completed request shows that its parts are innocent. It is short, since a part may begin to
/// crash servers that ran it before.
const PART_INNOCENCE_US: u64 = 3_000_000;
/// A crash within this time of a refusal by a server that bears few is one under refusals, in microseconds.
const OVERLOADED_US: u64 = 300_000;
/// How long refusals are kept, in microseconds: crashes are reported within it.
const KEPT_REFUSAL_US: u64 = 3_000_000;
/// Maximum number of servers whose refusals are kept.
const MAX_REFUSALS: usize = 256;
/// How much later than a crash a request must have been sent for its answer to show that the server
/// did not crash. Covers errors of the ages in reports.
const REFUTATION_MARGIN_US: u64 = 100_000;
/// How long after a crash a new start of the server, which is known once its entry is read, shows that an answer given
/// under the server's name was not the crashed one's, in microseconds.
const SUCCESSOR_US: u64 = 5_000_000;
/// Maximum number of starts of servers that are remembered for crashes that are reported later.
const MAX_STARTS: usize = 64;
/// How long after its start a VM may not have been told of what completed before, in microseconds.
const UNTOLD_US: u64 = 3_000_000;
/// How long a crash is kept that quarantines no request, in microseconds.
const RETENTION_US: u64 = 600_000_000;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 128;
/// Maximum number of requests, and of parts, that one crash is attributed to: those at a full server.
const MAX_SUSPECTS: usize = 192;
/// Maximum number of crashes in one report.
const MAX_REPORTED: usize = 8;
/// Maximum number of completions in one report.
const MAX_REPORTED_COMPLETIONS: usize = 32;
/// Maximum number of crashes whose suspects are all recorded; of older ones only those that other crashes are attributed to.
const MAX_RECORDED_NEW: usize = 16;
/// Maximum number of subjects in one record, and of completions.
const MAX_RECORDED_SUBJECTS: usize = 8_192;
const MAX_RECORDED_COMPLETIONS: usize = 512;
/// Maximum number of completed requests that are remembered.
const MAX_COMPLETED: usize = 512;
/// Maximum number of parts of completed requests that are remembered.
const MAX_COMPLETED_PARTS: usize = 4_096;
/// Maximum number of completions of suspects that are kept.
const MAX_COMPLETIONS: usize = 8_192;

/// A crash as this VM knows it.
#[derive(Clone, Debug)]
struct KnownCrash {
    start: ServerStart,
    at: TimePoint,
    /// Sorted.
    suspects: Vec<CrashSubject>,
    /// Whether the server seemed to answer later.
    refuted: bool,
    /// Whether the server fell over under the requests that it refused.
    overloaded: bool,
    /// Whether a new start of the server showed soon afterwards, which then gave that answer.
    succeeded: bool,
    report_state: ReportState,
}

impl KnownCrash {
    fn is_refuted(&self) -> bool {
        self.overloaded || self.refuted && !self.succeeded
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
    subject: CrashSubject,
    at: TimePoint,
    report_state: ReportState,
}

/// What a record or report changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashChange {
    /// Whether there is anything new.
    pub changed: bool,
    /// What is quarantined since.
    pub quarantined: Vec<QuarantinedSubject>,
    /// What was quarantined and turned out to be innocent.
    pub cleared: Vec<CrashSubject>,
}

/// What is quarantined, and by how much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedSubject {
    /// The request or the part.
    pub subject: CrashSubject,
    /// Number of crashes that are attributed to it.
    pub crashes: u32,
    /// Number of these that are attributed to nothing else.
    pub alone: u32,
}

/// How many requests and parts crashes are attributed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubjectCounts {
    /// Requests that are not quarantined.
    pub suspects: usize,
    /// Quarantined requests.
    pub quarantined: usize,
    /// Parts that are not quarantined.
    pub suspect_parts: usize,
    /// Condemned parts.
    pub quarantined_parts: usize,
}

/// The crashes that a VM knows of, with what follows from them.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    /// Sorted by server incarnation.
    crashes: Vec<KnownCrash>,
    /// Sorted by subject.
    completions: Vec<KnownCompletion>,
    /// Requests that completed here, oldest first.
    recent: VecDeque<(RequestFingerprint, TimePoint)>,
    /// When a request with this part last completed here; sorted.
    recent_parts: Vec<(PartFingerprint, TimePoint)>,
    /// When the last answered request was sent to a server incarnation; sorted.
    answered: Vec<(ServerStart, TimePoint)>,
    /// Servers that bear few refusals, and when they last refused a request of this VM.
    refusals: Vec<(ServerStart, TimePoint)>,
    /// Servers that started under a name that was used before, and when this became known.
    starts: VecDeque<(ServerStart, TimePoint)>,
    /// Sorted by subject.
    judged: Vec<JudgedSubject>,
    /// Quarantined subjects for which a request here has this VM's turn, and when that is over.
    turns: Vec<(CrashSubject, TimePoint)>,
    trials: TrialList,
    /// Number of changes so far.
    revision: u64,
    /// Whether anything became more suspect, or a trial began or was taken back, since this was last asked.
    has_news: bool,
    /// When the VM started, until it has been told of what completed before.
    started_at: Option<TimePoint>,
}

impl CrashLedger {
    /// Returns a ledger for a VM that starts now. Until others have told it what completes, a crash since its start is
    /// not attributed to one subject for certain.
    #[must_use]
    pub fn starting(now: TimePoint) -> Self {
        Self { started_at: Some(now), ..Self::default() }
    }

    /// Draws the conclusions that the VM could not draw when it had just started.
    pub fn review(&mut self, now: TimePoint) -> CrashChange {
        let is_told = self.started_at.is_some_and(|started| now.since(started) >= UNTOLD_US);
        if is_told {
            self.started_at = None;
        }
        self.changed(is_told, now)
    }

    /// Records that this VM saw a server crash while requests with these subjects ran there. Parts that requests
    /// completed with here shortly before are left out.
    pub fn record_crash(
        &mut self,
        start: &ServerStart,
        at: TimePoint,
        subjects: &[CrashSubject],
        now: TimePoint,
    ) -> CrashChange {
        let is_suspect = |subject: &CrashSubject| match subject {
            CrashSubject::Part(part) => {
                let last = self.last_run(*part);
                last.is_none_or(|last| last.plus(PART_INNOCENCE_US) <= at)
            }
            CrashSubject::Request(_) => true,
        };
        let suspects: Vec<CrashSubject> = subjects.iter().copied().filter(is_suspect).collect();
        let changed = self.merge_crash(start, at, &suspects, false, true, now);
        self.changed(changed, now)
    }

    /// Records that a server which bears few refusals refused a request for want of room. It falls over under the
    /// next ones, so that a crash about then is not attributed to what ran there.
    pub fn record_refusal(&mut self, start: &ServerStart, now: TimePoint) -> CrashChange {
        self.refusals.retain(|(_, at)| now.since(*at) < KEPT_REFUSAL_US);
        match self.refusals.iter().position(|(known, _)| known == start) {
            Some(position) => self.refusals[position].1 = now,
            None if self.refusals.len() >= MAX_REFUSALS => {}
            None => self.refusals.push((start.clone(), now)),
        }
        let known = self.crashes.binary_search_by(|crash| crash.start.cmp(start));
        let follows = known.is_ok_and(|at| now.since(self.crashes[at].at) < OVERLOADED_US);
        let changed = follows && self.excuse(start, true);
        self.changed(changed, now)
    }

    /// Marks a known crash as one under refusals. Returns whether that is new.
    fn excuse(&mut self, start: &ServerStart, own: bool) -> bool {
        let Ok(at) = self.crashes.binary_search_by(|crash| crash.start.cmp(start)) else {
            return false;
        };
        let crash = &mut self.crashes[at];
        if std::mem::replace(&mut crash.overloaded, true) {
            return false;
        }
        crash.report_state.own |= own;
        crash.report_state.reported_at = None;
        true
    }

    /// Returns whether a server refused a request of this VM just before a crash.
    fn refused_before(&self, start: &ServerStart, at: TimePoint) -> bool {
        let refused = self.refusals.iter().find(|(known, _)| known == start);
        refused.is_some_and(|(_, refused)| {
            at.since(*refused) < OVERLOADED_US && refused.since(at) < OVERLOADED_US
        })
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

    /// Records that a request with these subjects completed here.
    pub fn record_completion(&mut self, subjects: &[CrashSubject], now: TimePoint) -> CrashChange {
        let mut changed = false;
        for &subject in subjects {
            match subject {
                CrashSubject::Part(part) => self.remember_part(part, now),
                CrashSubject::Request(fingerprint) => self.remember_request(fingerprint, now),
            }
            self.turns.retain(|(trial, _)| *trial != subject);
            changed |= self.clears(subject) && self.complete(subject, now, true);
        }
        self.changed(changed, now)
    }

    fn remember_request(&mut self, fingerprint: RequestFingerprint, now: TimePoint) {
        if self.recent.len() >= MAX_COMPLETED {
            self.recent.pop_front();
        }
        self.recent.push_back((fingerprint, now));
    }

    fn remember_part(&mut self, part: PartFingerprint, now: TimePoint) {
        match self.recent_parts.binary_search_by_key(&part, |(known, _)| *known) {
            Ok(at) => self.recent_parts[at].1 = now,
            Err(at) => self.recent_parts.insert(at, (part, now)),
        }
        if self.recent_parts.len() > MAX_COMPLETED_PARTS {
            let mut times: Vec<TimePoint> = self.recent_parts.iter().map(|(_, at)| *at).collect();
            let (_, middle, _) = times.select_nth_unstable(MAX_COMPLETED_PARTS / 2);
            let middle = *middle;
            self.recent_parts.retain(|(_, at)| *at >= middle);
        }
    }

    /// Returns when a request with a part last completed here, if this VM remembers.
    fn last_run(&self, part: PartFingerprint) -> Option<TimePoint> {
        let found = self.recent_parts.binary_search_by_key(&part, |(known, _)| *known);
        found.ok().map(|at| self.recent_parts[at].1)
    }

    /// Returns whether a completion of a subject now would clear it of a crash that it is not yet cleared of.
    fn clears(&self, subject: CrashSubject) -> bool {
        let is_open = |crash: &KnownCrash| {
            crash.has_suspect(subject)
                && (!subject.is_part() || !self.is_innocent(subject, crash.at))
        };
        self.crashes.iter().any(is_open)
    }

    /// Applies what another VM reported.
    pub fn apply(&mut self, report: &CrashReport, now: TimePoint) -> CrashChange {
        let ago = |age_ms: u64| TimePoint(now.0.saturating_sub(age_ms * MICROS_PER_MILLI));
        let mut changed = false;
        for crash in &report.crashes {
            let at = ago(crash.age_ms);
            let subjects = crash.subjects();
            changed |= self.merge_crash(&crash.start, at, &subjects, crash.refuted, false, now);
            changed |= crash.overloaded && self.excuse(&crash.start, false);
        }
        for completion in &report.completions {
            let subject = CrashSubject::Request(completion.fingerprint);
            changed |= self.complete(subject, ago(completion.age_ms), false);
        }
        for completion in &report.completed_parts {
            let subject = CrashSubject::Part(completion.part);
            changed |= self.complete(subject, ago(completion.age_ms), false);
        }
        for trial in &report.trials {
            let at = ago(trial.age_ms);
            let is_news =
                !self.completed_since(trial.subject, 0, at) && self.trials.apply(trial, at);
            self.has_news |= is_news;
            changed |= is_news;
        }
        self.changed(changed, now)
    }

    /// Returns the verdict on a request or a part.
    #[must_use]
    pub fn verdict(&self, subject: CrashSubject) -> SuspectVerdict {
        self.find(subject).map_or(SuspectVerdict::Clear, JudgedSubject::verdict)
    }

    /// Returns those of a request's subjects that are quarantined.
    #[must_use]
    pub fn quarantined(&self, subjects: &[CrashSubject]) -> Vec<CrashSubject> {
        let is_quarantined =
            |subject: &CrashSubject| self.find(*subject).is_some_and(JudgedSubject::is_quarantined);
        subjects.iter().copied().filter(is_quarantined).collect()
    }

    /// Returns whether a request or a part is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, subject: impl Into<CrashSubject>) -> bool {
        self.verdict(subject.into()) == SuspectVerdict::Condemned
    }

    /// Returns until when quarantined subjects are refused after the last crash or trial of any of them.
    #[must_use]
    pub fn hold_end(&self, quarantined: &[CrashSubject]) -> Option<TimePoint> {
        let extra = usize::from(quarantined.len() > 1);
        let ends = quarantined.iter().filter_map(|subject| {
            let trials = self.trials.count(*subject);
            self.find(*subject).map(|judged| judged.hold_end(trials, extra))
        });
        ends.max()
    }

    /// Returns the time until which a request with these subjects must not be sent; `None` if it may be sent now. What
    /// is quarantined may run once more after a while, as it would complete if innocent. This VM has turns for that, by its
    /// rank for the subject among `vms`. A request with several quarantined subjects tells nothing of each if it crashes
    /// its server, so that it waits longer.
    pub fn admit(
        &mut self,
        subjects: &[CrashSubject],
        rank: impl Fn(CrashSubject) -> usize,
        vms: usize,
        now: TimePoint,
    ) -> Option<TimePoint> {
        let quarantined = self.quarantined(subjects);
        let subject = *quarantined.first()?;
        let end = self.hold_end(&quarantined)?;
        let turn = TrialTurn::of(subject, rank(subject), vms);
        if let Some(until) = turn.held_until(end, now) {
            return Some(until);
        }
        self.turns.retain(|(_, end)| *end > now);
        if let Some((_, end)) = self.turns.iter().find(|(trial, _)| quarantined.contains(trial)) {
            return Some(*end);
        }
        self.turns.extend(quarantined.iter().map(|subject| (*subject, now.plus(TRIAL_US))));
        None
    }

    /// Records that a request that was admitted although it has quarantined subjects is sent to a server: their trial
    /// begins. Returns those subjects.
    pub fn begin_trial(&mut self, subjects: &[CrashSubject], now: TimePoint) -> Vec<CrashSubject> {
        let quarantined = self.quarantined(subjects);
        quarantined.iter().for_each(|subject| self.trials.begin(*subject, now));
        self.has_news |= !quarantined.is_empty();
        self.changed(!quarantined.is_empty(), now);
        quarantined
    }

    /// Records that no server ran the trial that began last here.
    pub fn trial_not_run(&mut self, subjects: &[CrashSubject], now: TimePoint) {
        for subject in subjects {
            self.trials.not_run(*subject);
            self.turns.retain(|(trial, _)| trial != subject);
        }
        self.has_news = true;
        self.changed(true, now);
    }

    /// Returns how many trials of a subject may have reached servers.
    #[must_use]
    pub fn trials(&self, subject: CrashSubject) -> usize {
        self.trials.count(subject).begun
    }

    /// Returns what to report to other VMs now, and marks it as reported: what this VM saw, or `all`
    /// for an aggregator.
    pub fn take_report(&mut self, all: bool, now: TimePoint) -> CrashReport {
        let judged = &self.judged;
        let matters = |subject: &CrashSubject| is_repeated(judged, *subject);
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
            report.crashes.push(crash.reported(suspects, now));
        }
        let mut room = MAX_REPORTED_COMPLETIONS;
        for completion in &mut self.completions {
            let due = completion.report_state.is_due(completion.at, false, all, now);
            if !due || room == 0 {
                continue;
            }
            room -= 1;
            completion.report_state.reported_at = Some(now);
            let age_ms = now.since(completion.at) / MICROS_PER_MILLI;
            report.push_completion(completion.subject, age_ms);
        }
        report.trials = self.trials.take_due(all, now);
        report
    }

    /// Returns a number that differs after each change of what is known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether anything became more suspect since the last call, so that it has to be recorded soon.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns what has to outlast all VMs: the crashes with the suspects that remain, the trials, and which suspects
    /// completed, as an older record of another VM may still name them.
    #[must_use]
    pub fn record(&self, now: TimePoint) -> CrashReport {
        let age_ms = |at: TimePoint| now.since(at) / MICROS_PER_MILLI;
        let repeats = |crash: &KnownCrash| {
            crash.suspects.iter().any(|suspect| is_repeated(&self.judged, *suspect))
        };
        let mut crashes: Vec<&KnownCrash> =
            self.crashes.iter().filter(|crash| !crash.is_refuted()).collect();
        crashes.sort_by_key(|crash| Reverse((repeats(crash), crash.at)));
        let mut room = MAX_RECORDED_SUBJECTS;
        let mut report = CrashReport { trials: self.trials.all(now), ..CrashReport::default() };
        for (number, crash) in crashes.into_iter().enumerate() {
            let all = number < MAX_RECORDED_NEW;
            let suspects = crash.suspects.iter().filter(|suspect| {
                !self.is_innocent(**suspect, crash.at)
                    && (all || is_repeated(&self.judged, **suspect))
            });
            let reported = crash.reported(suspects.take(room), now);
            let subjects = reported.suspects.len() + reported.parts.len();
            room -= subjects;
            if subjects > 0 {
                report.crashes.push(reported);
            }
        }
        let is_suspect = |subject| self.crashes.iter().any(|crash| crash.has_suspect(subject));
        let mut completions: Vec<&KnownCompletion> =
            self.completions.iter().filter(|known| is_suspect(known.subject)).collect();
        completions.sort_by_key(|known| Reverse(known.at));
        for known in completions.into_iter().take(MAX_RECORDED_COMPLETIONS) {
            report.push_completion(known.subject, age_ms(known.at));
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

    /// Returns how many requests and parts crashes are attributed to.
    #[must_use]
    pub fn counts(&self) -> SubjectCounts {
        let mut counts = SubjectCounts::default();
        for judged in &self.judged {
            let count = match (judged.subject.is_part(), judged.is_quarantined()) {
                (false, false) => &mut counts.suspects,
                (false, true) => &mut counts.quarantined,
                (true, false) => &mut counts.suspect_parts,
                (true, true) => &mut counts.quarantined_parts,
            };
            *count += 1;
        }
        counts
    }

    fn find(&self, subject: CrashSubject) -> Option<&JudgedSubject> {
        find(&self.judged, subject)
    }

    fn merge_crash(
        &mut self,
        start: &ServerStart,
        at: TimePoint,
        suspects: &[CrashSubject],
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
                    overloaded: false,
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
        suspects.iter().for_each(|suspect| crash.add_suspect(*suspect));
        let changed = before != (crash.suspects.len(), crash.is_refuted());
        if changed {
            self.has_news = true;
            crash.report_state.own |= own || (seen_alive && !refuted);
            crash.report_state.reported_at = None;
            self.clear_recent(position);
        }
        let excused = self.refused_before(start, at) && self.excuse(start, true);
        changed || excused
    }

    /// Records the completions of a crash's suspects that this VM remembers: of a part, an older one only if further
    /// crashes are attributed to it.
    fn clear_recent(&mut self, position: usize) {
        let at = self.crashes[position].at;
        for suspect in self.crashes[position].suspects.clone() {
            let last = match suspect {
                CrashSubject::Part(part) => self.last_run(part),
                CrashSubject::Request(request) => {
                    let last = self.recent.iter().rev().find(|(known, _)| *known == request);
                    last.map(|(_, at)| *at)
                }
            };
            let is_short = suspect.is_part() && self.find(suspect).is_none();
            let innocence_us = if is_short { PART_INNOCENCE_US } else { INNOCENCE_US };
            if let Some(last) = last.filter(|last| last.plus(innocence_us) > at) {
                self.merge_completion(suspect, last, true);
            }
        }
    }

    /// Records a completion. Returns whether it changes what crashes are attributed to.
    fn complete(&mut self, subject: CrashSubject, at: TimePoint, own: bool) -> bool {
        self.merge_completion(subject, at, own) && self.find(subject).is_some()
    }

    fn merge_completion(&mut self, subject: CrashSubject, at: TimePoint, own: bool) -> bool {
        self.trials.completed(subject, at);
        let report_state = ReportState { own, reported_at: None };
        let completion = KnownCompletion { subject, at, report_state };
        match self.completions.binary_search_by_key(&subject, |known| known.subject) {
            Ok(position) => {
                let known = &mut self.completions[position];
                // The reports of one completion differ by the errors of their ages.
                if at <= known.at.plus(REFUTATION_MARGIN_US) {
                    return false;
                }
                *known = completion;
            }
            Err(position) => self.completions.insert(position, completion),
        }
        true
    }

    /// Draws the conclusions from what is known now.
    fn changed(&mut self, changed: bool, now: TimePoint) -> CrashChange {
        if !changed {
            return CrashChange::default();
        }
        self.revision += 1;
        let judged = judge(&self.scenes());
        let before = std::mem::replace(&mut self.judged, judged);
        self.drop_old(now);
        let is_quarantined = |judged: &[JudgedSubject], subject| {
            find(judged, subject).is_some_and(JudgedSubject::is_quarantined)
        };
        let new = self
            .judged
            .iter()
            .filter(|judged| judged.is_quarantined() && !is_quarantined(&before, judged.subject));
        let quarantined = new.map(|judged| QuarantinedSubject {
            subject: judged.subject,
            crashes: judged.crashes,
            alone: judged.alone,
        });
        let old = before.iter().filter(|judged| {
            judged.is_quarantined() && !is_quarantined(&self.judged, judged.subject)
        });
        let cleared = old.map(|judged| judged.subject).collect();
        CrashChange { changed: true, quarantined: quarantined.collect(), cleared }
    }

    /// Returns the crashes in the order in which they happened, with those of their suspects that did not complete.
    fn scenes(&self) -> Vec<CrashScene> {
        let mut order: Vec<&KnownCrash> =
            self.crashes.iter().filter(|crash| !crash.is_refuted()).collect();
        order.sort_by(|a, b| (a.at, &a.start).cmp(&(b.at, &b.start)));
        let scene = |crash: &KnownCrash| {
            let suspects = crash.suspects.iter().filter(|s| !self.is_innocent(**s, crash.at));
            let suspects = suspects.map(|subject| CrashSuspect {
                subject: *subject,
                completed_before: self.completed_since(*subject, INNOCENCE_US, crash.at),
            });
            let is_untold = self.started_at.is_some_and(|started| crash.at >= started);
            CrashScene { at: crash.at, suspects: suspects.collect(), is_untold }
        };
        order.into_iter().map(scene).collect()
    }

    /// Returns whether a subject completed since, or shortly before, a crash.
    fn is_innocent(&self, subject: CrashSubject, crashed: TimePoint) -> bool {
        let innocence_us = if subject.is_part() { PART_INNOCENCE_US } else { INNOCENCE_US };
        self.completed_since(subject, innocence_us, crashed)
    }

    /// Returns whether a subject completed since `before_us` before a crash.
    fn completed_since(&self, subject: CrashSubject, before_us: u64, crashed: TimePoint) -> bool {
        let found = self.completions.binary_search_by_key(&subject, |known| known.subject);
        found.is_ok_and(|at| self.completions[at].at.plus(before_us) > crashed)
    }

    /// Bounds what is kept: crashes that condemn nothing go first.
    fn drop_old(&mut self, now: TimePoint) {
        let longest = HOLDS_US[HOLDS_US.len() - 1];
        let judged = &self.judged;
        let quarantines = |crash: &KnownCrash| {
            !crash.is_refuted() && crash.suspects.iter().any(|known| is_repeated(judged, *known))
        };
        self.crashes.retain(|crash| {
            let kept_us = if quarantines(crash) { longest } else { RETENTION_US };
            now.since(crash.at) < kept_us
        });
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, crash)| (quarantines(crash), crash.at));
            let Some((position, _)) = oldest else { break };
            self.crashes.remove(position);
        }
        let judged = &self.judged;
        let is_quarantined =
            |subject| find(judged, subject).is_some_and(JudgedSubject::is_quarantined);
        self.trials.drop_old(now, is_quarantined);
        self.drop_completions(now);
    }

    /// Drops old completions. A crash that is kept for longer forgets what they cleared, which would be suspect again.
    fn drop_completions(&mut self, now: TimePoint) {
        let mut kept_us = RETENTION_US;
        if self.completions.len() > MAX_COMPLETIONS {
            let mut ages: Vec<u64> =
                self.completions.iter().map(|known| now.since(known.at)).collect();
            let (_, middle, _) = ages.select_nth_unstable(MAX_COMPLETIONS / 2);
            kept_us = kept_us.min(*middle);
        }
        if self.completions.iter().all(|known| now.since(known.at) <= kept_us) {
            return;
        }
        let mut crashes = std::mem::take(&mut self.crashes);
        for crash in &mut crashes {
            crash.suspects.retain(|suspect| !self.is_innocent(*suspect, crash.at));
        }
        self.crashes = crashes;
        self.completions.retain(|known| now.since(known.at) <= kept_us);
    }
}

fn find(judged: &[JudgedSubject], subject: CrashSubject) -> Option<&JudgedSubject> {
    let found = judged.binary_search_by_key(&subject, |known| known.subject);
    found.ok().map(|at| &judged[at])
}

/// Returns whether more than one crash is attributed to a subject.
fn is_repeated(judged: &[JudgedSubject], subject: CrashSubject) -> bool {
    find(judged, subject).is_some_and(|known| known.crashes > 1)
}

impl KnownCrash {
    /// Returns the crash with some of its suspects, as it is reported.
    fn reported<'a>(
        &self,
        suspects: impl Iterator<Item = &'a CrashSubject>,
        now: TimePoint,
    ) -> ReportedCrash {
        let mut reported = ReportedCrash {
            start: self.start.clone(),
            age_ms: now.since(self.at) / MICROS_PER_MILLI,
            suspects: Vec::new(),
            refuted: self.is_refuted(),
            parts: Vec::new(),
            overloaded: self.overloaded,
        };
        for suspect in suspects {
            match suspect {
                CrashSubject::Part(part) => reported.parts.push(*part),
                CrashSubject::Request(request) => reported.suspects.push(*request),
            }
        }
        reported
    }

    fn has_suspect(&self, subject: CrashSubject) -> bool {
        self.suspects.binary_search(&subject).is_ok()
    }

    fn add_suspect(&mut self, subject: CrashSubject) {
        let Err(at) = self.suspects.binary_search(&subject) else { return };
        let parts = self.suspects.partition_point(|known| known.is_part());
        let same_kind = if subject.is_part() { parts } else { self.suspects.len() - parts };
        if same_kind < MAX_SUSPECTS {
            self.suspects.insert(at, subject);
        }
    }
}
