//! Customer limits over the whole fleet.
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

use crate::customer::{CustomerLimit, LimitMeasure};
use crate::digest::CustomerUsage;
use crate::id::{CustomerName, MICROS_PER_MILLI, TimePoint, VmIncarnation, VmName};
use crate::manifest::ServingManifest;
use crate::member::{MAX_SPREAD_CUSTOMERS, MemberTable};
use crate::routing::ModelNeed;
use crate::usage::{
    CustomerTotal, DecayingRate, MICROS_PER_SECOND, UsageLedger, UsageReport, UsageTotal,
};
use crate::value;

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
/// Initial overdraft of a bucket at a VM that starts, in seconds of its rate: when all VMs restart,
/// what they admitted before is not known.
const INITIAL_OVERDRAFT_S: f64 = 0.4;
/// Multiple of its fraction of the bucket that a VM may spend between two reports, so that a burst
/// that arrives at all VMs at once cannot empty the bucket many times over.
const SPEND_FACTOR: f64 = 2.0;
/// Multiple of an equal part of the bucket that any VM may spend between two reports, also without
/// recent demand from the customer.
const EQUAL_SPEND_FACTOR: f64 = 2.0;
/// Fraction of an equal share that a VM admits while it does not know the demand at the others.
const UNCONFIRMED_FRACTION: f64 = 0.6;
/// Fraction of an equal share that a VM without previous demand from the customer admits once the
/// bucket is empty.
const INITIAL_SHARE_FRACTION: f64 = 0.2;
/// Interval between reports from which on the reported usage is deducted gradually instead of at
/// once, in microseconds.
const GRADUAL_DEBIT_US: u64 = 500_000;
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
/// otherwise continue to spend a bucket that is already empty.
const REPORT_TTL_INTERVALS: u64 = 2;
/// Fraction of the known VMs from which on a group of mutually reachable VMs admits the whole rate.
/// The other VMs are expected to be dead, or in a smaller group whose admissions the allowed excess
/// covers until they are reduced. Two groups that both reach this fraction both admit the whole
/// rate.
const FULL_RATE_FRACTION: f64 = 0.4;
/// Fraction of its equal part that a smaller group, or a single VM, admits.
const MINORITY_FRACTION: f64 = 0.2;
/// Maximum retry delay that a caller is given, in milliseconds.
const MAX_RETRY_MS: f64 = 60_000.0;

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
        /// The customer.
        pub customer: CustomerName,
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
    fn of(&self, limit: &CustomerLimit) -> f64 {
        self.part * (limit.per_second * self.window_s + limit.burst) + self.slack
    }
}

/// What this VM knows about usage at the others, as used to admit one request.
#[derive(Clone, Copy, Debug)]
struct FleetView {
    /// Fraction of the rates that this VM and those reachable from it admit.
    fraction: f64,
    /// Number of known VMs, this one included.
    known: usize,
    /// Interval between two reports, in microseconds.
    report_interval_us: u64,
    /// Whether the bucket estimate includes recent admissions of the other VMs.
    level_valid: bool,
    /// Whether the demand at other VMs has been known for long enough to be compared with this
    /// VM's own.
    demand_valid: bool,
}

#[derive(Clone, Debug)]
struct CustomerBucket {
    customer: CustomerName,
    limit: CustomerLimit,
    excess: f64,
    window_s: f64,
    /// Estimated level of the fleet-wide bucket.
    level: f64,
    /// Usage of other VMs not yet deducted from the level, and the rate per second at which it is
    /// deducted.
    pending_debit: f64,
    pending_debit_per_s: f64,
    /// What this VM may admit from its share once the bucket is empty.
    share: f64,
    advanced_at: TimePoint,
    own: UsageTotal,
    /// The portion of `own` that was reported to the other VMs.
    reported: UsageTotal,
    /// Value of `own` when this VM began to aggregate the usage of others.
    sums_base: UsageTotal,
    own_demand: DecayingRate,
    fleet_demand: DecayingRate,
    /// Demand per second at this VM at the start of the previous report interval, which the known
    /// fleet demand includes, and this VM's fraction of the fleet's demand based on it. With the
    /// current demand instead, all VMs would take a larger fraction whenever demand jumps.
    previous_demand: f64,
    own_fraction: f64,
    /// Amount admitted since `interval_start`, and the maximum until the interval ends.
    spent: f64,
    spend_limit: f64,
    interval_start: Option<TimePoint>,
}

/// Admission control for customers with a limit at this VM.
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    /// Sorted by customer.
    buckets: Vec<CustomerBucket>,
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
    /// Usage that VMs report of themselves.
    members: UsageLedger,
    /// Usage that aggregators report of other domains.
    domains: UsageLedger,
}

impl Default for CustomerLimiter {
    fn default() -> Self {
        Self::new(LimitExcess::default(), DIGEST_INTERVAL_US)
    }
}

impl CustomerLimiter {
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
            members,
            domains,
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
    pub fn configure(&mut self, now: TimePoint, limits: Vec<(CustomerName, CustomerLimit)>) {
        self.started.get_or_insert(now);
        let old = std::mem::take(&mut self.buckets);
        for (customer, limit) in limits {
            let kept = old.binary_search_by(|bucket| bucket.customer.cmp(&customer));
            let mut bucket = match kept {
                Ok(at) => old[at].clone(),
                Err(_) => {
                    let overdraft = INITIAL_OVERDRAFT_S * limit.per_second;
                    CustomerBucket::new(now, customer, limit, -overdraft)
                }
            };
            bucket.advance(now, self.fraction);
            bucket.limit = limit;
            bucket.excess = self.excess.of(&limit);
            bucket.window_s = self.excess.window_s;
            bucket.level = bucket.level.min(bucket.capacity(self.fraction));
            self.buckets.push(bucket);
        }
        self.buckets.sort_by(|a, b| a.customer.cmp(&b.customer));
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
        let received_within = |us: u64| self.last_report_at.is_some_and(|at| now.since(at) < us);
        let view = FleetView {
            fraction: self.fraction,
            known: self.known,
            report_interval_us: self.report_interval_us,
            level_valid: received_within(REPORT_TTL_INTERVALS * self.report_interval_us)
                || self.known == 1,
            demand_valid: received_within(REPORT_TTL_INTERVALS * self.report_interval_us)
                && now.since(self.reports_since) > SETTLE_TIME_US,
        };
        self.buckets[at].admit(now, cost, view)
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
    pub fn apply_member_report(&mut self, now: TimePoint, vm: &VmName, report: &UsageReport) {
        let (increments, interval_us) = self.members.take(now, vm, report, self.age_ms(now));
        self.apply_increments(now, increments, interval_us);
    }

    /// Applies the usage report of the aggregator of another domain.
    pub fn apply_domain_report(&mut self, now: TimePoint, vm: &VmName, report: &UsageReport) {
        let (increments, interval_us) = self.domains.take(now, vm, report, self.age_ms(now));
        self.apply_increments(now, increments, interval_us);
    }

    /// Applies usage increments of the last `interval_us`. Increments over a long interval are
    /// deducted over an equally long time: a second of usage deducted at once would empty a bucket
    /// that holds less.
    fn apply_increments(
        &mut self,
        now: TimePoint,
        increments: Vec<CustomerTotal>,
        interval_us: u64,
    ) {
        let fraction = self.fraction;
        self.note_report(now);
        for used in increments {
            let found = self.buckets.binary_search_by(|bucket| bucket.customer.cmp(&used.customer));
            let Ok(at) = found else { continue };
            let bucket = &mut self.buckets[at];
            bucket.advance(now, fraction);
            bucket.fleet_demand.add(now, used.total.demand);
            if interval_us < GRADUAL_DEBIT_US {
                bucket.level -= used.total.admitted;
            } else {
                bucket.pending_debit += used.total.admitted;
                bucket.pending_debit_per_s =
                    bucket.pending_debit * MICROS_PER_SECOND / interval_us as f64;
            }
        }
    }

    fn note_report(&mut self, now: TimePoint) {
        if self.last_report_at.is_none_or(|at| now.since(at) >= MAX_REPORT_GAP_US) {
            self.reports_since = now;
        }
        self.last_report_at = Some(now);
    }

    /// Applies the bucket states from the aggregator, which include this VM's usage up to its last
    /// report. A customer without a state has no demand in the fleet; its estimate is kept.
    pub fn set_bucket_states(&mut self, now: TimePoint, states: &[BucketState]) {
        let fraction = self.fraction;
        self.note_report(now);
        for bucket in &mut self.buckets {
            bucket.advance(now, fraction);
            let found = states.iter().find(|state| state.customer == bucket.customer);
            let Some(state) = found else { continue };
            let unreported = bucket.own.admitted - bucket.reported.admitted;
            bucket.level = state.level.min(bucket.capacity(fraction)) - unreported;
            bucket.fleet_demand.set(now, state.demand_per_s);
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
            let (customer, level) = (bucket.customer.clone(), bucket.level);
            states.push(BucketState { customer, level, demand_per_s });
        }
        states
    }

    /// Returns this VM's usage report and marks the usage as reported. `start_id` identifies this
    /// incarnation of the process.
    pub fn report(&mut self, now: TimePoint, start_id: u64) -> UsageReport {
        for bucket in &mut self.buckets {
            bucket.reported = bucket.own;
        }
        UsageReport { start_id, age_ms: self.age_ms(now), uses: self.totals(|bucket| bucket.own) }
    }

    /// Starts to aggregate the usage of this VM and of those that report to it, from zero.
    pub fn start_aggregating(&mut self, now: TimePoint) {
        self.sums_since = now;
        self.members.clear_sums();
        for bucket in &mut self.buckets {
            bucket.sums_base = bucket.own;
        }
    }

    /// Returns the usage of this VM and of those that report to it, since
    /// [`Self::start_aggregating`].
    #[must_use]
    pub fn sums(&self, now: TimePoint) -> UsageReport {
        let uses = self.totals(|bucket| {
            let mut sum = bucket.own.since(bucket.sums_base);
            sum.add(self.members.sum(&bucket.customer));
            sum
        });
        let age_ms = now.since(self.sums_since) / MICROS_PER_MILLI;
        UsageReport { start_id: self.sums_since.0, age_ms, uses }
    }

    fn age_ms(&self, now: TimePoint) -> u64 {
        self.started.map_or(0, |started| now.since(started) / MICROS_PER_MILLI)
    }

    fn totals(&self, total: impl Fn(&CustomerBucket) -> UsageTotal) -> Vec<CustomerTotal> {
        let used = self.buckets.iter().map(|bucket| CustomerTotal {
            customer: bucket.customer.clone(),
            total: total(bucket),
        });
        used.filter(|used| used.total.demand > 0.0).collect()
    }

    fn index_of(&self, customer: &str) -> Option<usize> {
        self.buckets.binary_search_by(|bucket| bucket.customer.as_str().cmp(customer)).ok()
    }
}

/// Methods for VMs that exchange usage in membership digests.
impl CustomerLimiter {
    /// Applies the limits of a manifest.
    pub fn configure_manifest(&mut self, now: TimePoint, manifest: &ServingManifest) {
        let limited = manifest.tenants.iter().filter_map(|entry| {
            let limit = CustomerLimit {
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
        used.sort_by(|a, b| a.customer.cmp(&b.customer));
        let usage = used.into_iter().map(|used| CustomerUsage {
            per_ks: self.asked_per_ks(now, &used.customer),
            tenant: used.customer,
            demand: used.total.demand as u64,
            admitted: used.total.admitted.max(0.0) as u64,
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
            let uses = row.facts().usage.iter().map(|usage| CustomerTotal {
                customer: usage.tenant.clone(),
                total: UsageTotal { demand: usage.demand as f64, admitted: usage.admitted as f64 },
            });
            let uses: Vec<CustomerTotal> = uses.collect();
            let VmIncarnation(start_id) = row.identity().incarnation;
            let report = UsageReport { start_id, age_ms: u64::MAX, uses };
            self.apply_member_report(now, &VmName::from(row.name()), &report);
        }
    }
}

impl CustomerBucket {
    fn new(now: TimePoint, customer: CustomerName, limit: CustomerLimit, level: f64) -> Self {
        let rate = DecayingRate::new(now);
        Self {
            customer,
            limit,
            excess: 0.0,
            window_s: f64::INFINITY,
            level,
            pending_debit: 0.0,
            pending_debit_per_s: 0.0,
            share: 0.0,
            advanced_at: now,
            own: UsageTotal::default(),
            reported: UsageTotal::default(),
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
    fn capacity(&self, fraction: f64) -> f64 {
        fraction * (BURST_FRACTION * self.excess).max(BURST_FRACTION * self.limit.burst)
    }

    /// Returns the fill rate per second: the limit's rate plus the part of the burst that is
    /// admitted evenly.
    fn rate(&self, fraction: f64) -> f64 {
        let at_once = self.capacity(1.0) - BURST_FRACTION * self.excess;
        let even = EVEN_FRACTION * self.limit.burst - at_once;
        fraction * (self.limit.per_second + even.max(0.0) / self.window_s)
    }

    fn advance(&mut self, now: TimePoint, fraction: f64) {
        let age_s = now.since(self.advanced_at) as f64 / MICROS_PER_SECOND;
        self.advanced_at = now;
        let rate = self.rate(fraction);
        let debited = (self.pending_debit_per_s * age_s).min(self.pending_debit);
        self.pending_debit -= debited;
        self.level = (self.level + rate * age_s - debited).min(self.capacity(fraction));
        let share_rate = rate * SHARE_FRACTION * self.own_fraction;
        self.share = (self.share + share_rate * age_s).min(share_rate * MAX_SAVED_SHARE_S);
    }

    fn spend(&mut self, cost: f64) {
        self.level -= cost;
        self.own.admitted += cost;
        self.spent += cost;
    }

    fn admit(&mut self, now: TimePoint, cost: f64, view: FleetView) -> Result<(), LimitRefusal> {
        let fraction = view.fraction;
        self.own_demand.add(now, cost);
        self.fleet_demand.add(now, cost);
        self.own.demand += cost;
        self.advance(now, fraction);
        self.start_interval(now, view);
        if view.level_valid && self.level > 0.0 && self.spent <= self.spend_limit {
            self.spend(cost);
            return Ok(());
        }
        let excess_overdraft = -self.level - MAX_OVERDRAFT_FRACTION * self.excess * fraction;
        if excess_overdraft < 0.0 && self.share > 0.0 {
            self.share -= cost;
            self.spend(cost);
            return Ok(());
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
        if self.interval_start.is_some_and(|start| now.since(start) < view.report_interval_us) {
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
