//! Loads of adapters: the share of the weight store, orders under way, and what to load next.

use std::cmp::Ordering;

use crate::id::{AdapterVersion, ServerIncarnation, SlotName, TimePoint};
use crate::outcome::RequestClass;
use crate::topology::StoreShare;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// The group's share of the weight store: a token bucket, and loads at full speed at once.
#[derive(Clone, Debug)]
pub(crate) struct LoadBudget {
    share: StoreShare,
    tokens: f64,
    at: TimePoint,
}

impl LoadBudget {
    pub(crate) fn new(share: StoreShare, now: TimePoint) -> Self {
        let tokens = f64::from(share.full_speed.max(1));
        Self { share, tokens, at: now }
    }

    pub(crate) fn set_share(&mut self, share: StoreShare) {
        self.share = share;
    }

    /// Whether a load may start now, with `under_way` loads running.
    pub(crate) fn ready(&mut self, under_way: usize, now: TimePoint) -> bool {
        let most = f64::from(self.share.full_speed.max(1));
        let earned = now.since(self.at) as f64 / MICROS_PER_SECOND * self.share.loads_per_s;
        self.tokens = (self.tokens + earned).min(most);
        self.at = self.at.max(now);
        self.tokens >= 1.0 && under_way < self.share.full_speed.max(1) as usize
    }

    /// Whether the whole burst is unspent, so that a load takes nothing from anybody.
    pub(crate) fn is_full(&self) -> bool {
        self.tokens >= f64::from(self.share.full_speed.max(1))
    }

    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Milliseconds until the load after `ahead` others may start.
    pub(crate) fn wait_ms(&self, ahead: usize, load_ms: f64) -> f64 {
        let by_rate = ahead as f64 * 1_000.0 / self.share.loads_per_s.max(0.001);
        let by_speed = ahead as f64 * load_ms / f64::from(self.share.full_speed.max(1));
        by_rate.max(by_speed)
    }
}

/// How far an eviction and load have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadStage {
    /// The intent is appended and not read back.
    AwaitIntent,
    /// The unload of the victim is ordered.
    Unloading,
    /// The load is ordered.
    Loading,
}

/// A load that an order is to make.
#[derive(Clone, Debug)]
pub(crate) struct NewSlot {
    pub(crate) name: SlotName,
    pub(crate) adapter: u32,
    pub(crate) version: AdapterVersion,
    pub(crate) ahead: bool,
    pub(crate) extra: bool,
}

/// An eviction, if one is needed, and the load that follows it. Without a load it only removes a
/// slot of which an earlier order left nothing certain.
#[derive(Clone, Debug)]
pub(crate) struct LoadOrder {
    /// The number of the intent and of the order that is out.
    pub(crate) number: u64,
    pub(crate) server: usize,
    pub(crate) incarnation: ServerIncarnation,
    pub(crate) stage: LoadStage,
    pub(crate) evict: Option<SlotName>,
    pub(crate) load: Option<NewSlot>,
    pub(crate) begun: TimePoint,
    pub(crate) sent: TimePoint,
}

impl LoadOrder {
    /// Whether it loads `adapter`.
    pub(crate) fn loads(&self, adapter: u32) -> bool {
        self.load.as_ref().is_some_and(|load| load.adapter == adapter)
    }
}

/// How soon a load is wanted. The order of the variants is the order of loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LoadPressure {
    /// For an urgent request.
    Urgent,
    /// For a request or a schedule whose deadline is near.
    Pressing,
    /// For any other request, the oldest first: whoever has time may still not wait for ever.
    Waiting,
    /// For a schedule that has time: it takes loads that nobody else wants.
    Ahead,
    /// To bring a much used adapter to an engine with a larger batch.
    Gather,
}

/// The wish for an adapter, from its waiting requests or from a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadWish {
    pub(crate) adapter: u32,
    pub(crate) pressure: LoadPressure,
    pub(crate) class: RequestClass,
    pub(crate) deadline: Option<TimePoint>,
    pub(crate) waiters: u32,
    pub(crate) oldest: TimePoint,
    pub(crate) ahead: bool,
    pub(crate) extra: bool,
}

impl LoadWish {
    /// The order in which wishes are served: pressure, then deadline where it presses, then age,
    /// where each waiting request counts as some time of waiting.
    pub(crate) fn rank(&self, other: &Self) -> Ordering {
        self.pressure
            .cmp(&other.pressure)
            .then(self.time_rank().cmp(&other.time_rank()))
            .then(self.adapter.cmp(&other.adapter))
    }

    fn time_rank(&self) -> u64 {
        let due = self.deadline.map_or(u64::MAX, |due| due.0);
        match self.pressure {
            LoadPressure::Pressing | LoadPressure::Ahead => due,
            LoadPressure::Urgent | LoadPressure::Waiting | LoadPressure::Gather => {
                let bonus = u64::from(self.waiters.saturating_sub(1)) * WAITER_MICROS;
                self.oldest.0.saturating_sub(bonus)
            }
        }
    }
}

/// How much earlier a load is made for each further request that waits for it.
const WAITER_MICROS: u64 = 500_000;
