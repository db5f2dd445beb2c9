//! Names and numbers that identify the entities of the system.

use crate::{key, name, value};

name! {
    /// Customer, a company or one of its client organisations, on whose account requests run.
    pub struct CustomerName;
    /// LoRA adapter, without its version.
    pub struct AdapterName;
    /// Published version of an adapter; opaque text chosen by the operators.
    pub struct VersionName;
    /// Base model that adapters build on.
    pub struct ModelName;
    /// Backend server: a model engine or a plain service.
    pub struct ServerName;
    /// Version of the software that a backend server runs; opaque text, compared only for equality.
    pub struct SoftwareVersion;
    /// Service that one or more backend servers offer.
    pub struct ServiceName;
    /// Entry VM, across all its incarnations.
    pub struct VmName;
    /// Failure domain: the VMs and servers that may fail together.
    pub struct DomainName;
    /// Region, which contains failure domains.
    pub struct RegionName;
    /// Group of engines with one owner VM; see docs/DESIGN.md, "Groups".
    pub struct GroupName;
    /// Name of a loaded adapter version at an engine. It contains the epoch of the owner that
    /// loaded it, so that a request of a deposed owner never reaches a later load.
    pub struct SlotName;
    /// Request id, unique within one VM incarnation.
    pub struct RequestId;
    /// Audit job id, chosen by the caller or by the VM that accepts the job.
    pub struct JobId;
    /// Idempotency key of a caller, scoped to its customer.
    pub struct IdempotencyKey;
}

key! {
    /// Incarnation of an entry VM's process: a random number drawn at each start.
    pub struct VmIncarnation(u64);
    /// Incarnation of a backend server's process, as the server reports it.
    pub struct ServerIncarnation(u64);
    /// Epoch of a group's ownership. It grows by one with each takeover and is the fencing number
    /// of the owner's orders.
    pub struct OwnerEpoch(u64);
    /// Position in a stream of the platform's log.
    pub struct LogOffset(u64);
    /// Version of the configuration; the first accepted one is 1, and 0 means none.
    pub struct ConfigVersion(u64);
    /// Stable hash of a request's content without its id; see docs/DESIGN.md, "Poison requests".
    pub struct RequestFingerprint(u64);
    /// Part of a prompt that many requests may share, whatever its length, its place and the rest of the request.
    pub struct PartFingerprint(u64);
    /// Time in microseconds on a process's own monotonic clock. Never sent to another process.
    pub struct TimePoint(u64);
}

impl TimePoint {
    /// Returns the time `micros` microseconds later, saturating.
    #[must_use]
    pub fn plus(self, micros: u64) -> Self {
        Self(self.0.saturating_add(micros))
    }

    /// Returns the microseconds since `earlier`, or 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// What processes' clocks begin at. Times before the start of a VM or process can so be expressed: what the store
/// keeps of crashes is up to a day old.
pub const CLOCK_ORIGIN: TimePoint = TimePoint(100_000_000_000);

/// Microseconds per millisecond; settings and messages are in milliseconds.
pub const MICROS_PER_MILLI: u64 = 1_000;

value! {
    /// Adapter and version that a request names; both must be served exactly.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct AdapterVersion {
        /// The adapter.
        pub adapter: AdapterName,
        /// Version of the adapter.
        pub version: VersionName,
    }

    /// One incarnation of an entry VM.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct VmIdentity {
        /// Name of the VM.
        pub vm: VmName,
        /// Incarnation of its process.
        pub incarnation: VmIncarnation,
    }
}

impl std::fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

/// Returns a 64-bit hash of `parts` that is the same in every release and on every VM.
///
/// Owners and groups are selected by it, so its value must never differ between VMs.
#[must_use]
pub fn stable_hash(parts: &[&str]) -> u64 {
    hash_parts(parts.iter().map(|part| part.as_bytes()))
}

/// Returns the same hash as [`stable_hash`], of parts that need not be text.
#[must_use]
pub fn stable_hash_bytes(parts: &[&[u8]]) -> u64 {
    hash_parts(parts.iter().copied())
}

fn hash_parts<'a>(parts: impl Iterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
