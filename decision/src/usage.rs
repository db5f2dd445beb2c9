//! Usage of limits at this VM and the others.
//!
//! Usage is reported as totals since a start point, so that a lost or duplicated report has no
//! effect.

use crate::id::{TimePoint, VmName};
use crate::subject::LimitSubject;
use crate::value;

/// Microseconds per second.
pub(crate) const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Time constant of the rate estimate; long enough to see a few requests of a small customer at one
/// VM.
const RATE_TIME_CONSTANT_S: f64 = 1.0;
/// Time for which the totals of an unreachable VM are kept, in microseconds. A VM that becomes
/// reachable again continues from them.
const LEDGER_RETENTION_US: u64 = 60_000_000;
/// Maximum difference between the start points of VMs that start together.
const START_TOLERANCE_MS: u64 = 1_000;

value! {
    /// Total demand and admissions since a start point, in the unit of the limit.
    #[derive(Copy, Default)]
    pub struct UsageTotal {
        /// Demand, refused requests included.
        #[serde(rename = "asked")]
        pub demand: f64,
        /// Admitted and not refunded.
        pub admitted: f64,
    }

    /// Total of one customer.
    pub struct SubjectTotal {
        /// What the total is of.
        pub subject: LimitSubject,
        /// Its total.
        pub total: UsageTotal,
    }

    /// Usage report of a VM or a domain: totals since a start point.
    #[derive(Default)]
    pub struct UsageReport {
        /// Identifies the start point among those of the same VM.
        #[serde(rename = "life")]
        pub start_id: u64,
        /// Milliseconds since the start point.
        pub age_ms: u64,
        /// Totals of the subjects with demand since the start point; one without any may be
        /// missing.
        pub uses: Vec<SubjectTotal>,
    }
}

impl UsageTotal {
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self { demand: self.demand - earlier.demand, admitted: self.admitted - earlier.admitted }
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.demand += other.demand;
        self.admitted += other.admitted;
    }
}

/// Exponentially decaying rate with the time constant [`RATE_TIME_CONSTANT_S`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    per_s: f64,
    at: TimePoint,
}

impl DecayingRate {
    /// Creates a rate of zero.
    pub(crate) fn new(now: TimePoint) -> Self {
        Self { per_s: 0.0, at: now }
    }

    fn decay(&mut self, now: TimePoint) {
        let age_s = now.since(self.at) as f64 / MICROS_PER_SECOND;
        self.per_s *= (-age_s / RATE_TIME_CONSTANT_S).exp();
        self.at = now;
    }

    pub(crate) fn add(&mut self, now: TimePoint, amount: f64) {
        self.decay(now);
        self.per_s = (self.per_s + amount / RATE_TIME_CONSTANT_S).max(0.0);
    }

    pub(crate) fn set(&mut self, now: TimePoint, per_s: f64) {
        *self = Self { per_s, at: now };
    }

    pub(crate) fn get(&mut self, now: TimePoint) -> f64 {
        self.decay(now);
        self.per_s
    }
}

/// Usage that other VMs reported, as increments between reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageLedger {
    /// Sorted by VM.
    rows: Vec<LedgerRow>,
    /// Sums of all increments since the last [`Self::clear_sums`], sorted by subject.
    sums: Vec<SubjectTotal>,
}

#[derive(Clone, Debug)]
struct LedgerRow {
    vm: VmName,
    report: UsageReport,
    received_at: TimePoint,
}

impl UsageLedger {
    /// Resets the sums to zero.
    pub(crate) fn clear_sums(&mut self) {
        self.sums.clear();
    }

    /// Records a report and returns the usage since the previous report of the VM, and the time
    /// between the two in microseconds. Without a previous report from the same start point, the
    /// totals count in full if their start point is not earlier than this VM's own; otherwise the
    /// report only becomes the base for the next one.
    pub(crate) fn take(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        report: &UsageReport,
        own_age_ms: u64,
    ) -> (Vec<SubjectTotal>, u64) {
        let found = self.rows.binary_search_by(|row| row.vm.cmp(vm));
        let row = LedgerRow { vm: vm.clone(), report: report.clone(), received_at: now };
        let previous = match found {
            Ok(at) => Some(std::mem::replace(&mut self.rows[at], row)),
            Err(at) => {
                self.rows.insert(at, row);
                None
            }
        };
        self.rows.retain(|row| now.since(row.received_at) < LEDGER_RETENTION_US);
        let previous = previous.filter(|previous| previous.report.start_id == report.start_id);
        if previous.is_none() && report.age_ms > own_age_ms.saturating_add(START_TOLERANCE_MS) {
            return (Vec::new(), 0);
        }
        let interval_us = previous.as_ref().map_or(0, |previous| now.since(previous.received_at));
        let known = previous.map(|previous| previous.report.uses).unwrap_or_default();
        let increments: Vec<SubjectTotal> = report
            .uses
            .iter()
            .map(|used| {
                let earlier = known.iter().find(|known| known.subject == used.subject);
                // A total that fell was counted anew, after the limit was dropped and set again.
                let earlier = earlier.filter(|known| known.total.demand <= used.total.demand);
                let earlier = earlier.map(|known| known.total).unwrap_or_default();
                SubjectTotal { subject: used.subject.clone(), total: used.total.since(earlier) }
            })
            .collect();
        for used in &increments {
            match self.sums.binary_search_by(|sum| sum.subject.cmp(&used.subject)) {
                Ok(at) => self.sums[at].total.add(used.total),
                Err(at) => self.sums.insert(at, used.clone()),
            }
        }
        (increments, interval_us)
    }

    pub(crate) fn sum(&self, subject: &LimitSubject) -> UsageTotal {
        let found = self.sums.binary_search_by(|sum| sum.subject.cmp(subject));
        found.map_or_else(|_| UsageTotal::default(), |at| self.sums[at].total)
    }
}
