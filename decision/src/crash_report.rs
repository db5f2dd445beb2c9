//! What VMs tell each other of crashes, and what of it is recorded in the platform's store.

use crate::id::{PartFingerprint, RequestFingerprint, TimePoint};
use crate::record::{GroupPartCrashes, PartCrash};
use crate::subject::ServerStart;
use crate::suspect::CrashSubject;
use crate::value;

/// How long a crash is reported often, in microseconds.
pub(crate) const NEW_US: u64 = 2_000_000;
/// Interval of the reports of a new crash, in microseconds.
const NEW_INTERVAL_US: u64 = 300_000;
/// Interval of the reports of what quarantines a request, for VMs that start or were cut off.
const KEPT_INTERVAL_US: u64 = 1_000_000;

value! {
    /// What a VM reports of crashes.
    #[derive(Default)]
    pub struct CrashReport {
        /// Crashes of servers.
        pub crashes: Vec<ReportedCrash>,
        /// Suspect requests that completed.
        pub completions: Vec<ReportedCompletion>,
        /// Suspect parts of which a request completed. Messages carry parts apart from the rest, which older releases
        /// read.
        #[serde(skip)]
        pub completed_parts: Vec<CompletedPart>,
        /// Trials of quarantined subjects that were begun. Sent as the parts are.
        #[serde(skip)]
        pub trials: Vec<ReportedTrial>,
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
        /// Parts of the prompts of requests that ran there, sorted. Only those that matter, if the crash is not new.
        #[serde(skip)]
        pub parts: Vec<PartFingerprint>,
        /// Whether the server fell over under the requests that it refused, so that none that ran is to blame. Sent as
        /// the parts are.
        #[serde(skip)]
        pub overloaded: bool,
    }

    /// A suspect that completed.
    #[derive(Copy)]
    pub struct ReportedCompletion {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// Milliseconds since it completed.
        pub age_ms: u64,
    }

    /// A suspect part of which a request completed.
    #[derive(Copy)]
    pub struct CompletedPart {
        /// The part.
        pub part: PartFingerprint,
        /// Milliseconds since the request completed.
        pub age_ms: u64,
    }

    /// A trial of a quarantined subject: it was sent to a server although it is quarantined.
    #[derive(Copy)]
    pub struct ReportedTrial {
        /// The subject.
        pub subject: CrashSubject,
        /// How many of its trials were begun before.
        pub number: u32,
        /// Milliseconds since it was begun.
        pub age_ms: u64,
        /// Whether no server ran it, so that it doesn't count.
        pub not_run: bool,
    }
}

impl CrashReport {
    /// Returns whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.completions.is_empty()
            && self.completed_parts.is_empty()
            && self.trials.is_empty()
    }

    /// Makes everything in it older. Restored records are by the time that has passed since they were written.
    pub fn add_age(&mut self, age_ms: u64) {
        let crashes = self.crashes.iter_mut().map(|crash| &mut crash.age_ms);
        let completions = self.completions.iter_mut().map(|completion| &mut completion.age_ms);
        let parts = self.completed_parts.iter_mut().map(|completion| &mut completion.age_ms);
        let trials = self.trials.iter_mut().map(|trial| &mut trial.age_ms);
        for known in crashes.chain(completions).chain(parts).chain(trials) {
            *known = known.saturating_add(age_ms);
        }
    }

    /// Returns the crashes with their parts, as the owner of a group records them.
    pub(crate) fn part_crashes(&self) -> Vec<PartCrash> {
        let with_parts = self.crashes.iter().filter(|crash| !crash.parts.is_empty());
        let recorded = with_parts.map(|crash| PartCrash {
            start: crash.start.clone(),
            age_ms: crash.age_ms,
            parts: crash.parts.clone(),
        });
        recorded.collect()
    }

    /// Returns what the owner of a group recorded `elapsed_ms` ago.
    pub(crate) fn of_parts(recorded: &GroupPartCrashes, elapsed_ms: u64) -> Self {
        let crashes = recorded.crashes.iter().map(|crash| ReportedCrash {
            start: crash.start.clone(),
            age_ms: crash.age_ms,
            suspects: Vec::new(),
            refuted: false,
            parts: crash.parts.clone(),
            overloaded: false,
        });
        let (crashes, trials) = (crashes.collect(), recorded.trials.clone());
        let mut report = Self { crashes, trials, ..Self::default() };
        report.add_age(elapsed_ms);
        report
    }

    pub(crate) fn push_completion(&mut self, subject: CrashSubject, age_ms: u64) {
        match subject {
            CrashSubject::Part(part) => self.completed_parts.push(CompletedPart { part, age_ms }),
            CrashSubject::Request(fingerprint) => {
                self.completions.push(ReportedCompletion { fingerprint, age_ms });
            }
        }
    }
}

impl ReportedCrash {
    pub(crate) fn subjects(&self) -> Vec<CrashSubject> {
        let parts = self.parts.iter().map(|part| CrashSubject::Part(*part));
        parts.chain(self.suspects.iter().map(|request| CrashSubject::Request(*request))).collect()
    }
}

/// When a record was reported, and whose it is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportState {
    /// Whether this VM saw it.
    pub(crate) own: bool,
    /// When this VM reported it last; `None` if it changed since.
    pub(crate) reported_at: Option<TimePoint>,
}

impl ReportState {
    /// Returns whether it is reported now: often while it is new, by the VM that saw it or by one that
    /// reports `all`, and now and then by each VM if it is `kept`.
    pub(crate) fn is_due(self, at: TimePoint, kept: bool, all: bool, now: TimePoint) -> bool {
        let elapsed = |interval| self.reported_at.is_none_or(|last| now.since(last) >= interval);
        let is_new = now.since(at) < NEW_US || self.reported_at.is_none();
        (is_new && (self.own || all) && elapsed(NEW_INTERVAL_US))
            || (kept && elapsed(KEPT_INTERVAL_US))
    }
}
