//! Client side of calls between VMs.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coltsfoothook_decision::grant::{ReleaseCall, ReserveCall, ReserveReply};
use coltsfoothook_decision::id::VmName;
use coltsfoothook_decision::member::{ProbeMessage, ProbeReply};
use coltsfoothook_decision::message::{
    CatchUpCall, CatchUpReply, ExplainCall, ExplainReply, HeldCall, HeldReply, RevokeCall,
    RevokeReply, StatusReply, WithdrawCall,
};
use coltsfoothook_decision::value;
use coltsfoothook_telemetry::event;
use rustls_pki_types::ServerName;
use snafu::Snafu;
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_rustls::TlsConnector;

use crate::service::{FaultReason, PeerFault, VmPeerClient};
use crate::settings::{PeerCounters, PeerSettings, SetupError};
use crate::wire::{ClientCodec, FrameTransport};

/// Shards of the connection table, to reduce lock contention between calls to different VMs.
const SHARDS: usize = 8;
/// Maximum number of backoff doublings; prevents overflow of the shift. The backoff normally reaches
/// [`PeerSettings::backoff_most_ms`] earlier.
const MAX_DOUBLINGS: u32 = 16;

value! {
    /// Address and name of a VM to call.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct PeerTarget {
        /// The address of its [`crate::PeerServer`].
        pub address: SocketAddr,
        /// The VM's name. Its certificate must be issued for this name, and its replies must state
        /// this name if they state any.
        pub vm: VmName,
    }
}

/// A call without a usable reply.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The call was not sent, so it was certainly not carried out.
    #[snafu(display("call to {vm} was not sent: {reason}"))]
    NotSent {
        /// The called VM.
        vm: VmName,
        /// The cause.
        reason: String,
    },
    /// The called VM refused the call without carrying out any part of it.
    #[snafu(display("{vm} refused the call: {fault:?}"))]
    Refused {
        /// The called VM.
        vm: VmName,
        /// The reason and details that the VM sent.
        fault: PeerFault,
    },
    /// The outcome is unknown: the call may have been carried out.
    #[snafu(display("no valid reply from {vm}: {reason}"))]
    Unknown {
        /// The called VM.
        vm: VmName,
        /// The cause.
        reason: String,
    },
}

impl PeerError {
    /// Returns whether the call may have been carried out, so that repeating it may carry it out
    /// twice.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

/// Connections to other VMs: one per [`PeerTarget`], opened by the first call and shared by all.
pub struct PeerPool {
    settings: PeerSettings,
    tls: Option<TlsConnector>,
    counters: Arc<PeerCounters>,
    shards: [Mutex<Vec<Arc<PeerLink>>>; SHARDS],
}

/// The connection state of one target.
struct PeerLink {
    target: PeerTarget,
    /// Permits for calls in flight.
    call_permits: Semaphore,
    state: tokio::sync::Mutex<LinkState>,
    /// When the last call to the target began.
    last_used: Mutex<Instant>,
}

#[derive(Default)]
struct LinkState {
    connection: Option<LiveConnection>,
    /// Consecutive failed attempts to connect.
    failures: u32,
    /// Time before which no connection is attempted; `None` if the last attempt succeeded.
    retry_at: Option<Instant>,
}

#[derive(Clone)]
struct LiveConnection {
    client: VmPeerClient,
    /// Set when the connection has ended.
    closed: Arc<AtomicBool>,
}

impl PeerPool {
    /// Creates a pool. `tls` may be `None` only if [`PeerSettings::plaintext`] is set.
    ///
    /// # Errors
    ///
    /// `tls` is `None` and the settings do not permit plaintext.
    pub fn new(
        settings: PeerSettings,
        tls: Option<Arc<rustls::ClientConfig>>,
    ) -> Result<Self, SetupError> {
        settings.check_tls(tls.is_some())?;
        let tls = tls.map(TlsConnector::from);
        let counters = Arc::new(PeerCounters::default());
        Ok(Self { settings, tls, counters, shards: Default::default() })
    }

    /// Returns the pool's counters. A handler may return them to make its server share them.
    #[must_use]
    pub fn counters(&self) -> &Arc<PeerCounters> {
        &self.counters
    }

    /// Probes a VM, or asks it to probe the VM in [`ProbeMessage::target`].
    ///
    /// In this and all other calls, `limit` bounds the time until the reply, including the time to
    /// connect; [`PeerSettings::call_most_ms`] applies if it is shorter.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; the same holds for all other calls.
    pub async fn probe(
        &self,
        target: &PeerTarget,
        message: ProbeMessage,
        limit: Duration,
    ) -> Result<ProbeReply, PeerError> {
        let run =
            |client: VmPeerClient, context| async move { client.probe(context, message).await };
        let reply = self.call(target, limit, run).await?;
        self.check_responder(target, &reply.from.vm.vm)?;
        Ok(reply)
    }

    /// Requests a grant from an owner. `limit` also bounds the wait in the owner's queue. Dropping
    /// the future cancels the call, which removes the request from the queue.
    pub async fn reserve(
        &self,
        target: &PeerTarget,
        call: ReserveCall,
        limit: Duration,
    ) -> Result<ReserveReply, PeerError> {
        let run =
            |client: VmPeerClient, context| async move { client.reserve(context, call).await };
        self.call(target, limit, run).await
    }

    /// Withdraws a request after [`PeerPool::reserve`] failed with [`PeerError::Unknown`].
    pub async fn withdraw(
        &self,
        target: &PeerTarget,
        call: WithdrawCall,
        limit: Duration,
    ) -> Result<(), PeerError> {
        let run =
            |client: VmPeerClient, context| async move { client.withdraw(context, call).await };
        self.call(target, limit, run).await
    }

    /// Releases grants at their owner.
    pub async fn release(
        &self,
        target: &PeerTarget,
        calls: Vec<ReleaseCall>,
        limit: Duration,
    ) -> Result<(), PeerError> {
        let run =
            |client: VmPeerClient, context| async move { client.release(context, calls).await };
        self.call(target, limit, run).await
    }

    /// Queries the grants of a group that a VM holds.
    pub async fn held(
        &self,
        target: &PeerTarget,
        call: HeldCall,
        limit: Duration,
    ) -> Result<HeldReply, PeerError> {
        let run = |client: VmPeerClient, context| async move { client.held(context, call).await };
        let reply = self.call(target, limit, run).await?;
        self.check_responder(target, &reply.vm.vm)?;
        Ok(reply)
    }

    /// Returns whether the process that listened at `target` has ended or stopped listening.
    ///
    /// This is certain only if the host refuses the connection; otherwise the result is `false`.
    /// The socket of a paused process still accepts connections, and a timeout or other error does
    /// not show whether the process runs.
    pub async fn process_ended(&self, target: &PeerTarget) -> bool {
        let limit = self.settings.connect_timeout();
        match tokio::time::timeout(limit, TcpStream::connect(target.address)).await {
            Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Requests that a VM revoke an idempotency key whose request has not started there.
    pub async fn revoke(
        &self,
        target: &PeerTarget,
        call: RevokeCall,
        limit: Duration,
    ) -> Result<RevokeReply, PeerError> {
        let run = |client: VmPeerClient, context| async move { client.revoke(context, call).await };
        self.call(target, limit, run).await
    }

    /// Queries newer configuration and control state when this VM cannot read the log.
    pub async fn catch_up(
        &self,
        target: &PeerTarget,
        call: CatchUpCall,
        limit: Duration,
    ) -> Result<CatchUpReply, PeerError> {
        let run =
            |client: VmPeerClient, context| async move { client.catch_up(context, call).await };
        self.call(target, limit, run).await
    }

    /// Queries a VM's state for operators.
    pub async fn status(
        &self,
        target: &PeerTarget,
        limit: Duration,
    ) -> Result<StatusReply, PeerError> {
        let run = |client: VmPeerClient, context| async move { client.status(context).await };
        let reply = self.call(target, limit, run).await?;
        self.check_responder(target, &reply.vm.vm)?;
        Ok(reply)
    }

    /// Queries the steps that a VM recorded for a request.
    pub async fn explain(
        &self,
        target: &PeerTarget,
        call: ExplainCall,
        limit: Duration,
    ) -> Result<ExplainReply, PeerError> {
        let run =
            |client: VmPeerClient, context| async move { client.explain(context, call).await };
        let reply = self.call(target, limit, run).await?;
        self.check_responder(target, &reply.vm.vm)?;
        Ok(reply)
    }

    /// Rejects a reply from a VM other than the target, such as one that took over its address.
    /// Otherwise, for example, the wrong VM's grants would be recorded as the target's.
    fn check_responder(&self, target: &PeerTarget, responder: &VmName) -> Result<(), PeerError> {
        if *responder == target.vm {
            return Ok(());
        }
        self.counters.count_forged_name();
        event!(PeerRefused, reason = "forged_name", vm = responder, expected = target.vm);
        let reason = format!("{responder} replied from its address");
        Err(PeerError::Unknown { vm: target.vm.clone(), reason })
    }

    /// Runs a call on the target's connection, which is opened if necessary.
    async fn call<T, F, R>(
        &self,
        target: &PeerTarget,
        limit: Duration,
        run: R,
    ) -> Result<T, PeerError>
    where
        R: FnOnce(VmPeerClient, Context) -> F,
        F: Future<Output = Result<Result<T, PeerFault>, RpcError>>,
    {
        let vm = &target.vm;
        let not_sent = |reason: String| PeerError::NotSent { vm: vm.clone(), reason };
        let deadline =
            Instant::now() + limit.min(Duration::from_millis(self.settings.call_most_ms));
        let link = self.link(target);
        let _permit = link
            .call_permits
            .try_acquire()
            .map_err(|_| not_sent("too many calls in flight".to_owned()))?;
        let connected = tokio::time::timeout_at(deadline.into(), self.connection(&link)).await;
        let connection = match connected {
            Ok(connected) => connected.map_err(not_sent)?,
            Err(_) => return Err(not_sent("timed out while connecting".to_owned())),
        };
        let mut context = context::current();
        context.deadline = deadline;
        match run(connection.client, context).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(fault)) => Err(PeerError::Refused { vm: vm.clone(), fault }),
            Err(error) => Err(self.failed_call(vm, &error)),
        }
    }

    /// Converts an RPC error. If the call may have been sent, the result is [`PeerError::Unknown`],
    /// unless the called VM refused it as busy.
    fn failed_call(&self, vm: &VmName, error: &RpcError) -> PeerError {
        let vm = vm.clone();
        match error {
            RpcError::Send(cause) => PeerError::NotSent { vm, reason: cause.to_string() },
            RpcError::Server(refusal) if refusal.kind == std::io::ErrorKind::WouldBlock => {
                let detail = refusal.detail.clone();
                PeerError::Refused { vm, fault: PeerFault { reason: FaultReason::Busy, detail } }
            }
            other => PeerError::Unknown { vm, reason: other.to_string() },
        }
    }

    /// Returns the target's link, created if missing. Creating one drops the idle links of the same
    /// shard.
    fn link(&self, target: &PeerTarget) -> Arc<PeerLink> {
        let shard = &self.shards[usize::from(target.address.port()) % SHARDS];
        let mut links = shard.lock().unwrap_or_else(PoisonError::into_inner);
        let link = match links.binary_search_by(|link| link.target.cmp(target)) {
            Ok(at) => links[at].clone(),
            Err(_) => {
                let idle = Duration::from_millis(self.settings.idle_ms);
                links.retain(|link| !link.is_idle(idle));
                let at = links.partition_point(|link| link.target < *target);
                links.insert(at, Arc::new(PeerLink::new(target.clone(), self.settings.calls)));
                links[at].clone()
            }
        };
        link.touch();
        link
    }

    /// Returns the link's connection, opening a new one if there is none or it has ended.
    async fn connection(&self, link: &PeerLink) -> Result<LiveConnection, String> {
        let mut state = link.state.lock().await;
        if let Some(connection) = state.live() {
            return Ok(connection);
        }
        // Otherwise every call to a dead VM would attempt a connection, and a restarted VM would
        // receive all attempts at once.
        if state.retry_at.is_some_and(|at| Instant::now() < at) {
            return Err("waiting to reconnect after a failed attempt".to_owned());
        }
        match self.connect(&link.target).await {
            Ok(connection) => {
                *state = LinkState { connection: Some(connection.clone()), ..Default::default() };
                Ok(connection)
            }
            Err(reason) => {
                state.connection = None;
                state.failures = state.failures.saturating_add(1);
                state.retry_at = Some(Instant::now() + self.backoff(state.failures));
                Err(reason)
            }
        }
    }

    /// Returns the delay until the next attempt to connect after `failures` failed ones.
    fn backoff(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let millis = self.settings.backoff_ms.saturating_mul(1 << doublings);
        Duration::from_millis(millis.min(self.settings.backoff_most_ms))
    }

    async fn connect(&self, target: &PeerTarget) -> Result<LiveConnection, String> {
        let limit = self.settings.connect_timeout();
        let connect = tokio::time::timeout(limit, TcpStream::connect(target.address));
        let stream = flatten(connect.await)?;
        let _ = stream.set_nodelay(true);
        let Some(connector) = &self.tls else { return Ok(self.start(stream)) };
        let name = ServerName::try_from(target.vm.as_str().to_owned())
            .map_err(|_| "its name is not a valid DNS name".to_owned())?;
        let handshake = tokio::time::timeout(limit, connector.connect(name, stream));
        match flatten(handshake.await) {
            Ok(stream) => Ok(self.start(stream)),
            Err(reason) => {
                self.counters.count_failed_handshake();
                event!(PeerRefused, reason = "handshake", detail = reason, vm = target.vm);
                Err(reason)
            }
        }
    }

    /// Starts the task that exchanges frames on an established connection.
    fn start<S>(&self, stream: S) -> LiveConnection
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let transport =
            FrameTransport::<_, ClientCodec>::new(stream, &self.settings, self.counters.clone());
        let mut config = Config::default();
        config.max_in_flight_requests = self.settings.calls;
        config.pending_request_buffer = self.settings.calls;
        let new_client = VmPeerClient::new(config, transport);
        let closed = Arc::new(AtomicBool::new(false));
        let flag = closed.clone();
        tokio::spawn(async move {
            // The result is ignored because each call in flight fails with the same error.
            let _ = new_client.dispatch.await;
            flag.store(true, Ordering::Release);
        });
        LiveConnection { client: new_client.client, closed }
    }
}

impl PeerLink {
    fn new(target: PeerTarget, calls: usize) -> Self {
        let call_permits = Semaphore::new(calls);
        Self {
            target,
            call_permits,
            state: Default::default(),
            last_used: Mutex::new(Instant::now()),
        }
    }

    /// Sets the time of the last use to now.
    fn touch(&self) {
        *self.last_used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn is_idle(&self, limit: Duration) -> bool {
        self.last_used.lock().unwrap_or_else(PoisonError::into_inner).elapsed() > limit
    }
}

impl LinkState {
    /// Returns the connection unless there is none or it has ended.
    fn live(&self) -> Option<LiveConnection> {
        self.connection.clone().filter(|live| !live.closed.load(Ordering::Acquire))
    }
}

/// Converts the result of a timed I/O operation, with errors as text.
fn flatten<T, E: std::fmt::Display>(result: Result<std::io::Result<T>, E>) -> Result<T, String> {
    match result {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("timed out".to_owned()),
    }
}
