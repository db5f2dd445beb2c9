//! Where streams began, as recorded in the platform's store.
//!
//! VMs tell a few others of each stream that begins ([`crate::origins`]). If all of them end at the same moment, only the
//! store still knows. So that its calls do not grow with the fleet, a few VMs write for the others.
//! docs/PLATFORM.md, "Streams at several software versions", weighs this.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::era::EraNumber;
use coltsfoothook_decision::id::{TimePoint, VmName, stable_hash};
use coltsfoothook_decision::origin::{ReportedStream, merge_reports};
use coltsfoothook_platform::{KeyedRecord, KeyedTopic, MetadataError};
use coltsfoothook_telemetry::event;
use tokio::time::sleep;

use crate::clock;
use crate::message::PeerMessage;
use crate::origins;
use crate::roster::PeerRoster;
use crate::state::Gateway;

/// How many VMs share a writer, so that it receives some hundred datagrams a second at most.
const VMS_PER_WRITER: usize = 32;
/// Maximum number of writers, which bounds the calls to the store.
const MAX_WRITERS: usize = 8;
/// How long streams are collected before they are written, while a service has servers of several software versions.
const MIXED_INTERVAL: Duration = Duration::from_millis(25);
/// The same while none has. It costs fewer calls, and leaves more streams unknown if all VMs end at once.
const USUAL_INTERVAL: Duration = Duration::from_millis(200);
/// The wait after a write that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of marks in one message, and of one origin in a record: 9 bytes each.
const MAX_MARKS: usize = 4_096;
/// How far back the first read goes: callers go on with streams for some seconds, and links may be narrow.
const LOOK_BACK: Duration = Duration::from_secs(8);
/// Minimum interval of reads, whatever callers ask for.
const READ_INTERVAL_US: u64 = 200_000;
/// Maximum number of calls in one read.
const MAX_CALLS: usize = 16;

/// How far this VM has read the records.
#[derive(Debug, Default)]
pub(crate) struct OriginReader {
    /// The position to read from next; `None` before the first read.
    next: Option<u64>,
    /// When the last read began.
    began_at: Option<TimePoint>,
}

/// Hands streams that began at this VM on to the one that writes them.
pub(crate) fn hand_on(gateway: &Gateway, streams: impl Iterator<Item = ReportedStream>) {
    let writer = {
        let view = gateway.view();
        writer_of(&gateway.settings.vm, view.domain.eligible, &view.roster, clock::now())
    };
    let streams = merge_reports(streams);
    match writer {
        None => record(gateway, streams),
        Some(writer) => {
            for part in split(streams) {
                gateway.peers.send(&PeerMessage::OriginRecords(part), &[writer]);
            }
        }
    }
}

/// Adds streams to those that this VM writes.
pub(crate) fn record(gateway: &Gateway, streams: Vec<ReportedStream>) {
    let mut view = gateway.view();
    let known = std::mem::take(&mut view.pending_origins);
    let merged = merge_reports(known.into_iter().chain(streams));
    // While the store does not answer, the streams that began first are given up.
    view.pending_origins = merged.into_iter().map(newest_marks).collect();
    drop(view);
    gateway.origins_pending.notify_one();
}

/// Runs for ever, writing the streams that this VM is to record.
pub(crate) async fn write_pending(gateway: Arc<Gateway>) {
    loop {
        gateway.origins_pending.notified().await;
        sleep(interval(&gateway)).await;
        let streams = std::mem::take(&mut gateway.view().pending_origins);
        if let Err(error) = write(&gateway, &streams).await {
            event!(StoreCallFailed, topic = "streams", cause = error);
            sleep(RETRY_INTERVAL).await;
            record(&gateway, streams);
        }
    }
}

async fn write(gateway: &Gateway, streams: &[ReportedStream]) -> Result<(), MetadataError> {
    // Encoding fails only for types without a MessagePack form, and these have one.
    let value = rmp_serde::to_vec(streams).unwrap_or_default();
    // The topic keeps the newest record of each key for good: one for each writer, not one for each VM that ever wrote.
    let (vm, now) = (&gateway.settings.vm, clock::now());
    let rank = {
        let view = gateway.view();
        view.roster.rank_as_reader(vm, view.domain.eligible, now) % MAX_WRITERS
    };
    gateway.store.write(KeyedTopic::Streams, &rank.to_string(), &value).await
}

/// Reads the records that were written since the last read. Callers that ask meanwhile share the next one.
pub(crate) async fn read(gateway: &Gateway) {
    let asked_at = clock::now();
    let mut reader = gateway.origin_reader.lock().await;
    if reader.began_at.is_some_and(|began_at| began_at > asked_at) {
        return;
    }
    if let Some(began_at) = reader.began_at {
        let wait_us = READ_INTERVAL_US.saturating_sub(clock::now().since(began_at));
        sleep(Duration::from_micros(wait_us)).await;
    }
    reader.began_at = Some(clock::now());
    if let Err(error) = reader.read(gateway).await {
        event!(StoreCallFailed, topic = "streams", cause = error);
    }
}

impl OriginReader {
    async fn read(&mut self, gateway: &Gateway) -> Result<(), MetadataError> {
        let mut records = 0;
        for _ in 0..MAX_CALLS {
            let Some(from) = self.next else {
                let page = gateway.store.newest(KeyedTopic::Streams).await?;
                let EraNumber { era, number } = EraNumber::split(page.next);
                // The newest record of each writer is in the page.
                let writes = LOOK_BACK.as_millis() / interval(gateway).as_millis();
                let number = number.saturating_sub(writes as u64 * page.records.len() as u64);
                self.next = Some(EraNumber { era, number }.ordered());
                continue;
            };
            match gateway.store.read(KeyedTopic::Streams, from, None).await {
                Ok(page) => {
                    learn(gateway, &page.records);
                    self.next = Some(page.next);
                    records += page.records.len();
                    if page.whole {
                        break;
                    }
                }
                Err(MetadataError::Compacted { first })
                    if first > EraNumber::split(from).number =>
                {
                    let era = EraNumber::split(from).era;
                    self.next = Some(EraNumber { era, number: first }.ordered());
                }
                Err(MetadataError::Compacted { .. } | MetadataError::Restored { .. }) => {
                    self.next = None;
                }
                Err(error) => return Err(error),
            }
        }
        event!(OriginsRead, records = records);
        Ok(())
    }
}

fn learn(gateway: &Gateway, records: &[KeyedRecord]) {
    let mut streams = Vec::new();
    for value in records.iter().filter_map(|record| record.value.as_ref()) {
        match rmp_serde::from_slice::<Vec<ReportedStream>>(value) {
            Ok(read) => streams.extend(read),
            Err(error) => event!(RecordSkipped, topic = "streams", cause = error),
        }
    }
    origins::learn(gateway, &merge_reports(streams));
}

/// Returns how long streams are collected.
fn interval(gateway: &Gateway) -> Duration {
    let is_mixed = gateway.view().backends.has_mixed_software();
    if is_mixed { MIXED_INTERVAL } else { USUAL_INTERVAL }
}

/// Returns the stream with its newest marks only, if it has too many.
fn newest_marks(mut stream: ReportedStream) -> ReportedStream {
    let excess = stream.marks.len().saturating_sub(MAX_MARKS);
    stream.marks.drain(..excess);
    stream
}

/// Splits streams into parts that fit into a datagram.
fn split(streams: Vec<ReportedStream>) -> Vec<Vec<ReportedStream>> {
    let marks: usize = streams.iter().map(|stream| stream.marks.len()).sum();
    if marks <= MAX_MARKS {
        return vec![streams];
    }
    streams.into_iter().map(|stream| vec![newest_marks(stream)]).collect()
}

/// Returns the VM that writes the streams of `vm`, whose roster is given; `None` if it writes them itself.
pub(crate) fn writer_of(
    vm: &VmName,
    eligible: bool,
    roster: &PeerRoster,
    now: TimePoint,
) -> Option<SocketAddr> {
    let count = (roster.live_count(now) + 1).div_ceil(VMS_PER_WRITER).min(MAX_WRITERS);
    let mut writers: Vec<Option<SocketAddr>> =
        roster.readers(count, now).into_iter().map(Some).collect();
    let own = roster.rank_as_reader(vm, eligible, now);
    if own < count {
        writers.insert(own.min(writers.len()), None);
    }
    let index = stable_hash(&["writer", vm.as_str()]) as usize % count;
    writers.get(index).copied().flatten()
}
