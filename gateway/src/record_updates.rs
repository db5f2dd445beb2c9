//! Updates from the readers, the VMs that read the store's records for all, to the other VMs.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::routing::BackendEntry;
use coltsfoothook_telemetry::event;

use crate::clock;
use crate::follow::{reads_for_others, remove_lapsed};
use crate::link::StoreCall;
use crate::message::{PeerMessage, RecordUpdate, RemovedServer, SharedVersion};
use crate::order;
use crate::state::Gateway;

/// Maximum number of named versions in one message. More would be too large for one datagram, and
/// would delay updates of servers. With more, the other VMs read the store themselves.
pub(crate) const MAX_REPORTED_VERSIONS: usize = 256;
/// Maximum number of changed entries per read that are reported. At a system's start thousands of
/// servers register; reporting all of them five times would send megabytes to each VM. With more
/// changes nothing is reported, and the other VMs read the store themselves.
pub(crate) const MAX_REPORTED_ENTRIES: usize = 200;
/// How long messages repeat a change, in microseconds. A VM that receives none of them for longer
/// reads the store itself.
pub(crate) const UPDATE_REPEAT_US: u64 = 3_000_000;

/// Returns an entry in the form in which it is reported. Other VMs learn what a server holds from
/// the VM that orders it; with the adapters of dozens of servers a message would be larger than
/// links carry at once.
pub(crate) fn without_adapters(mut entry: BackendEntry) -> BackendEntry {
    if !entry.ready {
        // A leaving server gets no new work, whatever it holds.
        entry.models.clear();
    }
    entry.models.iter_mut().for_each(|held| held.adapters.clear());
    entry
}

/// Changes found by one read of the entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryChanges {
    pub(crate) entries: Vec<BackendEntry>,
    pub(crate) removed: Vec<RemovedServer>,
}

impl EntryChanges {
    /// Sends orders to servers that appeared, and wakes requests that may wait for them.
    pub(crate) fn wake(&self, gateway: &Arc<Gateway>) {
        for entry in &self.entries {
            order::send_next_order(gateway, &entry.server);
        }
        gateway.changed.notify_waiters();
    }
}

/// Reports to all other VMs what this VM read, and how recent its knowledge of the store's records
/// is.
pub(crate) fn report(gateway: &Arc<Gateway>) {
    let now = clock::now();
    let mut view = gateway.view();
    let age_ms = |call| {
        let age = view.answers.age(call, now).unwrap_or(Duration::MAX);
        u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
    };
    let operators_age_ms = age_ms(StoreCall::Operators);
    let servers_age_ms = age_ms(StoreCall::Servers);
    view.version_history.expire(now);
    view.entry_history.expire(now);
    let changes = || view.entry_history.changes();
    let update = RecordUpdate {
        vm: gateway.settings.vm.clone(),
        config: view.table.as_ref().map_or(0, |table| table.version.0),
        operators_age_ms,
        servers_age_ms,
        operator_span: Some(view.version_history.span()),
        versions: view.version_history.changes().flatten().cloned().collect(),
        span: view.entry_history.span(),
        entries: changes().flat_map(|changes| changes.entries.clone()).collect(),
        gone: changes().flat_map(|changes| changes.removed.clone()).collect(),
    };
    let peers = view.roster.live(now);
    drop(view);
    gateway.peers.send(&PeerMessage::News(update), &peers);
}

/// Applies the changes that a reader reported.
pub(crate) fn apply(gateway: &Arc<Gateway>, update: RecordUpdate) {
    let now = clock::now();
    let mut changes = EntryChanges::default();
    for named in &update.versions {
        record_version(gateway, named);
    }
    let reads = reads_for_others(gateway);
    let mut view = gateway.view();
    let known_at = |age_ms: u32| TimePoint(now.0.saturating_sub(u64::from(age_ms) * 1_000));
    if let Some(span) = update.operator_span {
        if view.operator_coverage.apply_report(span) {
            let known_at = known_at(update.operators_age_ms);
            view.operators_known_at = view.operators_known_at.max(known_at);
        } else if !reads && !view.missed_operators {
            // Without an own read this VM would go on using replaced versions of adapters.
            event!(OperatorsMissed, reported_by = update.vm, since = span.since);
            view.missed_operators = true;
        }
    }
    if view.entry_coverage.apply_report(update.span) {
        view.entries_known_at = view.entries_known_at.max(known_at(update.servers_age_ms));
    } else if !reads && !view.missed_entries {
        // Without an own read this VM would go on sending to a removed server.
        event!(EntriesMissed, told_by = update.vm, since = update.span.since);
        view.missed_entries = true;
        gateway.entries_missed.notify_one();
    }
    view.roster.record_config(&update.vm, update.config);
    if view.table.as_ref().is_some_and(|table| table.version.0 < update.config) {
        gateway.config_behind.notify_waiters();
    }
    for entry in update.entries {
        if view.apply_entry(&entry, now) {
            view.record_peer_change(&entry.server);
            changes.entries.push(entry);
        }
    }
    if !changes.entries.is_empty() {
        view.expect_fleet();
    }
    for gone in &update.gone {
        view.lapse(gone.server.as_str(), gone.position, false, now);
    }
    drop(view);
    remove_lapsed(gateway);
    if !changes.entries.is_empty() {
        changes.wake(gateway);
    }
}

/// Records the named version of an adapter. Returns whether it is new.
pub(crate) fn record_version(gateway: &Gateway, named: &SharedVersion) -> bool {
    let SharedVersion { key, version } = named;
    let is_new = gateway.view().name_version(key.clone(), *version, clock::now());
    if is_new {
        event!(AdapterVersionNamed, adapter = key.adapter, version = version);
    }
    is_new
}
