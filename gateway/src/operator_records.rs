//! Polls the platform's store for the operators' records: configurations and named versions.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::freshness::ConfirmationNeed;
use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::long_poll::{LongPoll, LongPollSchedule, is_current};
use coltsfoothook_decision::routing::RouteTable;
use coltsfoothook_platform::{
    KeyedTopic, MetadataError, OperatorRecord, RecordPage, read_operator_record,
};
use coltsfoothook_telemetry::event;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::confirm;
use crate::follow::{LARGE_NON_READER_POLL_INTERVAL_US, READERS, reads_for_others, wait_for_retry};
use crate::link::{StoreCall, StoreLink};
use crate::message::SharedVersion;
use crate::record_updates;
use crate::state::{Gateway, SystemView};

/// Interval of the check whether readers still read the operators' records for this VM.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a VM that learns of a newer configuration from another VM waits for the answer to its
/// pending poll before it polls again.
const BEHIND_DELAY: Duration = Duration::from_millis(40);
/// How long a VM that starts waits for another VM's configuration, in microseconds.
const FIRST_HEARD_US: u64 = 1_000_000;

/// Runs for ever, keeping the operators' records up to date.
pub(crate) async fn operators(gateway: Arc<Gateway>) {
    let mut link = StoreLink::new(StoreCall::Operators);
    let mut schedule = LongPollSchedule::new(config_limit(&gateway));
    loop {
        let sent_at = clock::now();
        let mut next = match gateway.store.newest(KeyedTopic::Operators).await {
            Ok(page) => {
                link.record_answer(&gateway, page.era);
                gateway.view().store_config = 0;
                apply_operators(&gateway, &page, PageKind::Snapshot, sent_at)
            }
            Err(error) => {
                link.record_failure(&gateway, &error);
                wait_for_retry(&gateway, sent_at).await;
                continue;
            }
        };
        let mut polls_at_once = confirm::wait_at_start(&gateway).await;
        loop {
            let long_poll = match wait_while_readers_poll(&gateway).await {
                ReaderWait::Over => break,
                ReaderWait::UnknownKey => None,
                ReaderWait::NoReaders if std::mem::take(&mut polls_at_once) => None,
                ReaderWait::NoReaders => schedule.next(),
            };
            let sent_at = clock::now();
            match poll_operators(&gateway, next, long_poll, sent_at).await {
                Ok((page, sent_at)) => {
                    link.record_answer(&gateway, page.era);
                    schedule.answered();
                    next = apply_operators(&gateway, &page, PageKind::Changes, sent_at);
                }
                Err(MetadataError::Compacted { first }) => {
                    event!(LogGap, topic = "operators", first = first, next = next);
                    break;
                }
                Err(MetadataError::Restored { .. }) => break,
                Err(error) => {
                    link.record_failure(&gateway, &error);
                    schedule.failed();
                    wait_for_retry(&gateway, sent_at).await;
                }
            }
        }
    }
}

/// Returns the time within which an accepted configuration must be in force.
fn config_limit(gateway: &Gateway) -> Duration {
    Duration::from_millis(gateway.settings.promises.config_ms)
}

/// Polls the store for the operators' records from an offset on, and returns them with the time of
/// the poll that was answered. A lost long poll is polled again when another VM reports a newer
/// configuration; if all VMs lose theirs at once, only the timeout detects it.
async fn poll_operators(
    gateway: &Gateway,
    from: u64,
    long_poll: Option<LongPoll>,
    sent_at: TimePoint,
) -> Result<(RecordPage, TimePoint), MetadataError> {
    tokio::select! {
        page = gateway.store.read(KeyedTopic::Operators, from, long_poll) => {
            return Ok((page?, sent_at));
        }
        // Another VM has a newer configuration, so that this poll may be lost.
        () = gateway.config_behind.notified() => sleep(BEHIND_DELAY).await,
        () = gateway.unknown_key_seen.notified() => {}
    }
    let sent_at = clock::now();
    let page = gateway.store.read(KeyedTopic::Operators, from, None).await?;
    Ok((page, sent_at))
}

/// Returns whether readers read the operators' records for this VM. They do in large fleets, where
/// the long polls of every VM would be most of the calls to the store, while the store answers the
/// readers' polls for these records. Its answers to polls for the servers' entries do not count: if
/// only the polls for records were lost, all VMs would keep an old configuration.
pub(crate) fn has_record_readers(view: &SystemView, gateway: &Gateway, now: TimePoint) -> bool {
    view.table.is_some()
        && !view.missed_operators
        && view.roster.is_large(now)
        && view.roster.rank_as_reader(&gateway.settings.vm, view.domain.eligible, now) >= READERS
        && is_current(
            Duration::from_micros(now.since(view.operators_known_at)),
            config_limit(gateway),
        )
        && (!view.has_customers() || view.confirmation.need(now) < ConfirmationNeed::Urgent)
}

/// Outcome of [`wait_while_readers_poll`].
enum ReaderWait {
    /// There was no wait: no readers read the operators' records for this VM.
    NoReaders,
    /// Readers read them until now, so that this VM has to read the records of that time itself.
    Over,
    /// Readers still read them, but a request has a key that the configuration in force does not
    /// know.
    UnknownKey,
}

/// Waits while readers read the operators' records for this VM.
async fn wait_while_readers_poll(gateway: &Gateway) -> ReaderWait {
    let from = clock::now();
    let mut waited = false;
    loop {
        let now = clock::now();
        let has_readers = has_record_readers(&gateway.view(), gateway, now);
        if !has_readers || now.since(from) > LARGE_NON_READER_POLL_INTERVAL_US {
            return if waited { ReaderWait::Over } else { ReaderWait::NoReaders };
        }
        waited = true;
        if timeout(READER_CHECK_INTERVAL, gateway.unknown_key_seen.notified()).await.is_ok() {
            return ReaderWait::UnknownKey;
        }
    }
}

/// What a page of operators' records holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PageKind {
    /// The newest record of each key.
    Snapshot,
    /// All records since the previous page.
    Changes,
}

/// Applies the answer to a poll that was sent at `sent_at`, and returns the next offset to read.
fn apply_operators(
    gateway: &Arc<Gateway>,
    page: &RecordPage,
    kind: PageKind,
    sent_at: TimePoint,
) -> u64 {
    let before = gateway.view().table.as_ref().map(|table| table.version);
    let reads = reads_for_others(gateway);
    let (mut is_new, mut understood) = (false, page.whole);
    let mut named = Vec::new();
    for record in &page.records {
        let Some(value) = &record.value else { continue };
        match read_operator_record(&record.key, value) {
            Ok(OperatorRecord::Configuration(table)) => {
                let mut view = gateway.view();
                view.store_config = view.store_config.max(table.version.0);
                drop(view);
                apply_config(gateway, *table);
            }
            Ok(OperatorRecord::Adapter { key, version }) => {
                let version = SharedVersion { key, version };
                is_new |= record_updates::record_version(gateway, &version);
                named.push(version);
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => {
                event!(RecordSkipped, topic = "operators", cause = error);
                understood = false;
            }
        }
    }
    let mut view = gateway.view();
    view.record_operator_read(page.next, (kind == PageKind::Changes).then_some(named));
    let confirms = understood && view.has_newest_config(gateway, clock::now());
    if confirms {
        view.confirmation.confirmed(sent_at);
    }
    drop(view);
    if confirms {
        gateway.confirmed.notify_waiters();
    }
    let changed = gateway.view().table.as_ref().map(|table| table.version) != before;
    if (is_new || changed) && reads {
        record_updates::report(gateway);
    }
    page.next
}

/// Puts a configuration into force unless the present one is as new or newer. Older ones come from
/// stale reads and from records that are read twice; applying them would revert what callers have
/// seen.
pub(crate) fn apply_config(gateway: &Arc<Gateway>, table: RouteTable) {
    let mut view = gateway.view();
    let before = view.table.as_ref().map(|table| table.version);
    if before.is_some_and(|before| before >= table.version) {
        return;
    }
    event!(ConfigInForce, version = table.version, before? = before, routes = table.route_count(),);
    if let Some(before) = view.table.clone() {
        view.wrong_keys.apply_config(&before, &table);
    }
    let limits = table.customers().plans().iter();
    let limits = limits.filter_map(|plan| Some((plan.name.clone(), plan.limit?)));
    let now = clock::now();
    view.limiter.configure(now, limits.collect());
    view.table = Some(Arc::new(table));
    drop(view);
    gateway.changed.notify_waiters();
}

impl SystemView {
    /// Returns whether the configuration in force can be the newest, as far as this VM knows. A
    /// store that came back from a copy may lack one that it acknowledged before, with which a key
    /// was removed: another VM may have it in force, and this VM itself may.
    fn has_newest_config(&self, gateway: &Gateway, now: TimePoint) -> bool {
        let own = self.table.as_ref().map_or(0, |table| table.version.0);
        !self.may_hear_first(gateway, now)
            && self.store_config >= own
            && self.roster.with_newer_config(own, now).is_empty()
    }

    /// Returns whether this VM has just started and may still hear another VM for the first time.
    pub(crate) fn may_hear_first(&self, gateway: &Gateway, now: TimePoint) -> bool {
        self.roster.may_have_others(gateway.settings.listen.peers)
            && self.roster.live_count(now) == 0
            && now.since(gateway.started) < FIRST_HEARD_US
    }

    /// Records that this VM itself read the operators' records up to an offset. `named` are the
    /// versions to report if this VM reads for others, `None` if they are not to be reported.
    pub(crate) fn record_operator_read(&mut self, up_to: u64, named: Option<Vec<SharedVersion>>) {
        self.operator_coverage.record_read(up_to);
        self.missed_operators = false;
        let Some(named) = named else { return self.version_history.restart(up_to) };
        self.version_history.add_read(up_to, named, clock::now());
        self.version_history.truncate(record_updates::MAX_REPORTED_VERSIONS, Vec::len);
    }
}
