//! Start and graceful shutdown of the entry process.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use coltsfoothook_caller::CallerServer;
use coltsfoothook_decision::claim::{ClaimSettings, ClaimTable};
use coltsfoothook_decision::id::{ConfigVersion, VmIdentity, VmIncarnation};
use coltsfoothook_decision::invariant::{InvariantLog, InvariantName};
use coltsfoothook_decision::member::{MemberEvent, MemberPlace, MemberSettings, MemberTable};
use coltsfoothook_decision::record::{CLAIM_STREAM, CONFIG_STREAM, CONTROL_STREAM, JOB_STREAM};
use coltsfoothook_engine::{EngineSettings, HttpEngine};
use coltsfoothook_operator::{OperatorAuth, OperatorServer};
use coltsfoothook_peer::{PeerPool, PeerServer};
use coltsfoothook_platform::{HttpDirectory, HttpLog, LogClient, PlatformSettings};
use coltsfoothook_service::{HttpService, ServiceSettings};
use coltsfoothook_telemetry::event;
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::clock::{ProcessClock, wall_ms};
use crate::core::{EntryClients, EntryCore, LogWriters, read};
use crate::faces::CallerInterface;
use crate::follow::{FollowedStream, follow_stream};
use crate::gate::RequestGate;
use crate::health::LogHealth;
use crate::held::lock;
use crate::jobs::{JobScheduler, run_jobs};
use crate::limits::RequestLimits;
use crate::measure::EntryMetrics;
use crate::operate::{OperatorInterface, OperatorTokens};
use crate::peers::PeerInterface;
use crate::release::{ReleaseQueue, run_releases};
use crate::roster::{MembershipDriver, poll_vm_list, run_catch_up, run_membership, run_takeovers};
use crate::settings::EntrySettings;
use crate::snapshots::run_snapshots;
use crate::write::{StreamWriter, WriterParts, health_callback};

/// Random low bits of an incarnation; the others are the start time in milliseconds.
const RANDOM_BITS: u32 = 20;
/// Maximum time at shutdown until other VMs have taken over the owned groups and the releases are
/// delivered.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(3);
const TAKEOVER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between updates of the limiter.
const LIMIT_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time for the caller listener, and then the operator listener, to close.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an entry process could not start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// A secret cannot be read.
    #[snafu(display("{source}"))]
    Secret {
        /// The cause, which names the file but not its contents.
        source: coltsfoothook_settings::SecretError,
    },
    /// Keys or certificates are unusable.
    #[snafu(display("{reason}"))]
    Keys {
        /// The cause, with the file's path.
        reason: String,
    },
    /// The peer interface, to other VMs, did not start.
    #[snafu(display("{source}"))]
    Peer {
        /// Failed listener or TLS setup.
        source: coltsfoothook_peer::SetupError,
    },
    /// The caller interface did not start.
    #[snafu(display("{source}"))]
    Caller {
        /// Failed listener setup.
        source: coltsfoothook_caller::StartError,
    },
    /// The operator interface did not start.
    #[snafu(display("{source}"))]
    Operator {
        /// Failed listener setup.
        source: coltsfoothook_operator::StartError,
    },
}

/// A running entry process.
pub struct EntryProcess {
    core: Arc<EntryCore>,
    roster: Arc<MembershipDriver>,
    caller: CallerServer,
    operator: OperatorServer,
    peer: PeerServer,
    addresses: EntryAddresses,
}

/// The addresses at which a process listens, with the actual ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// Caller interface.
    pub caller: SocketAddr,
    /// Operator interface.
    pub operator: SocketAddr,
    /// Peer interface, to other VMs.
    pub peer: SocketAddr,
}

impl EntryProcess {
    /// Starts a process and returns when its listeners are bound. It takes work once a
    /// configuration and the ownership state are known, see [`EntryProcess::ready`].
    ///
    /// # Errors
    ///
    /// Fails if a file named in the settings is unusable or an address cannot be bound.
    pub async fn start(settings: EntrySettings) -> Result<Self, EntryError> {
        let tokens = OperatorTokens::load(&settings.keys.operator_tokens).context(SecretSnafu)?;
        let tokens = Arc::new(tokens);
        let keys = crate::tls::EntryKeys::load(&settings)?;
        let (core, receiver) = build_core(settings, keys.peer_client.clone())?;
        let roster = Arc::new(MembershipDriver::new(Arc::clone(&core)));
        let handler = PeerInterface { core: Arc::clone(&core), roster: Arc::clone(&roster) };
        let peer = PeerServer::start(
            core.settings.peer_settings(),
            Arc::new(handler),
            keys.peer_server.clone(),
        )
        .context(PeerSnafu)?;
        let caller = CallerServer::start(
            core.settings.caller_settings(),
            Arc::new(CallerInterface { core: Arc::clone(&core) }),
            keys.interface()?,
        )
        .context(CallerSnafu)?;
        let operator = OperatorServer::start(
            &core.settings.operator,
            Arc::new(OperatorInterface { core: Arc::clone(&core) }),
            Arc::clone(&tokens) as Arc<dyn OperatorAuth>,
            keys.interface()?,
        )
        .context(OperatorSnafu)?;
        roster.begin(caller.address(), peer.address());
        let addresses = EntryAddresses {
            caller: caller.address(),
            operator: operator.address(),
            peer: peer.address(),
        };
        spawn_tasks(&core, &roster, receiver);
        keys.watch(&core.closing);
        tokio::spawn(tokens.watch(core.closing.clone()));
        event!(
            ProcessStarted,
            vm = core.me.vm,
            incarnation = core.me.incarnation,
            caller = addresses.caller,
            operator = addresses.operator,
            peer = addresses.peer
        );
        Ok(Self { core, roster, caller, operator, peer, addresses })
    }

    /// Returns the addresses at which the process listens.
    #[must_use]
    pub fn addresses(&self) -> EntryAddresses {
        self.addresses
    }

    /// Returns whether the process takes work: it is ready and not shutting down.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.core.ready().is_ok() && !self.core.gate.is_closed()
    }

    /// Returns the configuration version in force in this process; 0 if there is none.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.core.view().version
    }

    /// Returns the number of groups that this process owns.
    #[must_use]
    pub fn owned_groups(&self) -> usize {
        read(&self.core.owners).len()
    }

    /// Returns the merged invariant counts of all parts of the process.
    #[must_use]
    pub fn invariants(&self) -> InvariantLog {
        self.core.invariant_counts()
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.core.gate.active()
    }

    /// Shuts down gracefully and returns the invariant counts: notifies the other VMs, refuses new
    /// requests with the outcome "not run", waits for running ones up to `shutdown_ms`, waits for
    /// a limited time until other VMs have taken over its groups, and closes the listeners.
    ///
    /// Callers with a cached address list still connect; "not run" tells them to use another VM.
    /// The owned groups stay usable until another VM has taken them over.
    pub async fn shut_down(self) -> InvariantLog {
        let core = Arc::clone(&self.core);
        event!(ShutdownStarted, vm = core.me.vm, in_flight = core.gate.active());
        core.gate.close();
        self.roster.drive(MemberEvent::Leave);
        let limit = Duration::from_millis(core.settings.shutdown_ms);
        let all_ended = timeout(limit, core.gate.wait_empty()).await.is_ok();
        core.check(InvariantName::ShutdownCutsNothing, all_ended, || {
            format!("{} requests were running when the time limit passed", core.gate.active())
        });
        if !all_ended {
            event!(ShutdownOverdue, vm = core.me.vm, in_flight = core.gate.active());
        }
        wait_for_takeover(&core).await;
        let _ = timeout(LISTENER_CLOSE_TIMEOUT, self.caller.close()).await;
        let counts = core.invariant_counts();
        core.closing.cancel();
        let _ = timeout(LISTENER_CLOSE_TIMEOUT, self.operator.close()).await;
        self.peer.close().await;
        event!(ProcessStopped, vm = core.me.vm);
        counts
    }

    /// Ends at once, as a crash would: notifies no other VM and waits for no takeover.
    pub async fn abort(self) {
        self.core.closing.cancel();
        drop(self.caller);
        drop(self.operator);
        drop(self.peer);
    }
}

/// Waits until other VMs own this VM's groups and its releases are delivered. The wait is bounded,
/// since no takeover happens while the log is down; the next owner queries the VMs for held grants.
async fn wait_for_takeover(core: &EntryCore) {
    let deadline = Instant::now() + TAKEOVER_TIMEOUT;
    while Instant::now() < deadline {
        let no_successor = lock(&core.members).live().next().is_none();
        let taken_over = read(&core.owners).is_empty() || no_successor;
        if taken_over && core.held.len() == 0 {
            return;
        }
        sleep(TAKEOVER_POLL_INTERVAL).await;
    }
}

/// Returns a new incarnation of this VM. It must be unique; it also increases from start to start
/// unless the wall clock jumps back.
fn new_incarnation() -> VmIncarnation {
    use std::hash::{BuildHasher, Hasher};
    let random = std::collections::hash_map::RandomState::new().build_hasher().finish();
    VmIncarnation((wall_ms() << RANDOM_BITS) | (random >> (u64::BITS - RANDOM_BITS)))
}

fn build_core(
    settings: EntrySettings,
    peer_keys: Option<Arc<rustls::ClientConfig>>,
) -> Result<
    (Arc<EntryCore>, tokio::sync::mpsc::UnboundedReceiver<crate::release::PendingRelease>),
    EntryError,
> {
    let me = VmIdentity { vm: settings.vm.clone(), incarnation: new_incarnation() };
    let clock = ProcessClock::start();
    let health = Arc::new(LogHealth::default());
    let log: Arc<dyn LogClient> = Arc::new(HttpLog::new(settings.log, PlatformSettings::default()));
    let metrics = Arc::new(EntryMetrics::new(&settings.metrics));
    let writer = |stream| {
        let health = health_callback(Arc::clone(&health), clock);
        let metrics = Arc::clone(&metrics);
        StreamWriter::start(WriterParts { stream, log: Arc::clone(&log), health, metrics })
    };
    let writers = LogWriters {
        config: writer(CONFIG_STREAM),
        control: writer(CONTROL_STREAM),
        claims: writer(CLAIM_STREAM),
        jobs: writer(JOB_STREAM),
    };
    let engine = EngineSettings { load_ms: settings.order_timeout_ms, ..Default::default() };
    let clients = EntryClients {
        engines: Arc::new(HttpEngine::new(engine)),
        services: Arc::new(HttpService::new(ServiceSettings::default())),
        log,
        directory: Arc::new(HttpDirectory::new(settings.directory, PlatformSettings::default())),
        peers: PeerPool::new(settings.peer_settings(), peer_keys).context(PeerSnafu)?,
    };
    let place = MemberPlace {
        caller: settings.caller.listen,
        peer: settings.peer.listen,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
    };
    let members = MemberTable::new(MemberSettings::default(), me.clone(), place);
    let (releases, receiver) = ReleaseQueue::new();
    let core = EntryCore {
        clock,
        clients,
        writers,
        view: RwLock::default(),
        config: Mutex::default(),
        control: RwLock::default(),
        members: Mutex::new(members),
        claims: Mutex::new(ClaimTable::new(ClaimSettings::default(), me.clone())),
        claim_waiters: Mutex::default(),
        claim_added: tokio::sync::Notify::new(),
        publish_waiters: Mutex::default(),
        jobs: JobScheduler::new(),
        limits: RequestLimits::new(),
        owners: RwLock::default(),
        floors: Mutex::default(),
        stated: Mutex::default(),
        held: crate::held::HeldGrants::default(),
        releases,
        traces: crate::trace::RequestTraces::default(),
        gate: Arc::new(RequestGate::new(settings.caller.requests)),
        health,
        metrics,
        invariants: Mutex::default(),
        request_numbers: std::sync::atomic::AtomicU64::new(1),
        service_turns: std::sync::atomic::AtomicU64::new(0),
        closing: CancellationToken::new(),
        me,
        settings,
    };
    Ok((Arc::new(core), receiver))
}

fn spawn_tasks(
    core: &Arc<EntryCore>,
    roster: &Arc<MembershipDriver>,
    receiver: tokio::sync::mpsc::UnboundedReceiver<crate::release::PendingRelease>,
) {
    for stream in FollowedStream::ALL {
        tokio::spawn(follow_stream(Arc::clone(core), stream));
    }
    tokio::spawn(run_membership(Arc::clone(roster)));
    tokio::spawn(poll_vm_list(Arc::clone(roster)));
    tokio::spawn(run_takeovers(Arc::clone(core)));
    tokio::spawn(run_catch_up(Arc::clone(core)));
    tokio::spawn(run_releases(Arc::clone(core), receiver));
    tokio::spawn(crate::claims::append_claims(Arc::clone(core)));
    tokio::spawn(run_jobs(Arc::clone(core)));
    tokio::spawn(run_snapshots(Arc::clone(core)));
    tokio::spawn(update_limits(Arc::clone(core)));
}

/// Updates the limiter periodically with the usage that other VMs reported.
async fn update_limits(core: Arc<EntryCore>) {
    while !core.closing.is_cancelled() {
        core.limits.apply_digests(&core);
        sleep(LIMIT_UPDATE_INTERVAL).await;
    }
}
