//! Usage of limits at this VM and the others.
//!
//! Usage is reported as totals since a start point, so that a lost or duplicated report has no
//! effect. A total counts only as an increment on a base: on the last report of the same start
//! point, or on a base that the reporter hands over because an aggregator has already published
//! the usage up to it. Without a base, the totals become the base of the next report; they may be
//! part of what this VM was told.

use crate::id::{MICROS_PER_MILLI, TimePoint, VmName};
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
/// How much later than this VM a reporter must have started for its totals to count without a
/// base: no aggregator that this VM follows can have published them before.
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
        /// What the receiver already knows of them if it holds no earlier report. It follows the
        /// message, since earlier releases do not read it.
        #[serde(skip)]
        pub base: Option<UsageBase>,
        /// Whether subjects with demand may be missing, because the list is bounded.
        #[serde(skip)]
        pub partial: bool,
    }

    /// Totals that an aggregator has published to the receiver of a report.
    pub struct UsageBase {
        /// Milliseconds since they were the totals.
        pub age_ms: u64,
        /// One for each subject of the report, in its order.
        pub totals: Vec<UsageTotal>,
    }
}

/// What the totals of a report were counted against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportBasis {
    /// The previous report of the same start point.
    Previous,
    /// The base that the report carries.
    Handed,
    /// The start point, which is later than that of the receiver.
    Start,
    /// Nothing: the report is the base of the next one.
    #[default]
    Unknown,
    /// The report is older than the previous one and was ignored.
    Outdated,
    /// The receiver follows an aggregator, which counts the report.
    Ignored,
}

impl ReportBasis {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Previous => "previous",
            Self::Handed => "handed",
            Self::Start => "start",
            Self::Unknown => "unknown",
            Self::Outdated => "outdated",
            Self::Ignored => "ignored",
        }
    }
}

/// What became of a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportEffect {
    /// What its totals were counted against.
    pub basis: ReportBasis,
    /// Subjects whose totals fell, and those that used more than their limit allows in the time
    /// since the base, with what was reported. Nothing was charged for them.
    pub rejected: Vec<SubjectTotal>,
}

impl UsageReport {
    fn total(&self, subject: &LimitSubject) -> Option<UsageTotal> {
        self.uses.iter().find(|used| used.subject == *subject).map(|used| used.total)
    }

    /// Returns whether this report is later than another one of the same start point. Datagrams may
    /// overtake each other; within a millisecond, the demand tells the order.
    fn is_after(&self, other: &Self) -> bool {
        let demand = |report: &Self| report.uses.iter().map(|used| used.total.demand).sum::<f64>();
        self.age_ms > other.age_ms || self.age_ms == other.age_ms && demand(self) > demand(other)
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

    /// Adds an amount that accrued evenly over the last `interval_us`.
    pub(crate) fn add_over(&mut self, now: TimePoint, amount: f64, interval_us: u64) {
        let interval_s = interval_us as f64 / MICROS_PER_SECOND;
        self.add(now, amount * (RATE_TIME_CONSTANT_S / interval_s.max(RATE_TIME_CONSTANT_S)));
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
    /// Sums of the counted increments since the last [`Self::clear_sums`], sorted by subject.
    sums: Vec<SubjectTotal>,
}

#[derive(Clone, Debug)]
struct LedgerRow {
    vm: VmName,
    report: UsageReport,
    received_at: TimePoint,
}

impl LedgerRow {
    /// Keeps the totals of subjects that only the previous report has, so that they do not count from zero when they
    /// are reported again.
    fn keep_missing(&mut self, previous: &UsageReport) {
        let missing =
            previous.uses.iter().filter(|used| self.report.total(&used.subject).is_none());
        let missing: Vec<SubjectTotal> = missing.cloned().collect();
        self.report.uses.extend(missing);
    }
}

/// Usage since the base of a report.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageIncrements {
    pub(crate) basis: ReportBasis,
    pub(crate) uses: Vec<SubjectTotal>,
    /// Time in which it was used, in microseconds.
    pub(crate) interval_us: u64,
    /// Subjects whose totals fell, with the new totals.
    pub(crate) fallen: Vec<SubjectTotal>,
}

impl UsageLedger {
    /// Resets the sums to zero.
    pub(crate) fn clear_sums(&mut self) {
        self.sums.clear();
    }

    /// Drops the bases of all reporters. Their usage is part of a bucket state that this VM adopted
    /// from an aggregator, and counting on from older bases would charge it once more.
    pub(crate) fn clear_rows(&mut self) {
        self.rows.clear();
    }

    /// Records a report and returns the usage since its base.
    pub(crate) fn take(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        report: &UsageReport,
        own_age_ms: u64,
    ) -> UsageIncrements {
        self.rows.retain(|row| now.since(row.received_at) < LEDGER_RETENTION_US);
        let found = self.rows.binary_search_by(|row| row.vm.cmp(vm));
        let known = found.ok().map(|at| &self.rows[at]);
        let known = known.filter(|row| row.report.start_id == report.start_id);
        if known.is_some_and(|row| row.report.is_after(report)) {
            return UsageIncrements { basis: ReportBasis::Outdated, ..UsageIncrements::default() };
        }
        let started_later = report.age_ms.saturating_add(START_TOLERANCE_MS) <= own_age_ms;
        let basis = match (known, &report.base) {
            (Some(_), _) => ReportBasis::Previous,
            (None, Some(_)) => ReportBasis::Handed,
            (None, None) if started_later => ReportBasis::Start,
            (None, None) => ReportBasis::Unknown,
        };
        let row_us = known.map(|row| now.since(row.received_at));
        let base_us = report.base.as_ref().map(|base| base.age_ms.saturating_mul(MICROS_PER_MILLI));
        let report_us = report.age_ms.saturating_mul(MICROS_PER_MILLI);
        let interval_us = match (row_us, base_us) {
            (Some(row_us), Some(base_us)) => row_us.min(base_us),
            (row_us, base_us) => row_us.or(base_us).unwrap_or(report_us),
        };
        let (mut uses, mut fallen) = (Vec::new(), Vec::new());
        for (index, used) in report.uses.iter().enumerate() {
            let earlier = known.and_then(|row| row.report.total(&used.subject));
            let handed = report.base.as_ref().and_then(|base| base.totals.get(index).copied());
            let base = match (earlier, handed) {
                (Some(earlier), Some(handed)) if earlier.demand < handed.demand => Some(handed),
                (earlier, handed) => earlier.or(handed),
            };
            let is_unknown = basis == ReportBasis::Unknown || report.partial && base.is_none();
            let base = base.unwrap_or_default();
            if used.total.demand < base.demand {
                fallen.push(used.clone());
            } else if !is_unknown {
                let (subject, total) = (used.subject.clone(), used.total.since(base));
                uses.push(SubjectTotal { subject, total });
            }
        }
        let mut row = LedgerRow { vm: vm.clone(), report: report.clone(), received_at: now };
        if let Some(known) = known {
            row.keep_missing(&known.report);
        }
        match found {
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
        UsageIncrements { basis, uses, interval_us, fallen }
    }

    /// Adds an increment to the sums.
    pub(crate) fn add_to_sums(&mut self, used: &SubjectTotal) {
        match self.sums.binary_search_by(|sum| sum.subject.cmp(&used.subject)) {
            Ok(at) => self.sums[at].total.add(used.total),
            Err(at) => self.sums.insert(at, used.clone()),
        }
    }

    pub(crate) fn sum(&self, subject: &LimitSubject) -> UsageTotal {
        let found = self.sums.binary_search_by(|sum| sum.subject.cmp(subject));
        found.map_or_else(|_| UsageTotal::default(), |at| self.sums[at].total)
    }
}
