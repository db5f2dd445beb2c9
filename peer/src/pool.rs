//! Calling other VMs.

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

/// Shards of the table of connections, so that calls to different VMs seldom meet at a lock.
const SHARDS: usize = 8;
/// Doublings after which the backoff is at its most in any case.
const MOST_DOUBLINGS: u32 = 16;

value! {
    /// A VM to call.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct PeerTarget {
        /// Where it listens for other VMs.
        pub address: SocketAddr,
        /// Its name, which its certificate and its answers must carry.
        pub vm: VmName,
    }
}

/// A call that brought no answer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// Nothing has reached the other VM.
    #[snafu(display("{vm} was not called: {reason}"))]
    NotSent {
        /// The VM.
        vm: VmName,
        /// Why.
        reason: String,
    },
    /// The other VM did not carry the call out.
    #[snafu(display("{vm} refused the call: {fault:?}"))]
    Refused {
        /// The VM.
        vm: VmName,
        /// Why.
        fault: PeerFault,
    },
    /// The call may have been carried out.
    #[snafu(display("{vm} was called and gave no answer: {reason}"))]
    Unknown {
        /// The VM.
        vm: VmName,
        /// Why.
        reason: String,
    },
}

impl PeerError {
    /// Whether the call may have been carried out.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

/// Connections to other VMs: one to each, shared by all calls.
pub struct PeerPool {
    settings: PeerSettings,
    tls: Option<TlsConnector>,
    counters: Arc<PeerCounters>,
    shards: [Mutex<Vec<Arc<PeerLine>>>; SHARDS],
}

/// The line to one VM.
struct PeerLine {
    target: PeerTarget,
    room: Semaphore,
    state: tokio::sync::Mutex<LineState>,
    used: Mutex<Instant>,
}

#[derive(Default)]
struct LineState {
    connection: Option<LiveConnection>,
    failures: u32,
    retry_at: Option<Instant>,
}

#[derive(Clone)]
struct LiveConnection {
    client: VmPeerClient,
    closed: Arc<AtomicBool>,
}

impl PeerPool {
    /// Makes a pool without connections.
    ///
    /// # Errors
    ///
    /// There are no keys and the settings do not waive them.
    pub fn new(
        settings: PeerSettings,
        tls: Option<Arc<rustls::ClientConfig>>,
    ) -> Result<Self, SetupError> {
        settings.check_tls(tls.is_some())?;
        let tls = tls.map(TlsConnector::from);
        let counters = Arc::new(PeerCounters::default());
        Ok(Self { settings, tls, counters, shards: Default::default() })
    }

    /// What went wrong on the calling side so far.
    #[must_use]
    pub fn counters(&self) -> &Arc<PeerCounters> {
        &self.counters
    }

    /// Probes a VM.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; so for all calls below.
    pub async fn probe(
        &self,
        target: &PeerTarget,
        message: ProbeMessage,
        limit: Duration,
    ) -> Result<ProbeReply, PeerError> {
        let run =
            |client: VmPeerClient, context| async move { client.probe(context, message).await };
        let reply = self.call(target, limit, run).await?;
        self.check_answerer(target, &reply.from.vm.vm)?;
        Ok(reply)
    }

    /// Asks an owner for a grant. `limit` is how long the request may wait in its queue. Dropping
    /// the future tells the owner to forget the request.
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

    /// Withdraws a request after [`PeerPool::reserve`] ended with an unknown outcome.
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

    /// Gives grants back.
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

    /// Asks which grants a VM holds.
    pub async fn held(
        &self,
        target: &PeerTarget,
        call: HeldCall,
        limit: Duration,
    ) -> Result<HeldReply, PeerError> {
        let run = |client: VmPeerClient, context| async move { client.held(context, call).await };
        let reply = self.call(target, limit, run).await?;
        self.check_answerer(target, &reply.vm.vm)?;
        Ok(reply)
    }

    /// Whether the process that listened at `target` has certainly ended.
    ///
    /// A process that is merely paused keeps its socket, and the host still takes connections for
    /// it; one that a host refuses has no listener any more. A host that is silent proves nothing.
    pub async fn process_ended(&self, target: &PeerTarget) -> bool {
        let limit = self.settings.connect_timeout();
        match tokio::time::timeout(limit, TcpStream::connect(target.address)).await {
            Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Asks a VM to give a key up.
    pub async fn revoke(
        &self,
        target: &PeerTarget,
        call: RevokeCall,
        limit: Duration,
    ) -> Result<RevokeReply, PeerError> {
        let run = |client: VmPeerClient, context| async move { client.revoke(context, call).await };
        self.call(target, limit, run).await
    }

    /// Asks for what the log could not tell.
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

    /// Asks what a VM knows and does.
    pub async fn status(
        &self,
        target: &PeerTarget,
        limit: Duration,
    ) -> Result<StatusReply, PeerError> {
        let run = |client: VmPeerClient, context| async move { client.status(context).await };
        let reply = self.call(target, limit, run).await?;
        self.check_answerer(target, &reply.vm.vm)?;
        Ok(reply)
    }

    /// Asks for the steps of a request.
    pub async fn explain(
        &self,
        target: &PeerTarget,
        call: ExplainCall,
        limit: Duration,
    ) -> Result<ExplainReply, PeerError> {
        let run =
            |client: VmPeerClient, context| async move { client.explain(context, call).await };
        let reply = self.call(target, limit, run).await?;
        self.check_answerer(target, &reply.vm.vm)?;
        Ok(reply)
    }

    /// An answer under another name comes from a VM that took over the address; believing it would,
    /// for one, count the wrong VM's grants as told.
    fn check_answerer(&self, target: &PeerTarget, name: &VmName) -> Result<(), PeerError> {
        if *name == target.vm {
            return Ok(());
        }
        self.counters.count_forged();
        event!(PeerRefused, reason = "forged_name", vm = name, expected = target.vm);
        let reason = format!("{name} answered in its place");
        Err(PeerError::Unknown { vm: target.vm.clone(), reason })
    }

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
        let line = self.line(target);
        let _permit = line
            .room
            .try_acquire()
            .map_err(|_| not_sent("too many calls are in flight".to_owned()))?;
        let connected = tokio::time::timeout_at(deadline.into(), self.connection(&line)).await;
        let connection = match connected {
            Ok(connected) => connected.map_err(not_sent)?,
            Err(_) => return Err(not_sent("connecting took too long".to_owned())),
        };
        let mut context = context::current();
        context.deadline = deadline;
        match run(connection.client, context).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(fault)) => Err(PeerError::Refused { vm: vm.clone(), fault }),
            Err(error) => Err(self.failed_call(vm, &error)),
        }
    }

    /// What a failed call says about the other side. Where the library cannot tell whether it sent
    /// the call, the answer is that it may have.
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

    fn line(&self, target: &PeerTarget) -> Arc<PeerLine> {
        let shard = &self.shards[usize::from(target.address.port()) % SHARDS];
        let mut lines = shard.lock().unwrap_or_else(PoisonError::into_inner);
        let line = match lines.binary_search_by(|line| line.target.cmp(target)) {
            Ok(at) => lines[at].clone(),
            Err(_) => {
                let idle = Duration::from_millis(self.settings.idle_ms);
                lines.retain(|line| !line.is_idle(idle));
                let at = lines.partition_point(|line| line.target < *target);
                lines.insert(at, Arc::new(PeerLine::new(target.clone(), self.settings.calls)));
                lines[at].clone()
            }
        };
        line.touch();
        line
    }

    /// The line's connection, made anew where there is none.
    async fn connection(&self, line: &PeerLine) -> Result<LiveConnection, String> {
        let mut state = line.state.lock().await;
        if let Some(connection) = state.live() {
            return Ok(connection);
        }
        // Each call to a dead VM would otherwise connect again, and a VM that comes back would meet
        // all of them at once.
        if state.retry_at.is_some_and(|at| Instant::now() < at) {
            return Err("the last connect failed a moment ago".to_owned());
        }
        match self.connect(&line.target).await {
            Ok(connection) => {
                *state = LineState { connection: Some(connection.clone()), ..Default::default() };
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

    fn backoff(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(MOST_DOUBLINGS);
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
            .map_err(|_| "its name cannot stand in a certificate".to_owned())?;
        let handshake = tokio::time::timeout(limit, connector.connect(name, stream));
        match flatten(handshake.await) {
            Ok(stream) => Ok(self.start(stream)),
            Err(reason) => {
                self.counters.count_handshake();
                event!(PeerRefused, reason = "handshake", detail = reason, vm = target.vm);
                Err(reason)
            }
        }
    }

    fn start<S>(&self, stream: S) -> LiveConnection
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let transport =
            FrameTransport::<_, ClientCodec>::new(stream, &self.settings, self.counters.clone());
        let mut config = Config::default();
        config.max_in_flight_requests = self.settings.calls;
        config.pending_request_buffer = self.settings.calls;
        let made = VmPeerClient::new(config, transport);
        let closed = Arc::new(AtomicBool::new(false));
        let flag = closed.clone();
        tokio::spawn(async move {
            // How a connection ended is told by the calls on it.
            let _ = made.dispatch.await;
            flag.store(true, Ordering::Release);
        });
        LiveConnection { client: made.client, closed }
    }
}

impl PeerLine {
    fn new(target: PeerTarget, calls: usize) -> Self {
        let room = Semaphore::new(calls);
        Self { target, room, state: Default::default(), used: Mutex::new(Instant::now()) }
    }

    fn touch(&self) {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn is_idle(&self, limit: Duration) -> bool {
        self.used.lock().unwrap_or_else(PoisonError::into_inner).elapsed() > limit
    }
}

impl LineState {
    fn live(&self) -> Option<LiveConnection> {
        self.connection.clone().filter(|live| !live.closed.load(Ordering::Acquire))
    }
}

fn flatten<T, E: std::fmt::Display>(result: Result<std::io::Result<T>, E>) -> Result<T, String> {
    match result {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("it did not answer in time".to_owned()),
    }
}
