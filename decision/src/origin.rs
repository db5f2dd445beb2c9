//! Streams and the software versions of the servers that began them, over all VMs.
//!
//! What two versions write doesn't fit together, so a stream that is resumed goes on only at the version that began it.
//! A VM that doesn't know that version for certain doesn't go on with the stream. docs/PLATFORM.md, "Streams at several
//! software versions", weighs how the VMs learn it.

use std::collections::VecDeque;

use crate::id::{
    MICROS_PER_MILLI, RequestFingerprint, ServiceName, SoftwareVersion, TimePoint, stable_hash,
};
use crate::{key, value};

/// Maximum number of marks that are kept; each stream has two. The oldest give way.
const MAX_MARKS: usize = 40_000;
/// Interval at which expired marks are dropped, in microseconds.
const EXPIRY_INTERVAL_US: u64 = 1_000_000;
/// Maximum number of origins. Streams of further ones do not go on.
const MAX_ORIGINS: usize = 1_024;
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
    /// Index of its origin; `None` if several streams with different origins have the mark.
    origin: Option<u32>,
    /// Until when its caller may go on with it.
    until: TimePoint,
}

/// A stream that began at this VM and was not reported yet.
#[derive(Clone, Debug)]
struct UnreportedStream {
    fingerprint: RequestFingerprint,
    stream: ReportedStream,
    began_at: TimePoint,
}

/// The streams that this VM began or was told of.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    /// Sorted by mark.
    marks: Vec<MarkedStream>,
    /// The marks in order of their arrival.
    arrivals: VecDeque<StreamMark>,
    /// Each origin once. Few, as a service has few versions.
    origins: Vec<StreamOrigin>,
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
        let origin = stream.origin.as_ref().and_then(|origin| self.intern(origin));
        let until = now.plus(u64::from(stream.left_ms) * MICROS_PER_MILLI);
        for mark in &stream.marks {
            self.record(*mark, origin, until, now);
        }
    }

    fn record(&mut self, mark: StreamMark, origin: Option<u32>, until: TimePoint, now: TimePoint) {
        let marked = MarkedStream { mark, origin, until };
        match self.marks.binary_search_by_key(&mark, |known| known.mark) {
            Ok(at) if self.marks[at].until <= now => self.marks[at] = marked,
            Ok(at) => {
                let known = &mut self.marks[at];
                known.origin = known.origin.filter(|known| Some(*known) == origin);
                known.until = known.until.max(until);
            }
            Err(at) => {
                self.marks.insert(at, marked);
                self.arrivals.push_back(mark);
            }
        }
        while self.marks.len() > MAX_MARKS {
            let Some(oldest) = self.arrivals.pop_front() else { return };
            if let Ok(at) = self.marks.binary_search_by_key(&oldest, |known| known.mark) {
                self.marks.remove(at);
            }
        }
    }

    /// Returns what is known of a stream.
    #[must_use]
    pub fn find(&self, mark: StreamMark, now: TimePoint) -> OriginVerdict<'_> {
        let found = self.marks.binary_search_by_key(&mark, |known| known.mark);
        let marked = found.ok().map(|at| &self.marks[at]).filter(|marked| marked.until > now);
        match marked.map(|marked| marked.origin) {
            None => OriginVerdict::Unknown,
            Some(None) => OriginVerdict::Ambiguous,
            Some(Some(origin)) => OriginVerdict::Known(&self.origins[origin as usize]),
        }
    }

    /// Returns what another VM that asks for a mark is told; `None` if nothing is known.
    #[must_use]
    pub fn report(&self, mark: StreamMark, now: TimePoint) -> Option<ReportedStream> {
        let at = self.marks.binary_search_by_key(&mark, |known| known.mark).ok()?;
        let marked = self.marks.get(at).filter(|marked| marked.until > now)?;
        let origin = marked.origin.map(|origin| self.origins[origin as usize].clone());
        let left_ms = marked.until.since(now) / MICROS_PER_MILLI;
        let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
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

    /// Returns the index of an origin; `None` if there are too many.
    fn intern(&mut self, origin: &StreamOrigin) -> Option<u32> {
        if let Some(at) = self.origins.iter().position(|known| known == origin) {
            return Some(at as u32);
        }
        if self.origins.len() >= MAX_ORIGINS {
            return None;
        }
        self.origins.push(origin.clone());
        Some(self.origins.len() as u32 - 1)
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
    }
}
