//! The bodies of operators' calls and of the answers to them.

use coltsfoothook_decision::check::{ManifestFault, check_manifest};
use coltsfoothook_decision::delta::apply_delta;
use coltsfoothook_decision::id::{ConfigVersion, VmName};
use coltsfoothook_decision::manifest::{ServingManifest, VersionedManifest};
use coltsfoothook_decision::message::{ExplainReply, StatusReply};
use coltsfoothook_decision::record::ConfigChange;
use coltsfoothook_decision::value;

value! {
    /// The body of `POST /v1/publish`: a change of the configuration.
    pub struct PublishCall {
        /// The version that the change builds on.
        pub base: ConfigVersion,
        /// Chosen by the publisher and kept on retries, which makes the publication idempotent. 1
        /// to 128 bytes; the rules for names apply.
        pub publish_id: String,
        /// A whole manifest or a delta to the base version.
        pub change: ConfigChange,
    }

    /// The result of a publication.
    pub enum PublishAnswer {
        /// Accepted and in force as this version.
        Accepted(ConfigVersion),
        /// A retry of a publication that was accepted earlier as this version; nothing changed.
        Repeated(ConfigVersion),
        /// Another publication has replaced the base version; nothing changed.
        Stale {
            /// The version in force.
            in_force: ConfigVersion,
        },
        /// The change has these faults and will not come into force.
        Rejected(Vec<ManifestFault>),
        /// The log did not confirm the append, and the publication was not read back from the log
        /// in time. It may still come into force; a retry with the same id is safe.
        Unknown,
        /// The log did not accept the record; nothing changed.
        LogUnavailable,
        /// This VM does not know the configuration in force, so it cannot check the publication.
        NotReady,
    }

    /// The body of the answer to a publication that was accepted, by this call or an earlier one.
    #[derive(Copy, Eq)]
    pub struct PublishedAnswer {
        /// The version that the publication created.
        pub version: ConfigVersion,
        /// Whether an earlier call had published it.
        pub repeated: bool,
    }

    /// The configuration in force, the body of the answer to `GET /v1/manifest`.
    pub struct ManifestAnswer {
        /// The version to build a change on.
        pub version: ConfigVersion,
        /// The manifest, in normal form.
        pub manifest: ServingManifest,
    }

    /// The status of every entry VM, the body of the answer to `GET /v1/status`.
    pub struct FleetStatus {
        /// The VM that the operator called and that queried the others.
        pub asked: VmName,
        /// All VMs known to it, sorted by name.
        pub vms: Vec<VmStatus>,
    }

    /// One VM's entry in [`FleetStatus`].
    pub struct VmStatus {
        /// The VM's name.
        pub vm: VmName,
        /// The VM's own report; `None` if it did not answer in time.
        pub reply: Option<StatusReply>,
    }

    /// The body of `PUT /v1/drain/...`.
    #[derive(Copy, Eq)]
    pub struct DrainCall {
        /// True starts the drain, false ends it.
        pub draining: bool,
    }

    /// Whether a drain concerns an entry VM or a backend server.
    #[derive(Copy, Eq)]
    pub enum DrainKind {
        /// An entry VM.
        Vm,
        /// A backend server.
        Server,
    }

    /// The body of `POST /v1/lift`, which lifts the suspicion or condemnation of a request.
    #[derive(Eq)]
    pub struct LiftCall {
        /// The fingerprint as up to 16 hexadecimal digits, as in the event `request_condemned`.
        pub fingerprint: String,
    }

    /// The result of a call that appends a record, other than a publication.
    #[derive(Copy, Eq)]
    pub enum WriteAnswer {
        /// The record is in the log.
        Written,
        /// The log did not confirm the append, and the record was not read back in time. A retry is
        /// safe.
        Unknown,
        /// The log did not accept the record; nothing changed.
        LogUnavailable,
        /// No VM or backend server has the given name, or no suspect or condemned request has the
        /// given fingerprint.
        UnknownName,
    }

    /// The body of the answer to a call that appended a record other than a publication.
    #[derive(Copy, Eq)]
    pub struct WrittenAnswer {
        /// Always true; failures are answered with problem documents.
        pub written: bool,
    }

    /// The steps of a request, the body of the answer to `GET /v1/explain/{id}`.
    pub struct ExplainAnswer {
        /// One reply for each VM that still has steps of the request recorded.
        pub replies: Vec<ExplainReply>,
    }

    /// The body of the answer to `GET /health`.
    pub struct HealthAnswer {
        /// Whether the VM accepts requests; false is answered with status 503.
        pub ready: bool,
        /// Why the VM is not ready; empty if it is.
        pub reason: String,
    }
}

/// Returns the faults of a change to `in_force`, so that a faulty publication is refused before it
/// is appended. The fold's verdict on the appended record is decisive.
#[must_use]
pub fn publish_faults(change: &ConfigChange, in_force: &VersionedManifest) -> Vec<ManifestFault> {
    match change {
        ConfigChange::Whole(manifest) => check_manifest(manifest),
        ConfigChange::Delta(delta) => {
            apply_delta(&in_force.manifest, delta).err().unwrap_or_default()
        }
    }
}
