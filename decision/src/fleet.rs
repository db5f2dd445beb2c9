//! Owner-side tracking of engines and entry VMs: engine reports, restarts and crashes, and grants
//! of earlier epochs.

use rand::Rng;

use crate::adapter::SlotChoice;
use crate::event::{OwnerAction, OwnerNote};
use crate::grant::{GrantId, HeldGrant, ReleaseCall};
use crate::id::{
    MICROS_PER_MILLI, RequestFingerprint, ServerIncarnation, ServerName, SlotName, TimePoint,
    VmIdentity, VmName,
};
use crate::owner::{GroupOwner, note_quarantine};
use crate::report::{EngineReport, SlotReport};
use crate::slot::{BrokenRun, EngineState, SlotPhase, SlotState, parse_slot};
use crate::subject::ServerStart;
use crate::suspect::{CrashSubject, SuspectVerdict};
use crate::topology::GroupTopology;

/// Grant of an earlier epoch that a VM still holds.
#[derive(Clone, Debug)]
pub(crate) struct ForeignGrant {
    grant: GrantId,
    holder: VmIdentity,
    server: usize,
    slot: SlotName,
    fingerprint: RequestFingerprint,
    orphaned: Option<TimePoint>,
}

/// VM that must report its grants of earlier epochs before inherited slots may be evicted.
#[derive(Clone, Debug)]
pub(crate) struct PendingHolder {
    vm: VmName,
    answered: bool,
    absent_since: Option<TimePoint>,
}

/// Maximum number of grants of earlier epochs that are tracked; further ones are dropped.
const MAX_FOREIGN_GRANTS: usize = 65_536;

impl GroupOwner {
    /// Applies a configuration. An engine that it no longer lists stays in the table, because
    /// adapters and grants refer to engines by index, but it gets no new requests.
    pub(crate) fn set_topology(&mut self, topology: GroupTopology) {
        for engine in &mut self.engines {
            engine.listed = false;
        }
        for info in &topology.engines {
            match self.engines.iter_mut().find(|engine| engine.info.server == info.server) {
                Some(engine) => {
                    engine.info = info.clone();
                    engine.listed = true;
                }
                None => self.engines.push(EngineState::new(info.clone())),
            }
        }
        self.budget.set_share(topology.store);
        self.queue.set_tenants(&topology.tenants);
        self.topology = topology;
    }

    fn engine(&self, server: &ServerName) -> Option<usize> {
        self.engines.iter().position(|engine| engine.info.server == *server)
    }

    /// Starts or ends the drain of an engine. Starting it again keeps the original start time.
    pub(crate) fn server_draining(&mut self, now: TimePoint, server: &ServerName, draining: bool) {
        let Some(at) = self.engine(server) else { return };
        let engine = &mut self.engines[at];
        engine.draining = draining;
        engine.draining_since = draining.then_some(engine.draining_since.unwrap_or(now));
    }

    pub(crate) fn report(
        &mut self,
        now: TimePoint,
        server: &ServerName,
        report: &EngineReport,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(at) = self.engine(server) else { return };
        let engine = &mut self.engines[at];
        let lag = self.settings.report_lag_ms * MICROS_PER_MILLI;
        if engine.is_past_incarnation(now, report.incarnation, lag) {
            return;
        }
        let same_incarnation = engine.incarnation == Some(report.incarnation);
        if same_incarnation && report.sequence <= engine.sequence {
            return;
        }
        engine.failed_reports = 0;
        engine.down = false;
        if !same_incarnation {
            self.restarted(now, at, report.incarnation, actions);
        }
        let settle = self.settings.broken_settle_ms * MICROS_PER_MILLI;
        let engine = &mut self.engines[at];
        engine.sequence = report.sequence;
        // Reports may be overtaken by others; an incarnation that leaves does not come back.
        engine.leaving = report.leaving || (same_incarnation && engine.leaving);
        engine.waiting = report.waiting;
        engine.broken.retain(|run| now.since(run.at) < settle);
        for slot in &report.slots {
            self.slot_reported(now, at, slot, actions);
        }
        self.drop_missing_slots(now, at, report, actions);
        self.send_fence(now, at, actions);
    }

    fn restarted(
        &mut self,
        now: TimePoint,
        at: usize,
        incarnation: ServerIncarnation,
        actions: &mut Vec<OwnerAction>,
    ) {
        let first = self.engines[at].incarnation.is_none();
        if !first {
            let on_engine = |choice: &SlotChoice| choice.server as usize == at;
            let own = self.grants.iter().filter(|g| on_engine(&g.choice));
            let own = own.map(|g| BrokenRun {
                fingerprint: g.fingerprint,
                parts: g.parts.clone(),
                at: now,
            });
            let foreign = self.foreign.iter().filter(|g| g.server == at);
            let foreign = foreign.map(|g| BrokenRun {
                fingerprint: g.fingerprint,
                parts: Vec::new(),
                at: now,
            });
            let affected: Vec<BrokenRun> = own.chain(foreign).collect();
            let grants = affected.len() as u32;
            self.crash(now, at, affected, actions);
            self.grants.retain(|grant| !on_engine(&grant.choice));
            self.foreign.retain(|grant| grant.server != at);
            let server = self.engines[at].info.server.clone();
            let note = OwnerNote::Restarted { server, incarnation, grants };
            actions.push(OwnerAction::Note(note));
        }
        self.drop_copies(at);
        self.orders.retain(|order| order.server != at);
        self.engines[at].restart(now, incarnation);
        self.engines[at].running = self.foreign_live(at);
    }

    fn foreign_live(&self, at: usize) -> u32 {
        let live = |grant: &&ForeignGrant| grant.server == at && grant.orphaned.is_none();
        self.foreign.iter().filter(live).count() as u32
    }

    fn drop_copies(&mut self, at: usize) {
        for slot in 0..self.engines[at].slots.len() {
            let adapter = self.engines[at].slots[slot].adapter;
            let copies = &mut self.adapters.get_mut(adapter).copies;
            copies.retain(|copy| copy.server as usize != at);
        }
    }

    /// Records a crash of the engine while the requests `affected` were running; runs that broke
    /// recently are suspects too. If known suspects are among them, only those are blamed.
    pub(crate) fn crash(
        &mut self,
        now: TimePoint,
        at: usize,
        mut affected: Vec<BrokenRun>,
        actions: &mut Vec<OwnerAction>,
    ) {
        affected.append(&mut self.engines[at].broken);
        self.record_parts(now, at, &affected, actions);
        let mut suspects: Vec<RequestFingerprint> =
            affected.iter().map(|run| run.fingerprint).collect();
        suspects.sort_unstable();
        suspects.dedup();
        if suspects.is_empty() {
            return;
        }
        let known = |fingerprint: &RequestFingerprint| {
            self.suspects.verdict(*fingerprint) != SuspectVerdict::Clear
        };
        if suspects.iter().any(known) {
            suspects.retain(known);
        }
        self.suspects.crash(&suspects);
        let engine = &self.engines[at];
        actions.push(OwnerAction::RecordCrash {
            server: engine.info.server.clone(),
            incarnation: engine.incarnation.unwrap_or_default(),
            suspects,
        });
    }

    /// Counts a missing report; after `failed_reports` in a row the engine is marked down.
    pub(crate) fn report_failed(
        &mut self,
        now: TimePoint,
        server: &ServerName,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(at) = self.engine(server) else { return };
        let engine = &mut self.engines[at];
        engine.failed_reports = engine.failed_reports.saturating_add(1);
        if engine.down || engine.failed_reports < self.settings.failed_reports {
            return;
        }
        engine.down = true;
        actions.push(OwnerAction::Note(OwnerNote::Down { server: server.clone() }));
        self.crash(now, at, Vec::new(), actions);
    }

    /// Attributes a crash of an engine to the parts of the prompts that it ran.
    fn record_parts(
        &mut self,
        now: TimePoint,
        at: usize,
        affected: &[BrokenRun],
        actions: &mut Vec<OwnerAction>,
    ) {
        let parts = affected.iter().flat_map(|run| &run.parts);
        let subjects: Vec<CrashSubject> = parts.map(|part| CrashSubject::Part(*part)).collect();
        if subjects.is_empty() {
            return;
        }
        let engine = &self.engines[at];
        let incarnation = engine.incarnation.unwrap_or_default().0;
        let start = ServerStart { server: engine.info.server.clone(), incarnation };
        let change = self.quarantine.record_crash(&start, now, &subjects, now);
        note_quarantine(&change, actions);
    }

    fn slot_reported(
        &mut self,
        now: TimePoint,
        at: usize,
        reported: &SlotReport,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(slot) = self.engines[at].slot(&reported.slot) else {
            self.add_reported_slot(now, at, reported, actions);
            return;
        };
        let state = &mut self.engines[at].slots[slot];
        state.seen = true;
        state.reported = reported.running;
        if matches!(state.phase, SlotPhase::Unknown { .. }) {
            self.slot_ready(now, SlotChoice { server: at as u16, slot: slot as u16 });
        }
    }

    /// Adds a reported slot that this owner did not know to be loaded: one of an earlier epoch, or
    /// one of its own loads that finished late. A slot of a later epoch deposes this owner.
    fn add_reported_slot(
        &mut self,
        now: TimePoint,
        at: usize,
        reported: &SlotReport,
        actions: &mut Vec<OwnerAction>,
    ) {
        if self.engines[at].recently_removed(&reported.slot, now) {
            return;
        }
        let Some((version, epoch)) = parse_slot(&reported.slot) else { return };
        if epoch > self.epoch {
            self.depose(actions);
            return;
        }
        let adapter = self.adapters.intern(&version);
        let held = self.foreign.iter().filter(|g| g.server == at && g.slot == reported.slot);
        let slot = SlotState {
            name: reported.slot.clone(),
            adapter,
            phase: SlotPhase::Ready,
            pins: held.count() as u32,
            inherited: epoch < self.epoch,
            seen: true,
            ahead: false,
            extra: false,
            reported: reported.running,
            prefix: 0,
            at_risk_until: self.engines[at].at_risk_until(&reported.slot),
        };
        let slot = self.engines[at].add_slot(slot);
        let choice = SlotChoice { server: at as u16, slot: slot as u16 };
        self.adapters.get_mut(adapter).copies.push(choice);
        self.slot_ready(now, choice);
    }

    /// Drops slots that an earlier report of this incarnation contained and this one does not.
    fn drop_missing_slots(
        &mut self,
        now: TimePoint,
        at: usize,
        report: &EngineReport,
        actions: &mut Vec<OwnerAction>,
    ) {
        for slot in 0..self.engines[at].slots.len() {
            let state = &self.engines[at].slots[slot];
            let reported = report.slots.iter().any(|reported| reported.slot == state.name);
            if reported || !state.seen {
                continue;
            }
            let choice = SlotChoice { server: at as u16, slot: slot as u16 };
            match state.phase {
                SlotPhase::Ready => self.remove_lost_slot(now, choice, actions),
                SlotPhase::Unloading if !self.is_ordered(at, state) => {
                    self.remove_slot(now, choice);
                }
                _ => {}
            }
        }
    }

    /// Removes a slot that the engine lost without an order of this owner, and notes the grants
    /// that used it.
    pub(crate) fn remove_lost_slot(
        &mut self,
        now: TimePoint,
        choice: SlotChoice,
        actions: &mut Vec<OwnerAction>,
    ) {
        let engine = &self.engines[choice.server as usize];
        let slot = &engine.slots[choice.slot as usize];
        actions.push(OwnerAction::Note(OwnerNote::SlotLost {
            server: engine.info.server.clone(),
            slot: slot.name.clone(),
            grants: slot.pins,
        }));
        self.remove_slot(now, choice);
    }

    /// Removes a slot and its adapter's copy. Reports that still contain it are ignored for the
    /// report lag.
    pub(crate) fn remove_slot(&mut self, now: TimePoint, choice: SlotChoice) {
        let until = now.plus(self.settings.report_lag_ms * MICROS_PER_MILLI);
        let engine = &mut self.engines[choice.server as usize];
        let adapter = engine.slots[choice.slot as usize].adapter;
        engine.forget_slot(choice.slot as usize, until);
        self.adapters.get_mut(adapter).copies.retain(|copy| *copy != choice);
    }

    /// Keeps requests away from a slot that a paused owner of an earlier epoch may still evict, for
    /// the zombie window.
    pub(crate) fn protect_from_old_intent(
        &mut self,
        now: TimePoint,
        server: &ServerName,
        evict: Option<SlotName>,
    ) {
        let (Some(at), Some(evict)) = (self.engine(server), evict) else { return };
        let until = now.plus(self.settings.zombie_window_ms * MICROS_PER_MILLI);
        self.engines[at].mark_at_risk(evict, until);
    }

    /// Applies the list of VMs. Each may hold grants of earlier epochs, so inherited slots are not
    /// evicted before each VM has reported its grants or has been away for the zombie window.
    pub(crate) fn vm_live(
        &mut self,
        now: TimePoint,
        mut vms: Vec<VmName>,
        majority: bool,
        actions: &mut Vec<OwnerAction>,
    ) {
        vms.sort_unstable();
        vms.dedup();
        self.majority = majority;
        self.vms_known = true;
        // A VM that has left the list may still run: it is dropped after the zombie window.
        let window = self.settings.zombie_window_ms * MICROS_PER_MILLI;
        for holder in &mut self.vms {
            if vms.binary_search(&holder.vm).is_err() {
                holder.absent_since.get_or_insert(now);
            }
        }
        self.vms.retain(|holder| holder.absent_since.is_none_or(|since| now.since(since) < window));
        for vm in vms {
            if let Err(at) = self.vms.binary_search_by(|holder| holder.vm.cmp(&vm)) {
                self.vms.insert(at, PendingHolder { vm, answered: false, absent_since: None });
            }
        }
        self.query_held(now, actions);
    }

    fn query_held(&mut self, now: TimePoint, actions: &mut Vec<OwnerAction>) {
        if self.inherited_evictable || !self.vms_known {
            return;
        }
        let window = self.settings.zombie_window_ms * MICROS_PER_MILLI;
        let unanswered = |holder: &&PendingHolder| {
            !holder.answered && holder.absent_since.is_none_or(|since| now.since(since) < window)
        };
        let vms: Vec<VmName> =
            self.vms.iter().filter(unanswered).map(|holder| holder.vm.clone()).collect();
        if vms.is_empty() {
            self.inherited_evictable = true;
            actions.push(OwnerAction::Note(OwnerNote::InheritedEvictable));
            return;
        }
        let interval = self.settings.held_query_interval_ms * MICROS_PER_MILLI;
        if self.held_queried_at == TimePoint::default()
            || now.since(self.held_queried_at) >= interval
        {
            self.held_queried_at = now;
            actions.push(OwnerAction::QueryHeldGrants { vms });
        }
    }

    /// Adds the grants of earlier epochs that a VM reported; they pin their slots like grants of
    /// this epoch.
    pub(crate) fn held(
        &mut self,
        now: TimePoint,
        vm: &VmIdentity,
        grants: Vec<HeldGrant>,
        actions: &mut Vec<OwnerAction>,
    ) {
        for grant in grants {
            self.add_foreign(vm, grant);
        }
        if let Ok(at) = self.vms.binary_search_by(|holder| holder.vm.cmp(&vm.vm)) {
            self.vms[at].answered = true;
            self.vms[at].absent_since = None;
        }
        self.query_held(now, actions);
    }

    fn add_foreign(&mut self, holder: &VmIdentity, held: HeldGrant) {
        let known = self.foreign.iter().any(|grant| grant.grant == held.grant);
        if known || held.grant.epoch >= self.epoch || self.foreign.len() >= MAX_FOREIGN_GRANTS {
            return;
        }
        let Some(server) = self.engine(&held.server) else { return };
        let engine = &mut self.engines[server];
        engine.running += 1;
        if let Some(slot) = engine.slot(&held.slot) {
            engine.slots[slot].pins += 1;
        }
        self.foreign.push(ForeignGrant {
            grant: held.grant,
            holder: holder.clone(),
            server,
            slot: held.slot,
            fingerprint: held.fingerprint,
            orphaned: None,
        });
    }

    /// Ends a grant of an earlier epoch. Unknown grants are ignored.
    pub(crate) fn release_foreign(&mut self, call: &ReleaseCall) {
        let found = self.foreign.iter().position(|grant| grant.grant == call.grant);
        if let Some(at) = found {
            self.drop_foreign(at);
        }
    }

    fn drop_foreign(&mut self, at: usize) {
        let grant = self.foreign.swap_remove(at);
        let engine = &mut self.engines[grant.server];
        if grant.orphaned.is_none() {
            engine.running = engine.running.saturating_sub(1);
        }
        if let Some(slot) = engine.slot(&grant.slot) {
            self.unpin(SlotChoice { server: grant.server as u16, slot: slot as u16 });
        }
    }

    /// Records that an incarnation of a VM is dead or was replaced. Its grants keep their slots
    /// pinned, because the VM may only be paused and use them when it resumes, but they no longer
    /// count against the batch.
    pub(crate) fn vm_dead(&mut self, now: TimePoint, vm: &VmIdentity) {
        for grant in self.grants.iter_mut().filter(|grant| grant.holder == *vm) {
            if grant.orphaned.is_none() {
                grant.orphaned = Some(now);
                let engine = &mut self.engines[grant.choice.server as usize];
                engine.running = engine.running.saturating_sub(1);
            }
        }
        for grant in self.foreign.iter_mut().filter(|grant| grant.holder == *vm) {
            if grant.orphaned.is_none() {
                grant.orphaned = Some(now);
                let engine = &mut self.engines[grant.server];
                engine.running = engine.running.saturating_sub(1);
            }
        }
        if let Ok(at) = self.vms.binary_search_by(|holder| holder.vm.cmp(&vm.vm)) {
            self.vms[at].absent_since.get_or_insert(now);
        }
    }

    /// Drops the grants of VMs that have been dead for longer than the zombie window.
    fn drop_orphans(&mut self, now: TimePoint) {
        let window = self.settings.zombie_window_ms * MICROS_PER_MILLI;
        let expired =
            |orphaned: Option<TimePoint>| orphaned.is_some_and(|since| now.since(since) >= window);
        while let Some(at) = self.grants.iter().position(|grant| expired(grant.orphaned)) {
            self.take_grant(at);
        }
        while let Some(at) = self.foreign.iter().position(|grant| expired(grant.orphaned)) {
            self.drop_foreign(at);
        }
    }

    /// Performs the work that depends on time alone.
    pub(crate) fn tick(
        &mut self,
        now: TimePoint,
        rng: &mut dyn Rng,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.drop_orphans(now);
        self.expire_orders(now, rng, actions);
        self.reserve_scheduled(now);
        self.refuse_expired(now, actions);
        self.query_held(now, actions);
        for at in 0..self.engines.len() {
            self.engines[at].usage_score_sum = self.usage_score_sum(now, &self.engines[at]);
        }
        self.consolidate(now, actions);
    }
}
