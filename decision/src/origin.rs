//! Streams and the software versions of the servers that began them, over all VMs.
//!
//! What two versions write doesn't fit together, so a stream that is resumed goes on only at the version that began it.
//! A VM that doesn't know that version for certain doesn't go on with the stream. docs/PLATFORM.md, "Streams at several
//! software versions", weighs how the VMs learn it.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::id::{
    MICROS_PER_MILLI, RequestFingerprint, ServiceName, SoftwareVersion, TimePoint, stable_hash,
};
use crate::{key, value};

/// Maximum number of marks that are kept; each stream has two. The oldest give way.
const MAX_MARKS: usize = 40_000;
/// Maximum number of marks that are recorded one by one.
const MAX_SINGLE_MARKS: usize = 16;
/// Interval at which expired marks are dropped, in microseconds.
const EXPIRY_INTERVAL_US: u64 = 1_000_000;
/// Maximum number of streams that wait to be reported. More begin only where reports are not sent.
const MAX_UNREPORTED: usize = 4_096;

key! {
    /// Identifies a stream by the attempt that began it, or by its request.
    pub struct StreamMark(u64);
}

impl StreamMark {
    /// Returns the mark of the stream that an attempt began.
    #[must_use]
    pub fn of_attempt(id: &str) -> Self {
        Self(stable_hash(&["attempt", id]))
    }

    /// Returns the mark of the streams of a request, for callers that do not name the attempt.
    #[must_use]
    pub fn of_request(fingerprint: RequestFingerprint) -> Self {
        Self(stable_hash(&["request", &fingerprint.0.to_string()]))
    }
}

value! {
    /// Where a stream began.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct StreamOrigin {
        /// The service.
        pub service: ServiceName,
        /// The version of its server's software.
        pub software: SoftwareVersion,
    }

    /// A stream that began, as its VM reports it.
    pub struct ReportedStream {
        /// Where it began; `None` if streams with its mark began at several places.
        pub origin: Option<StreamOrigin>,
        /// Its marks.
        pub marks: Vec<StreamMark>,
        /// Milliseconds for which its caller may go on with it.
        pub left_ms: u32,
    }
}

/// What is known of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginVerdict<'a> {
    /// It began there.
    Known(&'a StreamOrigin),
    /// Streams with this mark began at several versions.
    Ambiguous,
    /// Nothing.
    Unknown,
}

/// A mark and what is known of it.
#[derive(Clone, Debug)]
struct MarkedStream {
    mark: StreamMark,
    /// `None` if several streams with different origins have the mark.
    origin: Option<Arc<StreamOrigin>>,
    /// Until when its caller may go on with it.
    until: TimePoint,
}

impl MarkedStream {
    /// Applies what another report says of the same mark.
    fn update(&mut self, other: Self, now: TimePoint) {
        if self.until <= now {
            *self = other;
            return;
        }
        self.until = self.until.max(other.until);
        if self.origin != other.origin {
            self.origin = None;
        }
    }
}

/// A stream that began at this VM and was not reported yet.
#[derive(Clone, Debug)]
struct UnreportedStream {
    fingerprint: RequestFingerprint,
    stream: ReportedStream,
    began_at: TimePoint,
}

/// Merges reports of the same origin into one with all their marks, which is known for the longest of their times.
#[must_use]
pub fn merge_reports(reports: impl IntoIterator<Item = ReportedStream>) -> Vec<ReportedStream> {
    let mut merged: Vec<ReportedStream> = Vec::new();
    for report in reports {
        match merged.binary_search_by(|known| known.origin.cmp(&report.origin)) {
            Ok(at) => {
                let known = &mut merged[at];
                known.left_ms = known.left_ms.max(report.left_ms);
                known.marks.extend(report.marks);
            }
            Err(at) => merged.insert(at, report),
        }
    }
    merged
}

/// The streams that this VM began or was told of.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    /// Sorted by mark.
    marks: Vec<MarkedStream>,
    /// The marks in order of their arrival.
    arrivals: VecDeque<StreamMark>,
    /// The origins of the marks, each once. Few, as a service has few versions.
    origins: Vec<Arc<StreamOrigin>>,
    /// Streams that began here and were not reported yet.
    unreported: Vec<UnreportedStream>,
    expired_at: TimePoint,
}

impl OriginTable {
    /// Records a stream that began at this VM, to be reported to others.
    pub fn begin(
        &mut self,
        attempt: &str,
        fingerprint: RequestFingerprint,
        origin: StreamOrigin,
        left_ms: u32,
        now: TimePoint,
    ) {
        let marks = vec![StreamMark::of_attempt(attempt), StreamMark::of_request(fingerprint)];
        let stream = ReportedStream { origin: Some(origin), marks, left_ms };
        self.learn(&stream, now);
        if self.unreported.len() < MAX_UNREPORTED {
            self.unreported.push(UnreportedStream { fingerprint, stream, began_at: now });
        }
    }

    /// Records a stream that another VM reported.
    pub fn learn(&mut self, stream: &ReportedStream, now: TimePoint) {
        self.drop_expired(now);
        let origin = stream.origin.as_ref().map(|origin| self.intern(origin));
        let until = now.plus(u64::from(stream.left_ms) * MICROS_PER_MILLI);
        let marked =
            |mark: &StreamMark| MarkedStream { mark: *mark, origin: origin.clone(), until };
        if stream.marks.len() > MAX_SINGLE_MARKS {
            return self.record_all(stream.marks.iter().map(marked).collect(), now);
        }
        for marked in stream.marks.iter().map(marked) {
            match self.marks.binary_search_by_key(&marked.mark, |known| known.mark) {
                Ok(at) => self.marks[at].update(marked, now),
                Err(at) => {
                    self.arrivals.push_back(marked.mark);
                    self.marks.insert(at, marked);
                }
            }
        }
        self.drop_excess();
    }

    /// Records many marks. Inserted one by one, the thousands that a starting VM reads from the store would each move
    /// half of the list.
    fn record_all(&mut self, mut marked: Vec<MarkedStream>, now: TimePoint) {
        marked.sort_unstable_by_key(|marked| marked.mark);
        let known = std::mem::take(&mut self.marks);
        self.marks.reserve(known.len() + marked.len());
        let mut known = known.into_iter().peekable();
        for marked in marked {
            while let Some(before) = known.next_if(|known| known.mark <= marked.mark) {
                self.marks.push(before);
            }
            match self.marks.last_mut().filter(|last| last.mark == marked.mark) {
                Some(last) => last.update(marked, now),
                None => {
                    self.arrivals.push_back(marked.mark);
                    self.marks.push(marked);
                }
            }
        }
        self.marks.extend(known);
        self.drop_excess();
    }

    /// Drops the oldest marks beyond [`MAX_MARKS`].
    fn drop_excess(&mut self) {
        while self.marks.len() > MAX_MARKS {
            let Some(oldest) = self.arrivals.pop_front() else { return };
            if let Ok(at) = self.marks.binary_search_by_key(&oldest, |known| known.mark) {
                self.marks.remove(at);
            }
        }
    }

    fn marked(&self, mark: StreamMark, now: TimePoint) -> Option<&MarkedStream> {
        let at = self.marks.binary_search_by_key(&mark, |known| known.mark).ok()?;
        self.marks.get(at).filter(|marked| marked.until > now)
    }

    /// Returns what is known of a stream.
    #[must_use]
    pub fn find(&self, mark: StreamMark, now: TimePoint) -> OriginVerdict<'_> {
        match self.marked(mark, now).map(|marked| marked.origin.as_deref()) {
            None => OriginVerdict::Unknown,
            Some(None) => OriginVerdict::Ambiguous,
            Some(Some(origin)) => OriginVerdict::Known(origin),
        }
    }

    /// Returns what another VM that asks for a mark is told; `None` if nothing is known.
    #[must_use]
    pub fn report(&self, mark: StreamMark, now: TimePoint) -> Option<ReportedStream> {
        let marked = self.marked(mark, now)?;
        let left_ms = marked.until.since(now) / MICROS_PER_MILLI;
        let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        let origin = marked.origin.as_deref().cloned();
        Some(ReportedStream { origin, marks: vec![mark], left_ms })
    }

    /// Returns the streams that began here and were not reported yet, which then count as reported, each with the
    /// fingerprint of its request.
    pub fn take_unreported(&mut self, now: TimePoint) -> Vec<(RequestFingerprint, ReportedStream)> {
        let left = |unreported: UnreportedStream| {
            let passed_ms = now.since(unreported.began_at).div_ceil(MICROS_PER_MILLI);
            let passed_ms = u32::try_from(passed_ms).unwrap_or(u32::MAX);
            let mut stream = unreported.stream;
            stream.left_ms = stream.left_ms.saturating_sub(passed_ms);
            (unreported.fingerprint, stream)
        };
        std::mem::take(&mut self.unreported).into_iter().map(left).collect()
    }

    /// Returns the number of marks that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no mark is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn intern(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(known) = self.origins.iter().find(|known| ***known == *origin) {
            return Arc::clone(known);
        }
        let interned = Arc::new(origin.clone());
        self.origins.push(Arc::clone(&interned));
        interned
    }

    fn drop_expired(&mut self, now: TimePoint) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL_US {
            return;
        }
        self.expired_at = now;
        self.marks.retain(|marked| marked.until > now);
        let marks = &self.marks;
        let is_kept =
            |mark: &StreamMark| marks.binary_search_by_key(mark, |known| known.mark).is_ok();
        self.arrivals.retain(is_kept);
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
    }
}
