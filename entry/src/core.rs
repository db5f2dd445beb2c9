//! State that the parts of the process share: folds, membership, owned groups and clients.

use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use coltsfoothook_decision::claim::{ClaimOutcome, ClaimTable};
use coltsfoothook_decision::config::{ConfigFold, ConfigVerdict};
use coltsfoothook_decision::control::ControlFold;
use coltsfoothook_decision::id::{
    CustomerName, GroupName, IdempotencyKey, OwnerEpoch, RequestId, VmIdentity,
};
use coltsfoothook_decision::invariant::{InvariantLog, InvariantName};
use coltsfoothook_decision::member::{MemberState, MemberTable};
use coltsfoothook_decision::stated_servers::StatedServers;
use coltsfoothook_engine::EngineClient;
use coltsfoothook_peer::{PeerPool, PeerTarget};
use coltsfoothook_platform::{LogClient, VmDirectory};
use coltsfoothook_service::ServiceClient;
use coltsfoothook_telemetry::event;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use crate::clock::ProcessClock;
use crate::gate::RequestGate;
use crate::health::LogHealth;
use crate::held::{HeldGrants, lock};
use crate::jobs::JobScheduler;
use crate::limits::RequestLimits;
use crate::measure::EntryMetrics;
use crate::own::OwnerShard;
use crate::release::ReleaseQueue;
use crate::settings::EntrySettings;
use crate::trace::RequestTraces;
use crate::view::ConfigView;
use crate::write::StreamWriter;

/// A request that waits until its claim is read back from the log.
pub(crate) struct ClaimWaiter {
    pub(crate) tenant: CustomerName,
    pub(crate) key: IdempotencyKey,
    pub(crate) answer: oneshot::Sender<ClaimOutcome>,
}

/// A publication that waits for the configuration fold's verdict.
pub(crate) struct PublishWaiter {
    pub(crate) publish_id: String,
    pub(crate) answer: oneshot::Sender<ConfigVerdict>,
}

/// The writers of the log's streams, one per stream.
pub(crate) struct LogWriters {
    pub(crate) config: StreamWriter,
    pub(crate) control: StreamWriter,
    pub(crate) claims: StreamWriter,
    pub(crate) jobs: StreamWriter,
}

/// Clients of engines, services, the log, the VM directory and other VMs.
pub(crate) struct EntryClients {
    pub(crate) engines: Arc<dyn EngineClient>,
    pub(crate) services: Arc<dyn ServiceClient>,
    pub(crate) log: Arc<dyn LogClient>,
    pub(crate) directory: Arc<dyn VmDirectory>,
    pub(crate) peers: PeerPool,
}

/// The shared state of the process.
///
/// Each field has its own lock. No lock is held across an await, and no two are held at once
/// except `members` and then `control`.
pub(crate) struct EntryCore {
    pub(crate) settings: EntrySettings,
    pub(crate) me: VmIdentity,
    pub(crate) clock: ProcessClock,
    pub(crate) clients: EntryClients,
    pub(crate) writers: LogWriters,
    pub(crate) view: RwLock<Arc<ConfigView>>,
    pub(crate) config: Mutex<ConfigFold>,
    pub(crate) control: RwLock<ControlFold>,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) claims: Mutex<ClaimTable>,
    pub(crate) claim_waiters: Mutex<Vec<ClaimWaiter>>,
    pub(crate) claim_added: Notify,
    pub(crate) publish_waiters: Mutex<Vec<PublishWaiter>>,
    pub(crate) jobs: JobScheduler,
    pub(crate) limits: RequestLimits,
    /// Sorted by group.
    pub(crate) owners: RwLock<Vec<Arc<OwnerShard>>>,
    /// Epochs below which this VM uses no grants, sorted by group.
    pub(crate) floors: Mutex<Vec<(GroupName, OwnerEpoch)>>,
    /// What backend servers stated to this VM.
    pub(crate) stated: Mutex<StatedServers>,
    pub(crate) held: HeldGrants,
    pub(crate) releases: ReleaseQueue,
    pub(crate) traces: RequestTraces,
    pub(crate) gate: Arc<RequestGate>,
    pub(crate) health: Arc<LogHealth>,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) invariants: Mutex<InvariantLog>,
    pub(crate) request_numbers: std::sync::atomic::AtomicU64,
    /// Counts calls to plain services, for the rotation over their servers. With the numbers of
    /// requests, of which each call takes one too, a VM would use every other server only.
    pub(crate) service_turns: std::sync::atomic::AtomicU64,
    pub(crate) closing: CancellationToken,
}

impl EntryCore {
    /// Returns the configuration in force on this VM.
    pub(crate) fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&read(&self.view))
    }

    /// Returns the shard of `group`; `None` if this VM does not own it.
    pub(crate) fn shard(&self, group: &str) -> Option<Arc<OwnerShard>> {
        let owners = read(&self.owners);
        let found = owners.binary_search_by(|shard| shard.group.as_str().cmp(group));
        found.ok().map(|at| Arc::clone(&owners[at]))
    }

    /// Returns the peer address of another VM; `None` if the VM is not a known member.
    pub(crate) fn target(&self, vm: &str) -> Option<PeerTarget> {
        let members = lock(&self.members);
        let row = members.row(vm)?;
        Some(PeerTarget { address: row.place().peer, vm: row.identity().vm.clone() })
    }

    /// Checks whether this VM may take work: it has a configuration and the whole ownership state,
    /// and the log or another VM answered within `stale_ms`, so that both are recent.
    pub(crate) fn ready(&self) -> Result<(), &'static str> {
        if self.view().version.0 == 0 {
            return Err("no configuration in force");
        }
        if !read(&self.control).is_complete() {
            return Err("state of ownership not known yet");
        }
        if self.health.is_isolated(self.clock.now(), self.settings.stale_ms) {
            return Err("neither the log nor another VM can be reached");
        }
        Ok(())
    }

    /// Counts a check of an invariant, logs a violation and returns `holds`.
    pub(crate) fn check(
        &self,
        name: InvariantName,
        holds: bool,
        detail: impl FnOnce() -> String,
    ) -> bool {
        let mut text = None;
        let holds = lock(&self.invariants).check(name, holds, || {
            let detail = detail();
            text = Some(detail.clone());
            detail
        });
        if let Some(detail) = text {
            event!(InvariantBroken, name = name.as_str(), detail = detail);
        }
        holds
    }

    /// Returns the merged invariant counts of all state machines of this process.
    pub(crate) fn invariant_counts(&self) -> InvariantLog {
        let mut all = lock(&self.invariants).clone();
        all.merge(lock(&self.config).invariants());
        all.merge(read(&self.control).invariants());
        all.merge(lock(&self.claims).invariants());
        self.jobs.merge_invariants(&mut all);
        for shard in read(&self.owners).iter() {
            all.merge(&shard.invariants());
        }
        all
    }

    /// Returns a new request id, unique over all VMs and their incarnations.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let number = self.request_numbers.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.me.vm, self.me.incarnation.0).into()
    }

    /// Returns the state that this VM reports to others.
    pub(crate) fn own_state(&self) -> MemberState {
        if self.gate.is_closed() { MemberState::Leaving } else { MemberState::Alive }
    }
}

/// Locks for reading and ignores poisoning, so that one panicked thread does not stop all others.
pub(crate) fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

/// Locks for writing and ignores poisoning, as [`read`] does.
pub(crate) fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}
