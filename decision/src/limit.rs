//! Customers' limits over the whole fleet.
//!
//! A VM admits a request without asking another VM. Each VM reports, per customer, its demand and
//! admissions as totals since its process started, and keeps an estimate of a fleet-wide token
//! bucket that fills at the customer's rate and is drained by the admissions of all VMs. While the
//! bucket is not empty, every VM admits requests. Once it is empty, each VM admits its share of the
//! rate, in proportion to its fraction of the fleet's demand; once it is overdrawn by more than a
//! fraction of the allowed excess, none admits anything. So while VMs receive each other's reports,
//! hardly any request of a customer below its limit is refused, whichever VM it arrives at, and the
//! amount admitted above the limit is bounded by the age of the usage that VMs know of each other.
//! docs/LIMITS.md has the bound.

use crate::bucket::{FleetView, LimitBucket};
use crate::customer::{FleetLimit, LimitMeasure};
use crate::digest::CustomerUsage;
use crate::id::{CustomerName, DomainName, MICROS_PER_MILLI, TimePoint, VmIncarnation, VmName};
use crate::manifest::ServingManifest;
use crate::member::{MAX_SPREAD_CUSTOMERS, MemberTable};
use crate::published::PublishedSums;
use crate::routing::ModelNeed;
use crate::subject::LimitSubject;
use crate::usage::{
    ReportBasis, ReportEffect, SubjectTotal, UsageBase, UsageIncrements, UsageLedger, UsageReport,
    UsageTotal,
};
use crate::value;

/// Initial overdraft of a bucket at a VM that starts, in seconds of its rate: when all VMs restart,
/// what they admitted before is not known.
const INITIAL_OVERDRAFT_S: f64 = 0.4;
/// Gap between reports, in microseconds, after which the known demand at other VMs is considered
/// outdated and has to settle again: it may have moved to any VM.
const MAX_REPORT_GAP_US: u64 = 3_000_000;
/// Time after the first report, in microseconds, in which the demand rates of other VMs settle at a
/// VM that has just started.
const SETTLE_TIME_US: u64 = 1_500_000;
/// Demand per second below which a customer counts as idle, since a decaying rate never reaches
/// zero.
const MIN_DEMAND_PER_S: f64 = 0.01;
/// Interval between reports if VMs report usage in membership digests, in microseconds.
const DIGEST_INTERVAL_US: u64 = 1_000_000;
/// Validity of the last report, in report intervals. A VM that is cut off while demand jumps would
/// otherwise continue to spend a bucket that is already empty. The next aggregator in rank takes
/// over within it.
const REPORT_TTL_INTERVALS: u64 = 3;
/// Fraction of the known VMs from which on a group of mutually reachable VMs admits the whole rate.
/// The other VMs are expected to be dead, or in a smaller group whose admissions the allowed excess
/// covers until they are reduced. Two groups that both reach this fraction both admit the whole
/// rate.
const FULL_RATE_FRACTION: f64 = 0.4;
/// Time after this VM began to aggregate, in microseconds, in which VMs report to it what it missed.
const TAKEOVER_US: u64 = 1_000_000;
/// Fraction of its equal part that a smaller group, or a single VM, admits.
const MINORITY_FRACTION: f64 = 0.2;

/// Refusal of a request that exceeds its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRefusal {
    /// Milliseconds until the customer may retry.
    pub retry_after_ms: u64,
    /// Level of the customer's fleet-wide bucket as estimated by this VM, in the limit's unit;
    /// negative if overdrawn.
    pub level: f64,
    /// Fleet-wide demand of the customer per second, refused requests included.
    pub demand_per_s: f64,
    /// Fraction of the rate that this VM takes as its share.
    pub own_fraction: f64,
    /// Fraction of the rate that this VM and those reachable from it admit.
    pub fleet_fraction: f64,
}

value! {
    /// Amount by which operators allow limits to be exceeded in any window, over all VMs.
    #[derive(Copy)]
    pub struct LimitExcess {
        /// Window in seconds.
        pub window_s: f64,
        /// Allowed excess, as a fraction of what the limit allows in a window.
        pub part: f64,
        /// Additional allowed excess, in the limit's unit.
        pub slack: f64,
    }

    /// Fleet-wide bucket state of a customer.
    pub struct BucketState {
        /// What the limit applies to.
        pub subject: LimitSubject,
        /// Level of the bucket, in the limit's unit; negative if overdrawn.
        pub level: f64,
        /// Demand per second, refused requests included.
        #[serde(rename = "asked_per_s")]
        pub demand_per_s: f64,
    }
}

impl Default for LimitExcess {
    fn default() -> Self {
        Self { window_s: 8.0, part: 0.1, slack: 0.0 }
    }
}

impl LimitExcess {
    /// Returns how much more than its limit a customer may be admitted in a window, in the limit's
    /// unit.
    fn of(&self, limit: &FleetLimit) -> f64 {
        self.part * (limit.per_second * self.window_s + limit.burst) + self.slack
    }
}

/// Admission control for customers with a limit at this VM.
#[derive(Clone, Debug)]
pub struct FleetLimiter {
    /// Sorted by subject.
    buckets: Vec<LimitBucket>,
    excess: LimitExcess,
    report_interval_us: u64,
    /// Fraction of the rates that this VM and those reachable from it admit.
    fraction: f64,
    /// Number of known VMs, this one included.
    known: usize,
    /// When another VM's usage was last received. `None` before that: the buckets are estimated
    /// without the others' usage.
    last_report_at: Option<TimePoint>,
    /// Since when reports have been received without a gap of [`MAX_REPORT_GAP_US`].
    reports_since: TimePoint,
    /// When this VM began to count its usage.
    started: Option<TimePoint>,
    /// When it began to aggregate the usage of others.
    sums_since: TimePoint,
    /// Whether this VM adopts bucket states from an aggregator, so that usage which is reported to it
    /// is counted there.
    follows: bool,
    /// Usage that VMs report of themselves.
    members: UsageLedger,
    /// Usage that aggregators report of other domains.
    domains: UsageLedger,
    /// When this VM last reported its usage.
    reported_at: TimePoint,
    /// When the last report was sent that preceded the aggregator's last update.
    publishing_at: TimePoint,
    /// The same for the update before the last one.
    published_at: TimePoint,
    /// Sums of this domain as far as the aggregators of the others have published them.
    published_sums: PublishedSums,
}

impl Default for FleetLimiter {
    fn default() -> Self {
        Self::new(LimitExcess::default(), DIGEST_INTERVAL_US)
    }
}

impl FleetLimiter {
    /// Creates a limiter without customers, for a fleet whose VMs report usage every
    /// `report_interval_us` microseconds.
    #[must_use]
    pub fn new(excess: LimitExcess, report_interval_us: u64) -> Self {
        let (members, domains) = (UsageLedger::default(), UsageLedger::default());
        Self {
            buckets: Vec::new(),
            excess,
            report_interval_us,
            fraction: 1.0,
            known: 1,
            last_report_at: None,
            reports_since: TimePoint(0),
            started: None,
            sums_since: TimePoint(0),
            follows: false,
            members,
            domains,
            reported_at: TimePoint(0),
            publishing_at: TimePoint(0),
            published_at: TimePoint(0),
            published_sums: PublishedSums::default(),
        }
    }

    /// Replaces the allowed excess of all customers.
    pub fn set_excess(&mut self, excess: LimitExcess) {
        self.excess = excess;
        for bucket in &mut self.buckets {
            bucket.excess = excess.of(&bucket.limit);
            bucket.window_s = excess.window_s;
        }
    }

    /// Applies the limits of the configuration in force, in any order. Known customers keep their
    /// buckets; a new one starts with an overdrawn bucket.
    pub fn configure(&mut self, now: TimePoint, limits: Vec<(CustomerName, FleetLimit)>) {
        self.started.get_or_insert(now);
        let old = std::mem::take(&mut self.buckets);
        for (customer, limit) in limits {
            let subject = LimitSubject::Customer(customer);
            let kept = old.binary_search_by(|bucket| bucket.subject.cmp(&subject));
            let mut bucket = match kept {
                Ok(at) => old[at].clone(),
                Err(_) => {
                    let overdraft = INITIAL_OVERDRAFT_S * limit.per_second;
                    LimitBucket::new(now, subject, limit, -overdraft)
                }
            };
            bucket.advance(now, self.fraction);
            bucket.limit = limit;
            bucket.excess = self.excess.of(&limit);
            bucket.window_s = self.excess.window_s;
            bucket.level = bucket.level.min(bucket.capacity(self.fraction));
            self.buckets.push(bucket);
        }
        self.buckets.sort_by(|a, b| a.subject.cmp(&b.subject));
    }

    /// Returns the cost of a request of `customer` in the limit's unit; `None` for a customer
    /// without limit.
    #[must_use]
    pub fn cost(&self, customer: &str, need: Option<&ModelNeed>) -> Option<f64> {
        let at = self.index_of(customer)?;
        Some(self.buckets[at].limit.measure.cost(need))
    }

    /// Admits a request of `customer`. A customer without limit is always admitted.
    ///
    /// # Errors
    ///
    /// Returns a refusal with a retry delay if the customer is over its limit. The request must not
    /// be retried at another VM, since the limit holds for the fleet.
    pub fn admit(&mut self, now: TimePoint, customer: &str, cost: f64) -> Result<(), LimitRefusal> {
        let Some(at) = self.index_of(customer) else { return Ok(()) };
        let view = self.fleet_view(now);
        self.buckets[at].admit(now, cost, view)
    }

    fn fleet_view(&self, now: TimePoint) -> FleetView {
        let received_within = |us: u64| self.last_report_at.is_some_and(|at| now.since(at) < us);
        FleetView {
            fraction: self.fraction,
            known: self.known,
            report_interval_us: self.report_interval_us,
            last_report_at: self.last_report_at,
            level_valid: received_within(REPORT_TTL_INTERVALS * self.report_interval_us)
                || self.known == 1,
            demand_valid: received_within(REPORT_TTL_INTERVALS * self.report_interval_us)
                && now.since(self.reports_since) > SETTLE_TIME_US,
        }
    }

    /// Charges a further run of a request that was already admitted, even if the customer is over
    /// its limit.
    pub fn charge(&mut self, now: TimePoint, customer: &str, cost: f64) {
        let Some(at) = self.index_of(customer) else { return };
        let fraction = self.fraction;
        let bucket = &mut self.buckets[at];
        bucket.advance(now, fraction);
        bucket.spend(cost);
    }

    /// Refunds a request that certainly did not run.
    pub fn refund(&mut self, now: TimePoint, customer: &str, cost: f64) {
        self.charge(now, customer, -cost);
    }

    /// Sets the number of reachable VMs and of known VMs, both including this one. If too few of
    /// the known VMs are reachable, the rates are reduced.
    pub fn set_reachable(&mut self, now: TimePoint, reachable: usize, known: usize) {
        let fraction = reachable as f64 / known.max(reachable).max(1) as f64;
        let fraction =
            if fraction >= FULL_RATE_FRACTION { 1.0 } else { fraction * MINORITY_FRACTION };
        let before = std::mem::replace(&mut self.fraction, fraction);
        self.known = known.max(1);
        if before != fraction {
            for bucket in &mut self.buckets {
                bucket.advance(now, before);
                bucket.level = bucket.level.min(bucket.capacity(fraction));
            }
        }
    }

    /// Applies the usage report of another VM.
    pub fn apply_member_report(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        report: &UsageReport,
    ) -> ReportEffect {
        if self.follows {
            return ReportEffect { basis: ReportBasis::Ignored, ..ReportEffect::default() };
        }
        let increments = self.members.take(now, vm, report, self.age_ms(now));
        let effect = self.apply_increments(now, &increments);
        for used in increments.uses.iter().filter(|used| !effect.rejected.contains(used)) {
            self.members.add_to_sums(used);
        }
        effect
    }

    /// Applies the usage report of the aggregator of `domain`.
    pub fn apply_domain_report(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        domain: &DomainName,
        report: &UsageReport,
    ) -> ReportEffect {
        if self.follows {
            return ReportEffect { basis: ReportBasis::Ignored, ..ReportEffect::default() };
        }
        self.published_sums.confirm(domain);
        let increments = self.domains.take(now, vm, report, self.age_ms(now));
        self.apply_increments(now, &increments)
    }

    /// Charges increments to the buckets, but for those that exceed what the limit allows in their
    /// interval: a total that was counted on a wrong base would empty the bucket.
    fn apply_increments(&mut self, now: TimePoint, increments: &UsageIncrements) -> ReportEffect {
        let UsageIncrements { basis, uses, interval_us, fallen } = increments;
        let mut effect = ReportEffect { basis: *basis, rejected: fallen.clone() };
        if *basis == ReportBasis::Outdated {
            return effect;
        }
        let fraction = self.fraction;
        let takes_over = now.since(self.sums_since) < TAKEOVER_US;
        self.note_report(now);
        for used in uses {
            let found = self.buckets.binary_search_by(|bucket| bucket.subject.cmp(&used.subject));
            let Ok(at) = found else { continue };
            let bucket = &mut self.buckets[at];
            bucket.advance(now, fraction);
            if used.total.admitted > bucket.max_admitted(*interval_us) {
                effect.rejected.push(used.clone());
                continue;
            }
            bucket.fleet_demand.add_over(now, used.total.demand, *interval_us);
            match basis {
                ReportBasis::Handed if takes_over => {
                    bucket.debit_late(used.total.admitted, *interval_us);
                }
                _ => bucket.debit(used.total.admitted, *interval_us),
            }
        }
        effect
    }

    fn note_report(&mut self, now: TimePoint) {
        if self.last_report_at.is_none_or(|at| now.since(at) >= MAX_REPORT_GAP_US) {
            self.reports_since = now;
        }
        self.last_report_at = Some(now);
    }

    /// Adopts the bucket states from the aggregator, which include this VM's usage up to its last
    /// report. A customer without a state has no demand in the fleet; its estimate is kept.
    ///
    /// Returns the customers whose bucket fell by more than all VMs can have been admitted since the
    /// last state.
    pub fn set_bucket_states(
        &mut self,
        now: TimePoint,
        states: &[BucketState],
    ) -> Vec<LimitSubject> {
        let fraction = self.fraction;
        let since_us = self.last_report_at.map_or(u64::MAX, |at| now.since(at));
        let mut fallen = Vec::new();
        self.note_report(now);
        self.follows = true;
        self.members.clear_rows();
        self.domains.clear_rows();
        self.published_at = std::mem::replace(&mut self.publishing_at, self.reported_at);
        for bucket in &mut self.buckets {
            bucket.published = std::mem::replace(&mut bucket.publishing, bucket.reported);
            bucket.advance(now, fraction);
            // What was still to be deducted is part of the adopted state.
            (bucket.pending_debit, bucket.overflow, bucket.late_credit) = (0.0, 0.0, 0.0);
            let found = states.iter().find(|state| state.subject == bucket.subject);
            let Some(state) = found else { continue };
            let unreported = bucket.own.admitted - bucket.reported.admitted;
            let level = state.level.min(bucket.capacity(fraction)) - unreported;
            if bucket.level - level > bucket.max_admitted(since_us) {
                fallen.push(bucket.subject.clone());
            }
            bucket.level = level;
            bucket.fleet_demand.set(now, state.demand_per_s);
        }
        fallen
    }

    /// Lowers the buckets to the states of another aggregator of the same domain. While two VMs
    /// aggregate, or after a cut between them, each lacks usage that the other one counted.
    pub fn merge_bucket_states(&mut self, now: TimePoint, states: &[BucketState]) {
        let fraction = self.fraction;
        for bucket in &mut self.buckets {
            bucket.advance(now, fraction);
            let found = states.iter().find(|state| state.subject == bucket.subject);
            bucket.level = found.map_or(bucket.level, |state| bucket.level.min(state.level));
        }
    }

    /// Returns the bucket states for the VMs that this one aggregates for, leaving out customers
    /// without demand whose bucket is full.
    pub fn bucket_states(&mut self, now: TimePoint) -> Vec<BucketState> {
        let fraction = self.fraction;
        let mut states = Vec::new();
        for bucket in &mut self.buckets {
            bucket.advance(now, fraction);
            let demand_per_s = bucket.fleet_demand.get(now);
            if demand_per_s < MIN_DEMAND_PER_S && bucket.level >= bucket.capacity(fraction) {
                continue;
            }
            let (subject, level) = (bucket.subject.clone(), bucket.level);
            states.push(BucketState { subject, level, demand_per_s });
        }
        states
    }

    /// Returns this VM's usage report for all other VMs, and marks the usage as reported. `start_id`
    /// identifies this incarnation of the process.
    pub fn report(&mut self, now: TimePoint, start_id: u64) -> UsageReport {
        self.follows = false;
        // VMs that ran have received the earlier reports.
        for bucket in &mut self.buckets {
            (bucket.publishing, bucket.published) = (bucket.reported, bucket.reported);
        }
        (self.publishing_at, self.published_at) = (self.reported_at, self.reported_at);
        self.report_totals(now, start_id)
    }

    /// Returns this VM's usage report for its aggregator, and marks the usage as reported. An
    /// aggregator that holds no earlier report needs the base.
    pub fn report_to_aggregator(
        &mut self,
        now: TimePoint,
        start_id: u64,
        with_base: bool,
    ) -> UsageReport {
        let report = self.report_totals(now, start_id);
        let base = with_base.then(|| UsageBase {
            age_ms: (now.since(self.published_at) / MICROS_PER_MILLI).min(report.age_ms),
            totals: self.totals_of(&report.uses, |bucket| bucket.published),
        });
        UsageReport { base, ..report }
    }

    fn report_totals(&mut self, now: TimePoint, start_id: u64) -> UsageReport {
        for bucket in &mut self.buckets {
            bucket.reported = bucket.own;
        }
        self.reported_at = now;
        let uses = self.totals(|bucket| bucket.own);
        UsageReport { start_id, age_ms: self.age_ms(now), uses, base: None, partial: false }
    }

    /// Starts to aggregate the usage of this VM and of those that report to it. The sums begin with
    /// what no aggregator has published of this VM's usage.
    pub fn start_aggregating(&mut self, now: TimePoint) {
        let fraction = self.fraction;
        self.follows = false;
        self.sums_since = now;
        self.members.clear_sums();
        self.published_sums = PublishedSums::starting(now);
        for bucket in &mut self.buckets {
            bucket.advance(now, fraction);
            bucket.take_over(fraction);
            bucket.sums_base = bucket.published;
        }
    }

    /// Returns the usage of this VM and of those that report to it, since
    /// [`Self::start_aggregating`], and marks it as reported and published: the bucket states that
    /// are sent with it include it.
    pub fn sums(&mut self, now: TimePoint) -> UsageReport {
        for bucket in &mut self.buckets {
            bucket.reported = bucket.own;
            (bucket.publishing, bucket.published) = (bucket.own, bucket.own);
        }
        (self.reported_at, self.publishing_at, self.published_at) = (now, now, now);
        let uses = self.totals(|bucket| {
            let mut sum = bucket.own.since(bucket.sums_base);
            sum.add(self.members.sum(&bucket.subject));
            sum
        });
        self.published_sums.set_sent(now, &uses);
        let age_ms = now.since(self.sums_since) / MICROS_PER_MILLI;
        UsageReport { start_id: self.sums_since.0, age_ms, uses, base: None, partial: false }
    }

    /// Returns the base of the sums for an aggregator of `domain` that has no earlier ones.
    #[must_use]
    pub fn sums_base(&self, now: TimePoint, domain: &DomainName, sums: &UsageReport) -> UsageBase {
        self.published_sums.base(now, domain, sums)
    }

    fn age_ms(&self, now: TimePoint) -> u64 {
        self.started.map_or(0, |started| now.since(started) / MICROS_PER_MILLI)
    }

    fn totals(&self, total: impl Fn(&LimitBucket) -> UsageTotal) -> Vec<SubjectTotal> {
        let used = self
            .buckets
            .iter()
            .map(|bucket| SubjectTotal { subject: bucket.subject.clone(), total: total(bucket) });
        used.filter(|used| used.total.demand > 0.0).collect()
    }

    fn totals_of(
        &self,
        uses: &[SubjectTotal],
        total: impl Fn(&LimitBucket) -> UsageTotal,
    ) -> Vec<UsageTotal> {
        let of_subject = |used: &SubjectTotal| {
            let found = self.buckets.binary_search_by(|bucket| bucket.subject.cmp(&used.subject));
            found.map_or_else(|_| UsageTotal::default(), |at| total(&self.buckets[at]))
        };
        uses.iter().map(of_subject).collect()
    }

    fn index_of(&self, customer: &str) -> Option<usize> {
        self.buckets.binary_search_by(|bucket| bucket.subject.cmp_customer(customer)).ok()
    }
}

/// Methods for VMs that exchange usage in membership digests.
impl FleetLimiter {
    /// Applies the limits of a manifest.
    pub fn configure_manifest(&mut self, now: TimePoint, manifest: &ServingManifest) {
        let limited = manifest.tenants.iter().filter_map(|entry| {
            let limit = FleetLimit {
                per_second: entry.requests_per_s?,
                burst: f64::from(entry.burst).max(1.0),
                measure: LimitMeasure::Requests,
            };
            Some((entry.name.clone(), limit))
        });
        self.configure(now, limited.collect());
    }

    /// Returns this VM's usage for its digest: of the [`MAX_SPREAD_CUSTOMERS`] customers with the
    /// most demand, sorted by customer.
    pub fn usage(&mut self, now: TimePoint) -> Vec<CustomerUsage> {
        let mut used = self.report(now, 0).uses;
        used.sort_by(|a, b| b.total.demand.total_cmp(&a.total.demand));
        used.truncate(MAX_SPREAD_CUSTOMERS);
        used.sort_by(|a, b| a.subject.cmp(&b.subject));
        let usage = used.into_iter().filter_map(|used| {
            let tenant = used.subject.customer()?.clone();
            Some(CustomerUsage {
                per_ks: self.asked_per_ks(now, &tenant),
                tenant,
                demand: used.total.demand as u64,
                admitted: used.total.admitted.max(0.0) as u64,
            })
        });
        usage.collect()
    }

    fn asked_per_ks(&mut self, now: TimePoint, customer: &CustomerName) -> u64 {
        let Some(at) = self.index_of(customer.as_str()) else { return 0 };
        (self.buckets[at].own_demand.get(now) * 1_000.0) as u64
    }

    /// Applies the usage in the digests of the live VMs, and the number of VMs.
    pub fn apply_digests(&mut self, now: TimePoint, members: &MemberTable) {
        let rows: Vec<_> =
            members.live().filter(|row| row.name() != members.own().name()).collect();
        self.set_reachable(now, rows.len() + 1, members.others().len() + 1);
        for row in rows {
            let uses = row.facts().usage.iter().map(|usage| SubjectTotal {
                subject: LimitSubject::Customer(usage.tenant.clone()),
                total: UsageTotal { demand: usage.demand as f64, admitted: usage.admitted as f64 },
            });
            let uses: Vec<SubjectTotal> = uses.collect();
            let VmIncarnation(start_id) = row.identity().incarnation;
            // Digests carry no age. They arrive in order, so the current time serves as an increasing one.
            let age_ms = now.0 / MICROS_PER_MILLI;
            let partial = uses.len() >= MAX_SPREAD_CUSTOMERS;
            let report = UsageReport { start_id, age_ms, uses, base: None, partial };
            self.apply_member_report(now, &VmName::from(row.name()), &report);
        }
    }
}
