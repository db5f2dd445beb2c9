//! Which slot runs a request, and which slot gives way to a load.
//!
//! The choice of a slot returns numbers and allocates nothing; the owned grant is built from it
//! afterwards. docs/PLACEMENT.md weighs the rules.

use crate::adapter::{AdapterIndex, SlotChoice};
use crate::grant::RequestSpec;
use crate::id::{RequestFingerprint, ServerName, TimePoint};
use crate::load::{LoadPressure, LoadWish};
use crate::outcome::RequestClass;
use crate::owner::GroupOwner;
use crate::slot::{EngineState, SlotPhase, SlotState};
use crate::suspect::SuspectVerdict;

/// What a choice of slot depends on, besides the adapter.
#[derive(Clone, Copy, Debug)]
pub struct PlaceQuery<'spec> {
    /// The class.
    pub class: RequestClass,
    /// How the request stands.
    pub standing: SuspectVerdict,
    /// The hash of the prompt's beginning.
    pub prefix: u64,
    /// Servers to avoid where another can do it.
    pub avoid: &'spec [ServerName],
    /// The only engines that may be chosen, by their places at the owner.
    pub confined: Option<[u16; CONFINED_ENGINES]>,
}

/// On how many engines the same request may run at a time. Were it poison, it would crash them all.
const CONFINED_ENGINES: usize = 2;

/// What a slot is worth more if the engine saw the prompt's beginning there last.
const PREFIX_BONUS: f64 = 0.05;
/// What a server is worth less if it failed the request before.
const AVOID_COST: f64 = 10.0;
/// Breaks ties in favour of the engine with the smaller batch.
const TIE_COST: f64 = 0.01;

impl GroupOwner {
    /// The slot that should run a request for `adapter` now, if one can. Allocates nothing.
    #[must_use]
    pub fn choose(
        &self,
        now: TimePoint,
        adapter: AdapterIndex,
        query: &PlaceQuery<'_>,
    ) -> Option<SlotChoice> {
        let mut best: Option<(f64, SlotChoice)> = None;
        for &choice in &self.adapters.get(adapter.0).copies {
            let engine = &self.engines[choice.server as usize];
            let slot = &engine.slots[choice.slot as usize];
            let usable = slot.phase == SlotPhase::Ready && engine.is_fenced(slot);
            if !usable || slot.doomed_until > now {
                continue;
            }
            let barred = query.confined.is_some_and(|open| !open.contains(&choice.server));
            if barred || !self.admits(engine, query) {
                continue;
            }
            let worth = self.worth(engine, slot, query);
            if best.is_none_or(|(most, _)| worth > most) {
                best = Some((worth, choice));
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
        let standing = self.standing(spec.fingerprint);
        let (engines, count) = self.engines_running(spec.fingerprint);
        let alone = standing == SuspectVerdict::Clear || count == 0;
        if standing == SuspectVerdict::Condemned || !alone {
            return None;
        }
        let query = PlaceQuery {
            class: spec.class,
            standing,
            prefix: spec.prefix,
            avoid: &spec.avoid,
            confined: (count == CONFINED_ENGINES).then_some(engines),
        };
        self.choose(now, AdapterIndex(adapter), &query)
    }

    /// The first engines that run a request of `fingerprint`, and how many of them there are.
    fn engines_running(&self, fingerprint: RequestFingerprint) -> ([u16; CONFINED_ENGINES], usize) {
        let mut engines = [0; CONFINED_ENGINES];
        let mut count = 0;
        for grant in self.grants.iter().filter(|grant| grant.fingerprint == fingerprint) {
            let server = grant.choice.server;
            if count < CONFINED_ENGINES && !engines[..count].contains(&server) {
                engines[count] = server;
                count += 1;
            }
        }
        (engines, count)
    }

    /// How `fingerprint` stands, with broken runs that may turn out to be crashes. One such run
    /// isolates it; a second makes it wait until the first is settled, so that it can never take a
    /// third server.
    pub(crate) fn standing(&self, fingerprint: RequestFingerprint) -> SuspectVerdict {
        let broken = self
            .engines
            .iter()
            .filter(|engine| engine.broken.iter().any(|run| run.fingerprint == fingerprint));
        let broken = broken.count();
        match (self.book.verdict(fingerprint), broken) {
            (SuspectVerdict::Clear, 0) => SuspectVerdict::Clear,
            (SuspectVerdict::Clear, 1) | (SuspectVerdict::Isolated, 0) => SuspectVerdict::Isolated,
            _ => SuspectVerdict::Condemned,
        }
    }

    fn admits(&self, engine: &EngineState, query: &PlaceQuery<'_>) -> bool {
        let urgent = query.class == RequestClass::Urgent;
        engine.usable()
            && engine.room_for(urgent, self.settings.urgent_reserve_percent) > 0
            && (query.standing == SuspectVerdict::Clear || engine.suspects == 0)
    }

    fn worth(&self, engine: &EngineState, slot: &SlotState, query: &PlaceQuery<'_>) -> f64 {
        let fill = fill(engine);
        let pack = match query.standing {
            SuspectVerdict::Clear => self.pack() - self.spread(),
            _ => -1.0,
        };
        let mut worth = (pack - TIE_COST) * fill;
        if slot.prefix == query.prefix {
            worth += PREFIX_BONUS;
        }
        if query.avoid.contains(&engine.info.server) {
            worth -= AVOID_COST;
        }
        worth
    }

    /// How much full batches count, from 0 to 1.
    pub(crate) fn pack(&self) -> f64 {
        1.0 - self.spread()
    }

    /// How much load stalls count, from 0 to 1.
    pub(crate) fn spread(&self) -> f64 {
        self.topology.policy.stall_weight.clamp(0.0, 1.0)
    }

    /// Whether a copy of `adapter` is loaded on an engine that takes work.
    pub(crate) fn is_ready(&self, now: TimePoint, adapter: u32) -> bool {
        self.adapters.get(adapter).copies.iter().any(|&copy| {
            let engine = &self.engines[copy.server as usize];
            let slot = &engine.slots[copy.slot as usize];
            engine.usable() && slot.phase == SlotPhase::Ready && slot.doomed_until <= now
        })
    }

    /// Whether a load of `adapter` is under way.
    pub(crate) fn is_loading(&self, adapter: u32) -> bool {
        self.orders.iter().any(|order| order.loads(adapter))
    }

    /// Where to load what `wish` asks for: the engine, and the slot to evict there if one must be.
    pub(crate) fn load_target(&self, now: TimePoint, wish: &LoadWish) -> Option<LoadTarget> {
        let mut best: Option<(f64, LoadTarget)> = None;
        for (server, engine) in self.engines.iter().enumerate() {
            if !engine.usable() || (!engine.info.checks_fencing && !self.log_writable) {
                continue;
            }
            if self.holds(server, wish.adapter) {
                continue;
            }
            let Some((evict, loss)) = self.make_room(now, server, wish) else { continue };
            let cost = self.load_cost(engine, loss);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, LoadTarget { server, evict, loss }));
            }
        }
        best.map(|(_, target)| target)
    }

    fn holds(&self, server: usize, adapter: u32) -> bool {
        let copies = &self.adapters.get(adapter).copies;
        copies.iter().any(|copy| copy.server as usize == server)
    }

    /// The slot to evict on `server`, if one must be, and the heat that is lost with it.
    fn make_room(
        &self,
        now: TimePoint,
        server: usize,
        wish: &LoadWish,
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
            if !self.evictable(now, server, slot, wish) {
                continue;
            }
            let loss = self.loss(now, server, slot);
            let loss = if self.is_kept(now, slot) { loss + KEPT_LOSS } else { loss };
            if best.is_none_or(|(_, least)| loss < least) {
                best = Some((at, loss));
            }
        }
        best.map(|(at, loss)| (Some(at), loss))
    }

    /// What is lost with `slot`: the heat of its adapter, and little if a copy on a warmer engine
    /// is loaded, which then serves its requests.
    fn loss(&self, now: TimePoint, server: usize, slot: &SlotState) -> f64 {
        let adapter = self.adapters.get(slot.adapter);
        let heat = adapter.heat(now, self.decay_micros());
        let own = self.engines[server].warmth;
        let warmer = adapter.copies.iter().any(|copy| {
            let engine = &self.engines[copy.server as usize];
            let ready = engine.slots[copy.slot as usize].phase == SlotPhase::Ready;
            let further = copy.server as usize != server;
            further && ready && engine.usable() && engine.warmth >= own
        });
        if warmer { heat * COPY_LOSS } else { heat }
    }

    /// A much used adapter on an engine with a small batch, and a slot on an engine with a larger
    /// one whose adapter is used much less. Only where full batches count.
    pub(crate) fn gather_target(&self, now: TimePoint) -> Option<(LoadWish, LoadTarget)> {
        if self.pack() < GATHER_PACK {
            return None;
        }
        let mut best: Option<(f64, LoadWish, LoadTarget)> = None;
        for engine in self.engines.iter().filter(|engine| engine.usable()) {
            for slot in engine.slots.iter().filter(|slot| slot.phase == SlotPhase::Ready) {
                let adapter = self.adapters.get(slot.adapter);
                if adapter.copies.len() != 1 {
                    continue;
                }
                let heat = adapter.heat(now, self.decay_micros());
                if heat < GATHER_HEAT || best.as_ref().is_some_and(|(most, ..)| heat <= *most) {
                    continue;
                }
                let wish = gather_wish(now, slot.adapter);
                let warmth = engine.warmth;
                let Some(target) = self.warmer_target(now, &wish, warmth, heat) else { continue };
                best = Some((heat, wish, target));
            }
        }
        best.map(|(_, wish, target)| (wish, target))
    }

    /// The heat of all adapters of an engine together.
    pub(crate) fn warmth(&self, now: TimePoint, engine: &EngineState) -> f64 {
        let ready = engine.slots.iter().filter(|slot| slot.phase == SlotPhase::Ready);
        ready.map(|slot| self.adapters.get(slot.adapter).heat(now, self.decay_micros())).sum()
    }

    fn warmer_target(
        &self,
        now: TimePoint,
        wish: &LoadWish,
        warmth: f64,
        heat: f64,
    ) -> Option<LoadTarget> {
        let mut best: Option<(f64, LoadTarget)> = None;
        for (server, engine) in self.engines.iter().enumerate() {
            if !engine.usable() || (!engine.info.checks_fencing && !self.log_writable) {
                continue;
            }
            let other = engine.warmth;
            let crowded = fill(engine) > GATHER_FILL;
            if crowded || other <= warmth || best.as_ref().is_some_and(|(most, _)| other <= *most) {
                continue;
            }
            let Some((evict, loss)) = self.make_room(now, server, wish) else { continue };
            if loss < heat * GATHER_LOSS {
                best = Some((other, LoadTarget { server, evict, loss }));
            }
        }
        best.map(|(_, target)| target)
    }

    fn is_kept(&self, now: TimePoint, slot: &SlotState) -> bool {
        self.adapters.get(slot.adapter).kept_until > now
    }

    /// Whether `slot` may be evicted for `wish`; see docs/DESIGN.md, "When a slot may be evicted".
    fn evictable(&self, now: TimePoint, server: usize, slot: &SlotState, wish: &LoadWish) -> bool {
        let adapter = self.adapters.get(slot.adapter);
        let needed = adapter.waiting > 0 && adapter.copies.len() == 1;
        let kept = self.is_kept(now, slot) && wish.pressure != LoadPressure::Urgent;
        slot.phase == SlotPhase::Ready
            && slot.pins == 0
            && slot.reported == 0
            && slot.doomed_until <= now
            && (!slot.inherited || self.inherited_free)
            && !needed
            && !kept
            && !self.is_ordered(server, slot)
    }

    /// What a load on `engine` costs: the heat lost with the victim, and the worse batch.
    fn load_cost(&self, engine: &EngineState, loss: f64) -> f64 {
        let fill = fill(engine);
        let full = engine.room_for(false, self.settings.urgent_reserve_percent) == 0;
        let crowd = if full { FULL_COST } else { 0.0 };
        loss + self.pack() * PACK_COST / f64::from(1 + engine.running)
            + self.spread() * fill * SPREAD_COST
            + crowd
    }
}

fn gather_wish(now: TimePoint, adapter: u32) -> LoadWish {
    LoadWish {
        adapter,
        pressure: LoadPressure::Gather,
        class: RequestClass::Audit,
        deadline: None,
        waiters: 0,
        oldest: now,
        ahead: false,
        extra: true,
    }
}

/// From which weight of full batches on much used adapters are brought together.
const GATHER_PACK: f64 = 0.6;
/// The least heat of an adapter that is worth a load to bring it elsewhere.
const GATHER_HEAT: f64 = 4.0;
/// The most that the victim's heat may be, as a part of the gathered adapter's.
const GATHER_LOSS: f64 = 0.4;
/// An engine that is fuller gets no more adapters gathered.
const GATHER_FILL: f64 = 0.6;
/// What is lost with one of several copies, as a part of the adapter's heat.
const COPY_LOSS: f64 = 0.1;
/// What an empty batch costs a load, in requests of the victim's heat.
const PACK_COST: f64 = 2.0;
/// What it costs to evict an adapter that a schedule needs; only urgent requests may.
const KEPT_LOSS: f64 = 1_000.0;
/// What a full batch costs a load where stalls count.
const SPREAD_COST: f64 = 0.5;
/// What it costs to load where there is no room to run.
const FULL_COST: f64 = 20.0;

/// Where a load goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadTarget {
    pub(crate) server: usize,
    pub(crate) evict: Option<usize>,
    pub(crate) loss: f64,
}

fn fill(engine: &EngineState) -> f64 {
    f64::from(engine.running) / f64::from(engine.info.batch_slots.max(1))
}
