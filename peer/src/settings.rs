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

    /// Fails if TLS is not configured (`tls_configured` is false) and plaintext is not permitted.
    pub(crate) fn check_tls(&self, tls_configured: bool) -> Result<(), SetupError> {
        snafu::ensure!(tls_configured || self.plaintext, NoKeysSnafu);
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

/// Counters for metrics: refused connections and messages, and traffic.
#[derive(Debug, Default)]
pub struct PeerCounters {
    failed_handshakes: AtomicU64,
    broken_frames: AtomicU64,
    forged_names: AtomicU64,
    unsupported_messages: AtomicU64,
    refused_connections: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
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
        self.failed_handshakes.load(Ordering::Relaxed)
    }

    /// Returns the number of frames that were invalid, too large or truncated, each of which closes
    /// its connection.
    #[must_use]
    pub fn broken_frames(&self) -> u64 {
        self.broken_frames.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that name a VM other than their sender, and of replies that name
    /// one other than the call's target.
    #[must_use]
    pub fn forged_names(&self) -> u64 {
        self.forged_names.load(Ordering::Relaxed)
    }

    /// Returns the number of received calls that this release cannot decode.
    #[must_use]
    pub fn unsupported_messages(&self) -> u64 {
        self.unsupported_messages.load(Ordering::Relaxed)
    }

    /// Returns the number of connections refused because [`PeerSettings::connections`] were open.
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.refused_connections.load(Ordering::Relaxed)
    }

    /// Returns the bytes of frames sent, without TLS and TCP overhead.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes of frames received, without TLS and TCP overhead.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
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

    pub(crate) fn count_sent(&self, kind: TrafficKind, frame_bytes: usize) {
        self.sent_bytes.fetch_add(self.count_traffic(kind, frame_bytes), Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, kind: TrafficKind, frame_bytes: usize) {
        self.received_bytes.fetch_add(self.count_traffic(kind, frame_bytes), Ordering::Relaxed);
    }

    /// Counts a frame of `frame_bytes` plus its length field, and returns the sum of both in bytes.
    fn count_traffic(&self, kind: TrafficKind, frame_bytes: usize) -> u64 {
        let bytes = u64::try_from(frame_bytes + LENGTH_BYTES).unwrap_or(u64::MAX);
        let counter = self.traffic(kind);
        counter.messages.fetch_add(1, Ordering::Relaxed);
        counter.bytes.fetch_add(bytes, Ordering::Relaxed);
        bytes
    }

    pub(crate) fn count_failed_handshake(&self) {
        self.failed_handshakes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_broken_frame(&self) {
        self.broken_frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_forged_name(&self) {
        self.forged_names.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_unsupported(&self) {
        self.unsupported_messages.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_refused_connection(&self) {
        self.refused_connections.fetch_add(1, Ordering::Relaxed);
    }
}
