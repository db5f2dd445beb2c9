//! What the owner knows of an engine and of the adapters in its slots.

use crate::id::{
    AdapterVersion, OwnerEpoch, RequestFingerprint, ServerIncarnation, SlotName, TimePoint,
};
use crate::topology::EngineInfo;

/// The name under which an engine knows a load of `adapter`: `adapter@version#epoch.number`.
///
/// No two loads ever share a name, so an order or an answer that comes late can only meet the load
/// that it was meant for.
#[must_use]
pub fn slot_name(adapter: &AdapterVersion, epoch: OwnerEpoch, number: u64) -> SlotName {
    SlotName(format!("{adapter}#{epoch}.{number}"))
}

/// Reads a slot's name back: the adapter version, and the epoch that loaded it.
#[must_use]
pub fn parse_slot(slot: &SlotName) -> Option<(AdapterVersion, OwnerEpoch)> {
    let (adapter, load) = slot.as_str().rsplit_once('#')?;
    let (epoch, number) = load.split_once('.')?;
    number.parse::<u64>().ok()?;
    let (adapter, version) = adapter.split_once('@')?;
    let adapter = AdapterVersion { adapter: adapter.into(), version: version.into() };
    Some((adapter, OwnerEpoch(epoch.parse().ok()?)))
}

/// What becomes of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotPhase {
    /// A load is ordered, or about to be.
    Loading,
    /// Loaded, and grants may use it.
    Ready,
    /// An unload is ordered, or its result is not known; nothing may use it any more.
    Unloading,
    /// A load's result is not known. A report that shows the slot makes it ready.
    Unknown {
        /// Since when.
        since: TimePoint,
    },
    /// The engine does not have it any more, but grants on it are still out.
    Lost,
    /// Nothing: the place may be taken by another load.
    Empty,
}

/// A slot of an engine.
#[derive(Clone, Debug)]
pub(crate) struct SlotState {
    pub(crate) name: SlotName,
    pub(crate) adapter: u32,
    pub(crate) phase: SlotPhase,
    /// Grants that use it, those of earlier epochs and of VMs that are gone included.
    pub(crate) pins: u32,
    /// Loaded under an earlier epoch, whose grants may not all be known yet.
    pub(crate) inherited: bool,
    /// A report of the engine has shown it, so that its absence from a later one means it is gone.
    pub(crate) seen: bool,
    /// Loaded ahead of a schedule and not used yet.
    pub(crate) ahead: bool,
    /// A further copy of an adapter that was loaded elsewhere.
    pub(crate) extra: bool,
    /// Requests that use it, by the engine's last report.
    pub(crate) reported: u32,
    /// The last prompt's prefix, for the engine's prefix cache.
    pub(crate) prefix: u64,
    /// Not to be used until then, because a deposed owner may still evict it.
    pub(crate) doomed_until: TimePoint,
}

/// A life of an engine that ended, and when a report of the next one came.
#[derive(Clone, Copy, Debug)]
struct PastLife {
    incarnation: ServerIncarnation,
    ended: TimePoint,
}

/// A slot's name for which something holds until a time: it was unloaded and late reports may still
/// show it, or a deposed owner may still evict it.
#[derive(Clone, Debug)]
struct GoneSlot {
    name: SlotName,
    until: TimePoint,
}

/// A request whose connection broke, while it is not known whether the engine crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BrokenRun {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) at: TimePoint,
}

/// The most names of unloaded slots that are kept for each engine.
const GONE_SLOTS: usize = 256;
/// The most earlier lives of an engine that are remembered.
const PAST_LIVES: usize = 16;
/// The most broken runs that are kept for each engine.
const BROKEN_RUNS: usize = 1_024;

/// Whether an engine that checks fencing numbers knows this owner's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FenceState {
    /// It must be told before inherited slots are granted.
    Needed,
    /// It was told and has not answered.
    Sent {
        /// The order's number.
        number: u64,
        /// When.
        at: TimePoint,
    },
    /// It knows.
    Known,
}

/// An engine of the group.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    pub(crate) info: EngineInfo,
    /// Still in the configuration.
    pub(crate) listed: bool,
    pub(crate) draining: bool,
    pub(crate) draining_since: Option<TimePoint>,
    pub(crate) failed_reports: u32,
    pub(crate) down: bool,
    pub(crate) incarnation: Option<ServerIncarnation>,
    past: Vec<PastLife>,
    pub(crate) sequence: u64,
    pub(crate) waiting: u32,
    /// Grants of live VMs that run on it.
    pub(crate) running: u32,
    pub(crate) fence: FenceState,
    /// The heat of its adapters together, as of the last tick.
    pub(crate) warmth: f64,
    /// Suspects that run on it.
    pub(crate) suspects: u32,
    pub(crate) slots: Vec<SlotState>,
    /// Slots that were unloaded a short time ago.
    gone: Vec<GoneSlot>,
    /// Slots that a deposed owner may still evict.
    doomed: Vec<GoneSlot>,
    pub(crate) broken: Vec<BrokenRun>,
}

impl EngineState {
    pub(crate) fn new(info: EngineInfo) -> Self {
        Self {
            info,
            listed: true,
            draining: false,
            draining_since: None,
            failed_reports: 0,
            down: false,
            incarnation: None,
            past: Vec::new(),
            sequence: 0,
            waiting: 0,
            running: 0,
            fence: FenceState::Needed,
            warmth: 0.0,
            suspects: 0,
            slots: Vec::new(),
            gone: Vec::new(),
            doomed: Vec::new(),
            broken: Vec::new(),
        }
    }

    /// Whether new work may go to it.
    pub(crate) fn usable(&self) -> bool {
        self.listed && !self.draining && !self.down && self.incarnation.is_some()
    }

    /// Whether no earlier owner can still evict `slot` unseen.
    pub(crate) fn is_fenced(&self, slot: &SlotState) -> bool {
        !slot.inherited || !self.info.checks_fencing || self.fence == FenceState::Known
    }

    /// Whether it may become usable without a change of configuration.
    pub(crate) fn hopeful(&self) -> bool {
        self.listed && !self.draining && !self.down
    }

    pub(crate) fn slot(&self, name: &SlotName) -> Option<usize> {
        self.slots.iter().position(|slot| slot.phase != SlotPhase::Empty && slot.name == *name)
    }

    /// Puts a slot into an empty place, and tells which. Places never move, so that adapters and
    /// grants can refer to them by number.
    pub(crate) fn add_slot(&mut self, slot: SlotState) -> usize {
        match self.slots.iter().position(|other| other.phase == SlotPhase::Empty) {
            Some(at) => {
                self.slots[at] = slot;
                at
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        }
    }

    /// Whether a report of `incarnation` comes late from a life that ended. Only reports that are
    /// at most `lag` late do; a life that goes on reporting for longer did not end. An owner that
    /// met two lives' reports in the wrong order would otherwise ignore the engine for good.
    pub(crate) fn is_past(&self, now: TimePoint, incarnation: ServerIncarnation, lag: u64) -> bool {
        let known = self.past.iter().find(|life| life.incarnation == incarnation);
        known.is_some_and(|life| now.since(life.ended) < lag)
    }

    /// Starts a new life: nothing is loaded any more.
    pub(crate) fn restart(&mut self, now: TimePoint, incarnation: ServerIncarnation) {
        self.past.retain(|life| life.incarnation != incarnation);
        if let Some(ended) = self.incarnation.replace(incarnation) {
            if self.past.len() == PAST_LIVES {
                self.past.remove(0);
            }
            self.past.push(PastLife { incarnation: ended, ended: now });
        }
        self.sequence = 0;
        self.fence = FenceState::Needed;
        self.running = 0;
        self.suspects = 0;
        self.waiting = 0;
        self.slots.clear();
        self.gone.clear();
        self.broken.clear();
    }

    /// Forgets a slot, whose name late reports may show until `until`.
    pub(crate) fn forget_slot(&mut self, at: usize, until: TimePoint) {
        let slot = &mut self.slots[at];
        slot.phase = if slot.pins > 0 { SlotPhase::Lost } else { SlotPhase::Empty };
        let name = slot.name.clone();
        if self.gone.len() == GONE_SLOTS {
            self.gone.remove(0);
        }
        self.gone.push(GoneSlot { name, until });
    }

    /// Whether `name` was unloaded so short a time ago that a report of it is a late one.
    pub(crate) fn recently_gone(&self, name: &SlotName, now: TimePoint) -> bool {
        self.gone.iter().any(|gone| gone.name == *name && gone.until > now)
    }

    /// Notes that a deposed owner may evict `name` until `until`, so nothing new may use it.
    pub(crate) fn doom(&mut self, name: SlotName, until: TimePoint) {
        if let Some(at) = self.slot(&name) {
            self.slots[at].doomed_until = until;
        }
        if self.doomed.len() == GONE_SLOTS {
            self.doomed.remove(0);
        }
        self.doomed.push(GoneSlot { name, until });
    }

    /// Until when `name` may be evicted by a deposed owner.
    pub(crate) fn doom_of(&self, name: &SlotName) -> TimePoint {
        let found = self.doomed.iter().filter(|doomed| doomed.name == *name);
        found.map(|doomed| doomed.until).max().unwrap_or_default()
    }

    pub(crate) fn add_broken(&mut self, run: BrokenRun) {
        if self.broken.len() < BROKEN_RUNS {
            self.broken.push(run);
        }
    }

    /// Slots that are taken or may be.
    pub(crate) fn taken(&self) -> usize {
        let taken = |slot: &&SlotState| !matches!(slot.phase, SlotPhase::Empty | SlotPhase::Lost);
        self.slots.iter().filter(taken).count()
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.taken() < self.info.adapter_slots as usize
    }

    /// Places of the batch that requests of the class may take.
    pub(crate) fn room_for(&self, urgent: bool, reserve_percent: u32) -> u32 {
        let batch = self.info.batch_slots;
        let reserved = if urgent { 0 } else { (batch * reserve_percent).div_ceil(100) };
        batch.saturating_sub(reserved).max(1).saturating_sub(self.running)
    }
}
