//! Streams of the log stand-in: offsets, retention and the rate limit of appends.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use coltsfoothook_decision::id::LogOffset;
use coltsfoothook_platform::{AppendedRange, LogPage, LoggedRecord};

/// Limits of retention and of the rate of appends.
#[derive(Clone, Debug)]
pub(crate) struct StreamLimits {
    pub(crate) appends_per_s: f64,
    pub(crate) append_burst: f64,
    pub(crate) retain: Duration,
    /// Maximum number of records per stream.
    pub(crate) retain_records: usize,
}

/// All streams of the log. Offsets start at 0 in each.
#[derive(Clone)]
pub(crate) struct LogStreams {
    limits: StreamLimits,
    /// Sorted by name.
    streams: Vec<NamedStream>,
    /// Tokens in the bucket that limits the rate of appends.
    tokens: f64,
    /// When the bucket was last refilled.
    refilled: Instant,
}

#[derive(Clone)]
struct NamedStream {
    name: String,
    first_kept: u64,
    records: VecDeque<KeptRecord>,
}

#[derive(Clone)]
struct KeptRecord {
    at: Instant,
    data: String,
}

/// Maximum size of a page.
#[derive(Clone, Copy)]
pub(crate) struct PageLimit {
    pub(crate) records: usize,
    /// A longer first record is still returned, so that readers can proceed past it.
    pub(crate) bytes: usize,
}

/// Result of a read.
pub(crate) enum ReadResult {
    Page(LogPage),
    /// The record at the requested offset was dropped, or the log does not have that offset;
    /// contains the first kept offset.
    BehindRetention(LogOffset),
}

impl LogStreams {
    /// Creates a log without streams.
    pub(crate) fn new(limits: StreamLimits, now: Instant) -> Self {
        Self { tokens: limits.append_burst, limits, streams: Vec::new(), refilled: now }
    }

    /// Takes an append out of the rate limit, or returns the milliseconds until one is available.
    pub(crate) fn admit(&mut self, now: Instant) -> Result<(), u64> {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let refilled = self.tokens + elapsed * self.limits.appends_per_s;
        self.tokens = refilled.min(self.limits.append_burst);
        self.refilled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.tokens) / self.limits.appends_per_s.max(f64::EPSILON);
        Err((wait_s * 1_000.0).ceil() as u64)
    }

    /// Appends records, regardless of the rate limit.
    pub(crate) fn append(
        &mut self,
        name: &str,
        records: Vec<String>,
        now: Instant,
    ) -> AppendedRange {
        let limits = self.limits.clone();
        let stream = self.stream(name);
        let first = stream.next();
        stream.records.extend(records.into_iter().map(|data| KeptRecord { at: now, data }));
        stream.apply_retention(&limits, now);
        AppendedRange { first: LogOffset(first), next: LogOffset(stream.next()) }
    }

    /// Reads the records from offset `from` on.
    pub(crate) fn read(
        &mut self,
        name: &str,
        from: u64,
        limit: PageLimit,
        now: Instant,
    ) -> ReadResult {
        let limits = self.limits.clone();
        let stream = self.stream(name);
        stream.apply_retention(&limits, now);
        let first_kept = LogOffset(stream.first_kept);
        if from < stream.first_kept || from > stream.next() {
            return ReadResult::BehindRetention(first_kept);
        }
        let skip = usize::try_from(from - stream.first_kept).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let kept = stream.records.iter().skip(skip).take(limit.records).enumerate();
        let records: Vec<LoggedRecord> = kept
            .take_while(|(index, record)| {
                bytes += record.data.len();
                *index == 0 || bytes <= limit.bytes
            })
            .map(|(index, record)| LoggedRecord {
                offset: LogOffset(from + index as u64),
                data: record.data.clone(),
            })
            .collect();
        let next = LogOffset(from + records.len() as u64);
        ReadResult::Page(LogPage { records, first_kept, next })
    }

    /// Drops all records of a stream before `offset`, as retention would.
    pub(crate) fn forget_before(&mut self, name: &str, offset: u64) {
        let stream = self.stream(name);
        while stream.first_kept < offset && stream.records.pop_front().is_some() {
            stream.first_kept += 1;
        }
    }

    /// Returns the stream `name`, creating it if missing.
    fn stream(&mut self, name: &str) -> &mut NamedStream {
        let found = self.streams.binary_search_by(|stream| stream.name.as_str().cmp(name));
        let at = found.unwrap_or_else(|at| {
            let stream =
                NamedStream { name: name.to_owned(), first_kept: 0, records: VecDeque::new() };
            self.streams.insert(at, stream);
            at
        });
        &mut self.streams[at]
    }
}

impl NamedStream {
    /// Returns the offset of the next record.
    fn next(&self) -> u64 {
        self.first_kept + self.records.len() as u64
    }

    /// Drops records beyond the retention limits.
    fn apply_retention(&mut self, limits: &StreamLimits, now: Instant) {
        let expired =
            |record: &KeptRecord| now.saturating_duration_since(record.at) > limits.retain;
        while self.records.len() > limits.retain_records
            || self.records.front().is_some_and(expired)
        {
            self.records.pop_front();
            self.first_kept += 1;
        }
    }
}
