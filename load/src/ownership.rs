//! Group owners at a soak VM.

use coltsfoothook_decision::grant::{GrantRefusal, HeldGrant, SlotGrant};
use coltsfoothook_decision::id::{
    GroupName, MICROS_PER_MILLI, OwnerEpoch, RequestFingerprint, ServerName, TimePoint, VmName,
};
use coltsfoothook_decision::manifest::ServerKind;
use coltsfoothook_decision::message::{HeldCall, HeldReply};
use coltsfoothook_decision::outcome::RefusalReason;
use coltsfoothook_decision::owner::{
    EngineOrder, GroupOwner, OrderResult, OwnerAction, OwnerEvent, OwnerSettings,
};
use coltsfoothook_decision::record::{ControlRecord, GroupPartCrashes};
use coltsfoothook_decision::report::EngineReport;
use coltsfoothook_decision::route::EngineGroup;
use rand::Rng;

use crate::effect::{CallPhase, IssuedGrant, OrderEnd, PeerMessage, VmOutput};
use crate::fake::LogRecord;
use crate::safeguard::BrokenSafeguard;
use crate::vm::{OwnedGroup, SoakVm};

/// Number of the order that only sends an epoch to an engine.
const FENCE_ORDER: u64 = u64::MAX;

/// Interval between requests for engine reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;

impl SoakVm {
    /// Starts and ends owners according to the ownership in the control stream.
    pub(crate) fn sync_owners(
        &mut self,
        now: TimePoint,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        for owned in std::mem::take(&mut self.owners) {
            let current = self.control.owner(owned.group.as_str());
            let mine = current
                .is_some_and(|now| now.epoch == owned.owner.epoch() && now.owner == self.identity);
            if mine {
                self.owners.push(owned);
            } else {
                self.past_invariants.merge(owned.owner.invariants());
                self.refuse_tickets(&owned.group, now, rng, out);
            }
        }
        let groups: Vec<_> = self.groups.groups().to_vec();
        for group in groups {
            let Some(owned) = self.control.owner(group.name.as_str()).cloned() else { continue };
            let known = self.owners.iter().any(|owned| owned.group == group.name);
            if owned.owner != self.identity || known {
                continue;
            }
            let topology = self.groups.topology(&group, self.config.manifest());
            let owner = GroupOwner::new(OwnerSettings::default(), topology, owned.epoch, now);
            self.owners.push(OwnedGroup { group: group.name.clone(), owner, fenced: Vec::new() });
            let intents: Vec<_> = self.control.intents(group.name.as_str()).cloned().collect();
            for intent in intents.into_iter().filter(|intent| intent.epoch < owned.epoch) {
                let event =
                    OwnerEvent::EarlierIntent { server: intent.server, evict: intent.evict };
                self.owner_event(now, &group.name, owned.epoch, event, rng, out);
            }
            self.owner_event(now, &group.name, owned.epoch, self.vm_live(), rng, out);
            self.send_state(now, &group, owned.epoch, rng, out);
        }
    }

    /// Sends the control state to the owners of all groups, after a snapshot was adopted. Adopting
    /// a snapshot produces no single events.
    pub(crate) fn send_all_state(
        &mut self,
        now: TimePoint,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        for group in self.groups.groups().to_vec() {
            let epoch = self.control.epoch(group.name.as_str());
            self.send_state(now, &group, epoch, rng, out);
        }
    }

    /// Sends drains and suspects to an owner, which has not received the events before its start.
    fn send_state(
        &mut self,
        now: TimePoint,
        group: &EngineGroup,
        epoch: OwnerEpoch,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        for server in &group.servers {
            let draining = self.control.is_server_draining(server.as_str());
            let event = OwnerEvent::ServerDraining { server: server.clone(), draining };
            self.owner_event(now, &group.name, epoch, event, rng, out);
        }
        let event = OwnerEvent::Suspects(self.control.suspects().to_vec());
        self.owner_event(now, &group.name, epoch, event, rng, out);
    }

    /// Refuses all pending requests for grants of a group that this VM does not own any more.
    fn refuse_tickets(
        &mut self,
        group: &GroupName,
        now: TimePoint,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let of_group = self.tickets.iter().filter(|(_, _, _, other)| other == group);
        let tickets: Vec<u64> = of_group.map(|(ticket, ..)| *ticket).collect();
        for ticket in tickets {
            let refusal = GrantRefusal { reason: RefusalReason::NotOwner, retry_after_ms: 100 };
            self.ticket_done(now, ticket, Err(refusal), rng, out);
        }
    }

    /// Returns the event that lists the known VMs and states whether they include a majority of the
    /// region.
    fn vm_live(&self) -> OwnerEvent {
        let region = self.members.own().place().region.as_str();
        let own = std::iter::once(self.identity.vm.clone());
        let others = self.members.others().iter().map(|row| row.identity().vm.clone());
        OwnerEvent::ListedVms {
            vms: own.chain(others).collect(),
            majority: self.members.majority(region),
        }
    }

    /// Sends an event to all owners at this VM.
    pub(crate) fn notify_owners(
        &mut self,
        now: TimePoint,
        event: &OwnerEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let owned: Vec<_> =
            self.owners.iter().map(|owned| (owned.group.clone(), owned.owner.epoch())).collect();
        for (group, epoch) in owned {
            self.owner_event(now, &group, epoch, event.clone(), rng, out);
        }
    }

    /// Sends an event to the owner of a group and carries out its actions. Ignores the event if
    /// this VM does not own the group in `epoch`.
    pub(crate) fn owner_event(
        &mut self,
        now: TimePoint,
        group: &GroupName,
        epoch: OwnerEpoch,
        event: OwnerEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let mut actions = Vec::new();
        let found = self.owners.iter_mut().find(|owned| owned.group == *group);
        let Some(owned) = found.filter(|owned| owned.owner.epoch() == epoch) else { return };
        owned.owner.handle(now, event, rng, &mut actions);
        for action in actions {
            self.owner_action(now, group, epoch, action, rng, out);
        }
    }

    fn owner_action(
        &mut self,
        now: TimePoint,
        group: &GroupName,
        epoch: OwnerEpoch,
        action: OwnerAction,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        match action {
            OwnerAction::Grant { ticket, grant } => {
                self.ticket_done(now, ticket, Ok(grant), rng, out)
            }
            OwnerAction::Refuse { ticket, refusal } => {
                self.ticket_done(now, ticket, Err(refusal), rng, out);
            }
            OwnerAction::AppendIntent { number, server, incarnation, evict, load } => {
                let group_name = group.clone();
                let record = ControlRecord::Intent {
                    group: group_name,
                    epoch,
                    number,
                    server,
                    incarnation,
                    evict,
                    load,
                };
                out.push(VmOutput::Append(LogRecord::Control(record)));
                if self.broken == BrokenSafeguard::IntentUnread {
                    let event = OwnerEvent::IntentRead { number, valid: true };
                    self.owner_event(now, group, epoch, event, rng, out);
                }
            }
            OwnerAction::SendOrder { number, server, incarnation, epoch, order } => {
                let group = group.clone();
                let incarnation = Some(incarnation);
                out.push(VmOutput::Order { group, epoch, number, server, incarnation, order });
            }
            OwnerAction::QueryHeldGrants { vms } => {
                self.query_held(now, group, epoch, vms, rng, out)
            }
            OwnerAction::RecordCrash { server, incarnation, suspects } => {
                let record = ControlRecord::Crash { server, incarnation, suspects };
                out.push(VmOutput::Append(LogRecord::Control(record)));
            }
            OwnerAction::RecordPartCrashes { crashes, trials } => {
                let (group, recorded_ms) = (group.clone(), now.0 / MICROS_PER_MILLI);
                let recorded = GroupPartCrashes { group, epoch, recorded_ms, crashes, trials };
                out.push(VmOutput::Append(LogRecord::Control(ControlRecord::PartCrashes(
                    recorded,
                ))));
            }
            OwnerAction::RecordCleared { fingerprint } => {
                out.push(VmOutput::Append(LogRecord::Control(ControlRecord::Cleared {
                    fingerprint,
                })));
            }
            OwnerAction::Note(_) => {}
        }
    }

    /// Queries VMs for the grants of earlier epochs that they hold.
    fn query_held(
        &mut self,
        now: TimePoint,
        group: &GroupName,
        epoch: OwnerEpoch,
        vms: Vec<VmName>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        for vm in vms {
            if self.broken == BrokenSafeguard::HeldQuerySkipped {
                let Some(row) = self.members.row(vm.as_str()) else { continue };
                let vm = row.identity().clone();
                let event = OwnerEvent::GrantsReported { vm, grants: Vec::new() };
                self.owner_event(now, group, epoch, event, rng, out);
                continue;
            }
            let call = HeldCall { group: group.clone(), epoch, requester: self.identity.clone() };
            if vm == self.identity.vm {
                let reply = self.held_reply(&call);
                let event = OwnerEvent::GrantsReported { vm: reply.vm, grants: reply.grants };
                self.owner_event(now, group, epoch, event, rng, out);
            } else {
                out.push(VmOutput::Peer(vm, PeerMessage::Held(call)));
            }
        }
    }

    /// Returns the grants of earlier epochs that this VM holds. From then on the VM uses no new
    /// grant of an earlier epoch.
    pub(crate) fn held_reply(&mut self, call: &HeldCall) -> HeldReply {
        match self.min_epochs.iter_mut().find(|(group, _)| *group == call.group) {
            Some((_, epoch)) => *epoch = call.epoch.max(*epoch),
            None => self.min_epochs.push((call.group.clone(), call.epoch)),
        }
        let running = self.calls.iter().filter_map(|call| match &call.phase {
            CallPhase::Running { grant } => Some((grant, call)),
            _ => None,
        });
        let running = running.map(|(grant, open)| (grant, open.id));
        let abandoned = self.abandoned.iter().map(|run| (&run.grant, run.id));
        let of_group = running.chain(abandoned).filter(|(grant, _)| grant.id.group == call.group);
        let earlier = of_group.filter(|(grant, _)| grant.id.epoch < call.epoch);
        let grants: Vec<HeldGrant> = earlier
            .map(|(grant, id)| HeldGrant {
                grant: grant.id.clone(),
                server: grant.server.clone(),
                slot: grant.slot.clone(),
                fingerprint: RequestFingerprint(id),
            })
            .collect();
        HeldReply { vm: self.identity.clone(), grants }
    }

    /// Replies to a request for a grant that arrived under `ticket`.
    pub(crate) fn ticket_done(
        &mut self,
        now: TimePoint,
        ticket: u64,
        reply: Result<SlotGrant, GrantRefusal>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let Some(at) = self.tickets.iter().position(|(known, ..)| *known == ticket) else { return };
        let (_, from, remote_id, _) = self.tickets.swap_remove(at);
        if let Ok(grant) = &reply {
            let issued = IssuedGrant {
                requester: from.clone(),
                request: remote_id,
                grant: grant.id.clone(),
            };
            self.issued_grants.push(issued);
        }
        if from == self.identity.vm {
            self.handle_reserved(now, remote_id, reply, rng, out);
        } else {
            out.push(VmOutput::Peer(from, PeerMessage::Reserved(remote_id, reply)));
        }
    }

    /// Sends the log's and the VMs' state and a tick to all owners, and requests engine reports at
    /// an interval. Sends the fence order first to engines that need it.
    pub(crate) fn tick_owners(
        &mut self,
        now: TimePoint,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        self.notify_owners(now, &OwnerEvent::LogState { writable: self.log_up }, rng, out);
        let live = self.vm_live();
        self.notify_owners(now, &live, rng, out);
        self.notify_owners(now, &OwnerEvent::Tick, rng, out);
        if now.since(self.reports_requested) < REPORT_INTERVAL_MS * MICROS_PER_MILLI {
            return;
        }
        self.reports_requested = now;
        for owned in &self.owners {
            let listed = self.groups.find_group(owned.group.as_str());
            let servers = listed.map(|group| group.servers.clone()).unwrap_or_default();
            for server in servers {
                match self.must_fence(owned, &server) {
                    true => out.push(fence_order(owned, server)),
                    false => out.push(VmOutput::Report(owned.group.clone(), server)),
                }
            }
        }
    }

    /// Returns whether an engine must receive the owner's epoch before the owner uses its reports.
    ///
    /// An engine that checks fencing numbers receives a new epoch only with an order. Until then a
    /// deposed owner that was paused could still evict adapters there that the new owner's requests
    /// use.
    fn must_fence(&self, owned: &OwnedGroup, server: &ServerName) -> bool {
        let entry = self.config.manifest().server(server.as_str());
        let kind = entry.map(|entry| &entry.serves);
        let checks = matches!(kind, Some(ServerKind::Engine(engine)) if engine.checks_fencing);
        let broken = self.broken == BrokenSafeguard::FenceNotSent;
        checks && !broken && !owned.fenced.contains(server)
    }

    /// Handles an engine's report; `None` if the engine did not return one.
    pub fn report(
        &mut self,
        now: TimePoint,
        group: &GroupName,
        server: ServerName,
        report: Option<EngineReport>,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let epoch = self.control.epoch(group.as_str());
        let event = match report {
            Some(report) => OwnerEvent::Report { server, report },
            None => OwnerEvent::ReportFailed { server },
        };
        self.owner_event(now, group, epoch, event, rng, out);
    }

    /// Handles the end of an order.
    pub fn ordered(
        &mut self,
        now: TimePoint,
        end: OrderEnd,
        rng: &mut dyn Rng,
        out: &mut Vec<VmOutput>,
    ) {
        let OrderEnd { server, group, epoch, number, result } = end;
        if number == FENCE_ORDER {
            let owned = self.owners.iter_mut().find(|owned| owned.group == group);
            if let (OrderResult::Done, Some(owned)) = (result, owned) {
                owned.fenced.push(server);
            }
            return;
        }
        self.owner_event(now, &group, epoch, OwnerEvent::OrderDone { number, result }, rng, out);
    }
}

fn fence_order(owned: &OwnedGroup, server: ServerName) -> VmOutput {
    let epoch = owned.owner.epoch();
    VmOutput::Order {
        group: owned.group.clone(),
        epoch,
        number: FENCE_ORDER,
        server,
        incarnation: None,
        order: EngineOrder::Unload { slot: format!("none#{epoch}.0").into() },
    }
}
