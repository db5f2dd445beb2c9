//! Estimates how long adapter loads take, from the requests that wait for them.
//!
//! A load from the weight store takes a fixed time while few are in flight, and beyond that a time
//! proportional to their number; its time is determined when it begins. All VMs see the loads in
//! flight in each other's lists, so each can predict when its next load will be done. With a single
//! estimate for all loads, one send in five met an adapter that was not loaded yet; each of those
//! counts as a retry.

use crate::id::TimePoint;

/// Initial estimate of a load's time while few are in flight.
const INITIAL_ALONE_US: f64 = 300_000.0;
/// Initial estimate of how many loads a store carries at full speed: at least this many, or a
/// number for each server, since stores are sized with their fleets. Operators' stores carry 0.4 to
/// 1.8 for each server, and 8 at least. An estimate that is too low delays loads needlessly when all
/// servers are cold; one that is too high starts too many at once.
const INITIAL_FULL_SPEED: f64 = 12.0;
const INITIAL_FULL_SPEED_PER_SERVER: f64 = 0.67;
const INITIAL_MEMORY_US: f64 = 40_000.0;
/// Weight of a request that found its adapter not loaded yet. Several requests wait for one load,
/// and each moves the estimate towards the same time and not beyond.
const TOO_EARLY_WEIGHT: f64 = 0.3;
/// How much longer a load is assumed to take than the time at which a request found it not loaded.
const TOO_EARLY_MARGIN_US: f64 = 40_000.0;
/// Maximum time that one load can show, as a ratio to its expected time. It keeps loads that were
/// lost with crashed servers from raising the estimate far above the store's real time: without it
/// five servers that crashed at once raised it to three times that at all VMs, and requests waited
/// in vain for the rest of the minute.
const MAX_SHOWN_RATIO: f64 = 1.5;
/// Minimum number of concurrent loads from which a late load is attributed to the store's rate, not
/// to the time of a single load. Stores carry more loads than these at full speed.
const MIN_CONCURRENT_LOADS: u32 = 6;
/// Number of loads from one early check to the next. Requests normally check when their load is
/// expected to be done, which can't show that it was done long before; without early checks an
/// estimate that is too long would never decrease, and would hold back the loads of a whole fleet.
/// An early check that fails costs one rejected send: one in sixteen loads is one in eighty sends,
/// as about one send in five waits for a load.
const EARLY_CHECK_INTERVAL: u32 = 16;
/// The same initially and after an estimate was shown to be wrong, for a few servers; doubled with
/// each early check that fails. VMs report estimates that were shown to be too long, so that in
/// larger fleets each of them needs to check less often.
const INITIAL_EARLY_CHECK_INTERVAL: u32 = 2;
/// Number of servers for which the initial interval between early checks grows by one load.
const SERVERS_PER_EARLY_CHECK: usize = 6;
/// Number of successful early checks in a row that show an estimate to be too long. One is not enough: the server may have had the adapter in its own memory without its owner's knowledge, and
/// estimates that fell by such loads let one send in seven come too early.
const MIN_EARLY_HITS: u32 = 2;
/// Number of servers up to which [`MIN_EARLY_HITS`] holds. Each doubling needs one more: the more VMs
/// check, the more of them see such a run by chance, and each reports it to all others.
const FEW_SERVERS: usize = 16;
/// Number of successful early checks beyond these that show it to be much too long, as each one checks
/// earlier than the one before.
const CLEAR_EARLY_HITS: u32 = 1;
/// Weights of successful early checks: the first where an estimate may be slightly too long, the
/// second where it is clearly too long. The first is low because loads in flight at other VMs are
/// known with delay, so that similar loads differ in time; an estimate at the shorter ones would
/// make half of all requests come too early.
const EARLY_HIT_WEIGHT: f64 = 0.1;
const CLEAR_HIT_WEIGHT: f64 = 0.8;
/// Ratio of shown to expected time below which an estimate was wrong, and not just affected by
/// normal variation of the load.
const WRONG_RATIO: f64 = 0.6;
/// Times of early checks in rotation, as fractions of the expected time: the first detects an
/// estimate that is slightly too long, the second one that is several times too long. After a
/// successful check all loads are checked earlier still.
const EARLY_FRACTIONS: [f64; 2] = [0.85, 0.4];
const MIN_EARLY_FRACTION: f64 = 0.2;
/// Earliest check of a load that is slowed down by others, as a ratio to the time of a single load,
/// before which it can't be done.
const ALONE_MARGIN: f64 = 1.05;
/// Ratio of new to old expected time below which the loads in flight are updated.
const MUCH_SHORTER_RATIO: f64 = 0.8;
/// Delay between the time at which requests may check and the arrival of one, in microseconds.
const CHECK_SLACK_US: f64 = 8_000.0;
/// A late load that takes up to this many times the expected time shows that single loads take
/// longer; beyond it, that the loads in flight slow each other down.
const ALONE_RATIO: f64 = 1.2;
/// Weight of another VM's estimate. Reports arrive some times per second for each server, so that
/// all VMs converge within a second.
const REPORT_WEIGHT: f64 = 0.02;
/// Growth of the upper bound of an estimate with each report of another VM. The bound doubles
/// within some seconds, so that a store that has become slower is noticed.
const UPPER_BOUND_GROWTH: f64 = 1.002;
/// Bounds of a load's estimated time.
const MAX_LOAD_US: f64 = 6_000_000.0;
const MIN_LOAD_US: f64 = 5_000.0;
/// Minimum time that each load in flight adds: the store carries at most a thousand loads per
/// second.
const MIN_EACH_US: f64 = 1_000.0;

/// Ordered load with its expected time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderedLoad {
    /// Time of the order.
    pub at: TimePoint,
    /// Whether the server had the adapter in its own memory.
    pub from_memory: bool,
    /// Number of loads in flight from the store at that time, over all servers, including this one.
    pub in_flight: u32,
    /// Expected time, in microseconds; 0 if it was found done.
    pub expected_us: u64,
    /// Time from the order until requests first check, in microseconds; 0 once one of them came too
    /// early, since later ones don't show how long the load took.
    pub check_us: u64,
}

impl OrderedLoad {
    /// Returns a load that was found done at `now`, after an unknown time.
    #[must_use]
    pub fn done(now: TimePoint) -> Self {
        Self { at: now, from_memory: false, in_flight: 0, expected_us: 0, check_us: 0 }
    }

    /// Returns the load with the expected time of `forecast` if that is much shorter, so that
    /// requests don't keep waiting for an estimate that was shown to be wrong.
    #[must_use]
    pub fn shortened(&self, forecast: &LoadForecast) -> Option<Self> {
        let expected_us = forecast.expected_in_flight(self.in_flight, self.from_memory);
        let much = (expected_us as f64) < self.expected_us as f64 * MUCH_SHORTER_RATIO;
        let check_us = self.check_us.min(expected_us);
        much.then_some(Self { expected_us, check_us, ..*self })
    }

    /// Returns whether requests check before it is expected to be done.
    #[must_use]
    pub fn is_early(&self) -> bool {
        self.check_us < self.expected_us
    }
}

/// Expected time of the next load.
#[derive(Clone, Copy, Debug)]
pub struct LoadForecast {
    /// Number of loads in flight from the store, including the next one.
    pub in_flight: u32,
    /// Expected time from the store.
    store_us: u64,
    /// Expected time from the server's own memory.
    memory_us: u64,
    /// Expected time as limited by the store's rate with all loads in flight.
    crowded_us: u64,
    /// Fraction of the expected time after which requests check.
    check_fraction: f64,
    /// Time of a single load.
    alone_us: u64,
}

/// Expected time of a load, in microseconds, beyond which it is delayed until others are done.
/// Three fifths of the usual time limit for a first event; beyond it the store is saturated, and
/// each further load only makes all of them later.
const CROWDED_US: u64 = 600_000;

impl LoadForecast {
    /// Returns whether one more load from the store would only slow down those in flight. It is
    /// then better ordered when one of them is done and it is known which requests it can still
    /// serve in time.
    #[must_use]
    pub fn is_saturated(&self) -> bool {
        self.crowded_us > CROWDED_US
    }

    /// Returns the expected time of the load, in microseconds; `from_memory` if the server has the
    /// adapter in its own memory.
    #[must_use]
    pub fn expected_us(&self, from_memory: bool) -> u64 {
        if from_memory { self.memory_us } else { self.store_us }
    }

    /// Returns the expected time of a load that had `in_flight` loads in flight, including itself.
    fn expected_in_flight(&self, in_flight: u32, from_memory: bool) -> u64 {
        if from_memory {
            return self.memory_us;
        }
        self.alone_us.max(self.crowded_us * u64::from(in_flight) / u64::from(self.in_flight.max(1)))
    }

    /// Returns the load as ordered at `at`.
    #[must_use]
    pub fn load(&self, at: TimePoint, from_memory: bool) -> OrderedLoad {
        let expected_us = self.expected_us(from_memory);
        let early_us = (expected_us as f64 * self.check_fraction) as u64;
        let slowed = !from_memory && self.crowded_us > self.alone_us;
        let min_us = if slowed { (self.alone_us as f64 * ALONE_MARGIN) as u64 } else { 0 };
        let check_us = early_us.max(min_us).min(expected_us);
        OrderedLoad { at, from_memory, in_flight: self.in_flight, expected_us, check_us }
    }
}

/// Estimates that a VM reports to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedTimes {
    /// Time of a load while few are in flight, in microseconds.
    pub alone_us: u64,
    /// Time that each load in flight adds where many are, in microseconds.
    pub each_us: u64,
    /// Whether a load was shown to be clearly shorter than expected since the last report.
    pub is_shortened: bool,
}

/// Estimated time.
#[derive(Clone, Copy, Debug)]
struct TimeEstimate {
    us: f64,
    /// Upper bound, by what successful early checks have shown. Reports of VMs without these
    /// results don't raise the estimate beyond it.
    upper_bound_us: f64,
}

impl TimeEstimate {
    fn new(us: f64) -> Self {
        Self { us, upper_bound_us: f64::MAX }
    }

    fn raise(&mut self, shown_us: f64, max_us: f64) {
        self.upper_bound_us = self.upper_bound_us.max(shown_us);
        if shown_us > self.us {
            self.us = (self.us + TOO_EARLY_WEIGHT * (shown_us - self.us)).min(max_us);
        }
    }

    /// Lowers the estimate by a fraction `weight` of its excess over `shown_us`, the longest time
    /// that a load can have taken.
    fn lower(&mut self, shown_us: f64, weight: f64, min_us: f64) {
        if shown_us < self.us {
            self.us = (self.us + weight * (shown_us - self.us)).max(min_us);
            self.upper_bound_us = self.us;
        }
    }

    fn apply_report(&mut self, us: u64) {
        self.upper_bound_us *= UPPER_BOUND_GROWTH;
        self.us = (self.us + REPORT_WEIGHT * (us as f64 - self.us)).min(self.upper_bound_us);
    }
}

/// Estimated load times.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    /// From the store, while few loads are in flight.
    alone: TimeEstimate,
    /// From the store, added by each load in flight, where that takes longer.
    each: TimeEstimate,
    /// Whether a load has shown the store's rate, so that the initial estimate no longer applies.
    each_is_measured: bool,
    /// From the server's own memory.
    from_memory: TimeEstimate,
    /// Loads since the last early check.
    since_early_check: u32,
    /// Number of loads from one early check to the next.
    early_check_interval: u32,
    /// Number of early checks so far.
    early_checks: usize,
    /// Fraction of the expected time after which all loads are checked, once one more early check that
    /// succeeds shows the estimate to be too long.
    eager_fraction: Option<f64>,
    /// Successful early checks in a row.
    early_hits: u32,
    /// Number of servers that loads are ordered at.
    servers: usize,
    /// Whether an estimate was shown to be clearly too long since the last report.
    is_shortened: bool,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self {
            alone: TimeEstimate::new(INITIAL_ALONE_US),
            each: TimeEstimate::new(INITIAL_ALONE_US / INITIAL_FULL_SPEED),
            each_is_measured: false,
            from_memory: TimeEstimate::new(INITIAL_MEMORY_US),
            since_early_check: INITIAL_EARLY_CHECK_INTERVAL,
            early_check_interval: INITIAL_EARLY_CHECK_INTERVAL,
            early_checks: 0,
            eager_fraction: None,
            early_hits: 0,
            servers: 0,
            is_shortened: false,
        }
    }
}

impl LoadTimes {
    /// Sizes the initial estimate of the store's rate for a number of servers, unless a load has
    /// shown the rate already.
    pub fn expect_fleet(&mut self, servers: usize) {
        self.servers = servers;
        self.early_check_interval = self.early_check_interval.max(self.initial_interval());
        if !self.each_is_measured {
            let at_once = INITIAL_FULL_SPEED.max(servers as f64 * INITIAL_FULL_SPEED_PER_SERVER);
            self.each.us = INITIAL_ALONE_US / at_once;
        }
    }

    /// Returns the number of loads from one early check to the next after an estimate was wrong.
    fn initial_interval(&self) -> u32 {
        let interval = u32::try_from(self.servers / SERVERS_PER_EARLY_CHECK).unwrap_or(u32::MAX);
        interval.clamp(INITIAL_EARLY_CHECK_INTERVAL, EARLY_CHECK_INTERVAL)
    }

    /// Returns how many successful early checks in a row show an estimate to be too long.
    fn min_early_hits(&self) -> u32 {
        MIN_EARLY_HITS + (self.servers / FEW_SERVERS).max(1).ilog2()
    }

    /// Makes requests check early for some of the loads. Must be called once for each ordered load.
    pub fn early_check(&mut self, forecast: LoadForecast) -> LoadForecast {
        self.since_early_check += 1;
        if let Some(check_fraction) = self.eager_fraction {
            return LoadForecast { check_fraction, ..forecast };
        }
        if self.since_early_check < self.early_check_interval {
            return forecast;
        }
        self.since_early_check = 0;
        self.early_checks += 1;
        let check_fraction = EARLY_FRACTIONS[self.early_checks % EARLY_FRACTIONS.len()];
        LoadForecast { check_fraction, ..forecast }
    }

    /// Records that a request found its adapter not loaded `elapsed_us` after the order.
    pub fn record_too_early(&mut self, load: OrderedLoad, elapsed_us: u64) {
        if load.is_early() {
            self.eager_fraction = None;
            self.early_hits = 0;
            self.early_check_interval = (self.early_check_interval * 2).min(EARLY_CHECK_INTERVAL);
        }
        if elapsed_us < load.expected_us {
            return;
        }
        // A load that takes far longer than expected was more likely lost with its server than
        // slow.
        let max_shown = load.expected_us as f64 * MAX_SHOWN_RATIO;
        let shown = (elapsed_us as f64 + TOO_EARLY_MARGIN_US).min(max_shown);
        let in_flight = f64::from(load.in_flight);
        let limits = self.each.us * in_flight > self.alone.us;
        if load.from_memory {
            self.from_memory.raise(shown, MAX_LOAD_US);
        } else if load.in_flight >= MIN_CONCURRENT_LOADS
            && (limits || shown > self.alone.us * ALONE_RATIO)
        {
            self.each_is_measured = true;
            self.each.raise(shown / in_flight, MAX_LOAD_US / in_flight);
        } else {
            self.alone.raise(shown, MAX_LOAD_US);
        }
    }

    /// Records that a request found its adapter loaded at its first check.
    pub fn record_hit(&mut self, load: OrderedLoad) {
        if load.check_us == 0 || !load.is_early() {
            return;
        }
        let check_fraction = load.check_us as f64 / load.expected_us as f64;
        self.early_hits += 1;
        let min_hits = self.min_early_hits();
        if self.early_hits + 1 < min_hits {
            return;
        }
        self.eager_fraction = Some((check_fraction * check_fraction).max(MIN_EARLY_FRACTION));
        if self.early_hits < min_hits {
            return;
        }
        let clear = self.early_hits >= min_hits + CLEAR_EARLY_HITS || check_fraction < WRONG_RATIO;
        let weight = if clear { CLEAR_HIT_WEIGHT } else { EARLY_HIT_WEIGHT };
        self.is_shortened |= clear;
        let shown = load.check_us as f64 + CHECK_SLACK_US;
        if shown < load.expected_us as f64 * WRONG_RATIO {
            self.early_check_interval = self.initial_interval();
        }
        if load.from_memory {
            self.from_memory.lower(shown, weight, MIN_LOAD_US);
            return;
        }
        // Either limit alone would have allowed at most this time.
        let limits = self.each.us * f64::from(load.in_flight) > self.alone.us;
        self.each_is_measured |= limits;
        self.alone.lower(shown, weight, MIN_LOAD_US);
        self.each.lower(shown / f64::from(load.in_flight.max(1)), weight, MIN_EACH_US);
    }

    /// Applies another VM's report. Each VM sees few loads and all share one store, so their
    /// estimates are averaged; a time that was shown to be shorter has a higher weight.
    pub fn apply_report(&mut self, reported: ReportedTimes) {
        self.alone.apply_report(reported.alone_us);
        self.each.apply_report(reported.each_us);
        if reported.is_shortened {
            if (reported.alone_us as f64) < self.alone.us * WRONG_RATIO {
                self.early_check_interval = self.initial_interval();
            }
            self.alone.lower(reported.alone_us as f64, CLEAR_HIT_WEIGHT, MIN_LOAD_US);
            self.each.lower(reported.each_us as f64, CLEAR_HIT_WEIGHT, MIN_EACH_US);
        }
    }

    /// Returns the report for other VMs and resets its `is_shortened`.
    pub fn take_report(&mut self) -> ReportedTimes {
        let is_shortened = std::mem::take(&mut self.is_shortened);
        ReportedTimes { alone_us: self.alone.us as u64, each_us: self.each.us as u64, is_shortened }
    }

    /// Returns the expected time of a load that is ordered now, with `under_way` others in flight.
    #[must_use]
    pub fn forecast(&self, under_way: usize) -> LoadForecast {
        let in_flight = u32::try_from(under_way + 1).unwrap_or(u32::MAX);
        let crowded_us = self.each.us * f64::from(in_flight);
        LoadForecast {
            in_flight,
            store_us: self.alone.us.max(crowded_us) as u64,
            memory_us: self.from_memory.us as u64,
            crowded_us: crowded_us as u64,
            check_fraction: 1.0,
            alone_us: self.alone.us as u64,
        }
    }
}
