//! Decides which adapters to load and when: those that requests wait for, further copies that are
//! worthwhile, those needed by a schedule, and frequently used ones that are moved to engines with
//! larger batches. `order` carries out the loads; docs/PLACEMENT.md explains the rules.

use crate::event::OwnerAction;
use crate::id::{AdapterVersion, MICROS_PER_MILLI, TimePoint};
use crate::load::{LoadPriority, LoadRequest};
use crate::outcome::RequestClass;
use crate::owner::{GroupOwner, ScheduledLoad, millis};
use crate::placement::LoadTarget;

/// Maximum difference between the due times of two schedules of an adapter that count as one.
const SAME_SCHEDULE_MICROS: u64 = 1_000_000;

impl GroupOwner {
    /// Records that a summary is due whose adapter should be loaded before. Repeated notices of the
    /// same schedule count once.
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
        let same = |load: &ScheduledLoad| {
            load.adapter == adapter && load.due.0.abs_diff(due.0) < SAME_SCHEDULE_MICROS
        };
        if self.scheduled_loads.len() >= self.settings.schedules
            || self.scheduled_loads.iter().any(same)
        {
            return;
        }
        let at = self.scheduled_loads.partition_point(|load| load.due <= due);
        self.scheduled_loads.insert(at, ScheduledLoad { due, from, adapter });
    }

    /// Releases the reservation of an adapter whose scheduled request has arrived.
    pub(crate) fn schedule_served(&mut self, now: TimePoint, adapter: u32, class: RequestClass) {
        let near = self.settings.urgent_load_ms * MICROS_PER_MILLI;
        let served =
            |load: &ScheduledLoad| load.adapter == adapter && load.due.0.abs_diff(now.0) < near;
        if class != RequestClass::Scheduled || self.adapters.get(adapter).reserved_until <= now {
            return;
        }
        if let Some(at) = self.scheduled_loads.iter().position(served) {
            self.scheduled_loads.remove(at);
            self.adapters.get_mut(adapter).reserved_until = now;
        }
    }

    /// Reserves adapters whose schedule is near, and drops schedules that are past.
    pub(crate) fn reserve_scheduled(&mut self, now: TimePoint) {
        let grace = self.settings.schedule_grace_ms * MICROS_PER_MILLI;
        self.scheduled_loads.retain(|load| load.due.plus(grace) > now);
        for load in &self.scheduled_loads {
            if load.from <= now {
                let state = self.adapters.get_mut(load.adapter);
                state.reserved_until = state.reserved_until.max(load.due.plus(grace));
            }
        }
    }

    /// Starts as many loads as the group's part of the weight store's capacity allows, by priority.
    pub(crate) fn plan_loads(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        if self.deposed || !self.budget.ready(self.loads_in_flight(), now) {
            return;
        }
        let mut load_requests = self.load_requests(now);
        load_requests.sort_unstable_by(LoadRequest::rank);
        for request in &load_requests {
            if !self.budget.ready(self.loads_in_flight(), now) {
                return;
            }
            let Some(target) = self.load_target(now, request) else { continue };
            if request.extra && !self.is_worthwhile(request, &target) {
                continue;
            }
            self.budget.spend();
            self.begin_load(now, request, &target, actions);
        }
    }

    /// Uses spare loads to move frequently used adapters to engines with larger batches, one at a
    /// time.
    pub(crate) fn consolidate(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        let idle = self.queue.is_empty() && self.orders.is_empty() && !self.deposed;
        if !idle || !self.budget.ready(0, now) || !self.budget.is_full() {
            return;
        }
        if let Some((request, target)) = self.consolidation_target(now) {
            self.budget.spend();
            self.begin_load(now, &request, &target, actions);
        }
    }

    /// Returns the number of loads that come before one for requests of `class`.
    pub(crate) fn loads_before(&self, now: TimePoint, class: RequestClass) -> usize {
        self.load_requests(now)
            .iter()
            .filter(|request| request.class <= class && !request.extra && !request.ahead)
            .count()
            + self.loads_in_flight()
    }

    fn loads_in_flight(&self) -> usize {
        self.orders.iter().filter(|order| order.load.is_some()).count()
    }

    /// Returns all load requests: adapters with waiting requests and no copy, further copies of
    /// those whose engines are full, and scheduled ones.
    fn load_requests(&self, now: TimePoint) -> Vec<LoadRequest> {
        let mut load_requests: Vec<LoadRequest> = Vec::new();
        for request in self.queue.iter() {
            if self.is_loading(request.adapter) || self.adapters.get(request.adapter).retry_at > now
            {
                continue;
            }
            let priority = match request.spec.class {
                RequestClass::Urgent => LoadPriority::Urgent,
                _ if self.is_due_soon(now, request.deadline) => LoadPriority::DueSoon,
                _ => LoadPriority::Waiting,
            };
            let load_request = LoadRequest {
                adapter: request.adapter,
                priority,
                class: request.spec.class,
                deadline: request.deadline,
                waiters: 1,
                oldest: request.arrived,
                ahead: false,
                extra: self.is_ready(now, request.adapter),
            };
            merge_request(&mut load_requests, load_request);
        }
        for load in self.scheduled_loads.iter().filter(|load| load.from <= now && load.due > now) {
            let state = self.adapters.get(load.adapter);
            if state.retry_at > now
                || self.is_loading(load.adapter)
                || self.is_ready(now, load.adapter)
            {
                continue;
            }
            let is_due = self.is_due_soon(now, Some(load.due));
            let load_request = LoadRequest {
                adapter: load.adapter,
                priority: if is_due { LoadPriority::DueSoon } else { LoadPriority::Scheduled },
                class: RequestClass::Scheduled,
                deadline: Some(load.due),
                waiters: 0,
                oldest: load.from,
                ahead: true,
                extra: false,
            };
            merge_request(&mut load_requests, load_request);
        }
        load_requests
    }

    /// Returns whether a deadline is so near that a load must start now.
    fn is_due_soon(&self, now: TimePoint, deadline: Option<TimePoint>) -> bool {
        let margin = (self.settings.urgent_load_ms as f64).max(4.0 * self.load_ms);
        deadline.is_some_and(|due| millis(due.since(now)) < margin)
    }

    /// Returns whether a further copy is worthwhile: the waiting time that it saves must exceed the
    /// load time plus the loss by the eviction.
    fn is_worthwhile(&self, request: &LoadRequest, target: &LoadTarget) -> bool {
        let engine = &self.engines[target.server];
        // An urgent request gets the next free batch slot; others would have to wait on that engine
        // too.
        let urgent = request.class == RequestClass::Urgent;
        if !urgent && engine.room_for(false, self.settings.urgent_reserve_percent) == 0 {
            return false;
        }
        let copies = self.adapters.get(request.adapter).copies.len().max(1) as f64;
        let batch = f64::from(engine.info.batch_slots.max(1));
        let waiters = f64::from(request.waiters);
        let wait_ms = waiters * self.service_ms / (batch * copies);
        let saved = waiters * wait_ms / 2.0;
        let spent = self.load_ms * (1.0 + target.loss * self.stall_weight());
        wait_ms > self.load_ms && saved > spent
    }
}

fn merge_request(load_requests: &mut Vec<LoadRequest>, request: LoadRequest) {
    match load_requests.binary_search_by_key(&request.adapter, |other| other.adapter) {
        Ok(at) => {
            let known = &mut load_requests[at];
            known.class = known.class.min(request.class);
            known.priority = known.priority.min(request.priority);
            known.deadline = match (known.deadline, request.deadline) {
                (Some(left), Some(right)) => Some(left.min(right)),
                (left, right) => left.or(right),
            };
            known.waiters += request.waiters;
            known.oldest = known.oldest.min(request.oldest);
            known.ahead &= request.ahead;
        }
        Err(at) => load_requests.insert(at, request),
    }
}
