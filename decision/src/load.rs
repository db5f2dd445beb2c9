//! Budget, state and order of adapter loads in a group.

use std::cmp::Ordering;

use crate::id::{AdapterVersion, ServerIncarnation, SlotName, TimePoint};
use crate::outcome::RequestClass;
use crate::topology::StoreShare;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// The group's part of the weight store's capacity: a token bucket for starts, and a limit on
/// concurrent loads.
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

    /// Refills the bucket and returns whether a load may start now, with `under_way` loads in
    /// flight.
    pub(crate) fn ready(&mut self, under_way: usize, now: TimePoint) -> bool {
        let capacity = f64::from(self.share.full_speed.max(1));
        let earned = now.since(self.at) as f64 / MICROS_PER_SECOND * self.share.loads_per_s;
        self.tokens = (self.tokens + earned).min(capacity);
        self.at = self.at.max(now);
        self.tokens >= 1.0 && under_way < self.share.full_speed.max(1) as usize
    }

    /// Returns whether the bucket is full, so that a load delays no other one.
    pub(crate) fn is_full(&self) -> bool {
        self.tokens >= f64::from(self.share.full_speed.max(1))
    }

    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the milliseconds until a load with `ahead` others before it may start.
    pub(crate) fn wait_ms(&self, ahead: usize, load_ms: f64) -> f64 {
        let by_rate = ahead as f64 * 1_000.0 / self.share.loads_per_s.max(0.001);
        let by_speed = ahead as f64 * load_ms / f64::from(self.share.full_speed.max(1));
        by_rate.max(by_speed)
    }
}

/// Progress of an eviction and the load after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadStage {
    /// The intent is appended and not read back yet.
    AwaitIntent,
    /// The unload of the evicted adapter is ordered.
    Unloading,
    /// The load of the new adapter is ordered.
    Loading,
}

/// Slot that an order is to fill. `ahead` is set for a load on schedule, `extra` for a further
/// copy.
#[derive(Clone, Debug)]
pub(crate) struct NewSlot {
    pub(crate) name: SlotName,
    pub(crate) adapter: u32,
    pub(crate) version: AdapterVersion,
    pub(crate) ahead: bool,
    pub(crate) extra: bool,
}

/// An eviction, if one is needed, and the load after it. Without a load it only clears a slot whose
/// state is uncertain after an earlier order.
#[derive(Clone, Debug)]
pub(crate) struct LoadOrder {
    /// Number of the intent, and of the order in flight.
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
    /// Returns whether it loads `adapter`.
    pub(crate) fn loads(&self, adapter: u32) -> bool {
        self.load.as_ref().is_some_and(|load| load.adapter == adapter)
    }
}

/// Urgency of a load; earlier variants are loaded first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LoadPriority {
    /// For an urgent request.
    Urgent,
    /// For a request or a schedule whose deadline is near.
    DueSoon,
    /// For any other request, oldest first, so that requests without a near deadline don't starve.
    Waiting,
    /// For a schedule whose deadline is not near; uses loads that no request needs.
    Scheduled,
    /// For a frequently used adapter, to move it to an engine with a larger batch.
    Consolidate,
}

/// Load request for an adapter, from its waiting requests or from a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadRequest {
    pub(crate) adapter: u32,
    pub(crate) priority: LoadPriority,
    pub(crate) class: RequestClass,
    pub(crate) deadline: Option<TimePoint>,
    pub(crate) waiters: u32,
    pub(crate) oldest: TimePoint,
    pub(crate) ahead: bool,
    pub(crate) extra: bool,
}

impl LoadRequest {
    /// Compares load requests for service: by urgency, then by deadline where that matters, else by
    /// age, where each further waiting request counts as some time of waiting.
    pub(crate) fn rank(&self, other: &Self) -> Ordering {
        self.priority
            .cmp(&other.priority)
            .then(self.time_rank().cmp(&other.time_rank()))
            .then(self.adapter.cmp(&other.adapter))
    }

    fn time_rank(&self) -> u64 {
        let due = self.deadline.map_or(u64::MAX, |due| due.0);
        match self.priority {
            LoadPriority::DueSoon | LoadPriority::Scheduled => due,
            LoadPriority::Urgent | LoadPriority::Waiting | LoadPriority::Consolidate => {
                let bonus = u64::from(self.waiters.saturating_sub(1)) * WAITER_BONUS_MICROS;
                self.oldest.0.saturating_sub(bonus)
            }
        }
    }
}

/// Additional age of a load request for each further request that waits for it, in microseconds.
const WAITER_BONUS_MICROS: u64 = 500_000;
