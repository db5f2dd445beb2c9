//! The rules that must always hold, asserted inside the program and counted.
//!
//! A violated rule never stops the process: an entry VM that falls over would cut the streams of
//! callers that were served well. It is counted, its first details are kept for the log, and tests
//! and randomised runs fail on any count. docs/FAILURES.md tells which safeguard keeps each rule.

/// A rule that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InvariantName {
    /// Each request runs on the adapter and version that it names.
    RightAdapter,
    /// An adapter that a running request uses is never evicted.
    NoEvictionInUse,
    /// Each caller gets the whole answer to its own request.
    WholeAnswer,
    /// When the system says "not run", the request did not run.
    NotRunDidNotRun,
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new work after a few seconds.
    LeavingServerIdle,
    /// A graceful shutdown cuts no request.
    ShutdownCutsNothing,
    /// An accepted configuration never reverts.
    ConfigNeverReverts,
    /// A finished job has one result, and an accepted one is not lost.
    JobOnce,
    /// Every request that waits at an owner is answered, and the queues stay within their bounds.
    QueueBounded,
    /// Two suspect requests never run on one server at the same time.
    SuspectsApart,
    /// Orders are sent by the owner in force alone, and one at a time to each slot.
    OneWriter,
}

impl InvariantName {
    /// All rules, in the order of the variants.
    pub const ALL: [Self; 12] = [
        Self::RightAdapter,
        Self::NoEvictionInUse,
        Self::WholeAnswer,
        Self::NotRunDidNotRun,
        Self::AtMostOnce,
        Self::LeavingServerIdle,
        Self::ShutdownCutsNothing,
        Self::ConfigNeverReverts,
        Self::JobOnce,
        Self::QueueBounded,
        Self::SuspectsApart,
        Self::OneWriter,
    ];

    /// The rule's name in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RightAdapter => "right_adapter",
            Self::NoEvictionInUse => "no_eviction_in_use",
            Self::WholeAnswer => "whole_answer",
            Self::NotRunDidNotRun => "not_run_did_not_run",
            Self::AtMostOnce => "at_most_once",
            Self::LeavingServerIdle => "leaving_server_idle",
            Self::ShutdownCutsNothing => "shutdown_cuts_nothing",
            Self::ConfigNeverReverts => "config_never_reverts",
            Self::JobOnce => "job_once",
            Self::QueueBounded => "queue_bounded",
            Self::SuspectsApart => "suspects_apart",
            Self::OneWriter => "one_writer",
        }
    }
}

/// How many details of violations a log keeps; later ones are only counted.
const KEPT_DETAILS: usize = 16;

/// How often a rule was checked and violated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InvariantCount {
    /// Checks made.
    pub checked: u64,
    /// Checks that found the rule broken.
    pub violated: u64,
}

/// A violation, kept for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// The rule.
    pub name: InvariantName,
    /// What was found.
    pub detail: String,
}

/// Counts the checks of one state machine.
///
/// ```
/// use coltsfoothook_decision::invariant::{InvariantLog, InvariantName};
///
/// let mut log = InvariantLog::default();
/// log.check(InvariantName::AtMostOnce, true, || "not evaluated".to_owned());
/// assert_eq!(log.count(InvariantName::AtMostOnce).checked, 1);
/// assert_eq!(log.violated(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct InvariantLog {
    counts: [InvariantCount; InvariantName::ALL.len()],
    details: Vec<InvariantViolation>,
}

impl InvariantLog {
    /// Counts a check of `name`; `detail` is built only if the rule does not hold. Returns `holds`.
    pub fn check(
        &mut self,
        name: InvariantName,
        holds: bool,
        detail: impl FnOnce() -> String,
    ) -> bool {
        let count = &mut self.counts[name as usize];
        count.checked += 1;
        if holds {
            return true;
        }
        count.violated += 1;
        if self.details.len() < KEPT_DETAILS {
            self.details.push(InvariantViolation { name, detail: detail() });
        }
        false
    }

    /// The counts of `name`.
    #[must_use]
    pub fn count(&self, name: InvariantName) -> InvariantCount {
        self.counts[name as usize]
    }

    /// Violations of all rules together.
    #[must_use]
    pub fn violated(&self) -> u64 {
        self.counts.iter().map(|count| count.violated).sum()
    }

    /// The first violations, with what was found.
    #[must_use]
    pub fn details(&self) -> &[InvariantViolation] {
        &self.details
    }

    /// Adds the counts and details of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            count.checked += more.checked;
            count.violated += more.violated;
        }
        let room = KEPT_DETAILS.saturating_sub(self.details.len());
        self.details.extend(other.details.iter().take(room).cloned());
    }
}
