//! The bodies of operators' calls and of their answers.

use coltsfoothook_decision::check::{ManifestFault, check_manifest};
use coltsfoothook_decision::delta::apply_delta;
use coltsfoothook_decision::id::{ConfigVersion, VmName};
use coltsfoothook_decision::manifest::{ServingManifest, VersionedManifest};
use coltsfoothook_decision::message::{ExplainReply, StatusReply};
use coltsfoothook_decision::record::ConfigChange;
use coltsfoothook_decision::value;

value! {
    /// A change to be published.
    pub struct PublishCall {
        /// The version that the change builds on.
        pub base: ConfigVersion,
        /// Chosen by the publisher and the same when it is sent again, so that a repeat changes
        /// nothing: 1 to 128 bytes, by the rules for names.
        pub publish_id: String,
        /// What changes.
        pub change: ConfigChange,
    }

    /// What became of a publication.
    pub enum PublishAnswer {
        /// It is in force as this version.
        Accepted(ConfigVersion),
        /// It was accepted before, as this version; nothing changed.
        Repeated(ConfigVersion),
        /// Another publication came first.
        Stale {
            /// The version in force.
            in_force: ConfigVersion,
        },
        /// The change has faults and is never in force.
        Rejected(Vec<ManifestFault>),
        /// The log's answer was lost, and the publication was not found in the log in time. It may
        /// still come into force; sending it again with the same id is safe.
        Unknown,
        /// The log does not take it, so nothing changed.
        LogUnavailable,
        /// This VM does not know the configuration in force, so it cannot judge the publication.
        NotReady,
    }

    /// The body of the answer to a publication that was accepted, now or before.
    #[derive(Copy, Eq)]
    pub struct PublishedAnswer {
        /// The version it made.
        pub version: ConfigVersion,
        /// Whether it had been accepted before this call.
        pub repeated: bool,
    }

    /// The configuration in force.
    pub struct ManifestAnswer {
        /// Its version.
        pub version: ConfigVersion,
        /// The manifest, in normal form.
        pub manifest: ServingManifest,
    }

    /// What every entry VM knows and does.
    pub struct FleetStatus {
        /// The VM that answered the operator.
        pub asked: VmName,
        /// All VMs that it knows of, sorted by name.
        pub vms: Vec<VmStatus>,
    }

    /// One VM's part in the status.
    pub struct VmStatus {
        /// The VM.
        pub vm: VmName,
        /// What it says; none if it did not answer in time.
        pub reply: Option<StatusReply>,
    }

    /// Begins or ends a drain.
    #[derive(Copy, Eq)]
    pub struct DrainCall {
        /// Whether it drains from now on.
        pub draining: bool,
    }

    /// What may be drained.
    #[derive(Copy, Eq)]
    pub enum DrainKind {
        /// An entry VM.
        Vm,
        /// A backend server.
        Server,
    }

    /// Lifts a condemnation.
    #[derive(Eq)]
    pub struct LiftCall {
        /// The fingerprint in hexadecimal, as the log and the caller's problem document give it.
        pub fingerprint: String,
    }

    /// What became of a record that an operator's call appends, other than a publication.
    #[derive(Copy, Eq)]
    pub enum WriteAnswer {
        /// It stands in the log.
        Written,
        /// The log's answer was lost and the record was not found in time; repeating is safe.
        Unknown,
        /// The log does not take it, so nothing changed.
        LogUnavailable,
        /// The named thing is not known.
        UnknownName,
    }

    /// The body of the answer to a call that appended a record.
    #[derive(Copy, Eq)]
    pub struct WrittenAnswer {
        /// Always true; failures are problem documents.
        pub written: bool,
    }

    /// The steps of a request at every VM that remembers it.
    pub struct ExplainAnswer {
        /// One reply for each such VM.
        pub replies: Vec<ExplainReply>,
    }

    /// Whether a VM takes work.
    pub struct HealthAnswer {
        /// Whether it does.
        pub ready: bool,
        /// Why not, or nothing.
        pub reason: String,
    }
}

/// The faults of a publication that builds on `in_force`, so that one that would be rejected is
/// refused before it is appended. The verdict is that of the fold.
#[must_use]
pub fn publish_faults(change: &ConfigChange, in_force: &VersionedManifest) -> Vec<ManifestFault> {
    match change {
        ConfigChange::Whole(manifest) => check_manifest(manifest),
        ConfigChange::Delta(delta) => {
            apply_delta(&in_force.manifest, delta).err().unwrap_or_default()
        }
    }
}
