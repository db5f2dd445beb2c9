//! The groups that this VM owns: each has an owner state machine, which receives messages as events
//! and whose actions are performed here.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use coltsfoothook_decision::grant::{
    GrantEnd, GrantRefusal, HeldGrant, ReleaseCall, RequestSpec, ReserveReply, SlotGrant,
};
use coltsfoothook_decision::id::{
    AdapterVersion, GroupName, OwnerEpoch, RequestId, ServerName, VmIdentity, VmName,
};
use coltsfoothook_decision::invariant::InvariantLog;
use coltsfoothook_decision::member::MemberState;
use coltsfoothook_decision::message::{
    GroupStatus, HeldCall, QueueStatus, ServerStatus, SlotStatus, WithdrawCall,
};
use coltsfoothook_decision::outcome::{RefusalReason, RequestClass};
use coltsfoothook_decision::owner::{
    EngineOrder, GroupOwner, GroupTopology, OrderResult, OwnerAction, OwnerEvent, OwnerNote,
};
use coltsfoothook_decision::record::{
    CONTROL_STREAM, ControlRecord, GroupOwnership, GroupPartCrashes,
};
use coltsfoothook_engine::{LoadOrder, OrderError, UnloadOrder};
use coltsfoothook_peer::PeerTarget;
use coltsfoothook_telemetry::event;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::clock::wall_ms;
use crate::core::{EntryCore, read, write};
use crate::held::lock;

/// Timeout of the append of a control record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of the query for the grants that another VM holds.
const HELD_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay in milliseconds returned by a VM that does not own the group.
pub(crate) const NOT_OWNER_RETRY_MS: u64 = 500;

/// One group that this VM owns.
pub(crate) struct OwnerShard {
    pub(crate) group: GroupName,
    pub(crate) epoch: OwnerEpoch,
    /// Cancelled on takeover by another VM and at shutdown; ends the shard's tasks.
    pub(crate) ended: CancellationToken,
    state: Mutex<ShardState>,
}

struct ShardState {
    owner: GroupOwner,
    rng: Pcg64,
    next_ticket: u64,
    /// Requests without an answer, sorted by ticket: each new one has the highest ticket.
    waiting: Vec<WaitingRequest>,
    /// Grants not released yet, sorted by grant number.
    outstanding: Vec<OutstandingGrant>,
}

struct WaitingRequest {
    ticket: u64,
    requester: VmIdentity,
    id: RequestId,
    answer: oneshot::Sender<ReserveReply>,
}

struct OutstandingGrant {
    number: u64,
    requester: VmIdentity,
    id: RequestId,
    server: ServerName,
}

impl OwnerShard {
    /// Passes an event to the owner and performs its actions.
    ///
    /// Events that arrive after the shard has ended, such as the result of an order or a
    /// withdrawal, are ignored: a deposed owner that acted on them could evict slots that its
    /// successor has granted.
    pub(crate) fn drive(self: &Arc<Self>, core: &Arc<EntryCore>, event: OwnerEvent) {
        if self.ended.is_cancelled() {
            return;
        }
        let mut remaining = Vec::new();
        {
            let mut state = lock(&self.state);
            let mut events = vec![event];
            while let Some(event) = events.pop() {
                state.handle(core, event, &mut events, &mut remaining);
            }
        }
        for action in remaining {
            self.perform(core, action);
        }
    }

    pub(crate) fn invariants(&self) -> InvariantLog {
        lock(&self.state).owner.invariants().clone()
    }

    /// Waits for a grant. Dropping the future withdraws the request, or releases a grant that was
    /// sent but not received.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        core: &Arc<EntryCore>,
        requester: VmIdentity,
        spec: RequestSpec,
    ) -> ReserveReply {
        let (answer, answered) = oneshot::channel();
        let ticket = {
            let mut state = lock(&self.state);
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            let id = spec.id.clone();
            state.waiting.push(WaitingRequest { ticket, requester: requester.clone(), id, answer });
            ticket
        };
        let mut guard = ReserveGuard {
            core: Arc::clone(core),
            shard: Arc::clone(self),
            requester: requester.clone(),
            ticket,
            answered: Some(answered),
        };
        self.drive(core, OwnerEvent::Reserve { ticket, requester, spec });
        guard.wait().await
    }

    /// Withdraws a request of another VM, or releases its grant if it already has one.
    pub(crate) fn withdraw(self: &Arc<Self>, core: &Arc<EntryCore>, call: &WithdrawCall) {
        let event = {
            let state = lock(&self.state);
            let waits = state
                .waiting
                .iter()
                .find(|waiting| waiting.id == call.id && waiting.requester == call.requester);
            let outstanding = state.outstanding.iter().find(|outstanding| {
                outstanding.id == call.id && outstanding.requester == call.requester
            });
            match (waits, outstanding) {
                (Some(waiting), _) => OwnerEvent::Withdraw { ticket: waiting.ticket },
                (None, Some(outstanding)) => {
                    OwnerEvent::Release(self.unused(outstanding.number, call.requester.clone()))
                }
                (None, None) => return,
            }
        };
        self.drive(core, event);
    }

    /// Returns the release of a grant whose request did not run.
    fn unused(&self, number: u64, holder: VmIdentity) -> ReleaseCall {
        let grant = coltsfoothook_decision::grant::GrantId {
            group: self.group.clone(),
            epoch: self.epoch,
            number,
        };
        ReleaseCall { holder, grant, end: GrantEnd::NotRun, tokens: 0 }
    }

    /// Returns the group's status for operators.
    pub(crate) fn status(&self, core: &EntryCore) -> GroupStatus {
        let state = lock(&self.state);
        let figures = state.owner.figures();
        let queues = RequestClass::ALL.iter().zip(figures.waiting);
        let queues = queues.map(|(&class, waiting)| QueueStatus { class, waiting }).collect();
        let slots = state.owner.slots();
        let servers = state.owner.topology().engines.iter().map(|engine| {
            let server_slots = slots.iter().filter(|slot| slot.server == engine.server);
            ServerStatus {
                server: engine.server.clone(),
                up: state.owner.engine_up(engine.server.as_str()),
                draining: read(&core.control).is_server_draining(engine.server.as_str()),
                running: server_slots.clone().map(|slot| slot.grants).sum(),
                slots: server_slots
                    .filter_map(|slot| {
                        let adapter = slot_adapter(slot.slot.as_str())?;
                        Some(SlotStatus { adapter, in_use: slot.grants })
                    })
                    .collect(),
            }
        });
        let servers = servers.collect();
        GroupStatus { group: self.group.clone(), epoch: self.epoch, queues, servers }
    }

    /// Returns whether requests wait or adapters are being loaded.
    pub(crate) fn is_busy(&self) -> bool {
        let figures = lock(&self.state).owner.figures();
        figures.loading > 0 || figures.waiting.iter().any(|waiting| *waiting > 0)
    }

    /// Returns the engines in the owner's topology.
    pub(crate) fn engines(&self) -> Vec<ServerName> {
        let state = lock(&self.state);
        state.owner.topology().engines.iter().map(|engine| engine.server.clone()).collect()
    }

    fn perform(self: &Arc<Self>, core: &Arc<EntryCore>, action: OwnerAction) {
        match action {
            // Handled under the lock by `ShardState::handle`.
            OwnerAction::Grant { .. } | OwnerAction::Refuse { .. } => {}
            OwnerAction::AppendIntent { number, server, incarnation, evict, load } => {
                let (group, epoch) = (self.group.clone(), self.epoch);
                append_control(
                    core,
                    ControlRecord::Intent {
                        group,
                        epoch,
                        number,
                        server,
                        incarnation,
                        evict,
                        load,
                    },
                );
            }
            OwnerAction::SendOrder { number, server, incarnation: _, epoch, order } => {
                let (core, shard) = (Arc::clone(core), Arc::clone(self));
                tokio::spawn(async move {
                    let result = send_order(&core, &shard, server.as_str(), epoch, &order).await;
                    shard.drive(&core, OwnerEvent::OrderDone { number, result });
                });
            }
            OwnerAction::QueryHeldGrants { vms } => {
                for vm in vms {
                    let (core, shard) = (Arc::clone(core), Arc::clone(self));
                    tokio::spawn(async move { shard.query_held(&core, &vm).await });
                }
            }
            OwnerAction::RecordCrash { server, incarnation, suspects } => {
                append_control(core, ControlRecord::Crash { server, incarnation, suspects });
            }
            OwnerAction::RecordPartCrashes { crashes, trials } => {
                let (group, epoch) = (self.group.clone(), self.epoch);
                let recorded_ms = wall_ms();
                let recorded = GroupPartCrashes { group, epoch, recorded_ms, crashes, trials };
                append_control(core, ControlRecord::PartCrashes(recorded));
            }
            OwnerAction::RecordCleared { fingerprint } => {
                append_control(core, ControlRecord::Cleared { fingerprint });
            }
            OwnerAction::Note(note) => {
                log_note(&self.group, &note);
                core.metrics.owner_note(&note);
            }
        }
    }

    async fn query_held(self: &Arc<Self>, core: &Arc<EntryCore>, vm: &VmName) {
        let call =
            HeldCall { group: self.group.clone(), epoch: self.epoch, requester: core.me.clone() };
        if *vm == core.me.vm {
            let grants = answer_held(core, &call);
            self.drive(core, OwnerEvent::GrantsReported { vm: core.me.clone(), grants });
            return;
        }
        let Some(target) = core.target(vm.as_str()) else { return };
        match core.clients.peers.held(&target, call, HELD_TIMEOUT).await {
            Ok(reply) => {
                self.drive(core, OwnerEvent::GrantsReported { vm: reply.vm, grants: reply.grants });
            }
            Err(error) => {
                event!(HeldUnknown, vm = vm, error = error);
                self.report_if_ended(core, &target).await;
            }
        }
    }

    /// Reports that a dead VM holds no grants, if its process has ended. Otherwise the new owner
    /// would have to wait for `zombie_window_ms` (two minutes by default) before it evicts the
    /// slots of the previous one, which would delay loads after a crash.
    async fn report_if_ended(self: &Arc<Self>, core: &Arc<EntryCore>, target: &PeerTarget) {
        let dead = {
            let members = lock(&core.members);
            let row = members.row(target.vm.as_str());
            let row = row.filter(|row| row.state() == MemberState::Dead);
            row.map(|row| row.identity().clone())
        };
        let Some(dead) = dead else { return };
        if core.clients.peers.process_ended(target).await {
            self.drive(core, OwnerEvent::GrantsReported { vm: dead, grants: Vec::new() });
        }
    }
}

impl ShardState {
    fn handle(
        &mut self,
        core: &EntryCore,
        event: OwnerEvent,
        events: &mut Vec<OwnerEvent>,
        remaining: &mut Vec<OwnerAction>,
    ) {
        if let OwnerEvent::Withdraw { ticket } = &event {
            self.take_waiting(*ticket);
        }
        if let OwnerEvent::Release(call) = &event
            && call.grant.epoch == self.owner.epoch()
        {
            self.remove_outstanding(call.grant.number);
        }
        let mut actions = Vec::new();
        self.owner.handle(core.clock.now(), event, &mut self.rng, &mut actions);
        for action in actions {
            match action {
                OwnerAction::Grant { ticket, grant } => {
                    core.metrics.set.batch_size(self.running_with(&grant.server));
                    self.grant(ticket, grant, events);
                }
                OwnerAction::Refuse { ticket, refusal } => self.refuse(ticket, refusal),
                other => remaining.push(other),
            }
        }
    }

    /// Returns the number of requests on `server`, including one about to be granted.
    fn running_with(&self, server: &ServerName) -> u32 {
        let others =
            self.outstanding.iter().filter(|outstanding| outstanding.server == *server).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    fn grant(&mut self, ticket: u64, grant: SlotGrant, events: &mut Vec<OwnerEvent>) {
        let number = grant.id.number;
        let id = grant.id.clone();
        let Some(waiting) = self.take_waiting(ticket) else { return };
        let holder = waiting.requester.clone();
        let at = self.outstanding.partition_point(|outstanding| outstanding.number < number);
        let server = grant.server.clone();
        self.outstanding.insert(
            at,
            OutstandingGrant { number, requester: waiting.requester, id: waiting.id, server },
        );
        if waiting.answer.send(ReserveReply::Granted(grant)).is_err() {
            let call = ReleaseCall { holder, grant: id, end: GrantEnd::NotRun, tokens: 0 };
            events.push(OwnerEvent::Release(call));
        }
    }

    fn refuse(&mut self, ticket: u64, refusal: GrantRefusal) {
        if let Some(waiting) = self.take_waiting(ticket) {
            let _ = waiting.answer.send(ReserveReply::Refused(refusal));
        }
    }

    fn take_waiting(&mut self, ticket: u64) -> Option<WaitingRequest> {
        let found = self.waiting.binary_search_by_key(&ticket, |waiting| waiting.ticket);
        found.ok().map(|at| self.waiting.remove(at))
    }

    fn remove_outstanding(&mut self, number: u64) {
        if let Ok(at) =
            self.outstanding.binary_search_by_key(&number, |outstanding| outstanding.number)
        {
            self.outstanding.remove(at);
        }
    }
}

/// Withdraws a request whose future is dropped, because the caller or the requesting VM
/// disconnected. Without it the request would stay queued, and a grant that nobody receives would
/// pin its slot forever.
struct ReserveGuard {
    core: Arc<EntryCore>,
    shard: Arc<OwnerShard>,
    requester: VmIdentity,
    ticket: u64,
    answered: Option<oneshot::Receiver<ReserveReply>>,
}

impl ReserveGuard {
    async fn wait(&mut self) -> ReserveReply {
        let Some(answered) = &mut self.answered else { return not_owner() };
        let reply = answered.await;
        self.answered = None;
        reply.unwrap_or_else(|_| not_owner())
    }
}

impl Drop for ReserveGuard {
    fn drop(&mut self) {
        let Some(mut answered) = self.answered.take() else { return };
        answered.close();
        let event = match answered.try_recv() {
            Ok(ReserveReply::Granted(grant)) => {
                OwnerEvent::Release(self.shard.unused(grant.id.number, self.requester.clone()))
            }
            Ok(ReserveReply::Refused(_)) => return,
            Err(_) => OwnerEvent::Withdraw { ticket: self.ticket },
        };
        self.shard.drive(&self.core, event);
    }
}

/// Returns the refusal of a VM that does not own the group.
pub(crate) fn not_owner() -> ReserveReply {
    let reason = RefusalReason::NotOwner;
    ReserveReply::Refused(GrantRefusal { reason, retry_after_ms: NOT_OWNER_RETRY_MS })
}

/// Returns the grants of earlier epochs that this VM holds. From then on this VM uses no further
/// grants of those epochs.
///
/// The group's lowest usable epoch is raised before the held grants are read, and a grant is
/// added to them before its epoch is compared with the lowest usable one, so every grant is either
/// reported here or not used.
pub(crate) fn answer_held(core: &EntryCore, call: &HeldCall) -> Vec<HeldGrant> {
    {
        let mut floors = lock(&core.floors);
        match floors.binary_search_by(|floor| floor.0.cmp(&call.group)) {
            Ok(at) => floors[at].1 = floors[at].1.max(call.epoch),
            Err(at) => floors.insert(at, (call.group.clone(), call.epoch)),
        }
    }
    core.held.before(call.group.as_str(), call.epoch)
}

/// Returns the lowest epoch of `group` whose grants this VM may still use.
pub(crate) fn floor(core: &EntryCore, group: &str) -> OwnerEpoch {
    let floors = lock(&core.floors);
    let found = floors.binary_search_by(|floor| floor.0.as_str().cmp(group));
    found.map(|at| floors[at].1).unwrap_or_default()
}

/// Starts or ends the shard of a group according to the control stream; ignores older epochs.
pub(crate) fn ownership_changed(core: &Arc<EntryCore>, ownership: &GroupOwnership) {
    let ended = {
        let mut owners = write(&core.owners);
        match owners.binary_search_by(|shard| shard.group.cmp(&ownership.group)) {
            Ok(at) if owners[at].epoch < ownership.epoch => Some(owners.remove(at)),
            Ok(_) => return,
            Err(_) => None,
        }
    };
    if let Some(shard) = ended {
        event!(OwnerLost, group = shard.group, epoch = shard.epoch);
        end_shard(&shard);
    }
    if ownership.owner == core.me {
        begin_shard(core, ownership);
    }
}

/// Ends a shard. Its waiting requests are refused with `NotOwner`, since their senders are
/// dropped.
fn end_shard(shard: &OwnerShard) {
    shard.ended.cancel();
    lock(&shard.state).waiting.clear();
}

fn begin_shard(core: &Arc<EntryCore>, ownership: &GroupOwnership) {
    let view = core.view();
    let group = view.groups.find_group(ownership.group.as_str());
    let topology = match group {
        Some(group) => view.groups.topology(group, &view.manifest),
        None => GroupTopology { group: ownership.group.clone(), ..Default::default() },
    };
    let now = core.clock.now();
    let settings = core.settings.owner_settings();
    let owner = GroupOwner::new(settings, topology, ownership.epoch, now);
    let seed = core.me.incarnation.0 ^ ownership.epoch.0;
    let state = ShardState {
        owner,
        rng: Pcg64::seed_from_u64(seed),
        next_ticket: 1,
        waiting: Vec::new(),
        outstanding: Vec::new(),
    };
    let shard = Arc::new(OwnerShard {
        group: ownership.group.clone(),
        epoch: ownership.epoch,
        ended: core.closing.child_token(),
        state: Mutex::new(state),
    });
    event!(OwnerTaken, group = shard.group, epoch = shard.epoch);
    {
        let mut owners = write(&core.owners);
        let at = owners.partition_point(|other| other.group < shard.group);
        owners.insert(at, Arc::clone(&shard));
    }
    for event in initial_events(core, &shard.group) {
        shard.drive(core, event);
    }
    tokio::spawn(crate::watch::watch_shard(Arc::clone(core), shard));
}

/// Returns the events that initialise a new owner from the control stream: suspects, open intents
/// and draining servers.
fn initial_events(core: &EntryCore, group: &GroupName) -> Vec<OwnerEvent> {
    let control = read(&core.control);
    let mut events = vec![OwnerEvent::Suspects(control.suspects().to_vec())];
    events.extend(control.part_crashes(group.as_str()).map(|recorded| OwnerEvent::PartCrashes {
        recorded: recorded.clone(),
        elapsed_ms: wall_ms().saturating_sub(recorded.recorded_ms),
    }));
    events.extend(control.intents(group.as_str()).map(|intent| OwnerEvent::EarlierIntent {
        server: intent.server.clone(),
        evict: intent.evict.clone(),
    }));
    let view = core.view();
    if let Some(group) = view.groups.find_group(group.as_str()) {
        let draining =
            group.servers.iter().filter(|name| control.is_server_draining(name.as_str()));
        events.extend(
            draining.map(|server| OwnerEvent::ServerDraining {
                server: server.clone(),
                draining: true,
            }),
        );
    }
    events
}

/// Passes the topology of the configuration in force to every owned group.
pub(crate) fn configuration_changed(core: &Arc<EntryCore>) {
    let view = core.view();
    let shards = read(&core.owners).clone();
    for shard in shards {
        let topology = match view.groups.find_group(shard.group.as_str()) {
            Some(group) => view.groups.topology(group, &view.manifest),
            None => GroupTopology { group: shard.group.clone(), ..Default::default() },
        };
        shard.drive(core, OwnerEvent::Topology(topology));
    }
}

/// Passes an event to every owned group.
pub(crate) fn drive_all(core: &Arc<EntryCore>, event: &OwnerEvent) {
    let shards = read(&core.owners).clone();
    for shard in shards {
        shard.drive(core, event.clone());
    }
}

/// Appends a record to the control stream in the background; a failure is only logged.
pub(crate) fn append_control(core: &Arc<EntryCore>, record: ControlRecord) {
    let data = serde_json::to_string(&record).expect("records have text keys");
    let core = Arc::clone(core);
    tokio::spawn(async move {
        if let Err(error) = core.writers.control.append(data, RECORD_TIMEOUT).await {
            event!(RecordGivenUp, stream = CONTROL_STREAM, error = error);
        }
    });
}

async fn send_order(
    core: &Arc<EntryCore>,
    shard: &Arc<OwnerShard>,
    server: &str,
    fencing: OwnerEpoch,
    order: &EngineOrder,
) -> OrderResult {
    let view = core.view();
    let Some((entry, _)) = view.engine(server) else { return OrderResult::Failed };
    let sent = match order {
        EngineOrder::Load { slot, adapter } => {
            let Some(weights) = view.weights(adapter) else { return OrderResult::Failed };
            let order = LoadOrder { slot: slot.clone(), weights: weights.to_owned(), fencing };
            core.clients.engines.load(entry.address, &order).await
        }
        EngineOrder::Unload { slot } => {
            let order = UnloadOrder { slot: slot.clone(), fencing };
            core.clients.engines.unload(entry.address, &order).await
        }
    };
    let result = order_result(&sent);
    if matches!(sent, Err(OrderError::OrderNotSent { .. })) {
        // An engine that refuses connections is probably down. This counts as a failed poll, so
        // the owner marks the engine down earlier and stops sending loads to it.
        shard.drive(core, OwnerEvent::ReportFailed { server: server.into() });
    }
    if let Err(error) = sent {
        if result == OrderResult::Stale {
            event!(OrderRefused, server = server, epoch = fencing);
        }
        event!(OrderFailed, server = server, order = format!("{order:?}"), error = error);
    }
    core.metrics.order(order, result);
    result
}

fn order_result(sent: &Result<(), OrderError>) -> OrderResult {
    match sent {
        Ok(()) => OrderResult::Done,
        Err(OrderError::StaleFencing) => OrderResult::Stale,
        Err(OrderError::EffectUnknown { .. } | OrderError::BadAnswer { .. }) => {
            OrderResult::Unknown
        }
        Err(
            OrderError::OrderNotSent { .. }
            | OrderError::SlotsFull
            | OrderError::LoadFailed { .. }
            | OrderError::NotFound
            | OrderError::OrderRefused { .. },
        ) => OrderResult::Failed,
    }
}

/// Parses the adapter version in a slot name; see docs/DESIGN.md, "Slot names carry the epoch".
pub(crate) fn slot_adapter(slot: &str) -> Option<AdapterVersion> {
    let (version, _) = slot.rsplit_once('#')?;
    let (adapter, version) = version.split_once('@')?;
    Some(AdapterVersion { adapter: adapter.into(), version: version.into() })
}

fn log_note(group: &GroupName, note: &OwnerNote) {
    match note {
        OwnerNote::Loaded { server, adapter, took_ms, ahead } => event!(
            LoadDone,
            group = group,
            server = server,
            adapter = adapter,
            took_ms = took_ms,
            ahead = ahead
        ),
        OwnerNote::LoadFailed { server, adapter, failures } => {
            event!(LoadFailed, group = group, server = server, adapter = adapter, tries = failures);
        }
        OwnerNote::Evicted { server, slot } => {
            event!(SlotEvicted, group = group, server = server, slot = slot);
        }
        OwnerNote::Restarted { server, incarnation, grants } => event!(
            ServerRestarted,
            group = group,
            server = server,
            incarnation = incarnation,
            grants = grants
        ),
        OwnerNote::Down { server } => event!(ServerDown, group = group, server = server),
        OwnerNote::SlotLost { server, slot, grants } => {
            event!(SlotLost, group = group, server = server, slot = slot, grants = grants);
        }
        OwnerNote::PartQuarantined(part) => event!(
            PartQuarantined,
            group = group,
            part = part.subject,
            crashes = part.crashes,
            alone = part.alone,
        ),
        OwnerNote::PartReleased(part) => event!(PartReleased, group = group, part = part),
        OwnerNote::InheritedEvictable => event!(InheritedFree, group = group),
        OwnerNote::Deposed => event!(OwnerLost, group = group),
    }
}
