//! Datagrams to and from the other VMs.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_decision::id::{DomainName, ServerName, TimePoint, VmName};
use coltsfoothook_decision::loadtime::ReportedTimes;
use coltsfoothook_decision::order_tracker::WaitingRequests;
use coltsfoothook_decision::routing::AdapterKey;
use coltsfoothook_decision::usage::{ReportEffect, UsageReport};
use coltsfoothook_telemetry::event;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::aggregate;
use crate::clock;
use crate::confirm;
use crate::datagram::{MAX_BYTES, decode, encode};
use crate::estimates::ReportedEstimates;
use crate::message::{AdapterUse, LoadUpdate, PeerMessage, ServerLists, ServerLoad, VmState};
use crate::order;
use crate::origin_records;
use crate::origins;
use crate::permit;
use crate::record_updates;
use crate::roster::{PeerChange, SMALL_FLEET};
use crate::state::{Gateway, SystemView};
use crate::suspects;

/// Interval of this VM's state messages.
const STATE_INTERVAL: Duration = Duration::from_millis(125);
/// How long a change of this VM's requests is delayed to be reported with others in one message.
const LOAD_REPORT_DELAY: Duration = Duration::from_millis(3);
/// The same in large fleets. It is longer because the aggregator forwards the reports only a few
/// times a second.
const LARGE_LOAD_REPORT_DELAY: Duration = Duration::from_millis(20);
/// One of this many state messages also goes to unresponsive VMs, which may have come back.
const UNRESPONSIVE_INTERVAL: u64 = 8;
/// Number of VMs that one state message goes to in fleets of more than [`SMALL_FLEET`]. The
/// recipients rotate, which bounds what a VM sends regardless of the fleet's size.
pub(crate) const ROTATION_SIZE: usize = 16;
/// Interval of state messages in such fleets, in microseconds: twice [`STATE_INTERVAL`], which
/// halves the bytes sent.
pub(crate) const ROTATION_INTERVAL_US: u64 = 250_000;
/// Number of addresses of other VMs that a state message carries.
const SHARED_PEERS: usize = 4;

/// Number of datagrams that may be queued until the kernel accepts more: one message to each VM of
/// a large fleet. Further ones are dropped, and a later message repeats their content.
const MAX_QUEUED: usize = 1_024;

/// The socket, its send queue and the counters of messages sent.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    /// Sequence number of the last state message.
    sequence: AtomicU64,
    /// Number of messages sent.
    sends: AtomicU64,
    /// Bytes sent, by kind of message.
    sent_bytes: [AtomicU64; PeerMessage::KINDS.len()],
    queue_sender: mpsc::Sender<(Bytes, SocketAddr)>,
    /// The receiving end of the queue, until [`send_queued`] takes it.
    queue: Mutex<Option<mpsc::Receiver<(Bytes, SocketAddr)>>>,
}

impl PeerSocket {
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let (queue_sender, queue) = mpsc::channel(MAX_QUEUED);
        let queue = Mutex::new(Some(queue));
        let (sequence, sends) = (AtomicU64::new(0), AtomicU64::new(0));
        let sent_bytes = std::array::from_fn(|_| AtomicU64::new(0));
        Ok(Self { socket, sequence, sends, sent_bytes, queue_sender, queue })
    }

    /// Sends a message without blocking. Datagrams that the socket does not accept at once are
    /// queued; those that do not fit into the queue are dropped. A later message, which goes to
    /// another VM first, repeats their content.
    pub(crate) fn send(&self, message: &PeerMessage, to: &[SocketAddr]) {
        let bytes = match encode(message) {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => {
                event!(PeerRefused, cause = error, direction = "out");
                return;
            }
        };
        let sent = (bytes.len() * to.len()) as u64;
        self.sent_bytes[message.kind()].fetch_add(sent, Ordering::Relaxed);
        let first = first_recipient(self.sends.fetch_add(1, Ordering::Relaxed), to.len());
        let (later, sooner) = to.split_at(first);
        for address in sooner.iter().chain(later) {
            if let Err(error) = self.try_send(&bytes, *address) {
                event!(PeerUnsent, address = address, cause = error);
            }
        }
    }

    /// Returns the bytes sent so far, by kind of message.
    pub(crate) fn sent_bytes(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let sent = self.sent_bytes.iter().map(|bytes| bytes.load(Ordering::Relaxed));
        PeerMessage::KINDS.into_iter().zip(sent)
    }

    fn try_send(&self, bytes: &Bytes, to: SocketAddr) -> io::Result<()> {
        if self.queue_sender.capacity() == MAX_QUEUED {
            match self.socket.try_send_to(bytes, to) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                ended => return ended.map(drop),
            }
        }
        let full = |_| io::Error::other("send queue is full, datagram dropped");
        self.queue_sender.try_send((bytes.clone(), to)).map_err(full)
    }
}

/// How long a VM must have run that answers the first state of another one, in microseconds.
const ANSWERS_STARTS_US: u64 = 3_000_000;

/// The fractional part of the golden ratio, scaled to 2^64. Successive multiples of it, modulo
/// 2^64, are spread evenly over the range.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns which of `count` VMs a message goes to first, when `sends` messages were sent before. A
/// VM with a narrow link cannot send a message to dozens of others at once: the link drops the last
/// ones. With a fixed order, the same VMs would miss the message and each of its repeats, for
/// seconds.
pub(crate) fn first_recipient(sends: u64, count: usize) -> usize {
    let spread = sends.wrapping_mul(GOLDEN_RATIO) >> 32;
    (spread as usize) % count.max(1)
}

/// Runs for ever, sending the queued datagrams as the socket's buffer gets room.
pub(crate) async fn send_queued(peers: Arc<PeerSocket>) {
    let queue = peers.queue.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut queue) = queue else { return };
    while let Some((bytes, address)) = queue.recv().await {
        if let Err(error) = peers.socket.send_to(&bytes, address).await {
            event!(PeerUnsent, address = address, cause = error);
        }
    }
}

/// Runs for ever, receiving datagrams.
pub(crate) async fn listen(gateway: Arc<Gateway>) {
    let mut bytes = vec![0; MAX_BYTES];
    loop {
        match gateway.peers.socket.recv_from(&mut bytes).await {
            Ok((length, from)) => match decode(&bytes[..length]) {
                Some(message) => dispatch(&gateway, message, from),
                None => event!(PeerRefused, address = from, bytes = length, direction = "in"),
            },
            // A datagram to a VM that is down may be refused, which is reported here. Later
            // datagrams of other VMs are still received.
            Err(error) => {
                event!(PeerUnsent, cause = error);
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Runs for ever, reporting this VM's state to the other VMs.
pub(crate) async fn report_state(gateway: Arc<Gateway>) {
    loop {
        report_state_now(&gateway);
        permit::update_places(&gateway);
        order::send_next_orders(&gateway);
        send_uses(&gateway);
        tokio::time::sleep(STATE_INTERVAL).await;
    }
}

/// Runs for ever, reporting changes of this VM's requests to the other VMs shortly after they
/// happen.
///
/// An engine reads a typical prompt in less than the interval of state messages. With those alone,
/// several VMs would send prompts to a server that has just received one, and its streams would
/// stall for all of them.
pub(crate) async fn report_loads(gateway: Arc<Gateway>) {
    loop {
        gateway.loads_changed.notified().await;
        let large = gateway.view().roster.is_large(clock::now());
        tokio::time::sleep(if large { LARGE_LOAD_REPORT_DELAY } else { LOAD_REPORT_DELAY }).await;
        report_changed_loads(&gateway);
    }
}

/// Reports changes of this VM's requests to the other VMs at once. In large fleets they go to the
/// aggregator with the next batch instead, since it forwards them at its own interval anyway.
pub(crate) fn report_loads_now(gateway: &Arc<Gateway>) {
    if gateway.view().roster.is_large(clock::now()) {
        gateway.loads_changed.notify_one();
    } else {
        report_changed_loads(gateway);
    }
}

fn report_changed_loads(gateway: &Arc<Gateway>) {
    let now = clock::now();
    let mut view = gateway.view();
    let servers = std::mem::take(&mut view.unreported_loads);
    let uses_changed = std::mem::take(&mut view.uses_changed);
    if servers.is_empty() && !uses_changed {
        return;
    }
    let large = view.roster.is_large(now);
    let aggregator = view.own_aggregator(&gateway.settings, now).filter(|_| large);
    let uses = match aggregator {
        _ if !uses_changed => None,
        Some(aggregator) => Some(view.report_uses(aggregator, gateway.incarnation, now)),
        None if large => None,
        None => Some(view.limiter.report(now, gateway.incarnation)),
    };
    let load = |server: ServerName| {
        let figure = view.backends.own_load(server.as_str());
        ServerLoad::of((server, figure))
    };
    let loads: Vec<ServerLoad> = servers.into_iter().map(load).collect();
    let statements = view.statements_to_report(now);
    let to = if large {
        for load in &loads {
            view.backends.mark_load_reported(load.server.as_str());
        }
        aggregator.into_iter().collect()
    } else {
        view.roster.live(now)
    };
    let update = LoadUpdate {
        vm: gateway.settings.vm.clone(),
        incarnation: gateway.incarnation,
        sequence: gateway.peers.sequence.load(Ordering::Relaxed),
        loads,
        uses,
        statements,
    };
    drop(view);
    gateway.peers.send(&PeerMessage::Loads(update), &to);
}

fn apply_loads(gateway: &Arc<Gateway>, update: &LoadUpdate) {
    let now = clock::now();
    let mut view = gateway.view();
    if !view.roster.is_current(&update.vm, update.incarnation, update.sequence) {
        return;
    }
    for load in &update.loads {
        view.backends.peer_load(&update.vm, load.server.as_str(), load.figure(), now);
    }
    let effect = view.apply_member_uses(&update.vm, update.uses.as_ref(), now);
    view.apply_reported_statements(&update.statements, now);
    drop(view);
    if let (Some(uses), Some(effect)) = (&update.uses, effect) {
        aggregate::record_report(gateway, &update.vm, uses, &effect);
    }
    gateway.peer_loads_changed.notify_waiters();
}

/// Sends this VM's state to the other VMs now.
pub(crate) fn report_state_now(gateway: &Arc<Gateway>) {
    let sequence = gateway.peers.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let now = clock::now();
    let mut view = gateway.view();
    view.roster.drop_expired(now);
    view.load_requests.drop_expired(now);
    view.drop_server_limits();
    if view.limit_uses.log(now) {
        view.log_rooms(now);
    }
    view.apply_estimates(now);
    let (reachable, known) = view.reporting_counts(gateway, now);
    view.limiter.set_reachable(now, reachable, known);
    view.update_issuer(gateway, (reachable, known), now);
    let mut to = view.roster.live(now);
    let others = sample(&to, SHARED_PEERS, &mut view.rng);
    let large = to.len() > SMALL_FLEET;
    if large {
        if !sequence.is_multiple_of(2) && !gateway.leaving() {
            return;
        }
        let first = (sequence as usize / 2 * ROTATION_SIZE) % to.len();
        to.rotate_left(first);
        to.truncate(ROTATION_SIZE);
    }
    if sequence.is_multiple_of(UNRESPONSIVE_INTERVAL) || sequence < UNRESPONSIVE_INTERVAL {
        to.extend(view.roster.unresponsive(now));
    }
    let own = gateway.settings.listen.peers;
    to.retain(|address| *address != own);
    let mut state = state_message(gateway, &view, sequence, others);
    let loads: Vec<ServerLoad> =
        view.backends.own_loads().into_iter().map(ServerLoad::of).collect();
    if !large {
        state.loads = Some(loads);
        state.uses = Some(view.limiter.report(now, gateway.incarnation));
        state.statements = view.statements_to_report(now);
        state.estimates = view.estimates.take_report();
        drop(view);
        gateway.peers.send(&PeerMessage::State(state), &to);
        return;
    }
    let aggregator = view.own_aggregator(&gateway.settings, now);
    view.backends.mark_loads_reported();
    let uses = aggregator.map(|to| view.report_uses(to, gateway.incarnation, now));
    let statements = aggregator.map(|_| view.statements_to_report(now)).unwrap_or_default();
    let estimates = aggregator.map(|_| view.estimates.take_report()).unwrap_or_default();
    drop(view);
    to.retain(|address| Some(*address) != aggregator);
    gateway.peers.send(&PeerMessage::State(state.clone()), &to);
    if let Some(aggregator) = aggregator {
        state.loads = Some(loads);
        state.uses = uses;
        state.statements = statements;
        state.estimates = estimates;
        gateway.peers.send(&PeerMessage::State(state), &[aggregator]);
    }
}

/// Sends this VM's state to all live VMs, after it started or stopped aggregating for its failure
/// domain.
pub(crate) fn report_to_all(gateway: &Arc<Gateway>) {
    let sequence = gateway.peers.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let view = gateway.view();
    let to = view.roster.live(clock::now());
    let state = state_message(gateway, &view, sequence, Vec::new());
    drop(view);
    gateway.peers.send(&PeerMessage::State(state), &to);
}

fn state_message(
    gateway: &Gateway,
    view: &SystemView,
    sequence: u64,
    others: Vec<SocketAddr>,
) -> VmState {
    VmState {
        vm: gateway.settings.vm.clone(),
        incarnation: gateway.incarnation,
        sequence,
        requests: gateway.settings.listen.requests,
        ready: view.serves(clock::now()),
        leaving: gateway.leaving(),
        config: view.table.as_ref().map_or(0, |table| table.version.0),
        store_age_ms: view.calls_store.then(|| {
            u32::try_from(clock::now().since(view.answers.last()) / 1_000).unwrap_or(u32::MAX)
        }),
        domain: gateway.settings.domain.clone(),
        can_aggregate: view.domain.eligible,
        aggregates: view.domain.role.aggregates(),
        loads: None,
        uses: None,
        statements: Vec::new(),
        others,
        estimates: ReportedEstimates::default(),
    }
}

fn sample(from: &[SocketAddr], count: usize, random: &mut Pcg64) -> Vec<SocketAddr> {
    let mut sampled = from.to_vec();
    sampled.shuffle(random);
    sampled.truncate(count);
    sampled
}

fn dispatch(gateway: &Arc<Gateway>, message: PeerMessage, from: SocketAddr) {
    match message {
        PeerMessage::State(state) => apply_state(gateway, &state, from),
        PeerMessage::Lists(lists) => apply_lists(gateway, lists),
        PeerMessage::Wish(request) => {
            let now = clock::now();
            let mut view = gateway.view();
            let in_time_until = now.plus(u64::from(request.in_time_ms) * 1_000);
            let waiting = WaitingRequests { vm: request.vm, count: request.waiting, in_time_until };
            view.order_trackers.request_load(
                &request.server,
                &request.key,
                request.version,
                waiting,
                now,
            );
            drop(view);
            order::send_next_order(gateway, &request.server);
        }
        PeerMessage::News(update) => record_updates::apply(gateway, update),
        PeerMessage::Loads(update) => apply_loads(gateway, &update),
        PeerMessage::Uses(vm, uses) => order::record_uses(gateway, &vm, &uses),
        PeerMessage::Domain(update) => aggregate::apply_update(gateway, update),
        PeerMessage::Sums(sums) => aggregate::apply_sums(gateway, &sums),
        PeerMessage::Question(question) => confirm::answer_question(gateway, question, from),
        PeerMessage::Answer(answer) => confirm::apply_answer(gateway, &answer),
        PeerMessage::PermitQuestion(question, statement) => {
            permit::answer_question(gateway, question, statement, from);
        }
        PeerMessage::PermitReply(reply) => permit::apply_reply(gateway, &reply),
        PeerMessage::Origins(streams) => origins::learn(gateway, &streams),
        PeerMessage::OriginRecords(streams) => origin_records::record(gateway, streams),
        PeerMessage::OriginQuestion(mark) => origins::answer_question(gateway, mark, from),
        PeerMessage::Crashes(report) => suspects::apply_report(gateway, &report),
    }
}

fn apply_state(gateway: &Arc<Gateway>, state: &VmState, from: SocketAddr) {
    let now = clock::now();
    let mut view = gateway.view();
    let aggregated = view.roster.is_aggregator(&state.vm);
    let change = view.roster.apply(state, from, now);
    if change == PeerChange::Old {
        return;
    }
    view.domain.role.record_contact(now);
    let changes_role = aggregated != (state.aggregates && !state.leaving);
    if changes_role {
        view.record_role(state, from, &gateway.settings.domain, now);
    }
    for other in &state.others {
        view.roster.hint(*other);
    }
    if matches!(change, PeerChange::Appeared | PeerChange::Restarted) {
        view.backends.report_again();
        view.crashes.report_again();
    }
    if let Some(loads) = &state.loads {
        // The VM has no requests at servers that the message does not name.
        view.backends.remove_peer(&state.vm);
        for load in loads {
            view.backends.peer_load(&state.vm, load.server.as_str(), load.figure(), now);
        }
    }
    let effect = view.apply_member_uses(&state.vm, state.uses.as_ref(), now);
    let pass_on = view.domain.role.aggregates();
    if pass_on || !view.roster.is_large(now) {
        view.estimates.apply_report(&state.estimates, pass_on, now);
    }
    view.apply_reported_statements(&state.statements, now);
    let own = view.table.as_ref().map_or(0, |table| table.version.0);
    let appeared = matches!(change, PeerChange::Appeared | PeerChange::Restarted);
    // A VM that has just started knows few others, and would take itself for an issuer of permits. VMs that start with
    // it do not answer: that would be a message for each two of a fleet.
    if appeared && now.since(gateway.started) >= ANSWERS_STARTS_US {
        let sequence = gateway.peers.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let own_state = state_message(gateway, &view, sequence, Vec::new());
        gateway.peers.send(&PeerMessage::State(own_state), &[from]);
    }
    drop(view);
    if let (Some(uses), Some(effect)) = (&state.uses, effect) {
        aggregate::record_report(gateway, &state.vm, uses, &effect);
    }
    if changes_role {
        gateway.loads_changed.notify_one();
    }
    match change {
        PeerChange::Appeared => event!(MemberJoined, vm = state.vm, address = from),
        PeerChange::Restarted => event!(MemberJoined, vm = state.vm, address = from, again = true),
        PeerChange::Leaving => event!(MemberLeaving, vm = state.vm),
        PeerChange::Nothing | PeerChange::Old => {}
    }
    if state.config > own {
        gateway.config_behind.notify_waiters();
    }
}

impl SystemView {
    fn apply_member_uses(
        &mut self,
        vm: &VmName,
        uses: Option<&UsageReport>,
        now: TimePoint,
    ) -> Option<ReportEffect> {
        uses.map(|uses| self.limiter.apply_member_report(now, vm, uses))
    }

    /// Records that another VM began or ended to aggregate. The VMs of its domain report to a new
    /// aggregator at once, so that its first update includes what they used.
    fn record_role(
        &mut self,
        state: &VmState,
        from: SocketAddr,
        domain: &DomainName,
        now: TimePoint,
    ) {
        self.domain.recipients.forget(&from);
        if !state.aggregates || state.leaving {
            self.domain.role.record_end(&state.vm);
        } else if state.domain == *domain {
            self.domain.role.record_update(&state.vm, now);
            self.uses_changed = true;
        }
    }
}

/// Applies lists of what servers hold, from a server's owner or from an aggregator.
pub(crate) fn apply_lists(gateway: &Arc<Gateway>, lists: ServerLists) {
    let now = clock::now();
    let mut view = gateway.view();
    let (mut changed, mut awaited) = (false, false);
    for change in lists.lists {
        let requested =
            change.adapters.iter().any(|adapter| view.load_requests.is_open(&adapter.key));
        let (server, incarnation) = (change.server.clone(), change.incarnation);
        if view.backends.start_incarnation(server.as_str(), incarnation, &[], now) {
            event!(ServerRestarted, server = server, born = incarnation, told_by = "vm");
            view.server_restarted(&server, now);
        }
        if view.backends.change(change, now) {
            changed = true;
            awaited |= requested;
        }
    }
    if changed {
        view.domain.shorter |= lists.shorter;
        view.times.apply_report(ReportedTimes {
            alone_us: u64::from(lists.load_us),
            each_us: u64::from(lists.each_us),
            is_shortened: lists.shorter,
        });
    }
    drop(view);
    // Hundreds of lists may arrive in a second: waiting requests are notified only of adapters
    // that were requested here.
    if awaited {
        gateway.changed.notify_waiters();
    }
}

fn send_uses(gateway: &Arc<Gateway>) {
    let now = clock::now();
    let mut view = gateway.view();
    let uses = view.uses.take();
    let mut by_owner: Vec<(SocketAddr, Vec<AdapterUse>)> = Vec::new();
    let mut own = Vec::new();
    for used in uses {
        let owner = view.backends.owner(used.server.as_str(), now);
        let Some(owner) = owner else { continue };
        if owner.vm == gateway.settings.vm {
            own.push(used);
            continue;
        }
        let Some(address) = view.roster.address(&owner.vm) else { continue };
        match by_owner.iter_mut().find(|(other, _)| *other == address) {
            Some((_, list)) => list.push(used),
            None => by_owner.push((address, vec![used])),
        }
    }
    drop(view);
    let vm = &gateway.settings.vm;
    order::record_uses(gateway, vm, &own);
    for (address, uses) in by_owner {
        gateway.peers.send(&PeerMessage::Uses(vm.clone(), uses), &[address]);
    }
}

/// Reports the use of an adapter at a server to the server's owner, without waiting for the next
/// batch.
pub(crate) fn report_use(
    gateway: &Arc<Gateway>,
    server: &ServerName,
    incarnation: u64,
    key: &AdapterKey,
) {
    let now = clock::now();
    let mut view = gateway.view();
    let Some(owner) = view.backends.owner(server.as_str(), now).cloned() else { return };
    let used = view.uses.take_one(server, incarnation, key);
    let address = view.roster.address(&owner.vm);
    drop(view);
    let vm = &gateway.settings.vm;
    if owner.vm == *vm {
        order::record_uses(gateway, vm, &[used]);
    } else if let Some(address) = address {
        gateway.peers.send(&PeerMessage::Uses(vm.clone(), vec![used]), &[address]);
    }
}
