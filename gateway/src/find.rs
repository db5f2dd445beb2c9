//! Finds a server for a request, and has its adapter loaded if need be.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::choice::{ServerChoice, ServerRequirements, longest_wait};
use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::routing::{AdapterKey, ModelNeed};
use coltsfoothook_telemetry::event;
use tokio::sync::futures::Notified;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::message::{AdapterWish, PeerMessage};
use crate::order;
use crate::run::RequestRun;
use crate::state::{Beliefs, Gateway};
use crate::waits::WaitNote;
use crate::wish::WishStep;

/// Less time than this is not worth a send: it goes by on the way.
pub(crate) const LEAST_LEFT: Duration = Duration::from_millis(10);
/// How long a waiting request sleeps at most before it looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(60);
/// The part of a request's target for which it is held back so that streams do not pause. Beyond it the
/// request itself would be late.
const HOLD_PART: f64 = 0.5;
/// A server that has read a prompt has room for one request, and every VM that holds one hears of it at
/// about the same time. Each waits for a random part of this, in microseconds, so that the first one's
/// word arrives before the others look: it takes one or two milliseconds.
const TURN_US: u64 = 10_000;
/// How long a request whose service has no server that takes it waits for one: entries of servers
/// are read every 600 ms, so one that just came is known within it.
const NOWHERE_WAIT: Duration = Duration::from_millis(700);

/// Finds a server that can run the request, waiting for its adapter if need be, and for a server that has
/// room for its prompt.
pub(crate) async fn find_server(run: &mut RequestRun) -> Result<ServerName, &'static str> {
    let gateway = Arc::clone(&run.gateway);
    let from = clock::now();
    let patience = longest_wait(run.left().min(run.request.route.silence()));
    let longest_hold = run.request.route.target.mul_f64(HOLD_PART);
    let (held_before, mut nowhere_from) = (run.held, None);
    // Counts it among those that wait for its adapter, for as long as it looks for a server.
    let mut waiting = None;
    let found = loop {
        let changed = gateway.changed.notified();
        let (own_read, others_read) = (gateway.own_read.notified(), gateway.others_read.notified());
        let now = clock::now();
        let waited = Duration::from_micros(now.since(from));
        if run.left() < LEAST_LEFT {
            break Err("deadline");
        }
        let (choice, wish) = choose(run, waited < longest_hold, now);
        if let Some((key, version, server)) = wish {
            if matches!(choice, ServerChoice::Load { .. }) {
                waiting.get_or_insert_with(|| WaitNote::new(&gateway, &key, run.in_time_until()));
            }
            ask_for(&gateway, &key, version, &server, now);
        }
        let pause = match choice {
            ServerChoice::Send { server, .. } => break Ok(server),
            ServerChoice::Hold { until, .. } => {
                hold(run, until, own_read, others_read).await;
                continue;
            }
            ServerChoice::Wait { until } => Duration::from_micros(until.since(now)),
            ServerChoice::Load { .. } => LOOK_AGAIN,
            ServerChoice::Unavailable if let Some(orders_in) = nobody_orders(run, now) => {
                if waited + orders_in > patience {
                    run.come_back = Some(orders_in);
                    break Err("nobody_orders");
                }
                LOOK_AGAIN
            }
            ServerChoice::Unavailable if is_over(&mut nowhere_from, now) => break Err("no_server"),
            ServerChoice::Unavailable => LOOK_AGAIN,
        };
        if waited > patience {
            break Err("adapter_wait");
        }
        // A millisecond more than asked: timers may be early by a part of one.
        let _ = timeout(pause.min(LOOK_AGAIN) + Duration::from_millis(1), changed).await;
    };
    let waited = Duration::from_micros(clock::now().since(from));
    run.stall += waited.saturating_sub(run.held - held_before);
    found
}

/// How long nobody may order servers yet, if a request waits for that: all shares were dealt anew, as after all
/// VMs lost power. Its adapter can be loaded afterwards alone; refused without that time, callers came back
/// after 0.4 s, long before, and were refused again.
fn nobody_orders(run: &RequestRun, now: TimePoint) -> Option<Duration> {
    run.request.head.need.as_ref()?.adapter.as_ref()?;
    let first = run.gateway.beliefs().tenure.first_active(now)?;
    Some(Duration::from_micros(first.since(now)))
}

/// Whether no server took the request for so long that none will.
fn is_over(nowhere_from: &mut Option<TimePoint>, now: TimePoint) -> bool {
    let since = *nowhere_from.get_or_insert(now);
    Duration::from_micros(now.since(since)) > NOWHERE_WAIT
}

/// Holds a request back until a server may have room for its prompt.
///
/// The VM whose own prompt was read looks at once, since its news of that are not out yet. The others hear
/// of it at about the same time, and look after a random part of [`TURN_US`].
async fn hold(
    run: &mut RequestRun,
    until: TimePoint,
    own_read: Notified<'_>,
    others_read: Notified<'_>,
) {
    let from = clock::now();
    if run.held.is_zero() {
        let wait_ms = until.since(from) / 1_000;
        event!(RequestHeld, request_id = run.request.head.id, wait_ms = wait_ms);
    }
    let pause = Duration::from_micros(until.since(from)).min(LOOK_AGAIN);
    let turn = Duration::from_micros(run.gateway.beliefs().draw() % TURN_US);
    tokio::select! {
        _ = timeout(pause + Duration::from_millis(1), others_read) => sleep(turn).await,
        () = own_read => {}
    }
    run.held += Duration::from_micros(clock::now().since(from));
}

/// Chooses a server, and an adapter that should be loaded somewhere.
fn choose(
    run: &RequestRun,
    may_hold: bool,
    now: TimePoint,
) -> (ServerChoice, Option<(AdapterKey, u64, ServerName)>) {
    let mut beliefs = run.gateway.beliefs();
    let draw = beliefs.draw();
    let need = run.request.head.need.as_ref();
    let key = need.and_then(|need| need.adapter.as_ref());
    let (oldest, newest) = key.map_or((0, 0), |key| beliefs.usable_versions(run, key, now));
    let not = run.avoided.clone();
    let domain = &run.gateway.settings.domain;
    let gap = beliefs.table.as_ref().and_then(|table| table.least_gap(&run.request.service));
    let server_need = |not, version| ServerRequirements {
        service: &run.request.service,
        model: need.map(|need| &need.model),
        adapter: key.map(|key| (key, version)),
        not,
        domain,
        shared: need.map(ModelNeed::shared).unwrap_or_default(),
        prompt: run.prompt_tokens(),
        gap: gap.filter(|_| may_hold),
    };
    let choice = beliefs.backends.choose(&server_need(&not, oldest), draw, now);
    let Some(key) = key else { return (choice, None) };
    match &choice {
        ServerChoice::Send { copy: Some(server), .. }
        | ServerChoice::Hold { copy: Some(server), .. } => {
            let wish = (key.clone(), newest, server.clone());
            (choice, Some(wish))
        }
        ServerChoice::Send { copy: None, .. } if oldest < newest => {
            // Served on the version before while the new one is loaded elsewhere.
            let ahead = beliefs.backends.choose(&server_need(&not, newest), draw, now);
            let wish = match ahead {
                ServerChoice::Load { server } => Some((key.clone(), newest, server)),
                _ => None,
            };
            (choice, wish)
        }
        ServerChoice::Load { server } => {
            let mut server = server.clone();
            // While the store is crowded a wish waits for its turn there, whichever server it names.
            if !beliefs.forecast(now).is_crowded()
                && let Some(slow) = beliefs.wishes.overdue(key, now)
            {
                let elsewhere = [not.as_slice(), std::slice::from_ref(&slow)].concat();
                let other = beliefs.backends.choose(&server_need(&elsewhere, oldest), draw, now);
                server = beliefs.backends.load_elsewhere(slow, &other, now);
            }
            (ServerChoice::Load { server: server.clone() }, Some((key.clone(), newest, server)))
        }
        _ => (choice, None),
    }
}

/// The part of the time for a new version in which the one before is still used.
const OLD_VERSION_PART: f64 = 0.5;

impl Beliefs {
    /// The oldest version of an adapter that a request may run on, and the newest that was named.
    fn usable_versions(&self, run: &RequestRun, key: &AdapterKey, now: TimePoint) -> (u64, u64) {
        let Some(named) = self.named(key) else { return (1, 1) };
        let allowed = run.gateway.settings.promises.version_ms as f64 * OLD_VERSION_PART;
        let young = now.since(named.at) < (allowed * 1_000.0) as u64;
        let oldest = if young && named.before > 0 { named.before } else { named.version };
        (oldest, named.version)
    }
}

/// Asks the VM that orders a server to load an adapter there.
fn ask_for(
    gateway: &Arc<Gateway>,
    key: &AdapterKey,
    version: u64,
    server: &ServerName,
    now: TimePoint,
) {
    let mut beliefs = gateway.beliefs();
    let step = beliefs.wishes.ask(key, server, now);
    let WishStep::Send(server) = step else { return };
    let Some(owner) = beliefs.backends.owner(server.as_str(), now).cloned() else { return };
    let own = owner.vm == gateway.settings.vm;
    let waiting = beliefs.waits.of(&gateway.settings.vm, key);
    let address = beliefs.roster.address(&owner.vm);
    if own {
        beliefs.books.wish(&server, key, version, waiting.clone(), now);
    }
    drop(beliefs);
    event!(
        AdapterAsked,
        adapter = key.adapter,
        version = version,
        server = server,
        owner = owner.vm
    );
    if own {
        order::drive(gateway, &server);
    } else if let Some(address) = address {
        let in_time_ms = (waiting.in_time_until.since(now) / 1_000) as u32;
        let wish = AdapterWish {
            server,
            key: key.clone(),
            version,
            vm: waiting.vm,
            waiting: waiting.count,
            in_time_ms,
        };
        gateway.peers.send(&PeerMessage::Wish(wish), &[address]);
    }
}
