//! Bounds of the calls between VMs, and what is counted.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfoothook_telemetry::TrafficKind;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Bytes of the length that precedes each frame.
const LENGTH_BYTES: usize = 4;

/// Settings of the calls between entry VMs.
///
/// Two releases talk to each other while VMs are replaced one by one: fields are sent by name,
/// unknown ones are ignored, new ones need a serde default, and a method that the receiver does not
/// know is answered with [`crate::FaultReason::Unsupported`] without harm to the connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Where to listen. Port 0 takes a free one.
    pub listen: SocketAddr,
    /// Whether to speak without TLS, for loopback and tests. Without TLS any process that reaches
    /// the port can pretend to be a VM, so leaving out the keys is not enough.
    pub plaintext: bool,
    /// The largest frame in bytes; a snapshot of the configuration must fit.
    pub frame_bytes: usize,
    /// The most connections that are served at once.
    pub connections: usize,
    /// The most calls in flight on a connection, at either end.
    pub calls: usize,
    /// Milliseconds for connecting, and again for the TLS handshake.
    pub connect_timeout_ms: u64,
    /// Milliseconds after a failed connect before the next, doubled with each failure.
    pub backoff_ms: u64,
    /// The most milliseconds between connects.
    pub backoff_most_ms: u64,
    /// The longest time in milliseconds that a call may take, whatever its sender says.
    pub call_most_ms: u64,
    /// Milliseconds after which a connection that nobody used is closed.
    pub idle_ms: u64,
    /// Milliseconds that closing waits for running calls.
    pub close_ms: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            plaintext: false,
            frame_bytes: 8 * 1024 * 1024,
            connections: 1_024,
            calls: 4_096,
            connect_timeout_ms: 1_000,
            backoff_ms: 50,
            backoff_most_ms: 1_000,
            call_most_ms: 600_000,
            idle_ms: 60_000,
            close_ms: 2_000,
        }
    }
}

impl PeerSettings {
    pub(crate) fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Fails where TLS is neither given nor waived.
    pub(crate) fn check_tls(&self, given: bool) -> Result<(), SetupError> {
        snafu::ensure!(given || self.plaintext, NoKeysSnafu);
        Ok(())
    }
}

/// Calls between VMs could not be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SetupError {
    /// Neither keys nor an explicit waiver.
    #[snafu(display("calls between VMs need TLS keys, or plaintext set to true in the settings"))]
    NoKeys,
    /// The address cannot be bound.
    #[snafu(display("cannot listen for other VMs at {listen}"))]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// Counts of refused peers, broken frames and bytes, for metrics.
#[derive(Debug, Default)]
pub struct PeerCounters {
    handshakes: AtomicU64,
    frames: AtomicU64,
    forged: AtomicU64,
    unsupported: AtomicU64,
    crowded: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
    probes: TrafficCounter,
    grants: TrafficCounter,
    calls: TrafficCounter,
}

/// Frames of one kind that are not yet told.
#[derive(Debug, Default)]
struct TrafficCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Frames, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// How many.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl PeerCounters {
    /// Connections that ended in the TLS handshake: no certificate of ours, or no TLS at all.
    #[must_use]
    pub fn failed_handshakes(&self) -> u64 {
        self.handshakes.load(Ordering::Relaxed)
    }

    /// Connections closed for a frame that was garbage, too large or cut.
    #[must_use]
    pub fn broken_frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    /// Messages that claimed another VM's name.
    #[must_use]
    pub fn forged_names(&self) -> u64 {
        self.forged.load(Ordering::Relaxed)
    }

    /// Messages that this release does not know.
    #[must_use]
    pub fn unsupported_messages(&self) -> u64 {
        self.unsupported.load(Ordering::Relaxed)
    }

    /// Connections refused because there were too many.
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.crowded.load(Ordering::Relaxed)
    }

    /// Bytes of frames sent, without what TLS and TCP add.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes of frames received, without what TLS and TCP add.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Frames of a kind since this was asked the last time.
    #[must_use]
    pub fn take_traffic(&self, kind: TrafficKind) -> TrafficCount {
        let counter = self.traffic(kind);
        TrafficCount {
            messages: counter.messages.swap(0, Ordering::Relaxed),
            bytes: counter.bytes.swap(0, Ordering::Relaxed),
        }
    }

    fn traffic(&self, kind: TrafficKind) -> &TrafficCounter {
        match kind {
            TrafficKind::Probe => &self.probes,
            TrafficKind::Grant => &self.grants,
            _ => &self.calls,
        }
    }

    pub(crate) fn count_sent(&self, kind: TrafficKind, frame: usize) {
        self.sent.fetch_add(self.count_traffic(kind, frame), Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, kind: TrafficKind, frame: usize) {
        self.received.fetch_add(self.count_traffic(kind, frame), Ordering::Relaxed);
    }

    fn count_traffic(&self, kind: TrafficKind, frame: usize) -> u64 {
        let bytes = u64::try_from(frame + LENGTH_BYTES).unwrap_or(u64::MAX);
        let counter = self.traffic(kind);
        counter.messages.fetch_add(1, Ordering::Relaxed);
        counter.bytes.fetch_add(bytes, Ordering::Relaxed);
        bytes
    }

    pub(crate) fn count_handshake(&self) {
        self.handshakes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_frame(&self) {
        self.frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_forged(&self) {
        self.forged.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_unsupported(&self) {
        self.unsupported.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_crowded(&self) {
        self.crowded.fetch_add(1, Ordering::Relaxed);
    }
}
