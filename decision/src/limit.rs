//! Limits of customers over the whole fleet.
//!
//! No VM is asked before a request is let in. Each tells of what it was asked and admitted for each customer, as
//! totals since its process began, and keeps an estimate of the fleet's one bucket: it fills at the customer's
//! rate and loses what all VMs admit. While the bucket holds something every VM admits what comes. Once it is
//! empty each admits its share of the rate, by its part of what the fleet is asked; far below empty none admits
//! anything. So nothing is refused below a limit, whichever VM it comes to, and what is admitted above one is
//! bounded by the age of what VMs know of each other. docs/LIMITS.md has the bound.

use crate::customer::{CustomerLimit, LimitMeasure};
use crate::digest::CustomerUsage;
use crate::id::{CustomerName, MICROS_PER_MILLI, TimePoint, VmIncarnation, VmName};
use crate::manifest::ServingManifest;
use crate::member::{MAX_SPREAD_CUSTOMERS, MemberTable};
use crate::routing::ModelNeed;
use crate::usage::{CustomerUse, FadingRate, MICROS_PER_SECOND, ToldUses, UseLedger, UseTotal};
use crate::value;

/// The part of its share that a VM admits once the bucket is empty. The rest repays what was admitted above the
/// limit before VMs knew of each other's requests.
const SHARE_PART: f64 = 0.95;
/// For how long a VM saves up its share, in seconds.
const SHARE_SAVED_S: f64 = 0.1;
/// What a limit allows in a window is admitted evenly over it, but for this part of the allowed excess, or of the
/// burst, which may come at once: with the whole burst kept for one moment, a customer that always asks
/// somewhat more than its rate, and less than its limit in each window, would be refused all the time.
const SAVED_PART: f64 = 0.35;
/// The part of the burst that is admitted evenly.
const EVEN_PART: f64 = 0.75;
/// The part of the allowed excess by which the bucket may be overdrawn before nothing is admitted. Most of the
/// excess covers what VMs admit before they hear of each other.
const EXCESS_OWED: f64 = 0.03;
/// By how many seconds of its rate a bucket is taken to be overdrawn at a VM that starts: counts are lost when all
/// start anew.
const START_OWED_S: f64 = 0.4;
/// A VM spends at most this many times its part of the bucket between two tellings, so that a flood that comes
/// to all VMs at once cannot empty it many times over.
const SPEND_TIMES: f64 = 2.0;
/// The same for a VM that the customer did not use a moment ago, against an equal part.
const FIRST_SPEND_TIMES: f64 = 2.0;
/// The part of an equal share that a VM admits which does not know what the others do.
const UNSURE_PART: f64 = 0.6;
/// The part of an equal share that a VM admits which the customer did not use before, once the bucket is empty.
const FIRST_SHARE: f64 = 0.2;
/// VMs that tell less often than this tell of much at once.
const SELDOM_US: u64 = 500_000;
/// For how long it is relied on what others told. After it the customer may be asked for anywhere.
const HEARD_US: u64 = 3_000_000;
/// After so long the rates that others are asked have settled at a VM that started.
const SETTLED_US: u64 = 1_500_000;
/// Less than this is not asked for at all: the rest of a rate that fades.
const LEAST_ASKED: f64 = 0.01;
/// The time between two tellings where VMs tell each other in digests.
const DIGEST_US: u64 = 1_000_000;
/// For so many tellings without word of the others their use is taken to be what it was. Cut off while demand
/// jumps, a VM would else go on spending a bucket that is long empty.
const TRUSTED_TELLINGS: u64 = 2;
/// A group of VMs that sees at least this part of all that are known admits the whole rate; the others are
/// gone, or are so few that the allowed excess covers them until they stop.
const WHOLE_PART: f64 = 0.4;
/// A smaller group, or a VM that is alone, admits this much of its equal part.
const MINORITY_PART: f64 = 0.2;
/// The longest time until a caller is told to come back, in milliseconds.
const MOST_RETRY_MS: f64 = 60_000.0;

/// A request over its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRefusal {
    /// When the customer may send again, in milliseconds.
    pub retry_after_ms: u64,
    /// What its bucket held, over all VMs, as far as this one knows.
    pub level: f64,
    /// What is asked for it in a second, over all VMs.
    pub asked_per_s: f64,
    /// This VM's part of that.
    pub own_part: f64,
    /// The part of the rate that this VM and those in touch with it admit.
    pub fleet_part: f64,
}

value! {
    /// By how much the operators let limits be exceeded, in any window, over all VMs.
    #[derive(Copy)]
    pub struct LimitExcess {
        /// The window in seconds.
        pub window_s: f64,
        /// The part of what a limit allows in a window.
        pub part: f64,
        /// What is allowed on top, in the limit's unit.
        pub slack: f64,
    }

    /// Where a customer stands over all VMs.
    pub struct FleetStanding {
        /// The customer.
        pub customer: CustomerName,
        /// What its bucket holds; below nothing where more was admitted.
        pub level: f64,
        /// What is asked for it in a second.
        pub asked_per_s: f64,
    }
}

impl Default for LimitExcess {
    fn default() -> Self {
        Self { window_s: 8.0, part: 0.1, slack: 0.0 }
    }
}

impl LimitExcess {
    /// How much more than its limit a customer may be admitted in a window.
    fn of(&self, limit: &CustomerLimit) -> f64 {
        self.part * (limit.per_second * self.window_s + limit.burst) + self.slack
    }
}

/// What a VM knows of the others' uses.
#[derive(Clone, Copy, Debug)]
struct FleetView {
    /// The part of the rates that this VM and those in touch with it admit.
    part: f64,
    /// All VMs that are known.
    known: usize,
    /// The time between two tellings.
    telling_us: u64,
    /// Whether the estimate of the fleet's bucket counts what others admit.
    level: bool,
    /// Whether what others are asked is known for long enough to be compared with what this VM is.
    parts: bool,
}

#[derive(Clone, Debug)]
struct CustomerBucket {
    customer: CustomerName,
    limit: CustomerLimit,
    excess: f64,
    window_s: f64,
    /// The estimate of the fleet's bucket.
    level: f64,
    /// What others used that is still to be taken out of it, and how fast.
    owed: f64,
    owed_per_s: f64,
    /// What this VM may admit of its share once that is empty.
    share: f64,
    filled: TimePoint,
    own: UseTotal,
    /// The part of `own` that the others were told of.
    told: UseTotal,
    /// What it was when this VM began to add up the uses of others.
    before_sums: UseTotal,
    own_asked: FadingRate,
    fleet_asked: FadingRate,
    /// What this VM was asked in a second one telling ago, which what it knows of the fleet contains, and its
    /// part of the fleet by that. With what it is asked now, all VMs would take a larger part whenever demand
    /// jumps.
    asked_before: f64,
    own_part: f64,
    /// Admitted since the begin of this span between two tellings, and how much may be in it.
    spent: f64,
    spendable: f64,
    span: Option<TimePoint>,
}

/// Admits requests of limited customers at this VM.
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    /// Sorted by customer.
    buckets: Vec<CustomerBucket>,
    excess: LimitExcess,
    telling_us: u64,
    /// The part of the rates that this VM and those in touch with it admit.
    part: f64,
    /// All VMs that are known.
    known: usize,
    /// When others last told of their use. Until then a VM that started knows of an untouched bucket, as do all
    /// others when all start at once.
    heard: Option<TimePoint>,
    /// Since when they have told of it without a long pause.
    heard_since: TimePoint,
    /// Since when this VM counts, and since when it adds up the uses of others.
    started: Option<TimePoint>,
    sums_since: TimePoint,
    /// What VMs say of their own use.
    members: UseLedger,
    /// What those that add up say of the use of other domains.
    domains: UseLedger,
}

impl Default for CustomerLimiter {
    fn default() -> Self {
        Self::new(LimitExcess::default(), DIGEST_US)
    }
}

impl CustomerLimiter {
    /// Without customers yet, in a fleet whose VMs tell of their uses each `telling_us` microseconds.
    #[must_use]
    pub fn new(excess: LimitExcess, telling_us: u64) -> Self {
        let (members, domains) = (UseLedger::default(), UseLedger::default());
        Self {
            buckets: Vec::new(),
            excess,
            telling_us,
            part: 1.0,
            known: 1,
            heard: None,
            heard_since: TimePoint(0),
            started: None,
            sums_since: TimePoint(0),
            members,
            domains,
        }
    }

    /// Takes new bounds.
    pub fn set_excess(&mut self, excess: LimitExcess) {
        self.excess = excess;
        for bucket in &mut self.buckets {
            bucket.excess = excess.of(&bucket.limit);
            bucket.window_s = excess.window_s;
        }
    }

    /// Takes the limits of the configuration in force, in any order. A customer whose limit did not change keeps
    /// what it has used; a new one begins with an overdrawn bucket.
    pub fn configure(&mut self, now: TimePoint, limits: Vec<(CustomerName, CustomerLimit)>) {
        self.started.get_or_insert(now);
        let old = std::mem::take(&mut self.buckets);
        for (customer, limit) in limits {
            let kept = old.binary_search_by(|bucket| bucket.customer.cmp(&customer));
            let mut bucket = match kept {
                Ok(at) => old[at].clone(),
                Err(_) => {
                    let owed = START_OWED_S * limit.per_second;
                    CustomerBucket::new(now, customer, limit, -owed)
                }
            };
            bucket.advance(now, self.part);
            bucket.limit = limit;
            bucket.excess = self.excess.of(&limit);
            bucket.window_s = self.excess.window_s;
            bucket.level = bucket.level.min(bucket.most(self.part));
            self.buckets.push(bucket);
        }
        self.buckets.sort_by(|a, b| a.customer.cmp(&b.customer));
    }

    /// What a request of `customer` counts as; none for one without limit.
    #[must_use]
    pub fn cost(&self, customer: &str, need: Option<&ModelNeed>) -> Option<f64> {
        let at = self.place(customer)?;
        Some(self.buckets[at].limit.measure.cost(need))
    }

    /// Admits a request of `customer`, or says when to come back.
    ///
    /// # Errors
    ///
    /// The customer is over its limit. The request is not to be tried elsewhere: the limit holds for the
    /// fleet.
    pub fn admit(&mut self, now: TimePoint, customer: &str, cost: f64) -> Result<(), LimitRefusal> {
        let Some(at) = self.place(customer) else { return Ok(()) };
        let within = |us: u64| self.heard.is_some_and(|heard| now.since(heard) < us);
        let view = FleetView {
            part: self.part,
            known: self.known,
            telling_us: self.telling_us,
            level: within(TRUSTED_TELLINGS * self.telling_us) || self.known == 1,
            parts: within(TRUSTED_TELLINGS * self.telling_us)
                && now.since(self.heard_since) > SETTLED_US,
        };
        self.buckets[at].admit(now, cost, view)
    }

    /// Counts a further run of a request that was admitted before.
    pub fn charge(&mut self, now: TimePoint, customer: &str, cost: f64) {
        let Some(at) = self.place(customer) else { return };
        let part = self.part;
        let bucket = &mut self.buckets[at];
        bucket.advance(now, part);
        bucket.spend(cost);
    }

    /// Gives back what was taken for a request that certainly did not run.
    pub fn give_back(&mut self, now: TimePoint, customer: &str, cost: f64) {
        self.charge(now, customer, -cost);
    }

    /// Takes how many VMs this one is in touch with, itself among them, and how many are known.
    pub fn in_touch(&mut self, now: TimePoint, seen: usize, known: usize) {
        let part = seen as f64 / known.max(seen).max(1) as f64;
        let part = if part >= WHOLE_PART { 1.0 } else { part * MINORITY_PART };
        let before = std::mem::replace(&mut self.part, part);
        self.known = known.max(1);
        if before != part {
            for bucket in &mut self.buckets {
                bucket.advance(now, before);
                bucket.level = bucket.level.min(bucket.most(part));
            }
        }
    }

    /// Takes what another VM says of its use.
    pub fn member_use(&mut self, now: TimePoint, vm: &VmName, told: &ToldUses) {
        let (grown, over_us) = self.members.take(now, vm, told, self.age_ms(now));
        self.others_use(now, grown, over_us);
    }

    /// Takes what one that adds up says of the use of the VMs of another domain.
    pub fn domain_use(&mut self, now: TimePoint, vm: &VmName, told: &ToldUses) {
        let (grown, over_us) = self.domains.take(now, vm, told, self.age_ms(now));
        self.others_use(now, grown, over_us);
    }

    /// Takes what others used in the `over_us` before. Of VMs that tell seldom it is spread over as long: taken at
    /// once, a second's use would leave nothing in a bucket that holds less.
    fn others_use(&mut self, now: TimePoint, grown: Vec<CustomerUse>, over_us: u64) {
        let part = self.part;
        self.hear(now);
        for used in grown {
            let found = self.buckets.binary_search_by(|bucket| bucket.customer.cmp(&used.customer));
            let Ok(at) = found else { continue };
            let bucket = &mut self.buckets[at];
            bucket.advance(now, part);
            bucket.fleet_asked.add(now, used.total.asked);
            if over_us < SELDOM_US {
                bucket.level -= used.total.admitted;
            } else {
                bucket.owed += used.total.admitted;
                bucket.owed_per_s = bucket.owed * MICROS_PER_SECOND / over_us as f64;
            }
        }
    }

    fn hear(&mut self, now: TimePoint) {
        if self.heard.is_none_or(|heard| now.since(heard) >= HEARD_US) {
            self.heard_since = now;
        }
        self.heard = Some(now);
    }

    /// Takes where customers stand over all VMs, from one that adds up their uses and knows this VM's as it last
    /// told them. Those that are not named were not asked for.
    pub fn stand(&mut self, now: TimePoint, standings: &[FleetStanding]) {
        let part = self.part;
        self.hear(now);
        for bucket in &mut self.buckets {
            bucket.advance(now, part);
            let named = standings.iter().find(|standing| standing.customer == bucket.customer);
            let Some(standing) = named else { continue };
            let untold = bucket.own.admitted - bucket.told.admitted;
            bucket.level = standing.level.min(bucket.most(part)) - untold;
            bucket.fleet_asked.set(now, standing.asked_per_s);
        }
    }

    /// Where customers stand that are asked for, for the VMs that this one adds up for.
    pub fn standings(&mut self, now: TimePoint) -> Vec<FleetStanding> {
        let part = self.part;
        let mut standings = Vec::new();
        for bucket in &mut self.buckets {
            bucket.advance(now, part);
            let asked_per_s = bucket.fleet_asked.get(now);
            if asked_per_s < LEAST_ASKED && bucket.level >= bucket.most(part) {
                continue;
            }
            let (customer, level) = (bucket.customer.clone(), bucket.level);
            standings.push(FleetStanding { customer, level, asked_per_s });
        }
        standings
    }

    /// This VM's uses, to tell them to others. `life` tells its process from earlier ones.
    pub fn tell(&mut self, now: TimePoint, life: u64) -> ToldUses {
        for bucket in &mut self.buckets {
            bucket.told = bucket.own;
        }
        ToldUses { life, age_ms: self.age_ms(now), uses: self.uses(|bucket| bucket.own) }
    }

    /// This VM begins to add up what it and others use.
    pub fn begin_sums(&mut self, now: TimePoint) {
        self.sums_since = now;
        self.members.clear_sums();
        for bucket in &mut self.buckets {
            bucket.before_sums = bucket.own;
        }
    }

    /// What this VM and those that told it of theirs used, since this VM began to add up.
    #[must_use]
    pub fn sums(&self, now: TimePoint) -> ToldUses {
        let uses = self.uses(|bucket| {
            let mut sum = bucket.own.since(bucket.before_sums);
            sum.add(self.members.sum(&bucket.customer));
            sum
        });
        let age_ms = now.since(self.sums_since) / MICROS_PER_MILLI;
        ToldUses { life: self.sums_since.0, age_ms, uses }
    }

    fn age_ms(&self, now: TimePoint) -> u64 {
        self.started.map_or(0, |started| now.since(started) / MICROS_PER_MILLI)
    }

    fn uses(&self, total: impl Fn(&CustomerBucket) -> UseTotal) -> Vec<CustomerUse> {
        let used = self
            .buckets
            .iter()
            .map(|bucket| CustomerUse { customer: bucket.customer.clone(), total: total(bucket) });
        used.filter(|used| used.total.asked > 0.0).collect()
    }

    fn place(&self, customer: &str) -> Option<usize> {
        self.buckets.binary_search_by(|bucket| bucket.customer.as_str().cmp(customer)).ok()
    }
}

/// The product's own interface, whose VMs tell each other of their uses in their digests.
impl CustomerLimiter {
    /// Takes the limits of a manifest.
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

    /// This VM's own use, for its digest: of the customers with the most, sorted by customer.
    pub fn usage(&mut self, now: TimePoint) -> Vec<CustomerUsage> {
        let mut used = self.tell(now, 0).uses;
        used.sort_by(|a, b| b.total.asked.total_cmp(&a.total.asked));
        used.truncate(MAX_SPREAD_CUSTOMERS);
        used.sort_by(|a, b| a.customer.cmp(&b.customer));
        let usage = used.into_iter().map(|used| CustomerUsage {
            per_ks: self.asked_per_ks(now, &used.customer),
            tenant: used.customer,
            asked: used.total.asked as u64,
            admitted: used.total.admitted.max(0.0) as u64,
        });
        usage.collect()
    }

    fn asked_per_ks(&mut self, now: TimePoint, customer: &CustomerName) -> u64 {
        let Some(at) = self.place(customer.as_str()) else { return 0 };
        (self.buckets[at].own_asked.get(now) * 1_000.0) as u64
    }

    /// Takes what the others spread of their use.
    pub fn hear_members(&mut self, now: TimePoint, members: &MemberTable) {
        let rows: Vec<_> =
            members.live().filter(|row| row.name() != members.own().name()).collect();
        self.in_touch(now, rows.len() + 1, members.others().len() + 1);
        for row in rows {
            let uses = row.facts().usage.iter().map(|usage| CustomerUse {
                customer: usage.tenant.clone(),
                total: UseTotal { asked: usage.asked as f64, admitted: usage.admitted as f64 },
            });
            let uses: Vec<CustomerUse> = uses.collect();
            let VmIncarnation(life) = row.identity().incarnation;
            let told = ToldUses { life, age_ms: u64::MAX, uses };
            self.member_use(now, &VmName::from(row.name()), &told);
        }
    }
}

impl CustomerBucket {
    fn new(now: TimePoint, customer: CustomerName, limit: CustomerLimit, level: f64) -> Self {
        let rate = FadingRate::new(now);
        Self {
            customer,
            limit,
            excess: 0.0,
            window_s: f64::INFINITY,
            level,
            owed: 0.0,
            owed_per_s: 0.0,
            share: 0.0,
            filled: now,
            own: UseTotal::default(),
            told: UseTotal::default(),
            before_sums: UseTotal::default(),
            own_asked: rate,
            fleet_asked: rate,
            asked_before: 0.0,
            own_part: 0.0,
            spent: 0.0,
            spendable: 0.0,
            span: None,
        }
    }

    /// What the bucket holds at most.
    fn most(&self, part: f64) -> f64 {
        part * (SAVED_PART * self.excess).max(SAVED_PART * self.limit.burst)
    }

    /// What flows into it in a second.
    fn rate(&self, part: f64) -> f64 {
        let saved = self.most(1.0) - SAVED_PART * self.excess;
        let even = EVEN_PART * self.limit.burst - saved;
        part * (self.limit.per_second + even.max(0.0) / self.window_s)
    }

    fn advance(&mut self, now: TimePoint, part: f64) {
        let age_s = now.since(self.filled) as f64 / MICROS_PER_SECOND;
        self.filled = now;
        let rate = self.rate(part);
        let taken = (self.owed_per_s * age_s).min(self.owed);
        self.owed -= taken;
        self.level = (self.level + rate * age_s - taken).min(self.most(part));
        let share_rate = rate * SHARE_PART * self.own_part;
        self.share = (self.share + share_rate * age_s).min(share_rate * SHARE_SAVED_S);
    }

    fn spend(&mut self, cost: f64) {
        self.level -= cost;
        self.own.admitted += cost;
        self.spent += cost;
    }

    fn admit(&mut self, now: TimePoint, cost: f64, view: FleetView) -> Result<(), LimitRefusal> {
        let part = view.part;
        self.own_asked.add(now, cost);
        self.fleet_asked.add(now, cost);
        self.own.asked += cost;
        self.advance(now, part);
        self.turn_span(now, view);
        if view.level && self.level > 0.0 && self.spent <= self.spendable {
            self.spend(cost);
            return Ok(());
        }
        let owed = -self.level - EXCESS_OWED * self.excess * part;
        if owed < 0.0 && self.share > 0.0 {
            self.share -= cost;
            self.spend(cost);
            return Ok(());
        }
        let wait_s = self.until_share(cost, owed, part).min(self.until_level(now, part));
        let retry_after_ms = (wait_s * 1_000.0).clamp(1.0, MOST_RETRY_MS) as u64;
        Err(LimitRefusal {
            retry_after_ms,
            level: self.level,
            asked_per_s: self.fleet_asked.get(now),
            own_part: self.own_part,
            fleet_part: part,
        })
    }

    /// How long until this VM's share bears a request, in seconds.
    fn until_share(&self, cost: f64, owed: f64, part: f64) -> f64 {
        let rate = self.rate(part).max(f64::MIN_POSITIVE);
        let share_rate = rate * SHARE_PART * self.own_part;
        (owed / rate).max((cost - self.share) / share_rate.max(f64::MIN_POSITIVE))
    }

    /// How long until the bucket holds something, if less is asked than flows in. A VM that started has a small
    /// share, and by that alone its callers would be told to stay away for long after the bucket has recovered.
    fn until_level(&mut self, now: TimePoint, part: f64) -> f64 {
        let spare = self.rate(part) - self.fleet_asked.get(now);
        if spare > 0.0 { (-self.level).max(0.0) / spare } else { f64::INFINITY }
    }

    fn turn_span(&mut self, now: TimePoint, view: FleetView) {
        if self.span.is_some_and(|span| now.since(span) < view.telling_us) {
            return;
        }
        self.span = Some(now);
        self.spent = 0.0;
        let equal = 1.0 / view.known as f64;
        let before = std::mem::replace(&mut self.asked_before, self.own_asked.get(now));
        let fleet = self.fleet_asked.get(now).max(before);
        self.own_part = match view.parts {
            false => UNSURE_PART * equal,
            true if before > 0.0 => before / fleet,
            true => FIRST_SHARE * equal,
        };
        let part = (SPEND_TIMES * self.own_part).max(FIRST_SPEND_TIMES * equal).min(1.0);
        self.spendable = self.level.max(0.0) * part;
    }
}
