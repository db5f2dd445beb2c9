//! Invariants of the system, checked at run time and counted.
//!
//! A violation never stops the process: a crash of an entry VM would cut the streams of unaffected
//! callers. Violations are counted, details of the first ones are kept for the log, and tests and
//! randomised runs fail on any violation. docs/FAILURES.md lists the safeguard behind each
//! invariant.

/// Invariant that must hold at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InvariantName {
    /// Each request runs on the adapter and version that it names.
    RightAdapter,
    /// An adapter that a running request uses is never evicted.
    NoEvictionInUse,
    /// Each caller gets the complete response to its own request.
    WholeAnswer,
    /// A request reported as "not run" did not run.
    NotRunDidNotRun,
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new requests after a few seconds.
    LeavingServerIdle,
    /// A graceful shutdown interrupts no request.
    ShutdownCutsNothing,
    /// An accepted configuration never reverts.
    ConfigNeverReverts,
    /// A finished job has one result, and an accepted job is not lost.
    JobOnce,
    /// Every request queued at an owner is answered, and the queues stay within their bounds.
    QueueBounded,
    /// Two suspect requests never run on one server at the same time.
    SuspectsApart,
    /// Orders are sent only by the current owner, and one at a time per slot.
    OneWriter,
}

impl InvariantName {
    /// All invariants, in the order of the variants.
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

    /// Returns the name of the invariant in metrics and logs.
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

/// Maximum number of violations whose details a log keeps; later ones are only counted.
const KEPT_DETAILS: usize = 16;

/// Number of checks and violations of an invariant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InvariantCount {
    /// Checks made, violations included.
    pub checked: u64,
    /// Checks that found a violation.
    pub violated: u64,
}

/// Details of one violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// The violated invariant.
    pub name: InvariantName,
    /// Description of what was found.
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
    /// Counts a check of `name` and returns `holds`. `detail` is called only for a violation whose
    /// details are kept.
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

    /// Returns the counts of `name`.
    #[must_use]
    pub fn count(&self, name: InvariantName) -> InvariantCount {
        self.counts[name as usize]
    }

    /// Returns the number of violations of all invariants.
    #[must_use]
    pub fn violated(&self) -> u64 {
        self.counts.iter().map(|count| count.violated).sum()
    }

    /// Returns the details of the first violations, oldest first.
    #[must_use]
    pub fn details(&self) -> &[InvariantViolation] {
        &self.details
    }

    /// Adds the counts of `other`, and its details as far as there is room.
    pub fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            count.checked += more.checked;
            count.violated += more.violated;
        }
        let room = KEPT_DETAILS.saturating_sub(self.details.len());
        self.details.extend(other.details.iter().take(room).cloned());
    }
}
