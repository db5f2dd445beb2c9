//! Settings, setup errors and counters of calls between VMs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfoothook_telemetry::TrafficKind;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Size in bytes of the length field that precedes each frame.
const LENGTH_BYTES: usize = 4;

/// Settings of the calls between entry VMs.
///
/// Different releases call each other during a rolling upgrade. Message fields are sent by name,
/// the receiver ignores unknown ones, and new ones need a serde default. A call of an unknown
/// method is answered with [`crate::FaultReason::Unsupported`], and the connection stays open.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Address to listen at. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// Whether connections without TLS are permitted, for loopback and tests. Without TLS any
    /// process that reaches the port can impersonate a VM, so omitting the keys must not imply it.
    pub plaintext: bool,
    /// Maximum frame size in bytes. A snapshot of the configuration must fit.
    pub frame_bytes: usize,
    /// Maximum number of connections that the server serves at once.
    pub connections: usize,
    /// Maximum number of calls in flight on a connection, applied by both client and server.
    pub calls: usize,
    /// Timeout in milliseconds for the TCP connection, and separately for the TLS handshake.
    pub connect_timeout_ms: u64,
    /// Delay in milliseconds after the first failed attempt to connect; doubles with each further
    /// one.
    pub backoff_ms: u64,
    /// Maximum of that delay in milliseconds.
    pub backoff_most_ms: u64,
    /// Maximum duration of a call in milliseconds, also if its sender requests a longer one.
    pub call_most_ms: u64,
    /// Milliseconds since the last call after which a client may close a connection. It does so
    /// when it next calls a new target.
    pub idle_ms: u64,
    /// Milliseconds that a closing server waits for running calls.
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

    /// Fails if TLS is not configured (`given` is false) and plaintext is not permitted.
    pub(crate) fn check_tls(&self, given: bool) -> Result<(), SetupError> {
        snafu::ensure!(given || self.plaintext, NoKeysSnafu);
        Ok(())
    }
}

/// The client or server side of calls between VMs could not be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SetupError {
    /// There is no TLS configuration and [`PeerSettings::plaintext`] is not set.
    #[snafu(display("calls between VMs need TLS keys, or plaintext set to true in the settings"))]
    NoKeys,
    /// The address cannot be bound.
    #[snafu(display("cannot listen for other VMs at {listen}"))]
    Listen {
        /// The address in the settings.
        listen: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
}

/// Counters of refused connections and messages and of traffic, for metrics.
#[derive(Debug, Default)]
pub struct PeerCounters {
    bad_handshakes: AtomicU64,
    bad_frames: AtomicU64,
    forged: AtomicU64,
    unsupported: AtomicU64,
    over_limit: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
    probes: TrafficCounter,
    grants: TrafficCounter,
    calls: TrafficCounter,
}

/// Frames of one kind, in both directions, since the last [`PeerCounters::take_traffic`].
#[derive(Debug, Default)]
struct TrafficCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Numbers of frames and bytes, sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Number of frames.
    pub messages: u64,
    /// Size of the frames in bytes, without TLS and TCP overhead.
    pub bytes: u64,
}

impl PeerCounters {
    /// Returns the number of failed TLS handshakes: no certificate of a configured CA, a
    /// certificate for another name, no TLS, or a timeout.
    #[must_use]
    pub fn failed_handshakes(&self) -> u64 {
        self.bad_handshakes.load(Ordering::Relaxed)
    }

    /// Returns the number of frames that were invalid, too large or truncated, each of which closes
    /// its connection.
    #[must_use]
    pub fn broken_frames(&self) -> u64 {
        self.bad_frames.load(Ordering::Relaxed)
    }

    /// Returns the number of messages with the name of another VM than the sender or call target.
    #[must_use]
    pub fn forged_names(&self) -> u64 {
        self.forged.load(Ordering::Relaxed)
    }

    /// Returns the number of received messages that this release cannot decode.
    #[must_use]
    pub fn unsupported_messages(&self) -> u64 {
        self.unsupported.load(Ordering::Relaxed)
    }

    /// Returns the number of connections refused because [`PeerSettings::connections`] were open.
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.over_limit.load(Ordering::Relaxed)
    }

    /// Returns the bytes of frames sent, without TLS and TCP overhead.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the bytes of frames received, without TLS and TCP overhead.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the traffic of a kind since the last call with that kind, and resets its count.
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

    /// Counts a frame of `frame` bytes without its length field, and returns its size with it.
    fn count_traffic(&self, kind: TrafficKind, frame: usize) -> u64 {
        let bytes = u64::try_from(frame + LENGTH_BYTES).unwrap_or(u64::MAX);
        let counter = self.traffic(kind);
        counter.messages.fetch_add(1, Ordering::Relaxed);
        counter.bytes.fetch_add(bytes, Ordering::Relaxed);
        bytes
    }

    pub(crate) fn count_failed_handshake(&self) {
        self.bad_handshakes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_broken_frame(&self) {
        self.bad_frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_forged_name(&self) {
        self.forged.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_unsupported(&self) {
        self.unsupported.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_refused_connection(&self) {
        self.over_limit.fetch_add(1, Ordering::Relaxed);
    }
}
