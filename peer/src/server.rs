//! Answering other VMs.

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

/// Connections that may wait to be accepted; the kernel may allow fewer.
const LISTEN_BACKLOG: u32 = 1_024;
/// How long the listener rests when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// How long a closing connection still writes answers that are ready.
const LAST_WRITES: Duration = Duration::from_millis(50);

/// Listens for other VMs.
pub struct PeerServer {
    address: SocketAddr,
    counters: Arc<PeerCounters>,
    closing: CancellationToken,
    task: JoinHandle<()>,
}

/// What every connection needs.
struct ServerParts {
    settings: PeerSettings,
    handler: Arc<dyn PeerHandler>,
    tls: Option<TlsAcceptor>,
    counters: Arc<PeerCounters>,
    closing: CancellationToken,
}

impl PeerServer {
    /// Starts to listen. With `tls`, only VMs with a certificate of our authority get through.
    ///
    /// # Errors
    ///
    /// There are no keys and the settings do not waive them, or the address is taken.
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
        let parts = ServerParts {
            settings,
            handler,
            tls: tls.map(TlsAcceptor::from),
            counters: counters.clone(),
            closing: closing.clone(),
        };
        let task = tokio::spawn(accept_peers(listener, Arc::new(parts)));
        Ok(Self { address, counters, closing, task })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What was refused so far.
    #[must_use]
    pub fn counters(&self) -> &Arc<PeerCounters> {
        &self.counters
    }

    /// Stops taking connections and calls, waits for running calls as long as the settings say, and
    /// closes the connections.
    pub async fn close(mut self) {
        self.closing.cancel();
        let _ = (&mut self.task).await;
    }
}

/// Dropping the server without closing it cuts all connections at once, as the death of the process
/// would.
impl Drop for PeerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens with room for all VMs at once: after a failure domain is lost they turn to a new owner
/// together, and the kernel drops connections beyond the library's bound of 128.
fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept_peers(listener: TcpListener, parts: Arc<ServerParts>) {
    let room = Arc::new(Semaphore::new(parts.settings.connections));
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    let Ok(permit) = room.clone().try_acquire_owned() else {
                        parts.counters.count_crowded();
                        event!(PeerRefused, reason = "too_many_connections", from = from);
                        continue;
                    };
                    connections.spawn(serve_stream(stream, from, permit, parts.clone()));
                }
                Err(error) => {
                    event!(AcceptFailed, face = "peer", reason = error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = parts.closing.cancelled() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_stream(
    stream: TcpStream,
    from: SocketAddr,
    permit: OwnedSemaphorePermit,
    parts: Arc<ServerParts>,
) {
    let _permit = permit;
    // Calls are small and wait for their answers; Nagle's algorithm would hold them back.
    let _ = stream.set_nodelay(true);
    let Some(acceptor) = &parts.tls else {
        return serve_calls(stream, PeerIdentity::new(None), &parts).await;
    };
    let limit = parts.settings.connect_timeout();
    match tokio::time::timeout(limit, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => {
            let chain = stream.get_ref().1.peer_certificates().unwrap_or_default();
            let Some(certificate) = chain.first().cloned() else {
                return refuse_handshake(&parts, from, "no certificate");
            };
            serve_calls(stream, PeerIdentity::new(Some(certificate)), &parts).await;
        }
        Ok(Err(error)) => refuse_handshake(&parts, from, &error.to_string()),
        Err(_) => refuse_handshake(&parts, from, "the handshake took too long"),
    }
}

fn refuse_handshake(parts: &ServerParts, from: SocketAddr, reason: &str) {
    parts.counters.count_handshake();
    event!(PeerRefused, reason = "handshake", detail = reason, from = from);
}

/// Serves one connection until it breaks or the server closes.
///
/// Handlers belong to the connection: when it breaks, the set of their tasks is dropped, which drops
/// their futures, so that a VM which is gone keeps no place in a queue.
async fn serve_calls<S>(stream: S, identity: PeerIdentity, parts: &ServerParts)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let settings = &parts.settings;
    let transport = FrameTransport::<_, ServerCodec>::new(stream, settings, parts.counters.clone());
    let service = PeerService {
        handler: parts.handler.clone(),
        identity: Arc::new(identity),
        counters: parts.counters.clone(),
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
            () = parts.closing.cancelled() => break,
        }
    }
    let finish = async {
        while !running.is_empty() {
            tokio::select! {
                call = calls.next() => if call.is_none() { return },
                _ = running.join_next() => {}
            }
        }
        let _ = tokio::time::timeout(LAST_WRITES, calls.next()).await;
    };
    let _ = tokio::time::timeout(Duration::from_millis(settings.close_ms), finish).await;
}
