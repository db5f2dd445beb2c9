//! Token bucket of one limit over the fleet, as one VM estimates it.

use crate::customer::FleetLimit;
use crate::id::TimePoint;
use crate::limit::LimitRefusal;
use crate::subject::LimitSubject;
use crate::usage::{DecayingRate, MICROS_PER_SECOND, UsageTotal};

/// Fraction of its share that a VM admits once the bucket is empty. The rest repays what was
/// admitted above the limit before VMs received each other's reports.
const SHARE_FRACTION: f64 = 0.95;
/// Maximum unused share that a VM accumulates, in seconds of its share.
const MAX_SAVED_SHARE_S: f64 = 0.1;
/// Fraction of the allowed excess, or of the burst, that may be admitted at once; the rest of what
/// a limit allows in a window is admitted evenly over it. If the whole burst were reserved for one
/// moment, a customer that constantly requests somewhat more than its rate, but less than its limit
/// in each window, would have requests refused all the time.
const BURST_FRACTION: f64 = 0.35;
/// Fraction of the burst that is admitted evenly over the window, less the part of it that the
/// capacity of the bucket admits at once.
const EVEN_FRACTION: f64 = 0.75;
/// Fraction of the allowed excess by which the bucket may be overdrawn before nothing is admitted.
/// Most of the excess covers what VMs admit before they receive each other's reports.
const MAX_OVERDRAFT_FRACTION: f64 = 0.03;
/// Multiple of its fraction of the bucket that a VM may spend between two reports, so that a burst
/// that arrives at all VMs at once cannot empty the bucket many times over.
const SPEND_FACTOR: f64 = 2.0;
/// Multiple of an equal part of the bucket that any VM may spend between two reports, also without
/// recent demand from the customer. With less, two long requests at one VM within a report interval
/// are refused although the bucket is full; with more, a jump of demand empties the bucket at all VMs.
const EQUAL_SPEND_FACTOR: f64 = 6.0;
/// Fraction of an equal share that a VM admits while it does not know the demand at the others.
const UNCONFIRMED_FRACTION: f64 = 0.6;
/// Fraction of an equal share that a VM without previous demand from the customer admits once the
/// bucket is empty.
const INITIAL_SHARE_FRACTION: f64 = 0.2;
/// Maximum credit for usage that is reported late, in seconds of the rate: the time until the next
/// aggregators in rank have taken over.
const MAX_LATE_CREDIT_S: f64 = 1.0;
/// Interval between reports from which on the reported usage is deducted gradually instead of at
/// once, in microseconds.
const GRADUAL_DEBIT_US: u64 = 500_000;
/// Age of the last report, in percent of the report interval, from which on the next one is late. More
/// than the jitter of timers and links.
const LATE_REPORT_PERCENT: u64 = 130;
/// Maximum level, as a fraction of the capacity, when this VM takes over as aggregator: recent admissions
/// at the other VMs are not known yet. Enough for the usage that is reported late at usual demand.
const TAKEOVER_FRACTION: f64 = 0.5;
/// Time by which a report may lag behind the admissions that it counts, in seconds.
const REPORT_SLACK_S: f64 = 1.0;
/// Maximum retry delay that a caller is given, in milliseconds.
const MAX_RETRY_MS: f64 = 60_000.0;

/// What this VM knows about usage at the others, as used to admit one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetView {
    /// Fraction of the rates that this VM and those reachable from it admit.
    pub(crate) fraction: f64,
    /// Number of known VMs, this one included.
    pub(crate) known: usize,
    /// Interval between two reports, in microseconds, and when the last one was received.
    pub(crate) report_interval_us: u64,
    pub(crate) last_report_at: Option<TimePoint>,
    /// Whether the bucket estimate includes recent admissions of the other VMs.
    pub(crate) level_valid: bool,
    /// Whether the demand at other VMs has been known for long enough to be compared with this
    /// VM's own.
    pub(crate) demand_valid: bool,
}

impl FleetView {
    /// Returns whether a report interval that began at `start` has ended. What a VM may spend until the
    /// next report is not renewed while a report is late: all VMs would spend a bucket that may be
    /// empty by then.
    fn ends_interval(&self, start: TimePoint, now: TimePoint) -> bool {
        let late_us = self.report_interval_us * LATE_REPORT_PERCENT / 100;
        let is_late =
            self.known > 1 && self.last_report_at.is_none_or(|at| now.since(at) > late_us);
        now.since(start) >= self.report_interval_us && !(is_late && self.level_valid)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct LimitBucket {
    pub(crate) subject: LimitSubject,
    pub(crate) limit: FleetLimit,
    pub(crate) excess: f64,
    pub(crate) window_s: f64,
    /// Estimated level of the fleet-wide bucket.
    pub(crate) level: f64,
    /// Usage of other VMs not yet deducted from the level, and the rate per second at which it is
    /// deducted.
    pub(crate) pending_debit: f64,
    pub(crate) pending_debit_per_s: f64,
    /// Refill above the capacity since this VM last adopted a state.
    pub(crate) overflow: f64,
    /// Part of `overflow` that is credited to usage which is reported late to a new aggregator.
    pub(crate) late_credit: f64,
    /// What this VM may admit from its share once the bucket is empty.
    pub(crate) share: f64,
    pub(crate) advanced_at: TimePoint,
    pub(crate) own: UsageTotal,
    /// The portion of `own` that was reported to the other VMs.
    pub(crate) reported: UsageTotal,
    /// `own` as reported when the update before the last one arrived: the aggregator has published it.
    pub(crate) published: UsageTotal,
    /// `own` as reported when the last update arrived.
    pub(crate) publishing: UsageTotal,
    /// Value of `own` when this VM began to aggregate the usage of others.
    pub(crate) sums_base: UsageTotal,
    pub(crate) own_demand: DecayingRate,
    pub(crate) fleet_demand: DecayingRate,
    /// Demand per second at this VM at the start of the previous report interval, which the known
    /// fleet demand includes, and this VM's fraction of the fleet's demand based on it. With the
    /// current demand instead, all VMs would take a larger fraction whenever demand jumps.
    pub(crate) previous_demand: f64,
    pub(crate) own_fraction: f64,
    /// Amount admitted since `interval_start`, and the maximum until the interval ends.
    pub(crate) spent: f64,
    pub(crate) spend_limit: f64,
    pub(crate) interval_start: Option<TimePoint>,
}

/// What a request is admitted from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdmissionSource {
    /// The bucket of the fleet.
    Bucket,
    /// This VM's share of the rate.
    Share,
}

impl LimitBucket {
    pub(crate) fn new(
        now: TimePoint,
        subject: LimitSubject,
        limit: FleetLimit,
        level: f64,
    ) -> Self {
        let rate = DecayingRate::new(now);
        Self {
            subject,
            limit,
            excess: 0.0,
            window_s: f64::INFINITY,
            level,
            pending_debit: 0.0,
            pending_debit_per_s: 0.0,
            overflow: 0.0,
            late_credit: 0.0,
            share: 0.0,
            advanced_at: now,
            own: UsageTotal::default(),
            reported: UsageTotal::default(),
            published: UsageTotal::default(),
            publishing: UsageTotal::default(),
            sums_base: UsageTotal::default(),
            own_demand: rate,
            fleet_demand: rate,
            previous_demand: 0.0,
            own_fraction: 0.0,
            spent: 0.0,
            spend_limit: 0.0,
            interval_start: None,
        }
    }

    /// Returns the maximum level of the bucket.
    pub(crate) fn capacity(&self, fraction: f64) -> f64 {
        fraction * (BURST_FRACTION * self.excess).max(BURST_FRACTION * self.limit.burst)
    }

    /// Returns the fill rate per second: the limit's rate plus the part of the burst that is
    /// admitted evenly.
    fn rate(&self, fraction: f64) -> f64 {
        let at_once = self.capacity(1.0) - BURST_FRACTION * self.excess;
        let even = EVEN_FRACTION * self.limit.burst - at_once;
        fraction * (self.limit.per_second + even.max(0.0) / self.window_s)
    }

    pub(crate) fn advance(&mut self, now: TimePoint, fraction: f64) {
        let age_s = now.since(self.advanced_at) as f64 / MICROS_PER_SECOND;
        self.advanced_at = now;
        let rate = self.rate(fraction);
        let debited = (self.pending_debit_per_s * age_s).min(self.pending_debit);
        self.pending_debit -= debited;
        let level = self.level + rate * age_s - debited;
        self.level = level.min(self.capacity(fraction));
        self.overflow += level - self.level;
        let share_rate = rate * SHARE_FRACTION * self.own_fraction;
        self.share = (self.share + share_rate * age_s).min(share_rate * MAX_SAVED_SHARE_S);
    }

    /// Deducts what others were admitted in the last `interval_us`. A long interval is deducted over
    /// an equally long time: a second of usage deducted at once would empty a bucket that holds less.
    pub(crate) fn debit(&mut self, admitted: f64, interval_us: u64) {
        // What was used before the window began has no effect on what the window allows.
        let debited_us = interval_us.min((self.window_s * MICROS_PER_SECOND) as u64);
        if debited_us < GRADUAL_DEBIT_US {
            self.level -= admitted;
            return;
        }
        self.pending_debit += admitted * debited_us as f64 / interval_us as f64;
        self.pending_debit_per_s = self.pending_debit * MICROS_PER_SECOND / debited_us as f64;
    }

    /// Deducts what others were admitted before this VM took over as their aggregator. The bucket was
    /// filled since the last adopted state as if they used nothing; what overflowed is credited.
    pub(crate) fn debit_late(&mut self, admitted: f64, interval_us: u64) {
        let credit = admitted.min(self.late_credit);
        self.late_credit -= credit;
        self.debit(admitted - credit, interval_us);
    }

    /// Prepares the bucket of a VM that takes over as aggregator: what overflowed since the last
    /// adopted state becomes available to [`Self::debit_late`].
    pub(crate) fn take_over(&mut self, fraction: f64) {
        self.level = self.level.min(TAKEOVER_FRACTION * self.capacity(fraction));
        self.late_credit = self.overflow.min(self.limit.per_second * MAX_LATE_CREDIT_S);
    }

    /// Returns the most that all VMs can have been admitted in an interval.
    pub(crate) fn max_admitted(&self, interval_us: u64) -> f64 {
        let interval_s = interval_us as f64 / MICROS_PER_SECOND + REPORT_SLACK_S;
        self.limit.per_second * interval_s + self.limit.burst + self.excess
    }

    pub(crate) fn spend(&mut self, cost: f64) {
        self.level -= cost;
        self.own.admitted += cost;
        self.spent += cost;
    }

    pub(crate) fn admit(
        &mut self,
        now: TimePoint,
        cost: f64,
        view: FleetView,
    ) -> Result<(), LimitRefusal> {
        let fraction = view.fraction;
        self.own_demand.add(now, cost);
        self.fleet_demand.add(now, cost);
        self.own.demand += cost;
        self.advance(now, fraction);
        self.start_interval(now, view);
        let excess_overdraft = self.excess_overdraft(fraction);
        match self.source(view) {
            Some(AdmissionSource::Bucket) => {
                self.spend(cost);
                return Ok(());
            }
            Some(AdmissionSource::Share) => {
                self.share -= cost;
                self.spend(cost);
                return Ok(());
            }
            None => {}
        }
        let wait_s =
            self.until_share(cost, excess_overdraft, fraction).min(self.until_level(now, fraction));
        let retry_after_ms = (wait_s * 1_000.0).clamp(1.0, MAX_RETRY_MS) as u64;
        Err(LimitRefusal {
            retry_after_ms,
            level: self.level,
            demand_per_s: self.fleet_demand.get(now),
            own_fraction: self.own_fraction,
            fleet_fraction: fraction,
        })
    }

    /// Returns what a request would be admitted from now; `None` if it would be refused.
    fn source(&self, view: FleetView) -> Option<AdmissionSource> {
        if view.level_valid && self.level > 0.0 && self.spent <= self.spend_limit {
            return Some(AdmissionSource::Bucket);
        }
        let share = self.excess_overdraft(view.fraction) < 0.0 && self.share > 0.0;
        share.then_some(AdmissionSource::Share)
    }

    /// Returns by how much the bucket is overdrawn beyond what shares may still be taken from.
    fn excess_overdraft(&self, fraction: f64) -> f64 {
        -self.level - MAX_OVERDRAFT_FRACTION * self.excess * fraction
    }

    /// Returns the seconds until this VM's share covers a request and the bucket is no longer
    /// overdrawn too far, by `excess_overdraft` now.
    fn until_share(&self, cost: f64, excess_overdraft: f64, fraction: f64) -> f64 {
        let rate = self.rate(fraction).max(f64::MIN_POSITIVE);
        let share_rate = rate * SHARE_FRACTION * self.own_fraction;
        (excess_overdraft / rate).max((cost - self.share) / share_rate.max(f64::MIN_POSITIVE))
    }

    /// Returns the seconds until the bucket is above zero if the demand stays below the fill rate,
    /// infinity otherwise. A VM that has just started has a small share; without this estimate its
    /// callers would be given delays far beyond the recovery of the bucket.
    fn until_level(&mut self, now: TimePoint, fraction: f64) -> f64 {
        let spare = self.rate(fraction) - self.fleet_demand.get(now);
        if spare > 0.0 { (-self.level).max(0.0) / spare } else { f64::INFINITY }
    }

    /// Starts a new report interval if the previous one has ended: determines this VM's fraction of
    /// the fleet's demand and the amount that it may spend in the interval.
    fn start_interval(&mut self, now: TimePoint, view: FleetView) {
        if self.interval_start.is_some_and(|start| !view.ends_interval(start, now)) {
            return;
        }
        self.interval_start = Some(now);
        self.spent = 0.0;
        let equal = 1.0 / view.known as f64;
        let previous = std::mem::replace(&mut self.previous_demand, self.own_demand.get(now));
        let fleet = self.fleet_demand.get(now).max(previous);
        self.own_fraction = match view.demand_valid {
            false => UNCONFIRMED_FRACTION * equal,
            true if previous > 0.0 => previous / fleet,
            true => INITIAL_SHARE_FRACTION * equal,
        };
        let spendable = (SPEND_FACTOR * self.own_fraction).max(EQUAL_SPEND_FACTOR * equal).min(1.0);
        self.spend_limit = self.level.max(0.0) * spendable;
    }
}
