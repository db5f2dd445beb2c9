//! How long an adapter's load takes, learnt from the requests that wait for it.
//!
//! A load from the weight store takes a fixed time while few are under way, and longer in proportion to
//! their number beyond that; its time is set when it begins. All VMs see the loads under way in each
//! other's lists, so each can tell when its next load will be done. With one expected time for all loads,
//! one send in five met an adapter that was not loaded yet, and each of those sends counts as a repeat.

use crate::id::TimePoint;

/// First guesses before any load was seen; a few loads correct them.
const FIRST_ALONE_US: f64 = 260_000.0;
/// Loads that a store is first taken to carry at full speed: stores are sized with their fleets. The users'
/// carry 0.4 to 1.8 for each server, and 8 at least. Too low a guess holds loads back for nothing when all is
/// cold, too high a one begins too many at once.
const FIRST_AT_ONCE: f64 = 12.0;
const FIRST_AT_ONCE_PER_SERVER: f64 = 0.67;
const FIRST_AGAIN_US: f64 = 40_000.0;
/// The part of the way that the expected time moves to what a request that came too early has shown.
/// Several requests wait for one load; each moves it towards the same time and not beyond.
const TOO_EARLY_PART: f64 = 0.3;
/// How much longer than the time at which a request came too early a load is taken to last.
const TOO_EARLY_MARGIN_US: f64 = 20_000.0;
/// The longest time that one load can show, as a part of what it was expected to take. Without it the
/// loads that were under way at five servers that crashed at once taught all VMs three times the store's
/// time, and requests waited in vain for the rest of the minute.
const MOST_SHOWN: f64 = 1.5;
/// A load that lasts longer than expected tells of the store's pace if it is one of at least so many, else
/// of the time that a load takes alone. Stores carry more than these at full speed.
const CROWD: u32 = 6;
/// Loads in a row that are done as expected before the expected time shrinks, and by how much it then
/// does with each further one. About one load in forty is met too early, which costs a second send; when
/// it shrank from the first load on it was one in eight.
const CALM_LOADS: u32 = 32;
const IN_TIME: f64 = 0.985;
/// The part of the way that the expected time moves to what another VM expects. Lists come some times a
/// second for each server, so all are close to the mean within a second.
const HEARD_PART: f64 = 0.02;
/// The longest that a load is taken to last.
const MOST_LOAD_US: f64 = 6_000_000.0;
const LEAST_LOAD_US: f64 = 5_000.0;
/// The least that each load under way adds: the store carries a thousand loads a second at most.
const LEAST_EACH_US: f64 = 1_000.0;

/// A load that was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderedLoad {
    /// When.
    pub at: TimePoint,
    /// Whether the server had the adapter in its own memory.
    pub again: bool,
    /// Loads from the store that were under way then, over all servers, this one included.
    pub beside: u32,
    /// What it was expected to take, in microseconds; 0 if it was found done.
    pub expected_us: u64,
}

impl OrderedLoad {
    /// A load that was found done at `now`; nothing is known of how long it took.
    #[must_use]
    pub fn done(now: TimePoint) -> Self {
        Self { at: now, again: false, beside: 0, expected_us: 0 }
    }
}

/// What the next load is expected to take.
#[derive(Clone, Copy, Debug)]
pub struct LoadForecast {
    /// Loads from the store that are under way with it, itself included.
    pub beside: u32,
    fresh_us: u64,
    again_us: u64,
    /// What the loads under way take the store.
    crowded_us: u64,
}

/// The expected time of a load, in microseconds, beyond which it waits until others are done. Half of what
/// callers commonly allow for the first event; above it the store is busy at all times, and each further
/// load only makes all of them later.
const CROWDED_US: u64 = 400_000;

impl LoadForecast {
    /// Whether one more load from the store would only slow down those under way. It is better ordered
    /// when one of them is done: by then it is known for whom it would still come in time.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.crowded_us > CROWDED_US
    }

    /// The time that the load is expected to take, in microseconds; `again` if the server has the
    /// adapter in its own memory.
    #[must_use]
    pub fn expected_us(&self, again: bool) -> u64 {
        if again { self.again_us } else { self.fresh_us }
    }
}

/// A time that is learnt.
#[derive(Clone, Copy, Debug)]
struct LearntTime {
    us: f64,
    /// Loads that were done as expected since the last one that was not.
    in_row: u32,
}

impl LearntTime {
    fn new(us: f64) -> Self {
        Self { us, in_row: 0 }
    }

    fn too_short(&mut self, shown_us: f64, most_us: f64) {
        self.in_row = 0;
        if shown_us > self.us {
            self.us = (self.us + TOO_EARLY_PART * (shown_us - self.us)).min(most_us);
        }
    }

    fn long_enough(&mut self, least_us: f64) {
        self.in_row += 1;
        if self.in_row > CALM_LOADS {
            self.us = (self.us * IN_TIME).max(least_us);
        }
    }

    fn heard(&mut self, us: u64) {
        self.us += HEARD_PART * (us as f64 - self.us);
    }
}

/// How long loads take.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    /// From the store while few are under way.
    alone: LearntTime,
    /// From the store, for each load under way, where that is longer.
    each: LearntTime,
    /// Whether a load has told of the store's pace.
    each_is_learnt: bool,
    /// From the server's own memory.
    again: LearntTime,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self {
            alone: LearntTime::new(FIRST_ALONE_US),
            each: LearntTime::new(FIRST_ALONE_US / FIRST_AT_ONCE),
            each_is_learnt: false,
            again: LearntTime::new(FIRST_AGAIN_US),
        }
    }
}

impl LoadTimes {
    /// There are so many servers; until a load has told, the store is taken to be sized for them.
    pub fn expect_fleet(&mut self, servers: usize) {
        if !self.each_is_learnt {
            let at_once = FIRST_AT_ONCE.max(servers as f64 * FIRST_AT_ONCE_PER_SERVER);
            self.each.us = FIRST_ALONE_US / at_once;
        }
    }

    /// A request met an adapter that was not loaded `elapsed_us` after its order.
    pub fn too_early(&mut self, load: OrderedLoad, elapsed_us: u64) {
        // A load that lasts far longer than expected was more likely lost with its server than slow.
        let most = load.expected_us as f64 * MOST_SHOWN;
        let shown = (elapsed_us as f64 + TOO_EARLY_MARGIN_US).min(most);
        let beside = f64::from(load.beside);
        if load.again {
            self.again.too_short(shown, MOST_LOAD_US);
        } else if load.beside >= CROWD {
            self.each_is_learnt = true;
            self.each.too_short(shown / beside, MOST_LOAD_US / beside);
        } else {
            self.alone.too_short(shown, MOST_LOAD_US);
        }
    }

    /// A request met an adapter that was loaded as expected.
    pub fn in_time(&mut self, load: OrderedLoad) {
        if load.again {
            self.again.long_enough(LEAST_LOAD_US);
        } else if self.each.us * f64::from(load.beside) > self.alone.us {
            self.each.long_enough(LEAST_EACH_US);
        } else {
            self.alone.long_enough(LEAST_LOAD_US);
        }
    }

    /// Another VM that orders servers expects a load to take `alone_us`, or `each_us` for each load under
    /// way. Each VM sees few loads, and all share one store, so their expectations move together.
    pub fn heard(&mut self, alone_us: u64, each_us: u64) {
        self.alone.heard(alone_us);
        self.each.heard(each_us);
    }

    /// What a load from the store takes alone, and for each load under way, in microseconds.
    #[must_use]
    pub fn told(&self) -> (u64, u64) {
        (self.alone.us as u64, self.each.us as u64)
    }

    /// What a load that is ordered now is expected to take, where `under_way` others are.
    #[must_use]
    pub fn forecast(&self, under_way: usize) -> LoadForecast {
        let beside = u32::try_from(under_way + 1).unwrap_or(u32::MAX);
        let crowded_us = self.each.us * f64::from(beside);
        LoadForecast {
            beside,
            fresh_us: self.alone.us.max(crowded_us) as u64,
            again_us: self.again.us as u64,
            crowded_us: crowded_us as u64,
        }
    }
}
