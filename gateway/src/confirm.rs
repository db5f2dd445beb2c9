//! Confirmation that the configuration in force is the newest.
//!
//! VMs that read the operators' records derive it from the store's answers. The others query them,
//! since queries of each VM to the store would be most of the calls to it. docs/KEYS.md describes
//! what depends on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::freshness::ConfirmationNeed;
use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_telemetry::event;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::follow::READERS;
use crate::message::{ConfirmationAnswer, ConfirmationQuestion, PeerMessage};
use crate::state::Gateway;

/// Interval of the check whether a confirmation is needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the queries of a VM that has just started.
const START_QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Number of VMs that are queried in addition to the readers, once these have not answered.
const URGENT_QUERIED: usize = 3;
/// How long a request with an unknown key waits for the store's answer, which takes some
/// milliseconds or, while the store is slow, some hundred.
const UNKNOWN_KEY_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum interval of queries to the store for unknown keys, so that a flood of them costs a few
/// calls a second.
const UNKNOWN_KEY_INTERVAL: Duration = Duration::from_millis(250);

/// Runs for ever, querying other VMs whenever the last confirmation gets old.
pub(crate) async fn keep_confirmed(gateway: Arc<Gateway>) {
    let mut valid = true;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        query_peers(&gateway, now);
        let view = gateway.view();
        let is_valid = view.confirmation.is_valid(now);
        let age_ms = view.confirmation.age(now).map(|age| age.as_millis());
        let needed = view.has_customers();
        drop(view);
        if needed && is_valid != valid {
            event!(ConfigConfirmed, valid = is_valid, age_ms? = age_ms);
        }
        valid = is_valid;
    }
}

fn query_peers(gateway: &Gateway, now: TimePoint) {
    let mut view = gateway.view();
    let need = view.confirmation.need(now);
    if !view.has_customers() || need == ConfirmationNeed::None {
        return;
    }
    let readers = view.roster.readers(READERS, now);
    let mut to: Vec<SocketAddr> = match need {
        ConfirmationNeed::Urgent => readers,
        _ => readers.choose(&mut view.rng).copied().into_iter().collect(),
    };
    if need == ConfirmationNeed::Urgent {
        let mut others = view.roster.live(now);
        others.shuffle(&mut view.rng);
        to.extend(others.into_iter().take(URGENT_QUERIED));
        to.sort_unstable();
        to.dedup();
    }
    drop(view);
    let question = ConfirmationQuestion { incarnation: gateway.incarnation, asked: now };
    gateway.peers.send(&PeerMessage::Question(question), &to);
}

/// Waits, at a VM with keys that has just started, until another VM confirms its configuration or
/// was heard. The store alone does not: it may have come back from a copy that is older. Returns
/// whether the store should be polled at once, since another VM was heard that did not confirm.
pub(crate) async fn wait_at_start(gateway: &Gateway) -> bool {
    let mut waited = false;
    while let Some(to) = unheard_peers(gateway) {
        waited = true;
        let question =
            ConfirmationQuestion { incarnation: gateway.incarnation, asked: clock::now() };
        gateway.peers.send(&PeerMessage::Question(question), &to);
        let _ = timeout(START_QUERY_INTERVAL, gateway.confirmed.notified()).await;
    }
    waited && !gateway.view().confirmation.is_valid(clock::now())
}

/// Returns the addresses to query; `None` if the VM need not wait for another one.
fn unheard_peers(gateway: &Gateway) -> Option<Vec<SocketAddr>> {
    let now = clock::now();
    let view = gateway.view();
    let waits = view.has_customers()
        && !view.confirmation.is_valid(now)
        && view.may_hear_first(gateway, now);
    waits.then(|| view.roster.unresponsive(now))
}

/// Answers another VM's query with this VM's configuration version and the age of its confirmation;
/// sends nothing if it was never confirmed.
pub(crate) fn answer_question(gateway: &Gateway, question: ConfirmationQuestion, from: SocketAddr) {
    let view = gateway.view();
    let Some(age) = view.confirmation.age(clock::now()) else { return };
    let config = view.table.as_ref().map_or(0, |table| table.version.0);
    drop(view);
    // Rounded up: a confirmation must not get younger by being forwarded.
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX).saturating_add(1);
    let answer = ConfirmationAnswer { question, config, age_ms };
    gateway.peers.send(&PeerMessage::Answer(answer), &[from]);
}

/// Applies another VM's answer.
pub(crate) fn apply_answer(gateway: &Gateway, answer: &ConfirmationAnswer) {
    let now = clock::now();
    if answer.question.incarnation != gateway.incarnation {
        return;
    }
    let mut view = gateway.view();
    let own = view.table.as_ref().map_or(0, |table| table.version.0);
    if answer.config == own {
        let age = Duration::from_millis(answer.age_ms);
        view.confirmation.confirmed_by_peer(answer.question.asked, age, now);
    }
    drop(view);
    if answer.config > own {
        gateway.config_behind.notify_waiters();
    } else {
        gateway.confirmed.notify_waiters();
    }
}

/// Has the store queried whether there is a configuration newer than the one that was in force at
/// `moment`. Returns whether it is confirmed within [`UNKNOWN_KEY_TIMEOUT`] that there is none, or
/// that the one now in force is the newest.
pub(crate) async fn confirm_since(gateway: &Gateway, moment: TimePoint) -> bool {
    let wait = async {
        loop {
            let confirmed = gateway.confirmed.notified();
            if gateway.view().confirmation.covers(moment) {
                return;
            }
            let pause = request_query(gateway, clock::now());
            let _ = timeout(pause, confirmed).await;
        }
    };
    timeout(UNKNOWN_KEY_TIMEOUT, wait).await.is_ok()
}

/// Requests a query to the store, unless one was requested within [`UNKNOWN_KEY_INTERVAL`]. Returns
/// the time until the next may be requested.
fn request_query(gateway: &Gateway, now: TimePoint) -> Duration {
    let mut view = gateway.view();
    let since = view.unknown_key_queried_at.map(|at| Duration::from_micros(now.since(at)));
    if let Some(since) = since.filter(|since| *since < UNKNOWN_KEY_INTERVAL) {
        return UNKNOWN_KEY_INTERVAL - since;
    }
    view.unknown_key_queried_at = Some(now);
    drop(view);
    gateway.unknown_key_seen.notify_one();
    UNKNOWN_KEY_INTERVAL
}
