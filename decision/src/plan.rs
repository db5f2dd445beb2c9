//! Which adapters to load and when: those that requests wait for, further copies that pay, those
//! that a schedule will need, and much used ones that are brought together. `order` carries the
//! loads out; docs/PLACEMENT.md weighs the rules.

use crate::event::OwnerAction;
use crate::id::{AdapterVersion, MICROS_PER_MILLI, TimePoint};
use crate::load::{LoadPressure, LoadWish};
use crate::outcome::RequestClass;
use crate::owner::{AheadLoad, GroupOwner, millis};
use crate::place::LoadTarget;

/// Two schedules of an adapter that are due so close together are one.
const SAME_DUE_MICROS: u64 = 1_000_000;

impl GroupOwner {
    /// Notes that a summary is due whose adapter should be loaded before. One that is told of
    /// again counts once.
    pub(crate) fn schedule(
        &mut self,
        now: TimePoint,
        adapter: &AdapterVersion,
        due_in_ms: u64,
        lead_ms: u64,
    ) {
        let adapter = self.adapters.intern(adapter);
        let due = now.plus(due_in_ms.saturating_mul(MICROS_PER_MILLI));
        let from = TimePoint(due.0.saturating_sub(lead_ms.saturating_mul(MICROS_PER_MILLI)));
        let same = |load: &AheadLoad| {
            load.adapter == adapter && load.due.0.abs_diff(due.0) < SAME_DUE_MICROS
        };
        if self.ahead.len() >= self.settings.schedules || self.ahead.iter().any(same) {
            return;
        }
        let at = self.ahead.partition_point(|load| load.due <= due);
        self.ahead.insert(at, AheadLoad { due, from, adapter });
    }

    /// Ends the keeping of an adapter whose scheduled request has come.
    pub(crate) fn schedule_served(&mut self, now: TimePoint, adapter: u32, class: RequestClass) {
        let near = self.settings.pressing_ms * MICROS_PER_MILLI;
        let served =
            |load: &AheadLoad| load.adapter == adapter && load.due.0.abs_diff(now.0) < near;
        if class != RequestClass::Scheduled || self.adapters.get(adapter).kept_until <= now {
            return;
        }
        if let Some(at) = self.ahead.iter().position(served) {
            self.ahead.remove(at);
            self.adapters.get_mut(adapter).kept_until = now;
        }
    }

    /// Keeps adapters whose schedule is near, and forgets schedules that are over.
    pub(crate) fn keep_scheduled(&mut self, now: TimePoint) {
        let grace = self.settings.schedule_grace_ms * MICROS_PER_MILLI;
        self.ahead.retain(|load| load.due.plus(grace) > now);
        for load in &self.ahead {
            if load.from <= now {
                let state = self.adapters.get_mut(load.adapter);
                state.kept_until = state.kept_until.max(load.due.plus(grace));
            }
        }
    }

    /// Starts as many loads as the weight store's share allows, the most wanted first.
    pub(crate) fn plan_loads(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        if self.deposed || !self.budget.ready(self.loads_under_way(), now) {
            return;
        }
        let mut wishes = self.wishes(now);
        wishes.sort_unstable_by(LoadWish::rank);
        for wish in &wishes {
            if !self.budget.ready(self.loads_under_way(), now) {
                return;
            }
            let Some(target) = self.load_target(now, wish) else { continue };
            if wish.extra && !self.pays(wish, &target) {
                continue;
            }
            self.budget.spend();
            self.begin_load(now, wish, &target, actions);
        }
    }

    /// Spends loads that nobody wants on bringing much used adapters together, one at a time.
    pub(crate) fn gather(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        let idle = self.queue.is_empty() && self.orders.is_empty() && !self.deposed;
        if !idle || !self.budget.ready(0, now) || !self.budget.is_full() {
            return;
        }
        if let Some((wish, target)) = self.gather_target(now) {
            self.budget.spend();
            self.begin_load(now, &wish, &target, actions);
        }
    }

    /// Loads that requests of `class` would have to let pass.
    pub(crate) fn loads_before(&self, now: TimePoint, class: RequestClass) -> usize {
        self.wishes(now)
            .iter()
            .filter(|wish| wish.class <= class && !wish.extra && !wish.ahead)
            .count()
            + self.loads_under_way()
    }

    fn loads_under_way(&self) -> usize {
        self.orders.iter().filter(|order| order.load.is_some()).count()
    }

    /// Everything that ought to be loaded: adapters with waiting requests and no copy, further
    /// copies of those whose engines are full, and scheduled ones.
    fn wishes(&self, now: TimePoint) -> Vec<LoadWish> {
        let mut wishes: Vec<LoadWish> = Vec::new();
        for request in self.queue.iter() {
            if self.is_loading(request.adapter) || self.adapters.get(request.adapter).retry_at > now
            {
                continue;
            }
            let pressure = match request.spec.class {
                RequestClass::Urgent => LoadPressure::Urgent,
                _ if self.presses(now, request.deadline) => LoadPressure::Pressing,
                _ => LoadPressure::Waiting,
            };
            let wish = LoadWish {
                adapter: request.adapter,
                pressure,
                class: request.spec.class,
                deadline: request.deadline,
                waiters: 1,
                oldest: request.arrived,
                ahead: false,
                extra: self.is_ready(now, request.adapter),
            };
            add_wish(&mut wishes, wish);
        }
        for load in self.ahead.iter().filter(|load| load.from <= now && load.due > now) {
            let state = self.adapters.get(load.adapter);
            if state.retry_at > now
                || self.is_loading(load.adapter)
                || self.is_ready(now, load.adapter)
            {
                continue;
            }
            let presses = self.presses(now, Some(load.due));
            let wish = LoadWish {
                adapter: load.adapter,
                pressure: if presses { LoadPressure::Pressing } else { LoadPressure::Ahead },
                class: RequestClass::Scheduled,
                deadline: Some(load.due),
                waiters: 0,
                oldest: load.from,
                ahead: true,
                extra: false,
            };
            add_wish(&mut wishes, wish);
        }
        wishes
    }

    /// Whether a deadline is so near that a load must start now.
    fn presses(&self, now: TimePoint, deadline: Option<TimePoint>) -> bool {
        let margin = (self.settings.pressing_ms as f64).max(4.0 * self.load_ms);
        deadline.is_some_and(|due| millis(due.since(now)) < margin)
    }

    /// Whether a further copy is worth it: what the waiting requests save must outweigh the load
    /// and the requests that the victim's adapter will miss.
    fn pays(&self, wish: &LoadWish, target: &LoadTarget) -> bool {
        let engine = &self.engines[target.server];
        // Urgent requests get the next place that is free; others would only wait elsewhere.
        let urgent = wish.class == RequestClass::Urgent;
        if !urgent && engine.room_for(false, self.settings.urgent_reserve_percent) == 0 {
            return false;
        }
        let copies = self.adapters.get(wish.adapter).copies.len().max(1) as f64;
        let batch = f64::from(engine.info.batch_slots.max(1));
        let waiters = f64::from(wish.waiters);
        let wait_ms = waiters * self.service_ms / (batch * copies);
        let saved = waiters * wait_ms / 2.0;
        let spent = self.load_ms * (1.0 + target.loss * self.spread());
        wait_ms > self.load_ms && saved > spent
    }
}

fn add_wish(wishes: &mut Vec<LoadWish>, wish: LoadWish) {
    match wishes.binary_search_by_key(&wish.adapter, |other| other.adapter) {
        Ok(at) => {
            let known = &mut wishes[at];
            known.class = known.class.min(wish.class);
            known.pressure = known.pressure.min(wish.pressure);
            known.deadline = match (known.deadline, wish.deadline) {
                (Some(left), Some(right)) => Some(left.min(right)),
                (left, right) => left.or(right),
            };
            known.waiters += wish.waiters;
            known.oldest = known.oldest.min(wish.oldest);
            known.ahead &= wish.ahead;
        }
        Err(at) => wishes.insert(at, wish),
    }
}
