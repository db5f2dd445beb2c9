//! State of an engine and of the adapters in its slots, as the owner knows it.

use crate::id::{
    AdapterVersion, OwnerEpoch, PartFingerprint, RequestFingerprint, ServerIncarnation, SlotName,
    TimePoint,
};
use crate::topology::EngineInfo;

/// Returns the name under which an engine knows a load of `adapter`:
/// `adapter@version#epoch.number`.
///
/// No two loads share a name, so that a delayed order or reply can only affect the load that it was
/// meant for.
#[must_use]
pub fn slot_name(adapter: &AdapterVersion, epoch: OwnerEpoch, number: u64) -> SlotName {
    SlotName(format!("{adapter}#{epoch}.{number}"))
}

/// Parses a slot's name into the adapter version and the epoch that loaded it; `None` if it isn't a
/// slot's name.
#[must_use]
pub fn parse_slot(slot: &SlotName) -> Option<(AdapterVersion, OwnerEpoch)> {
    let (adapter, load) = slot.as_str().rsplit_once('#')?;
    let (epoch, number) = load.split_once('.')?;
    number.parse::<u64>().ok()?;
    let (adapter, version) = adapter.split_once('@')?;
    let adapter = AdapterVersion { adapter: adapter.into(), version: version.into() };
    Some((adapter, OwnerEpoch(epoch.parse().ok()?)))
}

/// State of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotPhase {
    /// A load is ordered or about to be.
    Loading,
    /// Loaded; grants may use it.
    Ready,
    /// An unload is ordered or its result is unknown; no new grant may use it.
    Unloading,
    /// The result of its load is unknown. A report that shows the slot makes it ready.
    Unknown {
        /// Time from which the result is unknown.
        since: TimePoint,
    },
    /// The engine no longer has it, but grants on it are outstanding.
    Lost,
    /// Unused; another load may take this index.
    Empty,
}

/// Slot of an engine.
#[derive(Clone, Debug)]
pub(crate) struct SlotState {
    pub(crate) name: SlotName,
    pub(crate) adapter: u32,
    pub(crate) phase: SlotPhase,
    /// Grants that use it, including those of earlier epochs and of VMs that left.
    pub(crate) pins: u32,
    /// Loaded under an earlier epoch, not all of whose grants may be known yet.
    pub(crate) inherited: bool,
    /// Whether a report of the engine has shown it, so that its absence from a later one means that
    /// it was lost.
    pub(crate) seen: bool,
    /// Loaded ahead of a schedule and not used yet.
    pub(crate) ahead: bool,
    /// Further copy of an adapter that another engine holds.
    pub(crate) extra: bool,
    /// Number of requests that use it, by the engine's last report.
    pub(crate) reported: u32,
    /// Prefix hash of the last prompt, which the engine may have cached.
    pub(crate) prefix: u64,
    /// Time until which it must not be used, because a deposed owner may still evict it.
    pub(crate) at_risk_until: TimePoint,
}

/// Incarnation of an engine that ended, and when a report of the next one was received.
#[derive(Clone, Copy, Debug)]
struct PastIncarnation {
    incarnation: ServerIncarnation,
    ended: TimePoint,
}

/// Slot name with the end of a period in which late reports may still show the unloaded slot, or a
/// deposed owner may still evict it.
#[derive(Clone, Debug)]
struct ExpiringName {
    name: SlotName,
    until: TimePoint,
}

/// Request whose connection broke, while it is unknown whether the engine crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BrokenRun {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) parts: Vec<PartFingerprint>,
    pub(crate) at: TimePoint,
}

/// Maximum number of slot names in each list of an engine.
const MAX_EXPIRING_NAMES: usize = 256;
/// Maximum number of past incarnations remembered for each engine.
const MAX_PAST_INCARNATIONS: usize = 16;
/// Maximum number of broken runs kept for each engine.
const MAX_BROKEN_RUNS: usize = 1_024;

/// Whether an engine that checks fencing numbers knows this owner's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FenceState {
    /// It doesn't know the epoch yet; its inherited slots can't be granted.
    Needed,
    /// A fencing order was sent and has no result yet.
    Sent {
        /// Number of the order.
        number: u64,
        /// Time at which it was sent.
        at: TimePoint,
    },
    /// It knows the epoch.
    Known,
}

/// Engine of the group.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    pub(crate) info: EngineInfo,
    /// Whether it is still in the configuration.
    pub(crate) listed: bool,
    pub(crate) draining: bool,
    pub(crate) draining_since: Option<TimePoint>,
    /// Whether its present incarnation reported that it leaves.
    pub(crate) leaving: bool,
    pub(crate) failed_reports: u32,
    pub(crate) down: bool,
    pub(crate) incarnation: Option<ServerIncarnation>,
    past: Vec<PastIncarnation>,
    pub(crate) sequence: u64,
    pub(crate) waiting: u32,
    /// Grants of live VMs that run on it.
    pub(crate) running: u32,
    pub(crate) fence: FenceState,
    /// Sum of the usage scores of its adapters, as of the last tick.
    pub(crate) usage_score_sum: f64,
    /// Number of runs of suspected poison requests on it.
    pub(crate) suspects: u32,
    pub(crate) slots: Vec<SlotState>,
    /// Slots that were unloaded recently.
    removed: Vec<ExpiringName>,
    /// Slots that a deposed owner may still evict.
    at_risk: Vec<ExpiringName>,
    pub(crate) broken: Vec<BrokenRun>,
}

impl EngineState {
    pub(crate) fn new(info: EngineInfo) -> Self {
        Self {
            info,
            listed: true,
            draining: false,
            draining_since: None,
            leaving: false,
            failed_reports: 0,
            down: false,
            incarnation: None,
            past: Vec::new(),
            sequence: 0,
            waiting: 0,
            running: 0,
            fence: FenceState::Needed,
            usage_score_sum: 0.0,
            suspects: 0,
            slots: Vec::new(),
            removed: Vec::new(),
            at_risk: Vec::new(),
            broken: Vec::new(),
        }
    }

    /// Returns whether new work may be sent to it.
    pub(crate) fn usable(&self) -> bool {
        self.listed && !self.draining && !self.leaving && !self.down && self.incarnation.is_some()
    }

    /// Returns whether no earlier owner can evict `slot` unnoticed.
    pub(crate) fn is_fenced(&self, slot: &SlotState) -> bool {
        !slot.inherited || !self.info.checks_fencing || self.fence == FenceState::Known
    }

    /// Returns whether it may become usable without a change of configuration.
    pub(crate) fn may_recover(&self) -> bool {
        self.listed && !self.draining && !self.down
    }

    pub(crate) fn slot(&self, name: &SlotName) -> Option<usize> {
        self.slots.iter().position(|slot| slot.phase != SlotPhase::Empty && slot.name == *name)
    }

    /// Puts a slot at an unused index and returns the index. Indices don't change, so that adapters
    /// and grants can refer to them.
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

    /// Returns whether a report of `incarnation` is a late one of an ended incarnation. Reports are
    /// at most `lag` late; an incarnation that reports for longer has not ended. Without this
    /// limit, an owner that received the reports of two incarnations in the wrong order would
    /// ignore the engine for ever.
    pub(crate) fn is_past_incarnation(
        &self,
        now: TimePoint,
        incarnation: ServerIncarnation,
        lag: u64,
    ) -> bool {
        let known = self.past.iter().find(|past| past.incarnation == incarnation);
        known.is_some_and(|past| now.since(past.ended) < lag)
    }

    /// Starts a new incarnation, with no slot loaded.
    pub(crate) fn restart(&mut self, now: TimePoint, incarnation: ServerIncarnation) {
        self.past.retain(|past| past.incarnation != incarnation);
        if let Some(ended) = self.incarnation.replace(incarnation) {
            if self.past.len() == MAX_PAST_INCARNATIONS {
                self.past.remove(0);
            }
            self.past.push(PastIncarnation { incarnation: ended, ended: now });
        }
        self.sequence = 0;
        self.fence = FenceState::Needed;
        self.running = 0;
        self.suspects = 0;
        self.waiting = 0;
        self.slots.clear();
        self.removed.clear();
        self.broken.clear();
    }

    /// Removes a slot, whose name late reports may show until `until`.
    pub(crate) fn forget_slot(&mut self, at: usize, until: TimePoint) {
        let slot = &mut self.slots[at];
        slot.phase = if slot.pins > 0 { SlotPhase::Lost } else { SlotPhase::Empty };
        let name = slot.name.clone();
        if self.removed.len() == MAX_EXPIRING_NAMES {
            self.removed.remove(0);
        }
        self.removed.push(ExpiringName { name, until });
    }

    /// Returns whether `name` was unloaded so recently that a report with it is a late one.
    pub(crate) fn recently_removed(&self, name: &SlotName, now: TimePoint) -> bool {
        self.removed.iter().any(|removed| removed.name == *name && removed.until > now)
    }

    /// Records that a deposed owner may evict `name` until `until`, so that nothing new may use it.
    pub(crate) fn mark_at_risk(&mut self, name: SlotName, until: TimePoint) {
        if let Some(at) = self.slot(&name) {
            self.slots[at].at_risk_until = until;
        }
        if self.at_risk.len() == MAX_EXPIRING_NAMES {
            self.at_risk.remove(0);
        }
        self.at_risk.push(ExpiringName { name, until });
    }

    /// Returns until when a deposed owner may evict `name`; zero if none may.
    pub(crate) fn at_risk_until(&self, name: &SlotName) -> TimePoint {
        let found = self.at_risk.iter().filter(|slot| slot.name == *name);
        found.map(|slot| slot.until).max().unwrap_or_default()
    }

    pub(crate) fn add_broken(&mut self, run: BrokenRun) {
        if self.broken.len() < MAX_BROKEN_RUNS {
            self.broken.push(run);
        }
    }

    /// Returns the number of slots that are in use or may be.
    pub(crate) fn taken(&self) -> usize {
        let in_use = |slot: &&SlotState| !matches!(slot.phase, SlotPhase::Empty | SlotPhase::Lost);
        self.slots.iter().filter(in_use).count()
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.taken() < self.info.adapter_slots as usize
    }

    /// Returns the number of free batch slots that requests of the class may use. Of the batch,
    /// `reserve_percent` is reserved for urgent requests.
    pub(crate) fn room_for(&self, urgent: bool, reserve_percent: u32) -> u32 {
        let batch = self.info.batch_slots;
        let reserved = if urgent { 0 } else { (batch * reserve_percent).div_ceil(100) };
        batch.saturating_sub(reserved).max(1).saturating_sub(self.running)
    }
}
