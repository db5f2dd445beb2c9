//! How long ago the log and other VMs were last heard of.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use coltsfoothook_decision::id::{MICROS_PER_MILLI, TimePoint};
use coltsfoothook_decision::record::CONFIG_STREAM;

/// The log counts as readable for so long after a read that it answered. Reads wait at most
/// [`crate::follow::READ_WAIT`] for a record, so an idle log answers well within this time.
const READABLE_MS: u64 = 2_500;

/// The streams that are followed.
const STREAMS: usize = crate::follow::FollowedStream::ALL.len();

/// Times of the last good answers, in microseconds of the process's clock; 0 stands for never.
#[derive(Debug, Default)]
pub(crate) struct LogHealth {
    read: AtomicU64,
    appended: AtomicU64,
    append_failed: AtomicU64,
    peer: AtomicU64,
    ends: [AtomicU64; STREAMS],
    config_snapshot: AtomicU64,
    down: AtomicBool,
    stale: AtomicBool,
    control_snapshot: AtomicU64,
}

impl LogHealth {
    /// Notes an answered read, and tells whether it ends an outage that was found.
    pub(crate) fn read_answered(&self, now: TimePoint) -> bool {
        self.read.store(now.0.max(1), Ordering::Relaxed);
        self.stale.store(false, Ordering::Relaxed);
        self.down.swap(false, Ordering::Relaxed)
    }

    /// Whether the log is down and this is the first to find it.
    pub(crate) fn found_down(&self, now: TimePoint) -> bool {
        !self.readable(now) && !self.down.swap(true, Ordering::Relaxed)
    }

    /// Whether this VM is out of touch and this is the first to find it.
    pub(crate) fn found_stale(&self, now: TimePoint, limit_ms: u64) -> bool {
        let stale = self.out_of_touch(now, limit_ms);
        stale && !self.stale.swap(stale, Ordering::Relaxed)
    }

    /// Notes the offset after a stream's last record, as the log said.
    pub(crate) fn set_end(&self, stream: usize, end: u64) {
        self.ends[stream].fetch_max(end, Ordering::Relaxed);
    }

    /// The offset after a stream's last record, as the log last said.
    pub(crate) fn end(&self, stream: usize) -> u64 {
        self.ends[stream].load(Ordering::Relaxed)
    }

    /// Notes a snapshot of `stream` that was read, holding the state before `through`.
    pub(crate) fn snapshot_read(&self, stream: &str, through: u64) {
        self.snapshot_of(stream).fetch_max(through, Ordering::Relaxed);
    }

    /// The offset before which the newest snapshot that was read holds the state.
    pub(crate) fn snapshot(&self, stream: &str) -> Option<u64> {
        let through = self.snapshot_of(stream).load(Ordering::Relaxed);
        (through > 0).then_some(through)
    }

    fn snapshot_of(&self, stream: &str) -> &AtomicU64 {
        if stream == CONFIG_STREAM { &self.config_snapshot } else { &self.control_snapshot }
    }

    pub(crate) fn append_answered(&self, now: TimePoint) {
        self.appended.store(now.0.max(1), Ordering::Relaxed);
    }

    pub(crate) fn append_failed(&self, now: TimePoint) {
        self.append_failed.store(now.0.max(1), Ordering::Relaxed);
    }

    pub(crate) fn peer_answered(&self, now: TimePoint) {
        self.peer.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Whether the log answers reads now.
    pub(crate) fn readable(&self, now: TimePoint) -> bool {
        recent(&self.read, now, READABLE_MS)
    }

    /// Whether the log is thought to take appends now.
    pub(crate) fn writable(&self, now: TimePoint) -> bool {
        let failed = self.append_failed.load(Ordering::Relaxed);
        let appended = self.appended.load(Ordering::Relaxed);
        let failing = failed > appended && recent(&self.append_failed, now, READABLE_MS);
        self.readable(now) && !failing
    }

    /// Milliseconds since the log answered a read.
    pub(crate) fn since_answer_ms(&self, now: TimePoint) -> u64 {
        now.since(TimePoint(self.read.load(Ordering::Relaxed))) / MICROS_PER_MILLI
    }

    /// Whether neither the log nor another VM was heard of for `limit_ms`.
    pub(crate) fn out_of_touch(&self, now: TimePoint, limit_ms: u64) -> bool {
        !recent(&self.read, now, limit_ms) && !recent(&self.peer, now, limit_ms)
    }
}

fn recent(time: &AtomicU64, now: TimePoint, limit_ms: u64) -> bool {
    let time = time.load(Ordering::Relaxed);
    time != 0 && now.since(TimePoint(time)) <= limit_ms * MICROS_PER_MILLI
}
