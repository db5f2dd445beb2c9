//! Limits of tenants over the whole fleet, and the budget of retries.
//!
//! Each VM spreads only how much of each tenant's traffic reaches itself, and takes that part of
//! the tenant's rate. No VM is asked before a request is admitted, and one that is cut off goes on
//! with an equal share. See docs/AGREEMENT.md, "Limits".

use crate::id::{MICROS_PER_MILLI, TenantName, TimePoint};
use crate::manifest::ServingManifest;
use crate::member::{MemberTable, SPREAD_TENANTS, TenantUsage};

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Seconds over which the use of a tenant is counted.
const USAGE_WINDOW_MICROS: u64 = 1_000_000;
/// The weight of the last window in the use that is spread.
const USAGE_WEIGHT: f64 = 0.5;
/// The part of a tenant's rate that is given out equally, whatever reaches each VM; a VM that a
/// tenant turns to only now can admit some of its requests at once.
const EQUAL_PART: f64 = 0.2;

/// A request over its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRefusal {
    /// When the tenant may send again, in milliseconds.
    pub retry_after_ms: u64,
}

#[derive(Clone, Debug)]
struct TenantBucket {
    tenant: TenantName,
    rate: f64,
    burst: f64,
    share: f64,
    tokens: f64,
    filled: TimePoint,
    window: TimePoint,
    asked: u64,
    usage: f64,
}

/// Admits requests of limited tenants at this VM.
#[derive(Clone, Debug, Default)]
pub struct TenantLimiter {
    buckets: Vec<TenantBucket>,
}

impl TenantLimiter {
    /// Takes the limits of the configuration in force. A tenant whose limit did not change keeps
    /// what it has used.
    pub fn configure(&mut self, now: TimePoint, manifest: &ServingManifest) {
        let old = std::mem::take(&mut self.buckets);
        for tenant in &manifest.tenants {
            let Some(rate) = tenant.requests_per_s else { continue };
            let burst = f64::from(tenant.burst).max(1.0);
            let kept = old.binary_search_by(|bucket| bucket.tenant.cmp(&tenant.name));
            let mut bucket = match kept {
                Ok(at) => old[at].clone(),
                Err(_) => TenantBucket::new(now, tenant.name.clone(), burst),
            };
            bucket.rate = rate;
            bucket.burst = burst;
            self.buckets.push(bucket);
        }
    }

    /// Admits a request of `tenant`, or says when to come back.
    ///
    /// # Errors
    ///
    /// The tenant is over its rate at this VM. The request is not to be tried elsewhere: the limit
    /// holds for the fleet.
    pub fn admit(&mut self, now: TimePoint, tenant: &str) -> Result<(), LimitRefusal> {
        let found = self.buckets.binary_search_by(|bucket| bucket.tenant.as_str().cmp(tenant));
        let Ok(at) = found else { return Ok(()) };
        self.buckets[at].admit(now)
    }

    /// This VM's own use, for its digest: of the tenants with the most, sorted by tenant.
    pub fn usage(&mut self, now: TimePoint) -> Vec<TenantUsage> {
        for bucket in &mut self.buckets {
            bucket.turn_window(now);
        }
        let mut used: Vec<&TenantBucket> =
            self.buckets.iter().filter(|bucket| bucket.per_ks() > 0).collect();
        used.sort_by_key(|bucket| std::cmp::Reverse(bucket.per_ks()));
        used.truncate(SPREAD_TENANTS);
        used.sort_by(|a, b| a.tenant.cmp(&b.tenant));
        let usage = used
            .into_iter()
            .map(|bucket| TenantUsage { tenant: bucket.tenant.clone(), per_ks: bucket.per_ks() });
        usage.collect()
    }

    /// Divides each tenant's rate by what the others spread. A VM that sees no majority of its
    /// region does not know what reaches the others and takes an equal share.
    pub fn divide(&mut self, now: TimePoint, members: &MemberTable) {
        let region = members.own().place().region.as_str();
        let connected = members.majority(region);
        let known = members.others().len() as f64 + 1.0;
        let live = members.live().count().max(1) as f64;
        for bucket in &mut self.buckets {
            bucket.turn_window(now);
            if !connected {
                bucket.share = 1.0 / known;
                continue;
            }
            let own = bucket.usage;
            let others = others_use(members, bucket.tenant.as_str());
            let part = if own + others > 0.0 { own / (own + others) } else { 1.0 / live };
            bucket.share = EQUAL_PART / live + (1.0 - EQUAL_PART) * part;
        }
    }
}

/// What the other live VMs say that they are asked for, in requests a second.
fn others_use(members: &MemberTable, tenant: &str) -> f64 {
    let own = members.own().name();
    let rows = members.live().filter(|row| row.name() != own);
    let found = rows.filter_map(|row| {
        let usage = &row.facts().usage;
        let at = usage.binary_search_by(|entry| entry.tenant.as_str().cmp(tenant));
        at.ok().map(|at| usage[at].per_ks)
    });
    found.sum::<u64>() as f64 / 1_000.0
}

impl TenantBucket {
    fn new(now: TimePoint, tenant: TenantName, burst: f64) -> Self {
        Self {
            tenant,
            rate: 0.0,
            burst,
            share: 1.0,
            tokens: burst,
            filled: now,
            window: now,
            asked: 0,
            usage: 0.0,
        }
    }

    fn per_ks(&self) -> u64 {
        (self.usage * 1_000.0) as u64
    }

    fn admit(&mut self, now: TimePoint) -> Result<(), LimitRefusal> {
        self.turn_window(now);
        self.asked += 1;
        let rate = self.rate * self.share;
        let most = (self.burst * self.share).max(1.0);
        let gained = now.since(self.filled) as f64 / MICROS_PER_SECOND * rate;
        self.tokens = (self.tokens + gained).min(most);
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE) * 1_000.0;
        Err(LimitRefusal { retry_after_ms: wait.clamp(1.0, 60_000.0) as u64 })
    }

    /// Counts what is asked for, refusals among it: a VM that refuses much must get more.
    fn turn_window(&mut self, now: TimePoint) {
        let age = now.since(self.window);
        if age < USAGE_WINDOW_MICROS {
            return;
        }
        let last = self.asked as f64 * MICROS_PER_SECOND / age as f64;
        self.usage = self.usage * (1.0 - USAGE_WEIGHT) + last * USAGE_WEIGHT;
        if self.usage < 0.001 {
            self.usage = 0.0;
        }
        self.asked = 0;
        self.window = now;
    }
}

/// Settings of the retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries for each thousand first tries. At 100 a fleet that fails every request carries a
    /// tenth more load than one that fails none.
    pub per_mille: u64,
    /// Retries that may come at once, after a quiet time.
    pub burst: u64,
    /// Tries of one request, the first among them.
    pub tries: u32,
    /// Milliseconds before a retry is worth it: with less left the request ends instead.
    pub least_left_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { per_mille: 100, burst: 20, tries: 4, least_left_ms: 20 }
    }
}

/// Keeps retries to a share of first tries.
///
/// When everything fails, retries without a budget multiply the load by the number of tries just
/// when there is least capacity, and the failure feeds itself.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    thousandths: u64,
}

impl RetryBudget {
    /// A budget that begins full.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        let thousandths = settings.burst * 1_000;
        Self { settings, thousandths }
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> &RetrySettings {
        &self.settings
    }

    /// Notes a first try, which earns a part of a retry.
    pub fn first_try(&mut self) {
        let most = self.settings.burst * 1_000;
        self.thousandths = (self.thousandths + self.settings.per_mille).min(most);
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn take(&mut self) -> bool {
        let enough = self.thousandths >= 1_000;
        if enough {
            self.thousandths -= 1_000;
        }
        enough
    }
}

/// By when a request must be answered, on this VM's own clock.
///
/// Between processes only the time that is left is sent, so clocks that differ do not matter; the
/// time on the way is charged to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallDeadline {
    at: Option<TimePoint>,
}

impl CallDeadline {
    /// A deadline `left_ms` from now; none means no deadline.
    #[must_use]
    pub fn after(now: TimePoint, left_ms: Option<u64>) -> Self {
        let micros = left_ms.map(|left| left.saturating_mul(MICROS_PER_MILLI));
        Self { at: micros.map(|micros| now.plus(micros)) }
    }

    /// Milliseconds left, to be sent on; none means no deadline.
    #[must_use]
    pub fn left_ms(self, now: TimePoint) -> Option<u64> {
        self.at.map(|at| at.since(now) / MICROS_PER_MILLI)
    }

    /// Whether it has passed.
    #[must_use]
    pub fn passed(self, now: TimePoint) -> bool {
        self.at.is_some_and(|at| now >= at)
    }
}
