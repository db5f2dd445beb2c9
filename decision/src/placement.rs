//! Chooses the slot that runs a request, and the slot that is evicted for a load.
//!
//! The choice of a slot returns indices and doesn't allocate; the grant with owned names is built
//! from it afterwards. docs/PLACEMENT.md explains the rules.

use crate::adapter::{AdapterIndex, SlotChoice};
use crate::grant::RequestSpec;
use crate::id::{RequestFingerprint, ServerName, TimePoint};
use crate::load::{LoadPriority, LoadRequest};
use crate::outcome::RequestClass;
use crate::owner::GroupOwner;
use crate::slot::{EngineState, SlotPhase, SlotState};
use crate::suspect::SuspectVerdict;

/// Properties of a request, besides its adapter, on which the choice of a slot depends.
#[derive(Clone, Copy, Debug)]
pub struct SlotQuery<'spec> {
    /// Class of the request; urgent ones may use the reserve of the batch.
    pub class: RequestClass,
    /// Verdict on the request's fingerprint as a possible poison request.
    pub verdict: SuspectVerdict,
    /// Hash of the prompt's beginning.
    pub prefix: u64,
    /// Servers to use only if there is no other.
    pub avoid: &'spec [ServerName],
    /// Engines, by index at the owner, to which the choice is restricted; `None` for no
    /// restriction.
    pub allowed_engines: Option<[u16; MAX_ENGINES_PER_REQUEST]>,
}

/// Number of engines on which the same request may run at a time. It bounds the engines that a
/// poison request can crash.
const MAX_ENGINES_PER_REQUEST: usize = 2;

/// Score of a slot whose last prompt had the same prefix, so that the engine may have it cached.
const PREFIX_BONUS: f64 = 0.05;
/// Cost of a server on which the request failed before.
const AVOID_COST: f64 = 10.0;
/// Breaks ties in favour of the engine with the smaller batch.
const TIE_COST: f64 = 0.01;

impl GroupOwner {
    /// Returns the slot that should run a request for `adapter` now, if there is one. Doesn't
    /// allocate.
    #[must_use]
    pub fn choose(
        &self,
        now: TimePoint,
        adapter: AdapterIndex,
        query: &SlotQuery<'_>,
    ) -> Option<SlotChoice> {
        let mut best: Option<(f64, SlotChoice)> = None;
        for &choice in &self.adapters.get(adapter.0).copies {
            let engine = &self.engines[choice.server as usize];
            let slot = &engine.slots[choice.slot as usize];
            let usable = slot.phase == SlotPhase::Ready && engine.is_fenced(slot);
            if !usable || slot.at_risk_until > now {
                continue;
            }
            let excluded =
                query.allowed_engines.is_some_and(|allowed| !allowed.contains(&choice.server));
            if excluded || !self.admits(engine, query) {
                continue;
            }
            let score = self.score(engine, slot, query);
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    pub(crate) fn choose_for(
        &self,
        now: TimePoint,
        spec: &RequestSpec,
        adapter: u32,
    ) -> Option<SlotChoice> {
        let verdict = self.suspect_verdict(spec.fingerprint);
        let (engines, count) = self.engines_running(spec.fingerprint);
        let alone = verdict == SuspectVerdict::Clear || count == 0;
        if verdict == SuspectVerdict::Condemned || !alone {
            return None;
        }
        let query = SlotQuery {
            class: spec.class,
            verdict,
            prefix: spec.prefix,
            avoid: &spec.avoid,
            allowed_engines: (count == MAX_ENGINES_PER_REQUEST).then_some(engines),
        };
        self.choose(now, AdapterIndex(adapter), &query)
    }

    /// Returns the first engines that run a request of `fingerprint`, and their number.
    fn engines_running(
        &self,
        fingerprint: RequestFingerprint,
    ) -> ([u16; MAX_ENGINES_PER_REQUEST], usize) {
        let mut engines = [0; MAX_ENGINES_PER_REQUEST];
        let mut count = 0;
        for grant in self.grants.iter().filter(|grant| grant.fingerprint == fingerprint) {
            let server = grant.choice.server;
            if count < MAX_ENGINES_PER_REQUEST && !engines[..count].contains(&server) {
                engines[count] = server;
                count += 1;
            }
        }
        (engines, count)
    }

    /// Returns the verdict on `fingerprint`, taking into account broken runs that may turn out to
    /// be crashes. One such run isolates it; a second one condemns it until the first is resolved,
    /// so that it can never reach a third server.
    pub(crate) fn suspect_verdict(&self, fingerprint: RequestFingerprint) -> SuspectVerdict {
        let broken = self
            .engines
            .iter()
            .filter(|engine| engine.broken.iter().any(|run| run.fingerprint == fingerprint));
        let broken = broken.count();
        match (self.suspects.verdict(fingerprint), broken) {
            (SuspectVerdict::Clear, 0) => SuspectVerdict::Clear,
            (SuspectVerdict::Clear, 1) | (SuspectVerdict::Isolated, 0) => SuspectVerdict::Isolated,
            _ => SuspectVerdict::Condemned,
        }
    }

    fn admits(&self, engine: &EngineState, query: &SlotQuery<'_>) -> bool {
        let urgent = query.class == RequestClass::Urgent;
        engine.usable()
            && engine.room_for(urgent, self.settings.urgent_reserve_percent) > 0
            && (query.verdict == SuspectVerdict::Clear || engine.suspects == 0)
    }

    fn score(&self, engine: &EngineState, slot: &SlotState, query: &SlotQuery<'_>) -> f64 {
        let fill = fill(engine);
        let fill_weight = match query.verdict {
            SuspectVerdict::Clear => self.batching_weight() - self.stall_weight(),
            _ => -1.0,
        };
        let mut score = (fill_weight - TIE_COST) * fill;
        if slot.prefix == query.prefix {
            score += PREFIX_BONUS;
        }
        if query.avoid.contains(&engine.info.server) {
            score -= AVOID_COST;
        }
        score
    }

    /// Returns the weight of full batches, from 0 to 1.
    pub(crate) fn batching_weight(&self) -> f64 {
        1.0 - self.stall_weight()
    }

    /// Returns the weight of load stalls, from 0 to 1.
    pub(crate) fn stall_weight(&self) -> f64 {
        self.topology.policy.stall_weight.clamp(0.0, 1.0)
    }

    /// Returns whether a copy of `adapter` is loaded on an engine that takes work.
    pub(crate) fn is_ready(&self, now: TimePoint, adapter: u32) -> bool {
        self.adapters.get(adapter).copies.iter().any(|&copy| {
            let engine = &self.engines[copy.server as usize];
            let slot = &engine.slots[copy.slot as usize];
            engine.usable() && slot.phase == SlotPhase::Ready && slot.at_risk_until <= now
        })
    }

    /// Returns whether a load of `adapter` is in flight.
    pub(crate) fn is_loading(&self, adapter: u32) -> bool {
        self.orders.iter().any(|order| order.loads(adapter))
    }

    /// Returns the engine at which to load the requested adapter, and the slot to evict there if
    /// necessary.
    pub(crate) fn load_target(&self, now: TimePoint, request: &LoadRequest) -> Option<LoadTarget> {
        let mut best: Option<(f64, LoadTarget)> = None;
        for (server, engine) in self.engines.iter().enumerate() {
            if !engine.usable() || (!engine.info.checks_fencing && !self.log_writable) {
                continue;
            }
            if self.holds(server, request.adapter) {
                continue;
            }
            let Some((evict, loss)) = self.make_room(now, server, request) else { continue };
            let cost = self.load_cost(engine, loss);
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, LoadTarget { server, evict, loss }));
            }
        }
        best.map(|(_, target)| target)
    }

    fn holds(&self, server: usize, adapter: u32) -> bool {
        let copies = &self.adapters.get(adapter).copies;
        copies.iter().any(|copy| copy.server as usize == server)
    }

    /// Returns the slot to evict on `server`, if necessary, and the usage score that is lost with
    /// it.
    fn make_room(
        &self,
        now: TimePoint,
        server: usize,
        request: &LoadRequest,
    ) -> Option<(Option<usize>, f64)> {
        let engine = &self.engines[server];
        if engine.has_free_slot() {
            return Some((None, 0.0));
        }
        if !self.majority {
            return None;
        }
        let mut best: Option<(usize, f64)> = None;
        for (at, slot) in engine.slots.iter().enumerate() {
            if !self.evictable(now, server, slot, request) {
                continue;
            }
            let loss = self.loss(now, server, slot);
            let loss = if self.is_reserved(now, slot) { loss + RESERVED_LOSS } else { loss };
            if best.is_none_or(|(_, lowest)| loss < lowest) {
                best = Some((at, loss));
            }
        }
        best.map(|(at, loss)| (Some(at), loss))
    }

    /// Returns the loss by evicting `slot`: the usage score of its adapter, or a fraction of it if
    /// a copy is ready on an engine with the same or a higher score, which then serves its
    /// requests.
    fn loss(&self, now: TimePoint, server: usize, slot: &SlotState) -> f64 {
        let adapter = self.adapters.get(slot.adapter);
        let usage_score = adapter.usage_score(now, self.decay_micros());
        let own = self.engines[server].usage_score_sum;
        let served_elsewhere = adapter.copies.iter().any(|copy| {
            let engine = &self.engines[copy.server as usize];
            let ready = engine.slots[copy.slot as usize].phase == SlotPhase::Ready;
            let other_engine = copy.server as usize != server;
            other_engine && ready && engine.usable() && engine.usage_score_sum >= own
        });
        if served_elsewhere { usage_score * COPY_LOSS_FRACTION } else { usage_score }
    }

    /// Returns a frequently used adapter on an engine with a small batch, and a target on an engine
    /// with a larger one, where a much less used adapter can be evicted. Used only if full batches
    /// have weight.
    pub(crate) fn consolidation_target(&self, now: TimePoint) -> Option<(LoadRequest, LoadTarget)> {
        if self.batching_weight() < MIN_CONSOLIDATION_WEIGHT {
            return None;
        }
        let mut best: Option<(f64, LoadRequest, LoadTarget)> = None;
        for engine in self.engines.iter().filter(|engine| engine.usable()) {
            for slot in engine.slots.iter().filter(|slot| slot.phase == SlotPhase::Ready) {
                let adapter = self.adapters.get(slot.adapter);
                if adapter.copies.len() != 1 {
                    continue;
                }
                let score = adapter.usage_score(now, self.decay_micros());
                if score < MIN_CONSOLIDATION_SCORE
                    || best.as_ref().is_some_and(|(highest, ..)| score <= *highest)
                {
                    continue;
                }
                let load = consolidation_request(now, slot.adapter);
                let usage_score_sum = engine.usage_score_sum;
                let Some(target) = self.find_busier(now, &load, usage_score_sum, score) else {
                    continue;
                };
                best = Some((score, load, target));
            }
        }
        best.map(|(_, load, target)| (load, target))
    }

    /// Returns the sum of the usage scores of an engine's loaded adapters.
    pub(crate) fn usage_score_sum(&self, now: TimePoint, engine: &EngineState) -> f64 {
        let ready = engine.slots.iter().filter(|slot| slot.phase == SlotPhase::Ready);
        ready
            .map(|slot| self.adapters.get(slot.adapter).usage_score(now, self.decay_micros()))
            .sum()
    }

    fn find_busier(
        &self,
        now: TimePoint,
        request: &LoadRequest,
        usage_score_sum: f64,
        usage_score: f64,
    ) -> Option<LoadTarget> {
        let mut best: Option<(f64, LoadTarget)> = None;
        for (server, engine) in self.engines.iter().enumerate() {
            if !engine.usable() || (!engine.info.checks_fencing && !self.log_writable) {
                continue;
            }
            let other = engine.usage_score_sum;
            let too_full = fill(engine) > MAX_CONSOLIDATION_FILL;
            if too_full
                || other <= usage_score_sum
                || best.as_ref().is_some_and(|(highest, _)| other <= *highest)
            {
                continue;
            }
            let Some((evict, loss)) = self.make_room(now, server, request) else { continue };
            if loss < usage_score * MAX_CONSOLIDATION_LOSS {
                best = Some((other, LoadTarget { server, evict, loss }));
            }
        }
        best.map(|(_, target)| target)
    }

    fn is_reserved(&self, now: TimePoint, slot: &SlotState) -> bool {
        self.adapters.get(slot.adapter).reserved_until > now
    }

    /// Returns whether `slot` may be evicted for `request`; see docs/DESIGN.md, "When a slot may be
    /// evicted".
    fn evictable(
        &self,
        now: TimePoint,
        server: usize,
        slot: &SlotState,
        request: &LoadRequest,
    ) -> bool {
        let adapter = self.adapters.get(slot.adapter);
        let needed = adapter.waiting > 0 && adapter.copies.len() == 1;
        let reserved = self.is_reserved(now, slot) && request.priority != LoadPriority::Urgent;
        slot.phase == SlotPhase::Ready
            && slot.pins == 0
            && slot.reported == 0
            && slot.at_risk_until <= now
            && (!slot.inherited || self.inherited_evictable)
            && !needed
            && !reserved
            && !self.is_ordered(server, slot)
    }

    /// Returns the cost of a load on `engine`: the loss by the eviction, and the effect on its
    /// batch.
    fn load_cost(&self, engine: &EngineState, loss: f64) -> f64 {
        let fill = fill(engine);
        let full = engine.room_for(false, self.settings.urgent_reserve_percent) == 0;
        let room_cost = if full { NO_ROOM_COST } else { 0.0 };
        loss + self.batching_weight() * EMPTY_BATCH_COST / f64::from(1 + engine.running)
            + self.stall_weight() * fill * FULL_BATCH_COST
            + room_cost
    }
}

fn consolidation_request(now: TimePoint, adapter: u32) -> LoadRequest {
    LoadRequest {
        adapter,
        priority: LoadPriority::Consolidate,
        class: RequestClass::Audit,
        deadline: None,
        waiters: 0,
        oldest: now,
        ahead: false,
        extra: true,
    }
}

/// Minimum weight of full batches for moving frequently used adapters together.
const MIN_CONSOLIDATION_WEIGHT: f64 = 0.6;
/// Minimum usage score of an adapter for moving it.
const MIN_CONSOLIDATION_SCORE: f64 = 4.0;
/// Maximum loss by the eviction, as a fraction of the moved adapter's score.
const MAX_CONSOLIDATION_LOSS: f64 = 0.4;
/// Maximum fill of an engine to which adapters are moved.
const MAX_CONSOLIDATION_FILL: f64 = 0.6;
/// Loss by evicting one of several copies, as a fraction of the adapter's score.
const COPY_LOSS_FRACTION: f64 = 0.1;
/// Cost of loading on an engine with an empty batch, in units of usage score.
const EMPTY_BATCH_COST: f64 = 2.0;
/// Cost of evicting an adapter that is reserved for a schedule; only urgent requests may.
const RESERVED_LOSS: f64 = 1_000.0;
/// Cost of loading on an engine with a full batch, if stalls have weight.
const FULL_BATCH_COST: f64 = 0.5;
/// Cost of loading on an engine without room to run the requests.
const NO_ROOM_COST: f64 = 20.0;

/// Engine for a load, the slot to evict there, and the loss by that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadTarget {
    pub(crate) server: usize,
    pub(crate) evict: Option<usize>,
    pub(crate) loss: f64,
}

fn fill(engine: &EngineState) -> f64 {
    f64::from(engine.running) / f64::from(engine.info.batch_slots.max(1))
}
