//! Record types of the streams in the platform's log.
//!
//! Each stream is folded by a pure function that gives every VM the same state; where records
//! compete, the first in offset order wins. The rules are frozen per format number: a reader that
//! meets an unknown format skips the record, counts it, and makes no decision that the record could
//! affect.

use crate::crash_report::ReportedTrial;
use crate::id::{
    AdapterVersion, ConfigVersion, CustomerName, GroupName, IdempotencyKey, JobId, OwnerEpoch,
    PartFingerprint, RequestFingerprint, ServerIncarnation, ServerName, SlotName, VmIdentity,
    VmName,
};
use crate::manifest::{ManifestDelta, ServingManifest};
use crate::outcome::{RequestClass, RequestOutcome};
use crate::subject::ServerStart;
use crate::value;

/// Stream of configuration records, which operators' tools may also write.
pub const CONFIG_STREAM: &str = "config";
/// Stream of group ownership, load order intents, drains and quarantine.
pub const CONTROL_STREAM: &str = "control";
/// Stream of claims of requests that must not run twice.
pub const CLAIM_STREAM: &str = "claims";
/// Stream of audit jobs.
pub const JOB_STREAM: &str = "jobs";

value! {
    /// A record of the configuration stream.
    pub enum ConfigRecord {
        /// An operator's change. Accepted if `base` is the version in force at its offset. A
        /// publication with the `publish_id` of an accepted one has no effect.
        Publish {
            /// The version that the change was made against.
            base: ConfigVersion,
            /// Chosen by the publisher, and reused when the publication is repeated.
            publish_id: String,
            /// The change to the configuration.
            change: ConfigChange,
        },
        /// The whole configuration, rewritten before retention drops the records that it consists
        /// of.
        Snapshot {
            /// The version of `manifest`.
            version: ConfigVersion,
            /// Offset before which every record is included. A reader uses a snapshot only if it
            /// can fold every record from this offset on, so a snapshot that was appended late has
            /// no effect.
            #[serde(default)]
            through: u64,
            /// The latest accepted publications, to recognise repeats.
            recent: Vec<RecentPublish>,
            /// The manifest in force at `through`.
            manifest: ServingManifest,
        },
    }

    /// The change made by a publication.
    pub enum ConfigChange {
        /// Replaces the whole manifest.
        Whole(ServingManifest),
        /// Changes entries of the base.
        Delta(ManifestDelta),
    }

    /// An accepted publication.
    pub struct RecentPublish {
        /// Chosen by the publisher.
        pub publish_id: String,
        /// The version that it created.
        pub version: ConfigVersion,
    }

    /// A record of the control stream.
    pub enum ControlRecord {
        /// A VM takes over a group. Accepted if `after` is the epoch in force at its offset.
        Takeover {
            /// The group to take over.
            group: GroupName,
            /// The epoch to succeed; 0 if the group has had no owner.
            after: OwnerEpoch,
            /// The new owner.
            owner: VmIdentity,
        },
        /// An order that the owner intends to send to an engine that ignores fencing numbers. Valid
        /// if `epoch` is in force at its offset; only then may the owner send the order.
        Intent {
            /// The group of the engine.
            group: GroupName,
            /// The owner's epoch.
            epoch: OwnerEpoch,
            /// The owner's counter, which identifies the order when the intent is read back.
            number: u64,
            /// The engine to be sent the order.
            server: ServerName,
            /// The engine's incarnation to which the order applies.
            incarnation: ServerIncarnation,
            /// The slot to evict, if any.
            evict: Option<SlotName>,
            /// The slot to load, if any.
            load: Option<SlotName>,
        },
        /// An operator starts or ends the drain of a backend server.
        DrainServer {
            /// The server's name.
            server: ServerName,
            /// True to start the drain, false to end it.
            draining: bool,
        },
        /// An operator starts or ends the drain of an entry VM.
        DrainVm {
            /// The VM's name.
            vm: VmName,
            /// True to start the drain, false to end it.
            draining: bool,
        },
        /// A server crashed while requests ran on it.
        Crash {
            /// The server's name.
            server: ServerName,
            /// The incarnation that crashed.
            incarnation: ServerIncarnation,
            /// The requests that ran on it.
            suspects: Vec<RequestFingerprint>,
        },
        /// A suspect completed, or an operator lifted its condemnation.
        Cleared {
            /// Hash of the request's content.
            fingerprint: RequestFingerprint,
        },
        /// What the owner of a group knows of crashes under parts of prompts, in place of its last record. Earlier
        /// releases skip it.
        PartCrashes(GroupPartCrashes),
        /// The whole state of the stream, rewritten before retention drops the records that it
        /// consists of.
        Snapshot(Box<ControlSnapshot>),
    }

    /// State of the control stream.
    #[derive(Default)]
    pub struct ControlSnapshot {
        /// Owners, sorted by group.
        pub owners: Vec<GroupOwnership>,
        /// Draining servers, sorted.
        pub draining_servers: Vec<ServerName>,
        /// Draining VMs, sorted.
        pub draining_vms: Vec<VmName>,
        /// Suspects, sorted by fingerprint.
        pub suspects: Vec<SuspectEntry>,
        /// Orders that current or earlier owners may still send, sorted by group.
        #[serde(default)]
        pub intents: Vec<OpenIntent>,
        /// Crashes already counted, sorted by server, so that one recorded twice counts once.
        #[serde(default)]
        pub crashes: Vec<CrashedIncarnation>,
        /// Crashes under parts of prompts, sorted by group.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub part_crashes: Vec<GroupPartCrashes>,
        /// Offset before which every record is included. Only a reader that can fold every record
        /// from this offset on uses the snapshot, so one that was appended late has no effect.
        pub through: u64,
    }

    /// A valid intent whose order may still be sent, for an engine that ignores fencing numbers.
    pub struct OpenIntent {
        /// The group of the engine.
        pub group: GroupName,
        /// The epoch of the owner.
        pub epoch: OwnerEpoch,
        /// The owner's counter.
        pub number: u64,
        /// The engine to be sent the order.
        pub server: ServerName,
        /// The engine's incarnation to which the order applies.
        pub incarnation: ServerIncarnation,
        /// The slot to evict, if any.
        pub evict: Option<SlotName>,
        /// The slot to load, if any.
        pub load: Option<SlotName>,
    }

    /// Crashes of a group's engines under parts of prompts, and the trials of the parts that are refused for it.
    pub struct GroupPartCrashes {
        /// The group.
        pub group: GroupName,
        /// The epoch of the owner.
        pub epoch: OwnerEpoch,
        /// Unix time of the record, in milliseconds.
        pub recorded_ms: u64,
        /// The crashes with the parts that did not complete since.
        pub crashes: Vec<PartCrash>,
        /// The trials that were begun.
        pub trials: Vec<ReportedTrial>,
    }

    /// A crash of an engine under parts of prompts.
    pub struct PartCrash {
        /// The engine and its incarnation.
        pub start: ServerStart,
        /// Milliseconds from the crash to the record.
        pub age_ms: u64,
        /// The parts, sorted.
        pub parts: Vec<PartFingerprint>,
    }

    /// An incarnation of a server that ended in a crash.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CrashedIncarnation {
        /// The server's name.
        pub server: ServerName,
        /// The incarnation that crashed.
        pub incarnation: ServerIncarnation,
    }

    /// Ownership of a group.
    pub struct GroupOwnership {
        /// The group's name.
        pub group: GroupName,
        /// Grows by one with each takeover, from 1.
        pub epoch: OwnerEpoch,
        /// The VM incarnation that owns the group.
        pub owner: VmIdentity,
    }

    /// A request that ran on servers when they crashed.
    pub struct SuspectEntry {
        /// Hash of the request's content.
        pub fingerprint: RequestFingerprint,
        /// Number of crashes of servers on which it ran.
        pub crashes: u32,
        /// Number of these crashes with it as the only suspect.
        pub alone: u32,
    }

    /// Record of the claim stream: the claims of many requests in one append.
    pub struct ClaimRecord {
        /// The VM incarnation that claims the keys.
        pub claimer: VmIdentity,
        /// One claim per request.
        pub claims: Vec<ClaimEntry>,
    }

    /// The claim of one request.
    pub struct ClaimEntry {
        /// The customer to whom the key belongs.
        pub tenant: CustomerName,
        /// The idempotency key.
        pub key: IdempotencyKey,
        /// Hash of the request's content, to detect the reuse of a key with another body.
        pub fingerprint: RequestFingerprint,
        /// Wall-clock milliseconds since 1970 when the claim was made; not used by the fold.
        pub at_ms: u64,
    }

    /// A record of the job stream.
    pub enum JobRecord {
        /// A job, accepted once this record is read back.
        Submitted(JobEntry),
        /// A result. The first in offset order is the job's result.
        Finished {
            /// The job's id.
            job: JobId,
            /// The customer that submitted it.
            tenant: CustomerName,
            /// Whether it ran: done, failed, or not run if it was cancelled.
            outcome: RequestOutcome,
            /// The answer's body, or the reason for which there is none.
            result: String,
            /// Whether this rewrites the job's result ahead of retention. A reader that has not
            /// read the job from its submission on takes it in preference to a late result of
            /// another run.
            #[serde(default)]
            rewritten: bool,
        },
        /// The caller cancelled the job. A result with a lower offset takes precedence.
        Cancelled {
            /// The job's id.
            job: JobId,
            /// The customer that submitted it.
            tenant: CustomerName,
        },
        /// A VM runs the job; others do not while that incarnation of the VM is live.
        Started {
            /// The job's id.
            job: JobId,
            /// The customer that submitted it.
            tenant: CustomerName,
            /// The VM incarnation that runs it.
            runner: VmIdentity,
        },
        /// The result was fetched and acknowledged, or has expired: the job may be forgotten.
        Forgotten {
            /// The job's id.
            job: JobId,
            /// The customer that submitted it.
            tenant: CustomerName,
        },
    }

    /// An audit job as submitted.
    pub struct JobEntry {
        /// Unique per customer.
        pub job: JobId,
        /// The customer that submitted it.
        pub tenant: CustomerName,
        /// The adapter to run the job on.
        pub adapter: AdapterVersion,
        /// The class of its request; audit by default.
        pub class: RequestClass,
        /// Wall-clock milliseconds since 1970 by which it is due; `None` if it has no due time.
        pub due_ms: Option<u64>,
        /// Body of the completion call.
        pub body: String,
        /// How often it was rewritten ahead of retention.
        #[serde(default)]
        pub rewritten: u32,
    }
}
