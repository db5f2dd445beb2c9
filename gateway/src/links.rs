//! Checks of this VM's links to the backend servers.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::links::LinkChange;
use coltsfoothook_telemetry::event;
use futures::future::join_all;
use rand::seq::SliceRandom;
use tokio::time::sleep;

use crate::clock;
use crate::state::Gateway;

/// Number of servers that a check tries to connect to.
const CHECKED_SERVERS: usize = 4;
/// The same while the links are known to be cut.
const RECHECKED_SERVERS: usize = 2;
/// Interval of checks while the links are cut.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Records that a server could not be connected to or did not answer in time, and checks the links
/// if that was not the only failure.
pub(crate) fn server_failed(gateway: &Arc<Gateway>, server: &ServerName) {
    let mut view = gateway.view();
    let due = view.links.record_failure(server, clock::now());
    drop(view);
    if due {
        tokio::spawn(check(Arc::clone(gateway)));
    }
}

/// Checks the links, and while they are cut again and again.
async fn check(gateway: Arc<Gateway>) {
    let mut count = CHECKED_SERVERS;
    loop {
        let servers = sample(&gateway, count);
        let dials = servers.iter().map(|address| gateway.client.probe(*address));
        let reached = join_all(dials).await.iter().filter(|result| result.is_ok()).count();
        let change = gateway.view().links.checked(reached > 0, clock::now());
        if let Some(change) = change {
            log_change(&gateway, change, servers.len());
        }
        if reached > 0 {
            return;
        }
        count = RECHECKED_SERVERS;
        sleep(RECHECK_INTERVAL).await;
    }
}

/// Returns the addresses of some servers, first of those that have not failed lately.
fn sample(gateway: &Gateway, count: usize) -> Vec<std::net::SocketAddr> {
    let mut guard = gateway.view();
    let view = &mut *guard;
    let mut servers: Vec<_> = view.backends.servers().iter().map(|state| &state.entry).collect();
    servers.shuffle(&mut view.rng);
    servers.sort_by_key(|entry| view.links.has_failed(&entry.server));
    servers.iter().take(count).map(|entry| entry.address).collect()
}

fn log_change(gateway: &Gateway, change: LinkChange, checked: usize) {
    match change {
        LinkChange::Lost => event!(LinksLost, checked = checked),
        LinkChange::Regained => {
            // Connections from before the cut may be silent for good.
            let view = gateway.view();
            for state in view.backends.servers() {
                gateway.client.forget(state.entry.address);
            }
            drop(view);
            event!(LinksRegained, checked = checked);
        }
    }
    gateway.metrics.set("links_cut", usize::from(change == LinkChange::Lost));
    gateway.changed.notify_waiters();
}
