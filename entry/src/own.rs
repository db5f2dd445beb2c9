//! The groups that this VM owns: turns messages into events of the owner and carries out its
//! actions.

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
use coltsfoothook_decision::record::{CONTROL_STREAM, ControlRecord, GroupOwnership};
use coltsfoothook_engine::{LoadOrder, OrderError, UnloadOrder};
use coltsfoothook_peer::PeerTarget;
use coltsfoothook_telemetry::event;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::core::{EntryCore, read, write};
use crate::held::lock;

/// How long an intent or a crash is offered to the log.
const RECORD_WITHIN: Duration = Duration::from_secs(30);
/// How long another VM has to tell what it holds.
const HELD_WITHIN: Duration = Duration::from_secs(2);
/// When a request that met no owner may try again, in milliseconds.
pub(crate) const NOT_OWNER_RETRY_MS: u64 = 500;

/// One group that this VM owns, under its own lock.
pub(crate) struct OwnerShard {
    pub(crate) group: GroupName,
    pub(crate) epoch: OwnerEpoch,
    /// Cancelled when another VM takes the group over, which ends the shard's tasks.
    pub(crate) ended: CancellationToken,
    state: Mutex<ShardState>,
}

struct ShardState {
    owner: GroupOwner,
    rng: Pcg64,
    next_ticket: u64,
    /// Sorted by ticket, since tickets grow.
    waiting: Vec<WaitingAsker>,
    /// Grants that are out, sorted by number, to find one by its request.
    out: Vec<OutGrant>,
}

struct WaitingAsker {
    ticket: u64,
    requester: VmIdentity,
    id: RequestId,
    answer: oneshot::Sender<ReserveReply>,
}

struct OutGrant {
    number: u64,
    requester: VmIdentity,
    id: RequestId,
    server: ServerName,
}

impl OwnerShard {
    /// Hands an event to the owner and carries out what it wants.
    ///
    /// A shard that has ended does nothing more. Events still come in, such as the end of an order
    /// or a request that is withdrawn; a deposed owner that answered them with further orders would
    /// evict slots that its successor has granted.
    pub(crate) fn drive(self: &Arc<Self>, core: &Arc<EntryCore>, event: OwnerEvent) {
        if self.ended.is_cancelled() {
            return;
        }
        let mut others = Vec::new();
        {
            let mut state = lock(&self.state);
            let mut events = vec![event];
            while let Some(event) = events.pop() {
                state.handle(core, event, &mut events, &mut others);
            }
        }
        for action in others {
            self.perform(core, action);
        }
    }

    pub(crate) fn invariants(&self) -> InvariantLog {
        lock(&self.state).owner.invariants().clone()
    }

    /// Waits for a grant. Dropping the future withdraws the request, and gives back a grant that
    /// was given but not taken.
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
            state.waiting.push(WaitingAsker { ticket, requester: requester.clone(), id, answer });
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

    /// Forgets a request of another VM, whether it still waits or has a grant by now.
    pub(crate) fn withdraw(self: &Arc<Self>, core: &Arc<EntryCore>, call: &WithdrawCall) {
        let event = {
            let state = lock(&self.state);
            let waits = state
                .waiting
                .iter()
                .find(|waiting| waiting.id == call.id && waiting.requester == call.requester);
            let out =
                state.out.iter().find(|out| out.id == call.id && out.requester == call.requester);
            match (waits, out) {
                (Some(waiting), _) => OwnerEvent::Withdraw { ticket: waiting.ticket },
                (None, Some(out)) => {
                    OwnerEvent::Release(self.unused(out.number, call.requester.clone()))
                }
                (None, None) => return,
            }
        };
        self.drive(core, event);
    }

    fn unused(&self, number: u64, holder: VmIdentity) -> ReleaseCall {
        let grant = coltsfoothook_decision::grant::GrantId {
            group: self.group.clone(),
            epoch: self.epoch,
            number,
        };
        ReleaseCall { holder, grant, end: GrantEnd::NotRun, tokens: 0 }
    }

    /// What operators see of the group.
    pub(crate) fn status(&self, core: &EntryCore) -> GroupStatus {
        let state = lock(&self.state);
        let figures = state.owner.figures();
        let queues = RequestClass::ALL.iter().zip(figures.waiting);
        let queues = queues.map(|(&class, waiting)| QueueStatus { class, waiting }).collect();
        let slots = state.owner.slots();
        let servers = state.owner.topology().engines.iter().map(|engine| {
            let own = slots.iter().filter(|slot| slot.server == engine.server);
            ServerStatus {
                server: engine.server.clone(),
                up: state.owner.engine_up(engine.server.as_str()),
                draining: read(&core.control).server_drains(engine.server.as_str()),
                running: own.clone().map(|slot| slot.grants).sum(),
                slots: own
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

    /// Whether requests wait or adapters load.
    pub(crate) fn is_busy(&self) -> bool {
        let figures = lock(&self.state).owner.figures();
        figures.loading > 0 || figures.waiting.iter().any(|waiting| *waiting > 0)
    }

    /// The engines that the owner watches.
    pub(crate) fn engines(&self) -> Vec<ServerName> {
        let state = lock(&self.state);
        state.owner.topology().engines.iter().map(|engine| engine.server.clone()).collect()
    }

    fn perform(self: &Arc<Self>, core: &Arc<EntryCore>, action: OwnerAction) {
        match action {
            // Answered under the lock, see `ShardState::handle`.
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
                    tokio::spawn(async move { shard.ask_held(&core, &vm).await });
                }
            }
            OwnerAction::RecordCrash { server, incarnation, suspects } => {
                append_control(core, ControlRecord::Crash { server, incarnation, suspects });
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

    async fn ask_held(self: &Arc<Self>, core: &Arc<EntryCore>, vm: &VmName) {
        let call =
            HeldCall { group: self.group.clone(), epoch: self.epoch, requester: core.me.clone() };
        if *vm == core.me.vm {
            let grants = answer_held(core, &call);
            self.drive(core, OwnerEvent::GrantsReported { vm: core.me.clone(), grants });
            return;
        }
        let Some(target) = core.target(vm.as_str()) else { return };
        match core.clients.peers.held(&target, call, HELD_WITHIN).await {
            Ok(reply) => {
                self.drive(core, OwnerEvent::GrantsReported { vm: reply.vm, grants: reply.grants });
            }
            Err(error) => {
                event!(HeldUnknown, vm = vm, error = error);
                self.note_ended(core, &target).await;
            }
        }
    }

    /// A VM whose process has ended holds nothing any more. Without this the slots that the owner
    /// before it loaded could not be evicted until the zombie window is over, and every adapter that
    /// was not loaded would wait for two minutes after a crash.
    async fn note_ended(self: &Arc<Self>, core: &Arc<EntryCore>, target: &PeerTarget) {
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
        others: &mut Vec<OwnerAction>,
    ) {
        if let OwnerEvent::Withdraw { ticket } = &event {
            self.take_waiting(*ticket);
        }
        if let OwnerEvent::Release(call) = &event
            && call.grant.epoch == self.owner.epoch()
        {
            self.forget_out(call.grant.number);
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
                other => others.push(other),
            }
        }
    }

    /// How many requests run on `server` once one more does.
    fn running_with(&self, server: &ServerName) -> u32 {
        let others = self.out.iter().filter(|out| out.server == *server).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    fn grant(&mut self, ticket: u64, grant: SlotGrant, events: &mut Vec<OwnerEvent>) {
        let number = grant.id.number;
        let id = grant.id.clone();
        let Some(waiting) = self.take_waiting(ticket) else { return };
        let holder = waiting.requester.clone();
        let at = self.out.partition_point(|out| out.number < number);
        let server = grant.server.clone();
        self.out
            .insert(at, OutGrant { number, requester: waiting.requester, id: waiting.id, server });
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

    fn take_waiting(&mut self, ticket: u64) -> Option<WaitingAsker> {
        let found = self.waiting.binary_search_by_key(&ticket, |waiting| waiting.ticket);
        found.ok().map(|at| self.waiting.remove(at))
    }

    fn forget_out(&mut self, number: u64) {
        if let Ok(at) = self.out.binary_search_by_key(&number, |out| out.number) {
            self.out.remove(at);
        }
    }
}

/// Withdraws a reservation whose future was dropped: the caller went away, or the connection to the
/// VM that asked. Without it the request would keep its place in the queue, and a grant that nobody
/// takes would pin its slot for ever.
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

/// The answer of a VM that does not own the group.
pub(crate) fn not_owner() -> ReserveReply {
    let reason = RefusalReason::NotOwner;
    ReserveReply::Refused(GrantRefusal { reason, retry_after_ms: NOT_OWNER_RETRY_MS })
}

/// Tells a new owner which grants of earlier epochs this VM holds, and uses no further ones.
///
/// The floor is raised before the register is read, and a grant is registered before its epoch is
/// compared with the floor: a grant is therefore either told here or not used.
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

/// The lowest epoch of `group` whose grants this VM may still use.
pub(crate) fn floor(core: &EntryCore, group: &str) -> OwnerEpoch {
    let floors = lock(&core.floors);
    let found = floors.binary_search_by(|floor| floor.0.as_str().cmp(group));
    found.map(|at| floors[at].1).unwrap_or_default()
}

/// Begins or ends owning a group, as the control stream says.
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

/// Ends a shard; its waiting requests are told that they ask the wrong VM.
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
        out: Vec::new(),
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
    for event in first_events(core, &shard.group) {
        shard.drive(core, event);
    }
    tokio::spawn(crate::watch::watch_shard(Arc::clone(core), shard));
}

/// What a new owner must know before its first decision.
fn first_events(core: &EntryCore, group: &GroupName) -> Vec<OwnerEvent> {
    let control = read(&core.control);
    let mut events = vec![OwnerEvent::Suspects(control.suspects().to_vec())];
    events.extend(control.intents(group.as_str()).map(|intent| OwnerEvent::EarlierIntent {
        server: intent.server.clone(),
        evict: intent.evict.clone(),
    }));
    let view = core.view();
    if let Some(group) = view.groups.find_group(group.as_str()) {
        let draining = group.servers.iter().filter(|name| control.server_drains(name.as_str()));
        events.extend(
            draining.map(|server| OwnerEvent::ServerDraining {
                server: server.clone(),
                draining: true,
            }),
        );
    }
    events
}

/// Gives every owned group the topology of the configuration in force.
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

/// Hands an event to every owned group.
pub(crate) fn drive_all(core: &Arc<EntryCore>, event: &OwnerEvent) {
    let shards = read(&core.owners).clone();
    for shard in shards {
        shard.drive(core, event.clone());
    }
}

/// Offers a record to the control stream without waiting for it.
pub(crate) fn append_control(core: &Arc<EntryCore>, record: ControlRecord) {
    let data = serde_json::to_string(&record).expect("records have text keys");
    let core = Arc::clone(core);
    tokio::spawn(async move {
        if let Err(error) = core.writers.control.append(data, RECORD_WITHIN).await {
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
        // An engine that refuses connections is down; waiting for its next reports to fail would
        // send it one load after another.
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

/// The adapter version in a slot's name; see docs/DESIGN.md, "Slot names carry the epoch".
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
        OwnerNote::InheritedEvictable => event!(InheritedFree, group = group),
        OwnerNote::Deposed => event!(OwnerLost, group = group),
    }
}
