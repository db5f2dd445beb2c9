//! Exchange of the platform's records between VMs, for those that cannot read them from the store.
//!
//! The store may be down for all when a VM starts, or refuse one VM while it serves the others. The
//! VM would otherwise have no configuration or an old one until the store answers again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_exchange::ExchangeRequest;
use coltsfoothook_telemetry::event;
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use crate::clock;
use crate::message::{SharedState, SharedVersion};
use crate::operator_records;
use crate::state::Gateway;

/// The path under which a VM serves its records.
pub(crate) const SHARED_PATH: &str = "/shared";
/// Interval of the check whether records are missing.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long the store must have been unreachable before another VM is queried, in microseconds. A
/// VM that is only briefly behind reads the store itself.
const MIN_OUTAGE_US: u64 = 700_000;
/// How long a VM that reads the store may be behind before another VM is queried, in microseconds.
const MAX_BEHIND_US: u64 = 400_000;
/// Timeout of another VM's answer, for its head and for each part of its body.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of the answer, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// The query parameter that limits the answer to the configuration.
pub(crate) const TABLE_QUERY: &str = "table";

/// Returns this VM's records in MessagePack, or its configuration alone.
pub(crate) fn shared_body(gateway: &Gateway, table_only: bool) -> Vec<u8> {
    let view = gateway.view();
    if table_only {
        let table = view.table.as_deref().cloned();
        let state = SharedState { table, versions: Vec::new(), entries: Vec::new() };
        return state.encode().unwrap_or_default();
    }
    let version = |named: &crate::state::NamedAdapter| SharedVersion {
        key: named.key.clone(),
        version: named.versions.newest(),
    };
    let entries = view.backends.servers().iter().map(|state| state.entry.clone());
    let state = SharedState {
        table: view.table.as_deref().cloned(),
        versions: view.versions.iter().map(version).collect(),
        entries: entries.collect(),
    };
    // Encoding fails only for types without a MessagePack form, and these have one.
    state.encode().unwrap_or_default()
}

/// Runs for ever, fetching records from other VMs while the store is unreachable and they have a
/// newer configuration.
pub(crate) async fn fetch_missing(gateway: Arc<Gateway>) {
    let mut behind_since = None;
    loop {
        // A VM for which others read the store is notified at once of a newer configuration.
        let _ = timeout(CHECK_INTERVAL, gateway.config_behind.notified()).await;
        let Some((from, path)) = newer_source(&gateway, &mut behind_since) else { continue };
        let mut request = ExchangeRequest::get(path);
        request.head_timeout = Some(ANSWER_TIMEOUT);
        request.chunk_timeout = Some(ANSWER_TIMEOUT);
        let answer = match gateway.peer_client.send(from, request).await {
            Ok(answer) => answer.body.collect(MAX_BYTES).await,
            Err(error) => Err(error),
        };
        match answer {
            Ok(body) => match SharedState::decode(&body) {
                Ok(state) => apply(&gateway, from, state),
                Err(error) => event!(CatchUpFailed, address = from, cause = error),
            },
            Err(error) => event!(CatchUpFailed, address = from, cause = error),
        }
    }
}

/// Returns a VM to query and the path, if that VM has a newer configuration and this one cannot
/// read the store, leaves reading to others, or has been behind for [`MAX_BEHIND_US`] although it
/// reads: a store that came back from a copy may lack what it acknowledged. `behind_since` keeps
/// since when. It is drawn from all VMs that have the newest one, which spreads the load.
fn newer_source(
    gateway: &Gateway,
    behind_since: &mut Option<TimePoint>,
) -> Option<(SocketAddr, String)> {
    let now = clock::now();
    let mut view = gateway.view();
    let is_down = now.since(view.answers.last().max(gateway.started)) >= MIN_OUTAGE_US;
    let own = view.table.as_ref().map_or(0, |table| table.version.0);
    let sources = view.roster.with_newer_config(own, now);
    if sources.is_empty() {
        *behind_since = None;
        return None;
    }
    let since = *behind_since.get_or_insert(now);
    let path = if operator_records::has_record_readers(&view, gateway, now) {
        format!("{SHARED_PATH}?{TABLE_QUERY}")
    } else if is_down || now.since(since) >= MAX_BEHIND_US {
        SHARED_PATH.to_owned()
    } else {
        return None;
    };
    let from = sources.choose(&mut view.rng).copied()?;
    Some((from, path))
}

fn apply(gateway: &Arc<Gateway>, from: SocketAddr, state: SharedState) {
    let now = clock::now();
    let mut view = gateway.view();
    for named in state.versions {
        view.name_version(named.key, named.version, now);
    }
    let entries = state.entries.len();
    for entry in state.entries {
        if !view.is_foreign(&entry) {
            view.backends.apply_entry(entry, now);
        }
    }
    view.entries_read |= entries > 0;
    view.expect_fleet();
    drop(view);
    event!(CaughtUp, address = from, servers = entries);
    if let Some(table) = state.table {
        operator_records::apply_config(gateway, table);
    }
    gateway.changed.notify_waiters();
}
