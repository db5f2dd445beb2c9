//! Gives the platform's records to VMs that the platform's store turns away, and takes them from others.
//!
//! The store may be down for all when a VM starts, or refuse one VM while it serves the others. Without
//! this a VM would stay without configuration, or behind the others, for as long.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_exchange::ExchangeRequest;
use coltsfoothook_telemetry::event;
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use crate::clock;
use crate::follow;
use crate::message::{SharedState, SharedVersion};
use crate::state::Gateway;

/// The path under which a VM gives its records.
pub(crate) const SHARED_PATH: &str = "/shared";
/// Between two looks whether records are missing.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// For how long the store must have been away before others are asked: it is the source, and a VM that
/// is merely a moment behind reads it itself.
const AWAY_US: u64 = 700_000;
/// The time for another VM's answer.
const ANSWER_TIME: Duration = Duration::from_millis(800);
/// The most bytes of its answer.
const MOST_BYTES: usize = 16 << 20;

/// The query that asks for the configuration alone.
pub(crate) const TABLE_QUERY: &str = "table";

/// This VM's records, or its configuration alone.
pub(crate) fn shared_body(gateway: &Gateway, table_only: bool) -> Vec<u8> {
    let beliefs = gateway.beliefs();
    if table_only {
        let table = beliefs.table.as_deref().cloned();
        let state = SharedState { table, versions: Vec::new(), entries: Vec::new() };
        return rmp_serde::to_vec(&state).unwrap_or_default();
    }
    let version = |named: &crate::state::NamedVersion| SharedVersion {
        key: named.key.clone(),
        version: named.version,
    };
    let entries = beliefs.backends.servers().iter().map(|state| state.entry.clone());
    let state = SharedState {
        table: beliefs.table.as_deref().cloned(),
        versions: beliefs.versions.iter().map(version).collect(),
        entries: entries.collect(),
    };
    // Only a type without a MessagePack form could fail, and these have one.
    rmp_serde::to_vec(&state).unwrap_or_default()
}

/// Takes records from other VMs while the store is away and they are ahead, for ever.
pub(crate) async fn take_missing(gateway: Arc<Gateway>) {
    loop {
        // A VM that others read the store for hears at once of a newer configuration.
        let _ = timeout(LOOK_PAUSE, gateway.config_behind.notified()).await;
        let Some((from, path)) = ahead(&gateway) else { continue };
        let mut request = ExchangeRequest::get(path);
        request.head_within = Some(ANSWER_TIME);
        request.piece_within = Some(ANSWER_TIME);
        let answer = match gateway.client.send(from, request).await {
            Ok(answer) => answer.body.collect(MOST_BYTES).await,
            Err(error) => Err(error),
        };
        match answer {
            Ok(body) => match rmp_serde::from_slice::<SharedState>(&body) {
                Ok(state) => take(&gateway, from, state),
                Err(error) => event!(CatchUpFailed, address = from, cause = error),
            },
            Err(error) => event!(CatchUpFailed, address = from, cause = error),
        }
    }
}

/// A VM to ask and for what, if it knows more and this one cannot read the store or leaves that to
/// others. Any that is ahead will do; drawn, they share the work.
fn ahead(gateway: &Gateway) -> Option<(SocketAddr, String)> {
    let now = clock::now();
    let mut beliefs = gateway.beliefs();
    let away = now.since(beliefs.answers.last().max(gateway.started)) >= AWAY_US;
    let path = if follow::is_fed(&beliefs, gateway, now) {
        format!("{SHARED_PATH}?{TABLE_QUERY}")
    } else if away {
        SHARED_PATH.to_owned()
    } else {
        return None;
    };
    let own = beliefs.table.as_ref().map_or(0, |table| table.version.0);
    let ahead = beliefs.roster.ahead(own, now);
    let from = ahead.choose(&mut beliefs.random).copied()?;
    Some((from, path))
}

fn take(gateway: &Arc<Gateway>, from: SocketAddr, state: SharedState) {
    let now = clock::now();
    let mut beliefs = gateway.beliefs();
    for named in state.versions {
        beliefs.name_version(named.key, named.version, now);
    }
    let entries = state.entries.len();
    for entry in state.entries {
        beliefs.backends.entry(entry, now);
    }
    beliefs.servers_read |= entries > 0;
    beliefs.expect_fleet();
    drop(beliefs);
    event!(CaughtUp, address = from, servers = entries);
    if let Some(table) = state.table {
        follow::take_table(gateway, table);
    }
    gateway.changed.notify_waiters();
}
