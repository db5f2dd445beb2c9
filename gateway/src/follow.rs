//! Polls the platform's store for the servers' entries.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::backend::EntryChange;
use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::routing::BackendEntry;
use coltsfoothook_platform::{
    KeyedRecord, KeyedTopic, MetadataError, RecordPage, read_registration,
};
use coltsfoothook_telemetry::event;
use tokio::time::sleep;

use crate::clock;
use crate::link::{StoreCall, StoreLink};
use crate::message::RemovedServer;
use crate::record_updates::{self, EntryChanges};
use crate::state::{Gateway, LapsedServer, SystemView};

/// Interval of a reader's polls of the servers' entries. A leaving server may get new work for this
/// long and the time of one answer of the store; operators allow two seconds.
const ENTRY_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Number of VMs that read the store for all others. Two of them may fail at once.
pub(crate) const READERS: usize = 3;
/// Interval of the other VMs' own polls, which only confirm what the readers reported, in
/// microseconds.
const NON_READER_POLL_INTERVAL_US: u64 = 8_000_000;
/// The same in large fleets. It is longer because these polls would be most of the calls to the
/// store.
pub(crate) const LARGE_NON_READER_POLL_INTERVAL_US: u64 = 30_000_000;
/// A VM polls the entries itself once what the readers reported is older than this, in
/// microseconds. Two updates of each reader may be lost within it.
const READER_TTL_US: u64 = 1_400_000;
/// Minimum time between the starts of a failed call and its retry. A poll that timed out has taken
/// longer and is retried at once.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The same in large fleets, at VMs that do not read for others. During an outage their retries
/// would be most of a day's calls to the store, and the readers report when it is back.
const LARGE_RETRY_INTERVAL: Duration = Duration::from_millis(2_400);
/// How long after an outage of the store a server without an entry is kept, in microseconds.
/// Entries lapse during the outage and are written again within two seconds.
const LAPSE_GRACE_US: u64 = 2_000_000;

/// Runs for ever, keeping the servers' entries up to date.
pub(crate) async fn servers(gateway: Arc<Gateway>) {
    let mut link = StoreLink::new(StoreCall::Servers);
    let mut known_era = None;
    loop {
        let sent_at = clock::now();
        let mut next = match gateway.store.newest(KeyedTopic::Servers).await {
            Ok(page) => {
                // A copy may lack the entries of servers that live; they are written again.
                let restored = known_era.replace(page.era).is_some_and(|era| era != page.era);
                let after_outage = link.record_answer(&gateway, page.era) || restored;
                apply_snapshot(&gateway, &page, after_outage);
                gateway.view().record_entry_read(page.next, None);
                page.next
            }
            Err(error) => {
                link.record_failure(&gateway, &error);
                wait_for_retry(&gateway, sent_at).await;
                continue;
            }
        };
        let mut read_at = clock::now();
        loop {
            tokio::select! {
                () = sleep(ENTRY_POLL_INTERVAL) => {}
                () = gateway.entries_missed.notified() => {}
            }
            let reads = reads_for_others(&gateway);
            if !reads && has_entry_readers(&gateway, read_at) {
                remove_lapsed(&gateway);
                continue;
            }
            read_at = clock::now();
            match gateway.store.read(KeyedTopic::Servers, next, None).await {
                Ok(page) => {
                    let after_outage = link.record_answer(&gateway, page.era);
                    let changes = apply_servers(&gateway, &page.records, after_outage);
                    next = page.next;
                    // Each VM determines by its own reads which entries return after an outage.
                    let few = changes.entries.len() <= record_updates::MAX_REPORTED_ENTRIES;
                    let reported = (!after_outage && few).then_some(changes);
                    gateway.view().record_entry_read(next, reported);
                    if reads {
                        record_updates::report(&gateway);
                    }
                }
                Err(MetadataError::Compacted { first }) => {
                    event!(LogGap, topic = "servers", first = first, next = next);
                    break;
                }
                Err(MetadataError::Restored { .. }) => break,
                Err(error) => {
                    link.record_failure(&gateway, &error);
                    if !reads {
                        wait_for_retry(&gateway, read_at).await;
                    }
                }
            }
            remove_lapsed(&gateway);
        }
    }
}

/// Applies a snapshot of all entries. A known server without an entry in it is treated as if its
/// entry was removed.
fn apply_snapshot(gateway: &Arc<Gateway>, page: &RecordPage, after_outage: bool) {
    apply_servers(gateway, &page.records, after_outage);
    let mut view = gateway.view();
    view.entries_read = true;
    let now = clock::now();
    let removed: Vec<String> = view
        .backends
        .servers()
        .iter()
        .map(|state| state.name().to_owned())
        .filter(|name| !page.records.iter().any(|record| record.key == *name))
        .collect();
    // The record at the next position is later than the snapshot.
    let last = page.next.saturating_sub(1);
    for server in removed {
        view.lapse(&server, last, after_outage, now);
    }
    drop(view);
    remove_lapsed(gateway);
}

/// Applies changes of entries, and returns those to be reported. `after_outage` is set for the
/// first read after an outage of the store: removed entries may then have lapsed during the outage
/// and be written again.
pub(crate) fn apply_servers(
    gateway: &Arc<Gateway>,
    records: &[KeyedRecord],
    after_outage: bool,
) -> EntryChanges {
    let now = clock::now();
    let mut changes = EntryChanges::default();
    let mut view = gateway.view();
    for record in records {
        let Some(value) = &record.value else {
            view.lapse(&record.key, record.position, after_outage, now);
            let (server, position) = (record.key.as_str().into(), record.position);
            changes.removed.push(RemovedServer { server, position });
            continue;
        };
        let entry = match read_registration(&record.key, value, record.position) {
            Ok(entry) => entry,
            Err(error) => {
                if view.skipped.record(&record.key) {
                    event!(RecordSkipped, topic = "servers", cause = error);
                }
                continue;
            }
        };
        view.skipped.clear(&record.key);
        if view.is_foreign(&entry) {
            continue;
        }
        // Each reader reports each change, even if another reader reported it first: the span of its
        // messages says that they hold all changes. A VM that cannot receive the first reader's
        // updates would otherwise go on sending to a leaving server, or not know a new one.
        let is_peer_change = view.take_peer_change(&entry.server);
        let leaves = !entry.ready;
        if view.apply_entry(&entry, now) || is_peer_change || leaves {
            changes.entries.push(record_updates::without_adapters(entry));
        }
        view.unlapse(&record.key, record.position);
    }
    view.expect_fleet();
    drop(view);
    remove_lapsed(gateway);
    changes.wake(gateway);
    changes
}

/// Waits until a failed call that started at `sent_at` may be retried.
pub(crate) async fn wait_for_retry(gateway: &Gateway, sent_at: TimePoint) {
    let now = clock::now();
    let large = gateway.view().roster.is_large(now);
    let pause =
        if large && !reads_for_others(gateway) { LARGE_RETRY_INTERVAL } else { RETRY_INTERVAL };
    sleep(pause.saturating_sub(Duration::from_micros(now.since(sent_at)))).await;
}

/// Returns whether this VM reads the store for all others: it is among the first [`READERS`] live
/// VMs in an order by hash, which is independent of failure domains.
pub(crate) fn reads_for_others(gateway: &Gateway) -> bool {
    let view = gateway.view();
    let (vm, eligible) = (&gateway.settings.vm, view.domain.eligible);
    !gateway.leaving() && view.roster.rank_as_reader(vm, eligible, clock::now()) < READERS
}

/// Returns whether readers keep this VM up to date, so that it need not poll the entries itself
/// yet.
pub(crate) fn has_entry_readers(gateway: &Gateway, read_at: TimePoint) -> bool {
    let now = clock::now();
    let view = gateway.view();
    // An entry that lapsed and is written again unchanged is not in the readers' reports. Relying
    // on them, this VM would remove a server whose entry returned in time.
    let complete = !view.missed_entries && view.lapsed.is_empty();
    let up_to_date = complete && now.since(view.entries_known_at) < READER_TTL_US;
    let large = view.roster.is_large(now);
    let pause_us =
        if large { LARGE_NON_READER_POLL_INTERVAL_US } else { NON_READER_POLL_INTERVAL_US };
    up_to_date && now.since(read_at) < pause_us
}

/// Removes servers whose entry was removed and not written again in time.
pub(crate) fn remove_lapsed(gateway: &Arc<Gateway>) {
    let now = clock::now();
    let mut view = gateway.view();
    let lapsed = std::mem::take(&mut view.lapsed);
    let (due, later) = lapsed.into_iter().partition(|lapsed: &LapsedServer| now >= lapsed.until);
    view.lapsed = later;
    for lapsed in due {
        if view.backends.remove(&lapsed.server, lapsed.position) == EntryChange::Removed {
            event!(ServerGone, server = lapsed.server, position = lapsed.position);
        }
    }
}

impl SystemView {
    /// Records that this VM itself read the entries up to an offset. `reported` are the changes to
    /// report if this VM reads for others, `None` if they are not to be reported.
    fn record_entry_read(&mut self, up_to: u64, reported: Option<EntryChanges>) {
        self.entry_coverage.record_read(up_to);
        self.missed_entries = false;
        match reported {
            Some(changes) => self.entry_history.add_read(up_to, changes, clock::now()),
            None => {
                self.entry_history.restart(up_to);
                self.peer_changes.clear();
            }
        }
    }

    /// Records that another VM reported a change of a server.
    pub(crate) fn record_peer_change(&mut self, server: &ServerName) {
        if let Err(at) = self.peer_changes.binary_search(server) {
            self.peer_changes.insert(at, server.clone());
        }
    }

    /// Returns whether another VM reported a change of a server that this VM reads only now.
    fn take_peer_change(&mut self, server: &ServerName) -> bool {
        let found = self.peer_changes.binary_search(server);
        found.map(|at| self.peer_changes.remove(at)).is_ok()
    }

    /// Returns whether an entry is by another writer, under the name of a known server, and logs it once.
    pub(crate) fn is_foreign(&mut self, entry: &BackendEntry) -> bool {
        if !self.backends.is_foreign(entry, self.table.as_deref()) {
            return false;
        }
        // A key of its own, which the server's next entry does not clear.
        if self.skipped.record(&format!("{} of {}", entry.server, entry.service)) {
            self.log_ignored(entry);
        }
        true
    }

    /// Applies an entry and returns whether it changes where requests can go.
    pub(crate) fn apply_entry(&mut self, entry: &BackendEntry, now: TimePoint) -> bool {
        if self.is_foreign(entry) {
            return false;
        }
        let change = self.backends.apply_entry(entry.clone(), now);
        if self.backends.get(entry.server.as_str()).is_some_and(|s| !entry.ready && !s.leaving) {
            self.log_ignored(entry);
        }
        match change {
            EntryChange::Appeared => {
                self.server_started(entry, now);
                event!(
                    ServerSeen,
                    server = entry.server,
                    service = entry.service,
                    address = entry.address,
                );
                true
            }
            EntryChange::Restarted => {
                self.server_restarted(&entry.server, now);
                event!(
                    ServerRestarted,
                    server = entry.server,
                    born = entry.incarnation,
                    told_by = "entry"
                );
                true
            }
            EntryChange::Leaving => {
                event!(ServerDraining, server = entry.server, heartbeat = entry.heartbeat);
                true
            }
            EntryChange::Models => {
                event!(ServerModels, server = entry.server, models = entry.models.len());
                true
            }
            EntryChange::Removed | EntryChange::Unchanged => false,
        }
    }

    /// Logs an entry of a known server that was ignored.
    fn log_ignored(&self, entry: &BackendEntry) {
        let Some(state) = self.backends.get(entry.server.as_str()) else { return };
        event!(
            EntryIgnored,
            server = entry.server,
            service = entry.service,
            heartbeat = entry.heartbeat,
            position = entry.position,
            known_service = state.entry.service,
            known_heartbeat = state.entry.heartbeat,
            known_position = state.entry.position,
        );
    }

    /// Estimates the rate of the weight store from the number of known engines, until loads have
    /// shown it. Called on every VM, since the owners of most servers do not read the entries
    /// themselves.
    pub(crate) fn expect_fleet(&mut self) {
        let servers = self.backends.servers().iter();
        let engines = servers.filter(|state| !state.entry.models.is_empty()).count();
        self.times.expect_fleet(engines);
    }

    /// Records the removal of a server's entry. An entry that lapsed during an outage of the store
    /// gets [`LAPSE_GRACE_US`] to return. Otherwise the server is removed at once, since it may be
    /// leaving and would get new work.
    pub(crate) fn lapse(
        &mut self,
        server: &str,
        position: u64,
        after_outage: bool,
        now: TimePoint,
    ) {
        let until = if after_outage { now.plus(LAPSE_GRACE_US) } else { now };
        let lapsed = LapsedServer { server: server.to_owned(), position, until };
        match self.lapsed.binary_search_by(|lapsed| lapsed.server.as_str().cmp(server)) {
            Ok(at) => {
                let until = until.min(self.lapsed[at].until);
                self.lapsed[at] = LapsedServer { until, ..lapsed };
            }
            Err(at) => self.lapsed.insert(at, lapsed),
        }
    }

    /// Cancels the removal of a server that wrote its entry again after it lapsed.
    fn unlapse(&mut self, server: &str, position: u64) {
        let found = self.lapsed.binary_search_by(|lapsed| lapsed.server.as_str().cmp(server));
        if let Ok(at) = found
            && self.lapsed[at].position < position
        {
            self.lapsed.remove(at);
        }
    }
}
