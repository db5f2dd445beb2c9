//! Server side of calls between VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_telemetry::event;
use futures::StreamExt;
use snafu::ResultExt;
use tarpc::server::{BaseChannel, Channel, Config};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, JoinSet};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use crate::handler::PeerHandler;
use crate::identity::PeerIdentity;
use crate::service::{PeerService, VmPeer};
use crate::settings::{ListenSnafu, PeerCounters, PeerSettings, SetupError};
use crate::wire::{FrameTransport, ServerCodec};

/// Maximum number of connections that wait to be accepted. The kernel may apply a lower limit.
const LISTEN_BACKLOG: u32 = 1_024;
/// Delay after a failed accept, which would otherwise be retried in a busy loop while the process
/// is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a closing connection may take to write replies that are ready.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(50);

/// Listens for connections from other VMs and serves their calls.
pub struct PeerServer {
    address: SocketAddr,
    counters: Arc<PeerCounters>,
    closing: CancellationToken,
    task: JoinHandle<()>,
}

/// State shared by all connections.
struct ServerContext {
    settings: PeerSettings,
    handler: Arc<dyn PeerHandler>,
    tls: Option<TlsAcceptor>,
    counters: Arc<PeerCounters>,
    closing: CancellationToken,
}

impl PeerServer {
    /// Starts to listen at [`PeerSettings::listen`]. `tls` must require client certificates; it may
    /// be `None` only if [`PeerSettings::plaintext`] is set.
    ///
    /// # Errors
    ///
    /// `tls` is `None` and the settings do not permit plaintext, or the address cannot be bound.
    pub fn start(
        settings: PeerSettings,
        handler: Arc<dyn PeerHandler>,
        tls: Option<Arc<rustls::ServerConfig>>,
    ) -> Result<Self, SetupError> {
        settings.check_tls(tls.is_some())?;
        let listen = settings.listen;
        let listener = bind(listen).context(ListenSnafu { listen })?;
        let address = listener.local_addr().context(ListenSnafu { listen })?;
        let counters = handler.counters();
        let closing = CancellationToken::new();
        let shared = ServerContext {
            settings,
            handler,
            tls: tls.map(TlsAcceptor::from),
            counters: counters.clone(),
            closing: closing.clone(),
        };
        let task = tokio::spawn(accept_peers(listener, Arc::new(shared)));
        Ok(Self { address, counters, closing, task })
    }

    /// Returns the bound address, with the actual port where the settings have port 0.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters, which are those of [`PeerHandler::counters`].
    #[must_use]
    pub fn counters(&self) -> &Arc<PeerCounters> {
        &self.counters
    }

    /// Stops accepting connections and calls, waits for running calls for at most
    /// [`PeerSettings::close_ms`], and closes the connections.
    pub async fn close(mut self) {
        self.closing.cancel();
        let _ = (&mut self.task).await;
    }
}

/// Dropping the server without [`PeerServer::close`] breaks all connections at once, as if the
/// process had ended.
impl Drop for PeerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds a listener with a backlog for connections from all VMs at once, as when a failure domain
/// is lost and all VMs connect to the new owner. With the library's default backlog of 128 the
/// kernel would drop some of them.
fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections until the server closes, then waits for those that are open.
async fn accept_peers(listener: TcpListener, shared: Arc<ServerContext>) {
    let connection_permits = Arc::new(Semaphore::new(shared.settings.connections));
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    let Ok(permit) = connection_permits.clone().try_acquire_owned() else {
                        shared.counters.count_refused_connection();
                        event!(PeerRefused, reason = "too_many_connections", from = from);
                        continue;
                    };
                    connections.spawn(serve_stream(stream, from, permit, shared.clone()));
                }
                Err(error) => {
                    event!(AcceptFailed, face = "peer", reason = error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = shared.closing.cancelled() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Performs the TLS handshake, if TLS is configured, and serves the connection.
async fn serve_stream(
    stream: TcpStream,
    from: SocketAddr,
    permit: OwnedSemaphorePermit,
    shared: Arc<ServerContext>,
) {
    let _permit = permit;
    // Nagle's algorithm would delay calls, which are small and wait for their replies.
    let _ = stream.set_nodelay(true);
    let Some(acceptor) = &shared.tls else {
        return serve_calls(stream, PeerIdentity::new(None), &shared).await;
    };
    let limit = shared.settings.connect_timeout();
    match tokio::time::timeout(limit, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => {
            let chain = stream.get_ref().1.peer_certificates().unwrap_or_default();
            let Some(certificate) = chain.first().cloned() else {
                return refuse_handshake(&shared, from, "no certificate");
            };
            serve_calls(stream, PeerIdentity::new(Some(certificate)), &shared).await;
        }
        Ok(Err(error)) => refuse_handshake(&shared, from, &error.to_string()),
        Err(_) => refuse_handshake(&shared, from, "the handshake timed out"),
    }
}

fn refuse_handshake(shared: &ServerContext, from: SocketAddr, reason: &str) {
    shared.counters.count_failed_handshake();
    event!(PeerRefused, reason = "handshake", detail = reason, from = from);
}

/// Serves one connection until it breaks or the server closes.
///
/// When the connection breaks, the futures of its calls are dropped with `running`, so that a dead
/// VM's requests do not stay in a queue.
async fn serve_calls<S>(stream: S, identity: PeerIdentity, shared: &ServerContext)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let settings = &shared.settings;
    let transport =
        FrameTransport::<_, ServerCodec>::new(stream, settings, shared.counters.clone());
    let service = PeerService {
        handler: shared.handler.clone(),
        identity: Arc::new(identity),
        counters: shared.counters.clone(),
    };
    let config = Config { pending_response_buffer: settings.calls };
    let channel = BaseChannel::new(config, transport).max_concurrent_requests(settings.calls);
    let mut calls = Box::pin(channel.execute(service.serve()));
    let mut running = JoinSet::new();
    loop {
        tokio::select! {
            call = calls.next() => match call {
                Some(call) => { running.spawn(call); }
                None => return,
            },
            Some(_) = running.join_next() => {}
            () = shared.closing.cancelled() => break,
        }
    }
    let finish = async {
        while !running.is_empty() {
            tokio::select! {
                call = calls.next() => if call.is_none() { return },
                _ = running.join_next() => {}
            }
        }
        let _ = tokio::time::timeout(FINAL_WRITE_TIMEOUT, calls.next()).await;
    };
    let _ = tokio::time::timeout(Duration::from_millis(settings.close_ms), finish).await;
}
