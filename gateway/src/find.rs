//! Selects a server for a request and requests the load of its adapter where needed.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::backend::BackendState;
use coltsfoothook_decision::choice::{ServerChoice, ServerRequirements, max_wait};
use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::permit::REPLY_TIMEOUT_US;
use coltsfoothook_decision::room_issuer::FIRST_HEARD_US;
use coltsfoothook_decision::routing::{AdapterKey, ModelNeed};
use coltsfoothook_telemetry::event;
use tokio::sync::futures::Notified;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::load_request::{LoadSubject, RequestStep};
use crate::message::{LoadRequest, PeerMessage};
use crate::order;
use crate::permit;
use crate::room::RoomTicket;
use crate::run::RequestRun;
use crate::state::{Gateway, SystemView};
use crate::statement::ClosedReason;
use crate::waits::WaitGuard;

/// A request with less time left than this is not sent: the time would be used up in transit.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(10);
/// Maximum time until a waiting request chooses a server again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(60);
/// The fraction of a request's target for which it may be held back so that streams at the server
/// do not pause. Held for longer, the request itself would be late.
const MAX_HOLD_FRACTION: f64 = 0.5;
/// Upper bound of the random delay, in microseconds, before a held request chooses again after
/// another VM reported its counts. If that VM's prompt was read, the server has room for one
/// request, and all VMs that hold one are notified at about the same time. The delay lets the load
/// report of the first VM that sends arrive at the others, which takes one or two milliseconds.
const HOLD_JITTER_US: u64 = 10_000;
/// The reason of requests that find no server as this VM reaches none.
pub(crate) const NO_LINKS: &str = "no_links";
/// How long a request waits while no server of its service accepts it. Readers poll the servers'
/// entries every 600 ms, so that a newly registered server is known within this time.
const NO_SERVER_TIMEOUT: Duration = Duration::from_millis(700);

/// Fraction of a request's target for which it waits while all servers rest or are at their limits.
/// One that would wait for longer is refused at once, so that its caller can return in time.
const CLOSED_WAIT_FRACTION: f64 = 0.25;

/// How long a request waits for a first answer of its service, where this VM has just started.
const UNKNOWN_WAIT: Duration = Duration::from_micros(FIRST_HEARD_US + 200_000);

/// Returns a server that can run the request, or the reason for which there is none.
///
/// Waits for the request's adapter to be loaded, and for a server that has room for its prompt.
pub(crate) async fn find_server(run: &mut RequestRun) -> Result<ServerName, &'static str> {
    let gateway = Arc::clone(&run.gateway);
    let from = clock::now();
    let max_wait = max_wait(run.left().min(run.request.route.idle_timeout()));
    let max_hold = run.request.route.target.mul_f64(MAX_HOLD_FRACTION);
    let max_known_wait = run.request.route.target.mul_f64(CLOSED_WAIT_FRACTION);
    let (held_before, mut unserved_from) = (run.held, None);
    let (mut counted_closed, mut closed_from) = (false, None);
    // Counts the request among those that wait for its adapter until a server is found.
    let mut waiting = None;
    let found = loop {
        let changed = gateway.changed.notified();
        let (own_prompt_read, peer_loads_changed) =
            (gateway.own_prompt_read.notified(), gateway.peer_loads_changed.notified());
        let now = clock::now();
        let waited = Duration::from_micros(now.since(from));
        if run.left() < MIN_TIME_LEFT {
            break Err("deadline");
        }
        if gateway.view().links.are_cut() {
            break Err(NO_LINKS);
        }
        let max_closed_wait = if gateway.view().backends.knows_service(&run.request.service) {
            max_known_wait
        } else {
            max_known_wait.max(UNKNOWN_WAIT)
        };
        let may_ask = closed_for(closed_from, now) < max_closed_wait;
        let PreparedChoice { choice, load_request, closed, asks, room } =
            choose(run, waited < max_hold, may_ask, now);
        // The time for which an adapter is loaded is not spent waiting for a server to open.
        let is_closed = asks || closed.is_some() && choice == ServerChoice::Unavailable;
        if is_closed {
            closed_from.get_or_insert(now);
        }
        // The permit of a request that is sent goes with its ticket.
        if !matches!(choice, ServerChoice::Send { .. }) {
            let until = closed_from.unwrap_or(now).plus(max_closed_wait.as_micros() as u64);
            wait_for_place(run, room, until);
        }
        if asks {
            permit::ask(&gateway);
        }
        if let Some(reason) = closed
            && !std::mem::replace(&mut counted_closed, true)
        {
            gateway.metrics.closed(reason.name);
        }
        if let Some((key, version, server)) = load_request {
            if matches!(choice, ServerChoice::Load { .. }) {
                waiting.get_or_insert_with(|| WaitGuard::new(&gateway, &key, run.in_time_until()));
            }
            request_load(&gateway, &load_subject(run, &key), version, &server, now);
        }
        let delay = match choice {
            ServerChoice::Send { server, .. } => break Ok(server),
            ServerChoice::Hold { until, .. } => {
                hold(run, until, own_prompt_read, peer_loads_changed).await;
                continue;
            }
            ServerChoice::Wait { until } => Duration::from_micros(until.since(now)),
            ServerChoice::Load { .. } => RECHECK_INTERVAL,
            ServerChoice::Unavailable if let Some(reason) = closed => {
                if closed_for(closed_from, now) + reason.wait > max_closed_wait {
                    run.retry_after = Some(reason.retry_after);
                    break Err(reason.name);
                }
                reason.wait
            }
            ServerChoice::Unavailable if let Some(orders_after) = time_until_orders(run, now) => {
                if waited + orders_after > max_wait {
                    run.retry_after = Some(orders_after);
                    break Err("nobody_orders");
                }
                RECHECK_INTERVAL
            }
            ServerChoice::Unavailable if timed_out(&mut unserved_from, now) => {
                break Err("no_server");
            }
            ServerChoice::Unavailable => RECHECK_INTERVAL,
        };
        if waited > max_wait {
            break Err("adapter_wait");
        }
        // One millisecond is added because timers may fire up to a millisecond early.
        let delay = delay.min(RECHECK_INTERVAL) + Duration::from_millis(1);
        let _ = timeout(delay, may_go_on(run.ticket.as_ref(), changed)).await;
    };
    if found.is_err() {
        run.ticket = None;
    }
    let waited = Duration::from_micros(clock::now().since(from));
    run.stall += waited.saturating_sub(run.held - held_before);
    found
}

/// Returns for how long a request has waited for a server to open.
fn closed_for(closed_from: Option<TimePoint>, now: TimePoint) -> Duration {
    closed_from.map_or(Duration::ZERO, |from| Duration::from_micros(now.since(from)))
}

/// Waits until something changed, or until a request that waits for a place may go on.
async fn may_go_on(ticket: Option<&RoomTicket>, changed: Notified<'_>) {
    let Some(ticket) = ticket else { return changed.await };
    tokio::select! {
        () = changed => {}
        () = ticket.ready() => {}
    }
}

/// Lets the request wait for a place at `room`, or no longer if that is `None`. One that waits there
/// keeps its turn.
fn wait_for_place(run: &mut RequestRun, room: Option<ServerName>, until: TimePoint) {
    if run.ticket.as_ref().map(RoomTicket::server) == room.as_ref() {
        return;
    }
    run.ticket = None;
    run.ticket = room.map(|server| RoomTicket::new(&run.gateway, &server, until));
}

/// Returns the time until this VM may send orders, if it holds partitions but none is active yet
/// and the request needs an adapter.
///
/// This happens after all partitions were reassigned, for example when all VMs had lost power.
/// Until then no adapter can be loaded, so the time goes into `Retry-After`: without it callers came
/// back after 0.4 s, long before, and were refused again.
fn time_until_orders(run: &RequestRun, now: TimePoint) -> Option<Duration> {
    run.request.head.need.as_ref()?.adapter.as_ref()?;
    let first = run.gateway.view().lease.first_active(now)?;
    Some(Duration::from_micros(first.since(now)))
}

/// Returns whether no server accepted the request for longer than [`NO_SERVER_TIMEOUT`]. The first
/// call starts the timer.
fn timed_out(unserved_from: &mut Option<TimePoint>, now: TimePoint) -> bool {
    let since = *unserved_from.get_or_insert(now);
    Duration::from_micros(now.since(since)) > NO_SERVER_TIMEOUT
}

/// Holds a request back until a server may have room for its prompt.
///
/// When a server has read a prompt sent by this VM, the request chooses at once: other VMs have not
/// received the load report yet. When another VM reports its counts or the time has passed, the
/// request first waits for a random part of [`HOLD_JITTER_US`].
async fn hold(
    run: &mut RequestRun,
    until: TimePoint,
    own_prompt_read: Notified<'_>,
    peer_loads_changed: Notified<'_>,
) {
    let from = clock::now();
    if run.held.is_zero() {
        let wait_ms = until.since(from) / 1_000;
        event!(RequestHeld, request_id = run.request.head.id, wait_ms = wait_ms);
    }
    let delay = Duration::from_micros(until.since(from)).min(RECHECK_INTERVAL);
    let jitter = Duration::from_micros(run.gateway.view().random() % HOLD_JITTER_US);
    tokio::select! {
        _ = timeout(delay + Duration::from_millis(1), peer_loads_changed) => sleep(jitter).await,
        () = own_prompt_read => {}
    }
    run.held += Duration::from_micros(clock::now().since(from));
}

/// A choice for a request.
struct PreparedChoice {
    choice: ServerChoice,
    /// An adapter that should be loaded, its version, and the server at which to load it.
    load_request: Option<(AdapterKey, u64, ServerName)>,
    /// Why the first server to open again of those that are closed is closed; `None` if none is.
    closed: Option<ClosedReason>,
    /// Whether a permit is wanted for a server with a limit.
    asks: bool,
    /// The server at which the request waits for a place.
    room: Option<ServerName>,
}

/// Returns what the request requires of its server.
fn server_requirements<'a>(
    run: &'a RequestRun,
    excluded: &'a [ServerName],
    version: u64,
    gap: Option<Duration>,
) -> ServerRequirements<'a> {
    let need = run.request.head.need.as_ref();
    let key = need.and_then(|need| need.adapter.as_ref());
    ServerRequirements {
        service: &run.request.service,
        model: need.map(|need| &need.model),
        adapter: key.map(|key| (key, version)),
        software: run.origin.as_ref().map(|origin| &origin.software),
        excluded,
        domain: &run.gateway.settings.domain,
        shared: need.map(ModelNeed::shared).unwrap_or_default(),
        prompt: run.prompt_tokens(),
        gap,
    }
}

/// Returns a second server for a request that waits for the answer of its first one. It has a free slot, holds the
/// adapter, and needs no permit that other requests wait for.
pub(crate) fn choose_second(run: &RequestRun, now: TimePoint) -> Option<ServerName> {
    let mut view = run.gateway.view();
    let draw = view.random();
    let service = &run.request.service;
    let key = run.request.head.need.as_ref().and_then(|need| need.adapter.as_ref());
    let oldest = key.map_or(0, |key| view.usable_versions(key, now).0);
    let closed = view.closed_servers(service, &run.avoided, true, None, now);
    let mut excluded =
        [run.avoided.as_slice(), &closed.closed, &closed.pending, &closed.scarce].concat();
    excluded.extend(run.server.clone());
    excluded.extend(view.backends.without_free_slot(service, now));
    let gap = view.table.as_ref().and_then(|table| table.min_gap(service));
    match view.backends.choose(&server_requirements(run, &excluded, oldest, gap), draw, now) {
        ServerChoice::Send { server, .. } => Some(server),
        _ => None,
    }
}

/// Chooses a server for the request.
fn choose(run: &RequestRun, may_hold: bool, may_ask: bool, now: TimePoint) -> PreparedChoice {
    let mut view = run.gateway.view();
    let draw = view.random();
    let need = run.request.head.need.as_ref();
    let key = need.and_then(|need| need.adapter.as_ref());
    let (oldest, newest) = key.map_or((0, 0), |key| view.usable_versions(key, now));
    let place = run.ticket.as_ref().map(RoomTicket::place);
    let closed = view.closed_servers(&run.request.service, &run.avoided, may_ask, place, now);
    let open = [run.avoided.as_slice(), closed.closed.as_slice()].concat();
    let excluded = [open.as_slice(), closed.pending.as_slice()].concat();
    let sparing = [excluded.as_slice(), closed.scarce.as_slice()].concat();
    let gap = view.table.as_ref().and_then(|table| table.min_gap(&run.request.service));
    let gap = gap.filter(|_| may_hold);
    let requirements = |excluded, version| server_requirements(run, excluded, version, gap);
    let mut choice = view.backends.choose(&requirements(&excluded, oldest), draw, now);
    if !closed.scarce.is_empty() {
        let other = view.backends.choose(&requirements(&sparing, oldest), draw, now);
        if view.backends.sends_to_available(&other, now) {
            choice = other;
        }
    }
    // A request that another server can take at once goes there; the permit is for a later one.
    let (mut asks, mut room) = (false, None);
    if let Some(server) = closed.opened(place) {
        choice = ServerChoice::Send { server, copy: None };
    } else if !closed.pending.is_empty()
        && let Some(server) = closed.kept_room(place).or_else(|| {
            match view.backends.choose(&requirements(&open, oldest), draw, now) {
                ServerChoice::Send { server, .. } => Some(server),
                // What has to come first, such as a load of its adapter, needs no permit.
                other if choice == ServerChoice::Unavailable => {
                    choice = other;
                    None
                }
                _ => None,
            }
        })
        && closed.pending.contains(&server)
        && let Some(start) = view.backends.get(server.as_str()).map(BackendState::start)
    {
        let needed = !view.backends.sends_to_available(&choice, now);
        let has_room = closed.rooms.contains(&server);
        asks = needed || !has_room;
        if !has_room {
            view.permits.want(now, &start, needed);
        }
        if needed {
            room = has_room.then_some(server);
            choice = ServerChoice::Wait { until: now.plus(REPLY_TIMEOUT_US) };
        }
    }
    let prepared = |choice, load_request| PreparedChoice {
        choice,
        load_request,
        closed: closed.reason,
        asks,
        room: room.clone(),
    };
    let Some(key) = key else { return prepared(choice, None) };
    // The few that go on with a stream say nothing about how many copies an adapter is worth.
    let is_new = run.origin.is_none();
    match &choice {
        ServerChoice::Send { copy: Some(server), .. }
        | ServerChoice::Hold { copy: Some(server), .. }
            if is_new =>
        {
            let load_request = (key.clone(), newest, server.clone());
            prepared(choice, Some(load_request))
        }
        ServerChoice::Send { copy: None, .. } if oldest < newest && is_new => {
            // The request runs on the previous version while the new one is loaded at another
            // server.
            let newer_choice = view.backends.choose(&requirements(&excluded, newest), draw, now);
            let load_request = match newer_choice {
                ServerChoice::Load { server } => Some((key.clone(), newest, server)),
                _ => None,
            };
            prepared(choice, load_request)
        }
        ServerChoice::Load { server } => {
            let mut server = server.clone();
            // While the weight store is saturated, a load waits for the store whichever server it
            // is for, so that no other server is tried.
            if !view.forecast(now).is_saturated()
                && let Some(slow) = view.load_requests.overdue(&load_subject(run, key), now)
            {
                let excluded = [excluded.as_slice(), std::slice::from_ref(&slow)].concat();
                let other = view.backends.choose(&requirements(&excluded, oldest), draw, now);
                server = view.backends.load_elsewhere(slow, &other, now);
            }
            let load_request = (key.clone(), newest, server.clone());
            prepared(ServerChoice::Load { server }, Some(load_request))
        }
        _ => prepared(choice, None),
    }
}

impl SystemView {
    /// Returns the oldest version of an adapter that a request may run on, and the newest that the
    /// operators named. Both are 1 if none was named.
    fn usable_versions(&self, key: &AdapterKey, now: TimePoint) -> (u64, u64) {
        let named = self.named(key);
        named.map_or((1, 1), |named| (named.oldest(self.old_version_us, now), named.newest()))
    }
}

/// Returns what is to be loaded for a request: an adapter, at any server that the request may run at.
fn load_subject(run: &RequestRun, key: &AdapterKey) -> LoadSubject {
    let software = run.origin.as_ref().map(|origin| origin.software.clone());
    LoadSubject { key: key.clone(), software }
}

/// Sends a load request for an adapter to the server's owner, unless one was sent shortly before.
/// If this VM is the owner, the request goes to its own order tracker.
fn request_load(
    gateway: &Arc<Gateway>,
    subject: &LoadSubject,
    version: u64,
    server: &ServerName,
    now: TimePoint,
) {
    let key = &subject.key;
    let mut view = gateway.view();
    let step = view.load_requests.request(subject, server, now);
    let RequestStep::Send(server) = step else { return };
    let Some(owner) = view.backends.owner(server.as_str(), now).cloned() else { return };
    let own = owner.vm == gateway.settings.vm;
    let waiting = view.waits.of(&gateway.settings.vm, key);
    let address = view.roster.address(&owner.vm);
    if own {
        view.order_trackers.request_load(&server, key, version, waiting.clone(), now);
    }
    drop(view);
    event!(
        AdapterAsked,
        adapter = key.adapter,
        version = version,
        server = server,
        owner = owner.vm
    );
    if own {
        order::send_next_order(gateway, &server);
    } else if let Some(address) = address {
        let in_time_ms = (waiting.in_time_until.since(now) / 1_000) as u32;
        let load_request = LoadRequest {
            server,
            key: key.clone(),
            version,
            vm: waiting.vm,
            waiting: waiting.count,
            in_time_ms,
        };
        gateway.peers.send(&PeerMessage::Wish(load_request), &[address]);
    }
}
