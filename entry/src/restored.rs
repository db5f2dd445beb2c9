//! Recovers records that the log lost when it came back from an older copy of itself.
//!
//! Each VM keeps the records that it read last. Those that the log does not have any more are appended
//! again by every VM that misses them, since folds ignore duplicates; state that was folded stays.
//! docs/AGREEMENT.md, "A log that comes back from a copy", says what holds meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfoothook_decision::id::LogOffset;
use coltsfoothook_decision::record::{ConfigRecord, ControlRecord};
use coltsfoothook_platform::{LogError, LoggedRecord};
use coltsfoothook_telemetry::event;

use crate::core::EntryCore;
use crate::follow::FollowedStream;

/// Maximum number of records that are kept, and of their bytes: a copy is some seconds old.
const MAX_RECORDS: usize = 4_096;
const MAX_BYTES: usize = 4 << 20;
/// Number of records in one read and in one append.
const BATCH_RECORDS: usize = 256;
/// Maximum number of times that records are appended in one recovery.
const MAX_ROUNDS: usize = 4;

/// The records of a stream that were read last, in order of offset.
#[derive(Debug, Default)]
pub(crate) struct RecentRecords {
    records: VecDeque<LoggedRecord>,
    bytes: usize,
}

impl RecentRecords {
    pub(crate) fn push(&mut self, record: LoggedRecord) {
        self.bytes += record.data.len();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(dropped) = self.records.pop_front() else { return };
            self.bytes -= dropped.data.len();
        }
    }

    /// Returns the first offset at which the log, which holds `present`, has another record than
    /// the one that was read there, or none.
    fn divergence(&self, present: &[LoggedRecord]) -> Option<LogOffset> {
        let same = |record: &LoggedRecord| {
            let found = present.binary_search_by_key(&record.offset, |other| other.offset);
            found.is_ok_and(|at| present[at].data == record.data)
        };
        self.records.iter().find(|record| !same(record)).map(|record| record.offset)
    }

    /// Removes and returns the records from an offset on.
    fn split_off(&mut self, from: LogOffset) -> Vec<LoggedRecord> {
        let at = self.records.partition_point(|record| record.offset < from);
        let removed: Vec<LoggedRecord> = self.records.drain(at..).collect();
        self.bytes -= removed.iter().map(|record| record.data.len()).sum::<usize>();
        removed
    }
}

/// Appends again what the log lost, and lets the stream read on where the log differs from what was
/// read.
///
/// # Errors
///
/// If the log cannot be read or appended to. It may then have some of the records; the next call
/// appends the others.
pub(crate) async fn recover(
    core: &EntryCore,
    stream: FollowedStream,
    recent: &mut RecentRecords,
) -> Result<(), LogError> {
    let (Some(first), Some(last)) = (recent.records.front(), recent.records.back()) else {
        stream.rewind(core, LogOffset(0));
        return Ok(());
    };
    let (first, end) = (first.offset, LogOffset(last.offset.0 + 1));
    let present = read_from(core, stream, first).await?;
    let Some(from) = recent.divergence(&present) else {
        stream.rewind(core, end);
        return Ok(());
    };
    let at = recent.records.partition_point(|record| record.offset < from);
    let lost: Vec<&str> =
        recent.records.iter().skip(at).map(|record| record.data.as_str()).collect();
    let mut appended = 0;
    // What others append between the read and the append comes ahead of what was lost, so that the order is checked
    // again behind each append.
    let mut present = present;
    for _ in 0..MAX_ROUNDS {
        let again =
            missing_records(&kept(stream, &lost), &kept(stream, &data_from(&present, from)));
        if again.is_empty() {
            break;
        }
        for batch in again.chunks(BATCH_RECORDS) {
            core.clients.log.append(stream.name(), batch).await?;
        }
        appended += again.len();
        present = read_from(core, stream, from).await?;
    }
    recent.split_off(from);
    stream.rewind(core, from);
    event!(
        LogRestored,
        stream = stream.name(),
        era = core.clients.log.era(),
        from = from,
        appended = appended,
    );
    Ok(())
}

/// Returns the data of the records from an offset on.
fn data_from(records: &[LoggedRecord], from: LogOffset) -> Vec<&str> {
    let later = records.iter().filter(|record| record.offset >= from);
    later.map(|record| record.data.as_str()).collect()
}

/// Returns the records that are no snapshots.
fn kept<'a>(stream: FollowedStream, records: &[&'a str]) -> Vec<&'a str> {
    records.iter().copied().filter(|data| !is_snapshot(stream, data)).collect()
}

/// Returns what must be appended so that a VM that reads the log from its beginning folds what was lost first, and then what
/// others appended meanwhile; nothing if `later`, what the log has now, is in that order already.
///
/// Others may have appended a change that builds on a lost one before a VM appended the lost one again. It does not help
/// then that the log has both: a reader refuses the change, as its base is not in force yet.
fn missing_records(lost: &[&str], later: &[&str]) -> Vec<String> {
    if lost.is_empty() {
        return Vec::new();
    }
    let mut ordered: Vec<&str> = Vec::new();
    for data in lost.iter().chain(later) {
        if !ordered.contains(data) {
            ordered.push(data);
        }
    }
    let mut present = later.iter();
    if ordered.iter().all(|data| present.any(|other| other == data)) {
        return Vec::new();
    }
    ordered.into_iter().map(str::to_owned).collect()
}

/// Reads a stream from an offset on, or from its beginning if the log ends before that.
async fn read_from(
    core: &EntryCore,
    stream: FollowedStream,
    from: LogOffset,
) -> Result<Vec<LoggedRecord>, LogError> {
    let (mut at, mut records) = (from, Vec::new());
    loop {
        match core.clients.log.read(stream.name(), at, BATCH_RECORDS, Duration::ZERO).await {
            Ok(page) if page.records.is_empty() => return Ok(records),
            Ok(page) => {
                at = page.next;
                records.extend(page.records);
            }
            Err(LogError::BehindRetention { first_kept }) if first_kept != at => at = first_kept,
            Err(error) => return Err(error),
        }
    }
}

/// Returns whether a record is a snapshot. Those are written anew, with the offsets that hold then.
fn is_snapshot(stream: FollowedStream, data: &str) -> bool {
    match stream {
        FollowedStream::Config => {
            matches!(serde_json::from_str(data), Ok(ConfigRecord::Snapshot { .. }))
        }
        FollowedStream::Control => {
            matches!(serde_json::from_str(data), Ok(ControlRecord::Snapshot(_)))
        }
        FollowedStream::Claims | FollowedStream::Jobs => false,
    }
}
