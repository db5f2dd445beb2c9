//! Sends orders to engines and applies their results. `plan` decides which loads to order.

use rand::{Rng, RngExt};

use crate::adapter::SlotChoice;
use crate::event::{EngineOrder, OrderResult, OwnerAction, OwnerNote};
use crate::id::{MICROS_PER_MILLI, SlotName, TimePoint};
use crate::invariant::InvariantName;
use crate::load::{LoadOrder, LoadRequest, LoadStage, NewSlot};
use crate::owner::{GroupOwner, millis};
use crate::placement::LoadTarget;
use crate::slot::{FenceState, SlotPhase, SlotState, slot_name};

/// Weight of a new load time in the moving average.
const LOAD_TIME_WEIGHT: f64 = 0.2;
/// Maximum random addition to the delay before a load is retried, as a fraction of it.
const BACKOFF_JITTER: f64 = 0.2;

impl GroupOwner {
    /// Starts a planned load, with the eviction that makes room for it.
    pub(crate) fn begin_load(
        &mut self,
        now: TimePoint,
        request: &LoadRequest,
        target: &LoadTarget,
        actions: &mut Vec<OwnerAction>,
    ) {
        let number = self.number();
        let version = self.adapters.get(request.adapter).version.clone();
        let engine = &self.engines[target.server];
        let order = LoadOrder {
            number,
            server: target.server,
            incarnation: engine.incarnation.unwrap_or_default(),
            stage: LoadStage::AwaitIntent,
            evict: target.evict.map(|at| engine.slots[at].name.clone()),
            load: Some(NewSlot {
                name: slot_name(&version, self.epoch, number),
                adapter: request.adapter,
                version,
                ahead: request.ahead,
                extra: request.extra,
            }),
            begun: now,
            sent: now,
        };
        self.begin_order(now, order, actions);
    }

    /// Sends the first order at once to an engine that checks fencing numbers. For any other engine
    /// the intent must be read back first: a paused owner that resumes after a takeover could
    /// otherwise evict a slot that its successor has granted.
    fn begin_order(&mut self, now: TimePoint, order: LoadOrder, actions: &mut Vec<OwnerAction>) {
        let engine = &self.engines[order.server];
        if engine.info.checks_fencing {
            self.orders.push(order);
            self.send_next(now, self.orders.len() - 1, actions);
            return;
        }
        actions.push(OwnerAction::AppendIntent {
            number: order.number,
            server: engine.info.server.clone(),
            incarnation: order.incarnation,
            evict: order.evict.clone(),
            load: order.load.as_ref().map(|load| load.name.clone()),
        });
        self.orders.push(order);
    }

    /// Continues with an order whose intent was read back, or drops the order and ends this
    /// ownership if the intent was appended after the end of the epoch.
    pub(crate) fn intent_read(
        &mut self,
        now: TimePoint,
        number: u64,
        valid: bool,
        actions: &mut Vec<OwnerAction>,
    ) {
        let found = self.orders.iter().position(|order| order.number == number);
        let Some(at) = found else { return };
        if self.orders[at].stage != LoadStage::AwaitIntent {
            return;
        }
        if !valid {
            self.orders.swap_remove(at);
            self.depose(actions);
            return;
        }
        self.send_next(now, at, actions);
    }

    /// Ends this ownership because a later epoch is in force; no further order may be sent.
    pub(crate) fn depose(&mut self, actions: &mut Vec<OwnerAction>) {
        if !self.deposed {
            self.deposed = true;
            actions.push(OwnerAction::Note(OwnerNote::Deposed));
        }
    }

    /// Sends the unload if there is a victim, else the load. If the victim was granted while the
    /// intent was in flight, it stays and the whole order is dropped.
    fn send_next(&mut self, now: TimePoint, at: usize, actions: &mut Vec<OwnerAction>) {
        let order = self.orders[at].clone();
        let engine = &self.engines[order.server];
        let same_incarnation = engine.incarnation == Some(order.incarnation);
        if self.deposed || !same_incarnation || !engine.usable() {
            self.orders.swap_remove(at);
            return;
        }
        let Some(name) = &order.evict else {
            if order.load.is_none() || !engine.has_free_slot() {
                self.orders.swap_remove(at);
                return;
            }
            self.send_load(now, at, actions);
            return;
        };
        let victim = engine.slot(name).filter(|&slot| {
            let slot = &engine.slots[slot];
            let uncertain = matches!(slot.phase, SlotPhase::Unloading | SlotPhase::Unknown { .. });
            slot.pins == 0 && (slot.phase == SlotPhase::Ready || uncertain)
        });
        let Some(victim) = victim.filter(|_| self.majority) else {
            self.orders.swap_remove(at);
            return;
        };
        let slot = SlotChoice { server: order.server as u16, slot: victim as u16 };
        self.send_unload(now, at, slot, actions);
    }

    fn send_unload(
        &mut self,
        now: TimePoint,
        at: usize,
        choice: SlotChoice,
        actions: &mut Vec<OwnerAction>,
    ) {
        let number = self.number();
        let engine = &mut self.engines[choice.server as usize];
        let slot = &mut engine.slots[choice.slot as usize];
        let unused = slot.pins == 0 && (!slot.inherited || self.inherited_evictable);
        self.invariants.check(InvariantName::NoEvictionInUse, unused, || {
            format!("slot {} is evicted with {} outstanding grants", slot.name, slot.pins)
        });
        self.invariants.check(InvariantName::OneWriter, !self.deposed, || {
            format!("owner of epoch {} is deposed but evicts slot {}", self.epoch, slot.name)
        });
        slot.phase = SlotPhase::Unloading;
        actions.push(OwnerAction::SendOrder {
            number,
            server: engine.info.server.clone(),
            incarnation: engine.incarnation.unwrap_or_default(),
            epoch: self.epoch,
            order: EngineOrder::Unload { slot: slot.name.clone() },
        });
        let order = &mut self.orders[at];
        order.number = number;
        order.stage = LoadStage::Unloading;
        order.sent = now;
    }

    fn send_load(&mut self, now: TimePoint, at: usize, actions: &mut Vec<OwnerAction>) {
        let Some(load) = self.orders[at].load.clone() else {
            self.orders.swap_remove(at);
            return;
        };
        let number = self.number();
        let order = &mut self.orders[at];
        order.number = number;
        order.stage = LoadStage::Loading;
        order.sent = now;
        let engine = &mut self.engines[order.server];
        let slot = engine.add_slot(SlotState {
            name: load.name.clone(),
            adapter: load.adapter,
            phase: SlotPhase::Loading,
            pins: 0,
            inherited: false,
            seen: false,
            ahead: load.ahead,
            extra: load.extra,
            reported: 0,
            prefix: 0,
            at_risk_until: TimePoint::default(),
        });
        let choice = SlotChoice { server: order.server as u16, slot: slot as u16 };
        self.adapters.get_mut(load.adapter).copies.push(choice);
        actions.push(OwnerAction::SendOrder {
            number,
            server: engine.info.server.clone(),
            incarnation: order.incarnation,
            epoch: self.epoch,
            order: EngineOrder::Load { slot: load.name, adapter: load.version },
        });
    }

    /// Applies the result of an order.
    pub(crate) fn order_done(
        &mut self,
        now: TimePoint,
        number: u64,
        result: OrderResult,
        rng: &mut dyn Rng,
        actions: &mut Vec<OwnerAction>,
    ) {
        if result == OrderResult::Stale {
            self.depose(actions);
        }
        if self.fence_done(number, result) {
            return;
        }
        let found = self.orders.iter().position(|order| order.number == number);
        let Some(at) = found else { return };
        match self.orders[at].stage {
            LoadStage::AwaitIntent => {}
            LoadStage::Unloading => self.unload_done(now, at, result, actions),
            LoadStage::Loading => self.load_done(now, at, result, rng, actions),
        }
    }

    fn unload_done(
        &mut self,
        now: TimePoint,
        at: usize,
        result: OrderResult,
        actions: &mut Vec<OwnerAction>,
    ) {
        let order = self.orders[at].clone();
        let engine = &self.engines[order.server];
        let slot = order.evict.as_ref().and_then(|name| engine.slot(name));
        if engine.incarnation != Some(order.incarnation) {
            self.orders.swap_remove(at);
            return;
        }
        match (result, slot) {
            (OrderResult::Done, slot) => {
                if let Some(slot) = slot {
                    let choice = SlotChoice { server: order.server as u16, slot: slot as u16 };
                    self.note_evicted(choice, actions);
                    self.remove_slot(now, choice);
                }
                if engine_usable(self, order.server) {
                    self.send_load(now, at, actions);
                } else {
                    self.orders.swap_remove(at);
                }
            }
            (OrderResult::Failed | OrderResult::Stale, Some(slot)) if order.load.is_some() => {
                self.engines[order.server].slots[slot].phase = SlotPhase::Ready;
                self.orders.swap_remove(at);
            }
            // The slot stays unusable; the tick repeats the unload until its result is known.
            _ => {
                self.orders.swap_remove(at);
            }
        }
    }

    fn note_evicted(&self, choice: SlotChoice, actions: &mut Vec<OwnerAction>) {
        let engine = &self.engines[choice.server as usize];
        actions.push(OwnerAction::Note(OwnerNote::Evicted {
            server: engine.info.server.clone(),
            slot: engine.slots[choice.slot as usize].name.clone(),
        }));
    }

    fn load_done(
        &mut self,
        now: TimePoint,
        at: usize,
        result: OrderResult,
        rng: &mut dyn Rng,
        actions: &mut Vec<OwnerAction>,
    ) {
        let order = self.orders.swap_remove(at);
        if self.engines[order.server].incarnation != Some(order.incarnation) {
            return;
        }
        let Some(load) = &order.load else { return };
        let Some(slot) = self.engines[order.server].slot(&load.name) else { return };
        let choice = SlotChoice { server: order.server as u16, slot: slot as u16 };
        match result {
            OrderResult::Done => {
                let took = millis(now.since(order.sent));
                self.load_ms += (took - self.load_ms) * LOAD_TIME_WEIGHT;
                self.slot_ready(now, choice);
                actions.push(OwnerAction::Note(OwnerNote::Loaded {
                    server: self.engines[order.server].info.server.clone(),
                    adapter: load.version.clone(),
                    took_ms: now.since(order.begun) / MICROS_PER_MILLI,
                    ahead: load.ahead,
                }));
            }
            OrderResult::Failed | OrderResult::Stale => {
                self.remove_slot(now, choice);
                self.load_failed(now, order.server, load, rng, actions);
            }
            OrderResult::Unknown => {
                let phase = SlotPhase::Unknown { since: now };
                self.engines[order.server].slots[slot].phase = phase;
                self.load_failed(now, order.server, load, rng, actions);
            }
        }
    }

    /// Makes a slot usable, and records for its waiting requests when the load ended.
    pub(crate) fn slot_ready(&mut self, now: TimePoint, choice: SlotChoice) {
        let slot = &mut self.engines[choice.server as usize].slots[choice.slot as usize];
        slot.phase = SlotPhase::Ready;
        let adapter = slot.adapter;
        let state = self.adapters.get_mut(adapter);
        state.failures = 0;
        state.retry_at = TimePoint::default();
        for request in self.queue.iter_mut().filter(|request| request.adapter == adapter) {
            request.ready_at.get_or_insert(now);
        }
    }

    /// Counts a failed load. The delay before the next one doubles with each failure in a row;
    /// after the configured number of attempts, waiting requests are rejected.
    fn load_failed(
        &mut self,
        now: TimePoint,
        server: usize,
        load: &NewSlot,
        rng: &mut dyn Rng,
        actions: &mut Vec<OwnerAction>,
    ) {
        let (initial, max) = (self.settings.load_backoff_ms, self.settings.max_load_backoff_ms);
        let state = self.adapters.get_mut(load.adapter);
        state.failures += 1;
        let doubled = initial.saturating_mul(1 << (state.failures - 1).min(20)).min(max);
        let delay = doubled as f64 * (1.0 + BACKOFF_JITTER * rng.random::<f64>());
        state.retry_at = now.plus((delay * MICROS_PER_MILLI as f64) as u64);
        let failures = state.failures;
        actions.push(OwnerAction::Note(OwnerNote::LoadFailed {
            server: self.engines[server].info.server.clone(),
            adapter: load.version.clone(),
            failures,
        }));
        if failures >= self.settings.load_attempts && !self.is_ready(now, load.adapter) {
            self.refuse_waiters(load.adapter, delay, actions);
        }
    }

    /// Ends orders that have had no result within the timeout, and repeats unfinished unloads and
    /// fencing orders.
    pub(crate) fn expire_orders(
        &mut self,
        now: TimePoint,
        rng: &mut dyn Rng,
        actions: &mut Vec<OwnerAction>,
    ) {
        let timeout = self.settings.order_timeout_ms * MICROS_PER_MILLI;
        while let Some(at) = self.orders.iter().position(|order| now.since(order.sent) >= timeout) {
            match self.orders[at].stage {
                LoadStage::AwaitIntent => {
                    self.orders.swap_remove(at);
                }
                LoadStage::Unloading => self.unload_done(now, at, OrderResult::Unknown, actions),
                LoadStage::Loading => self.load_done(now, at, OrderResult::Unknown, rng, actions),
            }
        }
        self.repeat_unloads(now, actions);
        for server in 0..self.engines.len() {
            self.send_fence(now, server, actions);
        }
    }

    /// Unloads slots whose state is uncertain after an earlier order, until a result is known; the
    /// engine would otherwise lose the slot permanently. Repeating is harmless, since no two loads
    /// share a name.
    fn repeat_unloads(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        if self.deposed || !self.majority {
            return;
        }
        let timeout = self.settings.order_timeout_ms * MICROS_PER_MILLI;
        for server in 0..self.engines.len() {
            let engine = &self.engines[server];
            if !engine.usable() || (!engine.info.checks_fencing && !self.log_writable) {
                continue;
            }
            let uncertain = engine.slots.iter().position(|slot| match slot.phase {
                SlotPhase::Unloading => !self.is_ordered(server, slot),
                SlotPhase::Unknown { since } => {
                    now.since(since) >= timeout && !self.is_ordered(server, slot)
                }
                _ => false,
            });
            if let Some(slot) = uncertain {
                self.begin_unload(now, server, slot, actions);
            }
        }
    }

    fn begin_unload(
        &mut self,
        now: TimePoint,
        server: usize,
        slot: usize,
        actions: &mut Vec<OwnerAction>,
    ) {
        let number = self.number();
        let engine = &self.engines[server];
        let order = LoadOrder {
            number,
            server,
            incarnation: engine.incarnation.unwrap_or_default(),
            stage: LoadStage::AwaitIntent,
            evict: Some(engine.slots[slot].name.clone()),
            load: None,
            begun: now,
            sent: now,
        };
        self.begin_order(now, order, actions);
    }

    /// Returns whether an order that evicts `slot` is in flight.
    pub(crate) fn is_ordered(&self, server: usize, slot: &SlotState) -> bool {
        let evicts = |order: &LoadOrder| order.evict.as_ref() == Some(&slot.name);
        self.orders.iter().any(|order| order.server == server && evicts(order))
    }
}

impl GroupOwner {
    /// Announces this epoch to an engine that checks fencing numbers, by unloading a slot that
    /// doesn't exist. Until the engine knows the epoch, a paused predecessor could evict a slot
    /// that this owner grants.
    pub(crate) fn send_fence(
        &mut self,
        now: TimePoint,
        server: usize,
        actions: &mut Vec<OwnerAction>,
    ) {
        let interval = self.settings.fence_retry_ms * MICROS_PER_MILLI;
        let engine = &self.engines[server];
        let recently_sent =
            matches!(engine.fence, FenceState::Sent { at, .. } if now.since(at) < interval);
        let not_needed = !engine.info.checks_fencing || engine.fence == FenceState::Known;
        let inherited = engine.slots.iter().any(|slot| slot.inherited);
        if recently_sent || not_needed || !inherited || !engine.usable() || self.deposed {
            return;
        }
        let number = self.number();
        let engine = &mut self.engines[server];
        engine.fence = FenceState::Sent { number, at: now };
        actions.push(OwnerAction::SendOrder {
            number,
            server: engine.info.server.clone(),
            incarnation: engine.incarnation.unwrap_or_default(),
            epoch: self.epoch,
            order: EngineOrder::Unload { slot: SlotName(format!("fence#{}.{number}", self.epoch)) },
        });
    }

    fn fence_done(&mut self, number: u64, result: OrderResult) -> bool {
        let awaited = |fence: &FenceState| match fence {
            FenceState::Sent { number: sent, .. } => *sent == number,
            FenceState::Needed | FenceState::Known => false,
        };
        let found = self.engines.iter_mut().find(|engine| awaited(&engine.fence));
        let Some(engine) = found else { return false };
        let known = result == OrderResult::Done;
        engine.fence = if known { FenceState::Known } else { FenceState::Needed };
        true
    }
}

fn engine_usable(owner: &GroupOwner, server: usize) -> bool {
    owner.engines[server].usable() && !owner.deposed
}
