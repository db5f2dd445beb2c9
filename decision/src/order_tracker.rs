//! Tracks the orders to one server: which adapters are loaded into its slots and which are evicted.
//!
//! A server counts the orders that it accepted, and each order states the count on which it was
//! decided. An order whose reply is lost may be carried out seconds later, but only while the
//! server still has that count. Each decision is therefore based on the state at one count, and a
//! delayed order either fits that state or is rejected by the server, so that the adapters held and
//! in flight never exceed the slots. docs/PLATFORM.md, "Orders", has the protocol.

use crate::holding::AdapterHolding;
use crate::id::{ModelName, TimePoint, VmName};
use crate::loadtime::{LoadForecast, OrderedLoad};
use crate::routing::{AdapterKey, ServerReport};
use crate::value;

value! {
    /// Change that a server is ordered to make.
    #[derive(Eq)]
    pub enum OrderAction {
        /// Loads an adapter, or replaces its version.
        LoadAdapter {
            /// Adapter to load.
            key: AdapterKey,
            /// Version to load.
            version: u64,
        },
        /// Evicts an adapter.
        UnloadAdapter {
            /// Adapter to evict.
            key: AdapterKey,
        },
        /// Loads a base model.
        LoadModel {
            /// Base model to load.
            model: ModelName,
        },
    }

    /// Order with the count of accepted orders on which it was decided.
    #[derive(Eq)]
    pub struct ServerOrder {
        /// Change to make.
        pub action: OrderAction,
        /// Number of orders that the server must have accepted before; it rejects the order
        /// otherwise.
        pub expected: u64,
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The server is carrying it out.
    Accepted,
    /// The server has carried it out, or its effect was already in place.
    Done,
    /// The server has accepted another number of orders, or is busy.
    Conflict,
    /// The server has seen a higher fencing number.
    Fenced,
    /// The server rejects it for another reason.
    Refused,
    /// No reply: the order may be carried out now or later.
    Lost,
    /// The server could not be reached.
    Unsent,
}

/// Next step for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerAction {
    /// Query the server's report.
    Query,
    /// Send an order.
    Order(ServerOrder),
}

/// Times, in microseconds, and bounds for tracking a server.
#[derive(Clone, Copy, Debug)]
pub struct TrackerSettings {
    /// Maximum number of adapters in flight to a server; the servers' own limit.
    pub max_in_flight: usize,
    /// Maximum age of a server's report when it arrives.
    pub report_lag_us: u64,
    /// Delay before a report is queried after an order to load a base model without a reply, or
    /// after a failed query; longer than the report lag.
    pub lost_delay_us: u64,
    /// Time without requests after which an adapter may be evicted; longer than the time in which a
    /// VM's report of a new request arrives.
    pub idle_us: u64,
    /// Time for which an adapter that no request has used yet is kept for the requests that it was
    /// loaded for.
    pub first_use_us: u64,
    /// Validity of a VM's report that requests are running. VMs repeat the report several times
    /// within this time.
    pub user_ttl_us: u64,
    /// Time after which a load request that is not repeated is dropped.
    pub request_ttl_us: u64,
    /// Half-life of an adapter's usage score.
    pub half_life_us: u64,
}

impl Default for TrackerSettings {
    fn default() -> Self {
        Self {
            max_in_flight: 4,
            report_lag_us: 250_000,
            lost_delay_us: 600_000,
            idle_us: 60_000,
            first_use_us: 300_000,
            user_ttl_us: 600_000,
            request_ttl_us: 300_000,
            half_life_us: 10_000_000,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotStatus {
    Held {
        usable_from: TimePoint,
        load: OrderedLoad,
    },
    /// Its eviction was ordered, by an order decided on this count of accepted orders.
    Evicting {
        expected: u64,
    },
}

#[derive(Clone, Debug)]
struct AdapterSlot {
    key: AdapterKey,
    version: u64,
    state: SlotStatus,
    /// When a VM last reported on its use, and the time to which `usage_score` has decayed.
    used_at: TimePoint,
    /// VMs with requests running on it, and the time of each one's last report.
    users: Vec<(VmName, TimePoint)>,
    /// Whether a request has used it since it was loaded.
    was_used: bool,
    usage_score: f64,
}

#[derive(Clone, Debug)]
struct LoadRequest {
    key: AdapterKey,
    version: u64,
    /// When it was first received.
    since: TimePoint,
    /// When it was last repeated.
    requested_at: TimePoint,
    waiting: Vec<WaitingRequests>,
}

/// Requests of one VM that wait for an adapter.
#[derive(Clone, Debug, Default)]
pub struct WaitingRequests {
    /// VM that received the requests.
    pub vm: VmName,
    /// Number of requests; 0 to request a further copy.
    pub count: u32,
    /// Time by which the load must be done to serve the newest of them in time.
    pub in_time_until: TimePoint,
}

/// Value of a request that is served late, relative to one that is served in time.
const LATE_VALUE: f64 = 0.3;
/// Minimum value of a load, which is that of a further copy, relative to a request that is served
/// in time.
const COPY_VALUE: f64 = 0.25;

impl LoadRequest {
    /// Returns the value of the load if it is done at `done`, in requests served in time.
    fn value(&self, done: TimePoint) -> f64 {
        let each = |waiting: &WaitingRequests| {
            let value = if waiting.in_time_until >= done { 1.0 } else { LATE_VALUE };
            value * f64::from(waiting.count)
        };
        self.waiting.iter().map(each).sum::<f64>().max(COPY_VALUE)
    }
}

/// A VM's report about its requests for an adapter at a server.
#[derive(Clone, Copy, Debug)]
pub struct ReportedUse<'a> {
    /// VM that reports.
    pub vm: &'a VmName,
    /// Requests that began since its last report.
    pub begun: u32,
    /// Requests that are running now.
    pub running: u32,
}

/// Tracks the orders to one incarnation of a server, and the state that they lead to.
#[derive(Debug)]
pub struct OrderTracker {
    settings: TrackerSettings,
    slots: usize,
    /// Number of orders that the server has accepted; `None` while uncertain.
    accepted: Option<u64>,
    /// Lower bound of that number; a report with fewer orders is out of date.
    min_accepted: u64,
    /// Sorted by adapter.
    held: Vec<AdapterSlot>,
    models: Vec<ModelName>,
    busy: bool,
    load_requests: Vec<LoadRequest>,
    awaits_reply: bool,
    query_at: TimePoint,
    /// Orders in a row that the server did not reply to.
    unanswered: u32,
    /// Adapters that the server no longer holds in a slot but probably still in its own memory, the
    /// latest last.
    recently_held: Vec<AdapterKey>,
    revision: u64,
}

/// Fraction of the time since a load was ordered by which the adapter's expected arrival is
/// postponed when a request came too early. It grows with that time because each rejected request
/// counts as a retry; where loads take twice as long as expected, three tries find it out.
const DELAY_FRACTION: f64 = 0.25;
/// Minimum postponement, in microseconds.
const MIN_DELAY_US: u64 = 45_000;
/// Multiple of its expected time after which a load is verified by a report. Otherwise a load that
/// the server has lost would be postponed for ever.
const MAX_EXPECTED_RATIO: f64 = 2.5;
/// Maximum number of adapters remembered as recently held.
const MAX_RECENTLY_HELD: usize = 120;
/// Interval of queries to a server that is loading a base model, in microseconds.
const MODEL_QUERY_INTERVAL_US: u64 = 250_000;
/// Number of orders in a row without a reply at which a server is considered unresponsive. Below
/// that number the next order follows at once, since some servers lose single replies; it states
/// the same count as the lost one, so that at most one of the two can be accepted.
const MAX_LOST_IN_ROW: u32 = 3;
/// Delay before an unresponsive server is queried, in microseconds; it gets no order until it has
/// reported. A server that is down refuses connections at once, so that without the delay repeated
/// attempts would flood the network.
const UNRESPONSIVE_QUERY_DELAY_US: u64 = 60_000;
/// Delay before the progress of an eviction is queried, in microseconds.
const EVICTION_QUERY_DELAY_US: u64 = 400_000;

impl OrderTracker {
    /// Creates the tracker of a server whose state is unknown, with a number of adapter slots.
    #[must_use]
    pub fn new(settings: TrackerSettings, slots: usize, now: TimePoint) -> Self {
        Self {
            settings,
            slots,
            accepted: None,
            min_accepted: 0,
            held: Vec::new(),
            models: Vec::new(),
            busy: false,
            load_requests: Vec::new(),
            awaits_reply: false,
            query_at: now,
            unanswered: 0,
            recently_held: Vec::new(),
            revision: 0,
        }
    }

    /// Adds adapters that the server probably still has in its own memory, the latest last, as known from
    /// lists of a former owner. Loads of them that are done much sooner than those from the weight store
    /// would show that the store is faster than it is.
    pub fn remember_held(&mut self, adapters: &[AdapterKey]) {
        adapters.iter().for_each(|key| self.remember(key));
    }

    /// Returns a number that increases with each change of [`Self::adapters`].
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the server's state is known, so that [`Self::adapters`] can be reported.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.min_accepted > 0 || self.accepted.is_some()
    }

    /// Returns the adapters that requests may use, including those in flight.
    #[must_use]
    pub fn adapters(&self, now: TimePoint) -> Vec<AdapterHolding> {
        let half_life = self.settings.half_life_us as f64;
        let holding = |slot: &AdapterSlot| match slot.state {
            SlotStatus::Held { usable_from, load } => Some(AdapterHolding {
                key: slot.key.clone(),
                version: slot.version,
                usable_from,
                usage_score: slot.score_at(half_life, now).round() as u32,
                from_memory: load.from_memory,
            }),
            SlotStatus::Evicting { .. } => None,
        };
        self.held.iter().filter_map(holding).collect()
    }

    /// Changes the number of adapter slots after a change of configuration.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Returns whether the server is known neither to hold nor to load a base model.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accepted.is_some() && self.models.is_empty() && !self.busy
    }

    /// Records a VM's request to load an adapter. Does nothing if this version or a later one is
    /// held or in flight.
    pub fn request_load(
        &mut self,
        key: &AdapterKey,
        version: u64,
        waiting: WaitingRequests,
        now: TimePoint,
    ) {
        if self.version_of(key).is_some_and(|held| held >= version) {
            return;
        }
        match self.load_requests.iter_mut().find(|request| request.key == *key) {
            Some(request) => {
                request.version = request.version.max(version);
                request.requested_at = now;
                request.waiting.retain(|known| known.vm != waiting.vm);
                request.waiting.push(waiting);
            }
            None => {
                let (key, waiting) = (key.clone(), vec![waiting]);
                let request = LoadRequest { key, version, since: now, requested_at: now, waiting };
                self.load_requests.push(request);
            }
        }
    }

    /// Records a VM's report about its requests for an adapter.
    pub fn record_use(&mut self, key: &AdapterKey, reported: &ReportedUse<'_>, now: TimePoint) {
        let half_life = self.settings.half_life_us as f64;
        let Some(slot) = self.slot_mut(key) else { return };
        slot.decay_score(half_life, now);
        slot.usage_score += f64::from(reported.begun);
        slot.used_at = now;
        slot.was_used |= reported.begun > 0;
        slot.users.retain(|(vm, _)| vm != reported.vm);
        if reported.running > 0 {
            slot.users.push((reported.vm.clone(), now));
        }
    }

    /// Records that the server rejected a request because it lacks the adapter; the server's state
    /// is then queried again.
    pub fn record_missing(&mut self, key: &AdapterKey, now: TimePoint) {
        if self.version_of(key).is_some() {
            self.accepted = None;
            self.query_at = self.query_at.max(now.plus(self.settings.report_lag_us));
        }
    }

    /// Returns the load of an adapter that is held or in flight; `None` if it is being evicted.
    #[must_use]
    pub fn ordered(&self, key: &AdapterKey) -> Option<OrderedLoad> {
        let at = self.held.binary_search_by(|slot| slot.key.cmp(key)).ok()?;
        match self.held[at].state {
            SlotStatus::Held { load, .. } => Some(load),
            SlotStatus::Evicting { .. } => None,
        }
    }

    /// Records that a request came too early for an adapter, and postpones the expected arrival by
    /// a fraction of the time since the load was ordered.
    pub fn record_too_early(&mut self, key: &AdapterKey, now: TimePoint) {
        let overdue = |load: OrderedLoad| {
            now.since(load.at) as f64 > load.expected_us as f64 * MAX_EXPECTED_RATIO
        };
        if self.ordered(key).is_some_and(overdue) {
            // The load was lost, probably by a restart of the server that is not known yet.
            self.record_missing(key, now);
            return;
        }
        if let Some(slot) = self.slot_mut(key)
            && let SlotStatus::Held { usable_from, load } = &mut slot.state
        {
            let later_us = (now.since(load.at) as f64 * DELAY_FRACTION) as u64;
            let later = now.plus(later_us.max(MIN_DELAY_US));
            // A check before the expected time doesn't show that the load is late.
            let expected = load.at.plus(load.expected_us);
            let postponed = if expected > now { expected } else { later };
            *usable_from = (*usable_from).max(postponed);
            load.check_us = 0;
            self.revision += 1;
        }
    }

    /// Returns the next step, if any. `model` is the base model to load if the server has none.
    pub fn next(
        &mut self,
        model: Option<&ModelName>,
        forecast: &LoadForecast,
        now: TimePoint,
    ) -> Option<TrackerAction> {
        if self.awaits_reply {
            return None;
        }
        self.shorten_loads(forecast, now);
        let request_ttl_us = self.settings.request_ttl_us;
        self.load_requests.retain(|request| now.since(request.requested_at) < request_ttl_us);
        if self.needs_report(now) {
            self.awaits_reply = true;
            return Some(TrackerAction::Query);
        }
        let expected = self.accepted?;
        // An eviction waits for running requests, and the server takes no order meanwhile.
        if self.busy || self.is_unresponsive() || self.held.iter().any(AdapterSlot::is_evicting) {
            return None;
        }
        let action = match model {
            Some(model) if self.models.is_empty() => {
                Some(OrderAction::LoadModel { model: model.clone() })
            }
            _ => self.adapter_action(forecast, now),
        }?;
        self.awaits_reply = true;
        self.mark_evicted(&action, expected);
        Some(TrackerAction::Order(ServerOrder { action, expected }))
    }

    /// Makes the expected arrival of loads in flight earlier if they are now expected to take much
    /// less time.
    fn shorten_loads(&mut self, forecast: &LoadForecast, now: TimePoint) {
        for slot in &mut self.held {
            let SlotStatus::Held { usable_from, load } = &mut slot.state else { continue };
            if *usable_from <= now {
                continue;
            }
            if let Some(shorter) = load.shortened(forecast) {
                *usable_from = (*usable_from).min(now.max(load.at.plus(shorter.check_us)));
                *load = shorter;
                self.revision += 1;
            }
        }
    }

    fn needs_report(&self, now: TimePoint) -> bool {
        let unsettled = self.accepted.is_none()
            || self.busy
            || self.is_unresponsive()
            || self.held.iter().any(AdapterSlot::is_evicting);
        unsettled && now >= self.query_at
    }

    /// Returns whether the server has left too many orders without a reply.
    fn is_unresponsive(&self) -> bool {
        self.unanswered >= MAX_LOST_IN_ROW
    }

    fn adapter_action(&self, forecast: &LoadForecast, now: TimePoint) -> Option<OrderAction> {
        let in_flight = |slot: &&AdapterSlot| match slot.state {
            SlotStatus::Held { usable_from, .. } => usable_from > now,
            SlotStatus::Evicting { .. } => false,
        };
        if self.held.iter().filter(in_flight).count() >= self.settings.max_in_flight {
            return None;
        }
        let holds_model = |request: &&LoadRequest| self.models.contains(&request.key.model);
        let from_memory = |request: &&LoadRequest| self.recently_held.contains(&request.key);
        let allowed = |request: &&LoadRequest| !forecast.is_saturated() || from_memory(request);
        let value =
            |load: &&LoadRequest| load.value(now.plus(forecast.expected_us(from_memory(load))));
        let by_value = |a: &&LoadRequest, b: &&LoadRequest| {
            value(b).total_cmp(&value(a)).then(a.since.cmp(&b.since))
        };
        let request =
            self.load_requests.iter().filter(holds_model).filter(allowed).min_by(by_value)?;
        let replaces = self.held.binary_search_by(|slot| slot.key.cmp(&request.key)).is_ok();
        if replaces || self.held.len() < self.slots {
            let (key, version) = (request.key.clone(), request.version);
            return Some(OrderAction::LoadAdapter { key, version });
        }
        let victim = self.victim(now)?;
        Some(OrderAction::UnloadAdapter { key: victim.key.clone() })
    }

    /// Returns the adapter to evict: the one with the lowest usage score that is idle and not
    /// requested.
    fn victim(&self, now: TimePoint) -> Option<&AdapterSlot> {
        let half_life = self.settings.half_life_us as f64;
        let idle = |slot: &&AdapterSlot| slot.is_idle(&self.settings, now);
        let requested =
            |slot: &&AdapterSlot| self.load_requests.iter().any(|request| request.key == slot.key);
        let free = self.held.iter().filter(|slot| idle(slot) && !requested(slot));
        free.min_by(|a, b| a.score_at(half_life, now).total_cmp(&b.score_at(half_life, now)))
    }

    /// Records an order before it is sent: an adapter to be evicted gets no new requests.
    fn mark_evicted(&mut self, action: &OrderAction, expected: u64) {
        if let OrderAction::UnloadAdapter { key } = action
            && let Some(slot) = self.slot_mut(key)
        {
            slot.state = SlotStatus::Evicting { expected };
            self.revision += 1;
        }
    }

    /// Applies the reply to an order.
    pub fn replied(
        &mut self,
        order: &ServerOrder,
        reply: OrderReply,
        forecast: &LoadForecast,
        now: TimePoint,
    ) {
        self.awaits_reply = false;
        match reply {
            OrderReply::Lost => self.unanswered += 1,
            OrderReply::Unsent => self.unanswered = (self.unanswered + 1).max(MAX_LOST_IN_ROW),
            _ => self.unanswered = 0,
        }
        match reply {
            OrderReply::Accepted | OrderReply::Done => {
                self.apply_accepted(order, reply, forecast, now);
            }
            OrderReply::Conflict | OrderReply::Fenced | OrderReply::Refused => {
                self.restore_slot(order, now);
                self.accepted = None;
                self.query_at = now.plus(self.settings.report_lag_us);
            }
            OrderReply::Lost | OrderReply::Unsent => self.order_lost(order, now),
        }
        if reply == OrderReply::Refused
            && let OrderAction::LoadAdapter { key, .. } = &order.action
        {
            self.load_requests.retain(|request| request.key != *key);
        }
    }

    /// A lost order may still be carried out, but only at the count that it states. The next order
    /// states the same count: if it is accepted, the lost one can't be carried out any more; if it
    /// conflicts, the lost one may have been accepted, and a report is queried. So no report has to
    /// be awaited in between, except after an order to load a base model.
    fn order_lost(&mut self, order: &ServerOrder, now: TimePoint) {
        if self.is_unresponsive() {
            self.query_at = now.plus(UNRESPONSIVE_QUERY_DELAY_US);
        }
        self.restore_slot(order, now);
        if matches!(order.action, OrderAction::LoadModel { .. }) {
            self.accepted = None;
            self.query_at = now.plus(self.settings.lost_delay_us);
        }
    }

    /// Makes an adapter usable again whose eviction was not accepted. Left in the evicting state,
    /// it would block all further orders.
    fn restore_slot(&mut self, order: &ServerOrder, now: TimePoint) {
        if let OrderAction::UnloadAdapter { key } = &order.action
            && let Some(slot) = self.slot_mut(key)
        {
            slot.state = SlotStatus::Held { usable_from: now, load: OrderedLoad::done(now) };
            self.revision += 1;
        }
    }

    fn apply_accepted(
        &mut self,
        order: &ServerOrder,
        reply: OrderReply,
        forecast: &LoadForecast,
        now: TimePoint,
    ) {
        let held_already =
            reply == OrderReply::Done && !matches!(order.action, OrderAction::UnloadAdapter { .. });
        let count = order.expected + u64::from(!held_already);
        self.accepted = Some(count);
        // The server replies `Done` both after evicting an adapter and if it never had it, and
        // counts only the former. With the higher count as lower bound, all later reports could
        // look out of date, and the server would get no more orders.
        let unload = matches!(order.action, OrderAction::UnloadAdapter { .. });
        let certain = if unload && reply == OrderReply::Done { order.expected } else { count };
        self.min_accepted = self.min_accepted.max(certain);
        match &order.action {
            OrderAction::LoadAdapter { key, version } => {
                let from_memory = self.recently_held.contains(key);
                let load = match held_already {
                    true => OrderedLoad::done(now),
                    false => forecast.load(now, from_memory),
                };
                self.set_slot(key, *version, now.plus(load.check_us), load);
                self.load_requests.retain(|request| request.key != *key);
                self.recently_held.retain(|other| other != key);
            }
            OrderAction::UnloadAdapter { key } if reply == OrderReply::Done => {
                self.held.retain(|slot| slot.key != *key);
                self.remember(key);
            }
            OrderAction::UnloadAdapter { .. } => {
                self.query_at = now.plus(EVICTION_QUERY_DELAY_US);
            }
            OrderAction::LoadModel { .. } => {
                self.busy = true;
                self.query_at = now.plus(MODEL_QUERY_INTERVAL_US);
            }
        }
        self.revision += 1;
    }

    /// Applies a server's report; `None` if the query failed.
    pub fn reported(
        &mut self,
        report: Option<&ServerReport>,
        forecast: &LoadForecast,
        now: TimePoint,
    ) {
        self.awaits_reply = false;
        let Some(report) = report else {
            self.query_at = now.plus(self.settings.lost_delay_us);
            return;
        };
        if report.orders < self.min_accepted {
            self.query_at = now.plus(self.settings.report_lag_us / 2);
            return;
        }
        self.unanswered = 0;
        self.accepted = Some(report.orders);
        self.min_accepted = report.orders;
        self.busy = report.busy;
        self.query_at =
            now.plus(if report.busy { MODEL_QUERY_INTERVAL_US } else { EVICTION_QUERY_DELAY_US });
        self.models = report.models.iter().map(|held| held.model.clone()).collect();
        let before = std::mem::take(&mut self.held);
        for held in &report.models {
            for adapter in &held.adapters {
                let key =
                    AdapterKey { model: held.model.clone(), adapter: adapter.adapter.clone() };
                self.set_slot(&key, adapter.version, now, OrderedLoad::done(now));
            }
        }
        for pending in &report.pending {
            let from = now.plus(forecast.expected_us(false) / 2);
            self.set_slot(&pending.key, pending.version, from, OrderedLoad::done(now));
        }
        for old in before {
            match self.slot_mut(&old.key) {
                Some(slot) => {
                    slot.usage_score = old.usage_score;
                    slot.used_at = old.used_at;
                    slot.users = old.users;
                    slot.was_used = old.was_used;
                    // A higher count shows that the order was accepted and waits for running
                    // requests to end; at the same count it was not carried out, and the adapter
                    // can still be used.
                    if let SlotStatus::Evicting { expected } = old.state
                        && report.orders > expected
                    {
                        slot.state = old.state;
                    }
                }
                None => self.remember(&old.key),
            }
        }
        self.revision += 1;
    }

    fn set_slot(
        &mut self,
        key: &AdapterKey,
        version: u64,
        usable_from: TimePoint,
        load: OrderedLoad,
    ) {
        let state = SlotStatus::Held { usable_from, load };
        match self.held.binary_search_by(|slot| slot.key.cmp(key)) {
            Ok(at) => {
                self.held[at].version = version;
                self.held[at].state = state;
            }
            Err(at) => {
                // Until its arrival, the request that it is loaded for counts as a use.
                let used_at = usable_from.max(load.at);
                let slot = AdapterSlot {
                    key: key.clone(),
                    version,
                    state,
                    used_at,
                    users: Vec::new(),
                    was_used: false,
                    usage_score: 1.0,
                };
                self.held.insert(at, slot);
            }
        }
    }

    fn remember(&mut self, key: &AdapterKey) {
        self.recently_held.retain(|other| other != key);
        self.recently_held.push(key.clone());
        let excess = self.recently_held.len().saturating_sub(MAX_RECENTLY_HELD);
        self.recently_held.drain(..excess);
    }

    fn version_of(&self, key: &AdapterKey) -> Option<u64> {
        let at = self.held.binary_search_by(|slot| slot.key.cmp(key)).ok()?;
        match self.held[at].state {
            SlotStatus::Held { .. } => Some(self.held[at].version),
            SlotStatus::Evicting { .. } => None,
        }
    }

    fn slot_mut(&mut self, key: &AdapterKey) -> Option<&mut AdapterSlot> {
        let at = self.held.binary_search_by(|slot| slot.key.cmp(key)).ok()?;
        Some(&mut self.held[at])
    }

    /// Returns how many more adapters could be loaded now: free slots and slots with an idle
    /// adapter, less the load requests. 0 while the server is busy, unresponsive or evicting.
    #[must_use]
    pub fn free(&self, now: TimePoint) -> usize {
        if self.busy || self.is_unresponsive() || self.held.iter().any(AdapterSlot::is_evicting) {
            return 0;
        }
        let idle = self.held.iter().filter(|slot| slot.is_idle(&self.settings, now));
        let free = self.slots.saturating_sub(self.held.len()) + idle.count();
        free.saturating_sub(self.load_requests.len())
    }

    /// Returns whether load requests are pending, including those that wait for other loads to end.
    #[must_use]
    pub fn has_load_requests(&self) -> bool {
        !self.load_requests.is_empty()
    }

    /// Returns the number of adapters held or in flight, and the number of slots.
    #[must_use]
    pub fn fill(&self) -> (usize, usize) {
        (self.held.len(), self.slots)
    }
}

impl AdapterSlot {
    fn is_evicting(&self) -> bool {
        matches!(self.state, SlotStatus::Evicting { .. })
    }

    fn is_idle(&self, settings: &TrackerSettings, now: TimePoint) -> bool {
        let SlotStatus::Held { usable_from, .. } = self.state else { return false };
        let min_idle_us = if self.was_used { settings.idle_us } else { settings.first_use_us };
        let in_use = self.users.iter().any(|(_, at)| now.since(*at) < settings.user_ttl_us);
        usable_from <= now && !in_use && now.since(self.used_at) >= min_idle_us
    }

    fn score_at(&self, half_life: f64, now: TimePoint) -> f64 {
        self.usage_score * 0.5f64.powf(now.since(self.used_at) as f64 / half_life)
    }

    fn decay_score(&mut self, half_life: f64, now: TimePoint) {
        self.usage_score = self.score_at(half_life, now);
    }
}
