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
    let later: Vec<&str> = present
        .iter()
        .filter(|record| record.offset >= from)
        .map(|record| record.data.as_str())
        .collect();
    let lost = recent.records.iter().skip(at).map(|record| record.data.as_str());
    let mut again: Vec<String> = lost
        .filter(|data| !later.contains(data) && !is_snapshot(stream, data))
        .map(str::to_owned)
        .collect();
    let appended = again.len();
    if appended > 0 {
        // What others appended meanwhile may build on what was lost; a VM that starts now would
        // have refused it, and reads it again behind.
        again.extend(
            later.iter().filter(|data| !is_snapshot(stream, data)).map(|data| (*data).to_owned()),
        );
    }
    for batch in again.chunks(BATCH_RECORDS) {
        core.clients.log.append(stream.name(), batch).await?;
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
