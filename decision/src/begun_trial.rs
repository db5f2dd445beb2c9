//! Trials of quarantined subjects that were begun, over all VMs.
//!
//! A trial counts from the moment at which it begins and not from its result: a VM that ends meanwhile tells nobody of
//! the result. See docs/PLATFORM.md, "Requests that crash servers".

use crate::crash_report::{ReportState, ReportedTrial};
use crate::id::{MICROS_PER_MILLI, TimePoint};
use crate::suspect::CrashSubject;

/// How long a trial is kept whose subject is not known to be quarantined, in microseconds: news of its crashes may follow.
const UNEXPLAINED_US: u64 = 10_000_000;
/// Maximum number of trials that are kept.
const MAX_TRIALS: usize = 512;
/// Maximum number of trials in one report.
const MAX_REPORTED: usize = 32;

/// A trial as this VM knows it.
#[derive(Clone, Debug)]
struct BegunTrial {
    subject: CrashSubject,
    /// How many trials of the subject were begun before.
    number: u32,
    at: TimePoint,
    /// Whether no server ran it.
    not_run: bool,
    report_state: ReportState,
}

impl BegunTrial {
    fn key(&self) -> (CrashSubject, u32) {
        (self.subject, self.number)
    }

    fn reported(&self, now: TimePoint) -> ReportedTrial {
        ReportedTrial {
            subject: self.subject,
            number: self.number,
            age_ms: now.since(self.at) / MICROS_PER_MILLI,
            not_run: self.not_run,
        }
    }
}

/// What the trials of a subject so far mean for the next one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TrialCount {
    /// How many may have reached a server.
    pub(crate) begun: usize,
    /// When the last of them began; zero if there is none.
    pub(crate) last: TimePoint,
}

/// The trials that a VM knows of.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialList {
    /// Sorted by subject and number.
    trials: Vec<BegunTrial>,
}

impl TrialList {
    /// Returns the trials of a subject so far.
    pub(crate) fn count(&self, subject: CrashSubject) -> TrialCount {
        let mut count = TrialCount::default();
        for trial in self.of(subject).iter().filter(|trial| !trial.not_run) {
            count.begun += 1;
            count.last = count.last.max(trial.at);
        }
        count
    }

    /// Records that this VM begins a trial.
    pub(crate) fn begin(&mut self, subject: CrashSubject, now: TimePoint) {
        let number = self.of(subject).last().map_or(0, |last| last.number + 1);
        let report_state = ReportState { own: true, reported_at: None };
        self.merge(BegunTrial { subject, number, at: now, not_run: false, report_state });
    }

    /// Records that no server ran the last trial of a subject.
    pub(crate) fn not_run(&mut self, subject: CrashSubject) {
        let last = self.trials.iter_mut().rev().find(|trial| trial.subject == subject);
        if let Some(trial) = last {
            trial.not_run = true;
            trial.report_state = ReportState { own: true, reported_at: None };
        }
    }

    /// Records a trial that another VM reported. Returns whether that changes anything.
    pub(crate) fn apply(&mut self, reported: &ReportedTrial, at: TimePoint) -> bool {
        let ReportedTrial { subject, number, not_run, .. } = *reported;
        let report_state = ReportState { own: false, reported_at: None };
        self.merge(BegunTrial { subject, number, at, not_run, report_state })
    }

    fn merge(&mut self, trial: BegunTrial) -> bool {
        match self.trials.binary_search_by_key(&trial.key(), BegunTrial::key) {
            Ok(at) => {
                let known = &mut self.trials[at];
                let is_news = trial.not_run && !known.not_run;
                known.not_run |= trial.not_run;
                if is_news {
                    known.report_state.reported_at = None;
                }
                is_news
            }
            Err(at) => {
                self.trials.insert(at, trial);
                true
            }
        }
    }

    /// Forgets the trials of a subject that were begun before it completed.
    pub(crate) fn completed(&mut self, subject: CrashSubject, at: TimePoint) {
        self.trials.retain(|trial| trial.subject != subject || trial.at > at);
    }

    /// Returns the trials to report now, which count as reported.
    pub(crate) fn take_due(&mut self, all: bool, now: TimePoint) -> Vec<ReportedTrial> {
        let due = |trial: &&mut BegunTrial| trial.report_state.is_due(trial.at, true, all, now);
        let due = self.trials.iter_mut().filter(due).take(MAX_REPORTED);
        due.map(|trial| {
            trial.report_state.reported_at = Some(now);
            trial.reported(now)
        })
        .collect()
    }

    /// Returns all trials, for the platform's store.
    pub(crate) fn all(&self, now: TimePoint) -> Vec<ReportedTrial> {
        self.trials.iter().map(|trial| trial.reported(now)).collect()
    }

    /// Drops the trials of subjects that are not quarantined.
    pub(crate) fn drop_old(
        &mut self,
        now: TimePoint,
        is_quarantined: impl Fn(CrashSubject) -> bool,
    ) {
        self.trials
            .retain(|trial| is_quarantined(trial.subject) || now.since(trial.at) < UNEXPLAINED_US);
        while self.trials.len() > MAX_TRIALS {
            let oldest = self.trials.iter().enumerate().min_by_key(|(_, trial)| trial.at);
            let Some((at, _)) = oldest else { return };
            self.trials.remove(at);
        }
    }

    fn of(&self, subject: CrashSubject) -> &[BegunTrial] {
        let from = self.trials.partition_point(|trial| trial.subject < subject);
        let until = self.trials.partition_point(|trial| trial.subject <= subject);
        &self.trials[from..until]
    }
}
