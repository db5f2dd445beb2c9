//! What VMs know of crashes, as recorded in the platform's store.
//!
//! VMs tell each other of crashes and trials ([`crate::suspects`]). If all of them end at the same moment, only the store
//! still knows which requests crash servers, and how often these were tried since. docs/PLATFORM.md, "Requests that
//! crash servers", says what is recorded when.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::crash::CrashReport;
use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::suspect::CrashSubject;
use coltsfoothook_platform::{KeyedRecord, KeyedTopic, MetadataError};
use coltsfoothook_telemetry::event;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::datagram;
use crate::follow::wait_for_retry;
use crate::message::PeerMessage;
use crate::run::RequestRun;
use crate::state::{Gateway, SystemView};
use crate::suspects;

/// How many VMs record what all know: one may be cut off from the store, or from the others.
pub(crate) const WRITERS: usize = 2;
/// How long changes are collected before they are recorded. If all VMs end meanwhile, the crashes of this time are lost.
const COLLECT_TIME: Duration = Duration::from_millis(10);
/// Least time between two records of a VM, so that many servers that crash cost few calls.
const MIN_INTERVAL: Duration = Duration::from_millis(90);
/// Interval at which changes are recorded that only clear suspects.
const CLEARING_INTERVAL: Duration = Duration::from_secs(2);
/// The wait after a write that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// A record that is this much older than the newest one is by a VM that records no longer, in milliseconds.
const STALE_MS: u64 = 600_000;
/// How long after its start a VM that cannot read the records waits for them, in microseconds. Other VMs repeat what
/// they know each second.
pub(crate) const MAX_WAIT_US: u64 = 2_000_000;
/// Number of keys under which trials are recorded, which bounds the topic.
const TRIAL_KEYS: u64 = 32;
/// Why a trial does not begin.
const TRIAL_UNRECORDED: &str = "trial_unrecorded";

/// What of the ledger is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecordedState {
    revision: u64,
    /// The era of the store, which may since have come back from an older copy.
    era: u32,
}

impl SystemView {
    /// Returns whether this VM knows what was recorded of crashes, or need not wait for it any longer.
    pub(crate) fn knows_crashes(&self, now: TimePoint) -> bool {
        now >= self.crashes_awaited_until
    }

    fn recorded_state(&self) -> RecordedState {
        RecordedState { revision: self.crashes.revision(), era: self.store_era }
    }
}

/// Runs for ever: reads what was recorded, and records what this VM learns if it is one of the writers.
pub(crate) async fn keep_recorded(gateway: Arc<Gateway>) {
    restore(&gateway).await;
    let mut recorded = gateway.view().recorded_state();
    let mut is_empty = gateway.view().crashes.record(clock::now()).is_empty();
    loop {
        let _ = timeout(CLEARING_INTERVAL, gateway.crashes_found.notified()).await;
        sleep(COLLECT_TIME).await;
        let Some((rank, state, record)) = due_record(&gateway, recorded) else { continue };
        if is_empty && record.is_empty() {
            recorded = state;
            continue;
        }
        match write(&gateway, &rank.to_string(), &record).await {
            Ok(()) => {
                (recorded, is_empty) = (state, record.is_empty());
                sleep(MIN_INTERVAL).await;
            }
            Err(error) => {
                event!(StoreCallFailed, topic = "crashes", cause = error);
                sleep(RETRY_INTERVAL).await;
                gateway.crashes_found.notify_one();
            }
        }
    }
}

/// Returns what is to be recorded now, with this VM's rank among the writers; `None` if it is none or nothing changed.
fn due_record(
    gateway: &Gateway,
    recorded: RecordedState,
) -> Option<(usize, RecordedState, CrashReport)> {
    let now = clock::now();
    let view = gateway.view();
    let rank = view.roster.rank_as_reader(&gateway.settings.vm, view.domain.eligible, now);
    let state = view.recorded_state();
    let is_due = rank < WRITERS && state != recorded;
    is_due.then(|| (rank, state, view.crashes.record(now)))
}

/// Reads the records until the store answers.
async fn restore(gateway: &Gateway) {
    let mut has_failed = false;
    loop {
        let sent_at = clock::now();
        match gateway.store.newest(KeyedTopic::Crashes).await {
            Ok(page) => {
                apply_records(gateway, &page.records);
                let mut view = gateway.view();
                view.store_era = view.store_era.max(page.era);
                view.crashes_awaited_until = TimePoint::default();
                return;
            }
            Err(error) => {
                if !std::mem::replace(&mut has_failed, true) {
                    event!(StoreCallFailed, topic = "crashes", cause = error);
                }
                wait_for_retry(gateway, sent_at).await;
            }
        }
    }
}

fn apply_records(gateway: &Gateway, records: &[KeyedRecord]) {
    let decoded = records.iter().filter_map(|record| {
        let decoded = record.value.as_deref().and_then(decode);
        if decoded.is_none() {
            event!(RecordSkipped, topic = "crashes", cause = "the format is unknown");
        }
        decoded
    });
    let decoded: Vec<(u64, CrashReport)> = decoded.collect();
    let newest_ms = decoded.iter().map(|(written_ms, _)| *written_ms).max().unwrap_or_default();
    let (now_ms, mut crashes) = (clock::unix_ms(), 0);
    for (written_ms, mut report) in decoded {
        if written_ms.saturating_add(STALE_MS) < newest_ms {
            continue;
        }
        // The clocks of VMs differ, and may have been set.
        report.add_age(now_ms.saturating_sub(written_ms));
        crashes += report.crashes.len();
        suspects::apply_report(gateway, &report);
    }
    event!(CrashesRestored, records = records.len(), crashes = crashes);
}

/// Records that the trial of a request begins, before it is sent: all VMs may end before its result is known. The error is
/// the reason why it is not sent.
pub(crate) async fn begin_trial(run: &RequestRun) -> Result<(), &'static str> {
    let gateway = &run.gateway;
    let Some(BeginningTrial { subject, number, record }) = BeginningTrial::of(run) else {
        return Ok(());
    };
    suspects::report(gateway);
    let written = write(gateway, &trial_key(subject), &record).await;
    event!(
        SuspectTried,
        request_id = run.request.head.id,
        part? = subject.is_part().then_some(subject),
        fingerprint = format_args!("{:016x}", run.request.fingerprint.0),
        trial = number,
        recorded = written.is_ok(),
    );
    match written {
        Ok(()) => Ok(()),
        // Sound requests come back also while the store is away. Were all VMs to end now, one trial would be made again.
        Err(_) if number == 1 => Ok(()),
        Err(_) => {
            trial_not_run(run);
            Err(TRIAL_UNRECORDED)
        }
    }
}

/// A trial that is not recorded in the store yet.
struct BeginningTrial {
    subject: CrashSubject,
    /// Its number among those of the subject, 1 for the first.
    number: usize,
    record: CrashReport,
}

impl BeginningTrial {
    /// Begins the trial of a request; `None` if nothing of it is quarantined any longer.
    fn of(run: &RequestRun) -> Option<Self> {
        let now = clock::now();
        let mut view = run.gateway.view();
        let subject = *view.crashes.begin_trial(&run.request.subjects, now).first()?;
        Some(Self {
            subject,
            number: view.crashes.trials(subject),
            record: view.crashes.record(now),
        })
    }
}

/// Records that no server ran the trial that began last.
pub(crate) fn trial_not_run(run: &RequestRun) {
    let gateway = &run.gateway;
    gateway.view().crashes.trial_not_run(&run.request.subjects, clock::now());
    suspects::report(gateway);
}

fn trial_key(subject: CrashSubject) -> String {
    format!("trial-{}", subject.fingerprint() % TRIAL_KEYS)
}

async fn write(gateway: &Gateway, key: &str, record: &CrashReport) -> Result<(), MetadataError> {
    gateway.store.write(KeyedTopic::Crashes, key, &encode(record)).await
}

/// Encodes a record: the Unix time in milliseconds, then the report as VMs send it to each other.
fn encode(record: &CrashReport) -> Vec<u8> {
    let message = PeerMessage::Crashes(record.clone());
    // Encoding fails only for types without a MessagePack form, and these have one.
    let report = datagram::encode(&message).unwrap_or_default();
    [&clock::unix_ms().to_be_bytes(), report.as_slice()].concat()
}

fn decode(value: &[u8]) -> Option<(u64, CrashReport)> {
    let (written, report) = value.split_first_chunk()?;
    match datagram::decode(report)? {
        PeerMessage::Crashes(report) => Some((u64::from_be_bytes(*written), report)),
        _ => None,
    }
}
