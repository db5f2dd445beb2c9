//! The HTTP server.
//!
//! dropshot opens its listener itself and leaves Nagle's algorithm on, so that the first event of a
//! stream on a connection in use waited some 30 ms for an acknowledgement. This face is therefore
//! served by hyper directly; docs/HOUSE-STYLE.md, "Libraries", has the figures. It also bounds
//! connections, frees the port as soon as it closes, and answers unknown paths with problem
//! documents.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use coltsfoothook_telemetry::event;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, JoinSet};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use crate::face::CallerFace;
use crate::handler::CallHandler;
use crate::settings::CallerSettings;

/// Connections that may wait to be accepted; the kernel may allow fewer.
const LISTEN_BACKLOG: u32 = 4_096;
/// How long the listener rests when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The least bound for a request's head that the HTTP library takes.
const LEAST_HEAD_BYTES: usize = 8_192;
/// How long a closing connection without a request may still bring one that is on its way.
const LAST_REQUEST: Duration = Duration::from_millis(250);

/// The server did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address could not be bound.
    #[snafu(display("callers cannot be served at {listen}"))]
    Listen {
        /// Where it should listen.
        listen: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// The running callers' face.
pub struct CallerServer {
    address: SocketAddr,
    shared: Arc<ServerParts>,
    task: JoinHandle<()>,
}

/// What every connection needs.
struct ServerParts {
    face: CallerFace,
    tls: Option<TlsAcceptor>,
    room: Arc<Semaphore>,
    refused: AtomicU64,
    closing: CancellationToken,
}

impl CallerServer {
    /// Starts to listen. Without `tls` it speaks plain HTTP; whether that is allowed is for the
    /// settings of the process to say.
    ///
    /// # Errors
    ///
    /// The address is taken or not local.
    pub fn start(
        settings: CallerSettings,
        handler: Arc<dyn CallHandler>,
        tls: Option<rustls::ServerConfig>,
    ) -> Result<Self, StartError> {
        let listen = settings.listen;
        let listener = bind(listen).context(ListenSnafu { listen })?;
        let address = listener.local_addr().context(ListenSnafu { listen })?;
        let shared = Arc::new(ServerParts {
            room: Arc::new(Semaphore::new(settings.connections)),
            face: CallerFace { settings, handler },
            tls: tls.map(|config| TlsAcceptor::from(Arc::new(config))),
            refused: AtomicU64::new(0),
            closing: CancellationToken::new(),
        });
        let task = tokio::spawn(accept_callers(listener, shared.clone()));
        Ok(Self { address, shared, task })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open now, for metrics.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.face.settings.connections - self.shared.room.available_permits()
    }

    /// Connections refused so far: too many at once, or a failed TLS handshake.
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Stops taking connections and returns when the last running answer has ended.
    ///
    /// The port is free at once, and connections without a request are closed. For callers to have
    /// gone elsewhere by then, the handler refuses new work as "leaving" and the VM is out of the
    /// list of entries for longer than callers keep it.
    pub async fn close(mut self) {
        self.shared.closing.cancel();
        let _ = (&mut self.task).await;
    }
}

/// Dropping the face without closing it cuts everything at once, as the death of the process would.
impl Drop for CallerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens with room for a burst of callers. The library's own bound is 128 connections that wait to
/// be accepted; the kernel drops those beyond it, and a caller tries again only after a second.
fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept_callers(listener: TcpListener, shared: Arc<ServerParts>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    let Ok(permit) = shared.room.clone().try_acquire_owned() else {
                        shared.refuse(from, "too many connections");
                        continue;
                    };
                    connections.spawn(serve_stream(stream, from, permit, shared.clone()));
                }
                Err(error) => {
                    event!(AcceptFailed, face = "caller", reason = error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = shared.closing.cancelled() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_stream(
    stream: TcpStream,
    from: SocketAddr,
    permit: OwnedSemaphorePermit,
    shared: Arc<ServerParts>,
) {
    let _permit = permit;
    // Each token is a small write; Nagle's algorithm would hold it back until the caller's kernel
    // acknowledges the one before, which it delays by up to 40 ms.
    let _ = stream.set_nodelay(true);
    let Some(acceptor) = shared.tls.clone() else {
        return serve_requests(stream, shared).await;
    };
    let limit = Duration::from_millis(shared.face.settings.handshake_timeout_ms);
    match tokio::time::timeout(limit, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => serve_requests(stream, shared).await,
        Ok(Err(error)) => shared.refuse(from, &error.to_string()),
        Err(_) => shared.refuse(from, "the handshake took too long"),
    }
}

/// Serves one connection until the caller or the server closes it. When the caller goes away, the
/// library drops the running future and the answer's body.
async fn serve_requests<S>(stream: S, shared: Arc<ServerParts>)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let asked = AtomicBool::new(false);
    let service = service_fn(|request| {
        asked.store(true, Ordering::Relaxed);
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(shared.face.answer(request).await) }
    });
    let settings = &shared.face.settings;
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(settings.head_timeout_ms))
        .max_buf_size(settings.head_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shared.closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    // The library closes a connection between requests and lets a running answer end, but it would
    // wait for the first request of a connection that never brought one.
    let early = tokio::time::timeout(LAST_REQUEST, connection.as_mut()).await;
    if early.is_err() && asked.load(Ordering::Relaxed) {
        let _ = connection.await;
    }
}

impl ServerParts {
    fn refuse(&self, from: SocketAddr, reason: &str) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        event!(CallerRefused, reason = reason, from = from);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Hundreds of callers connect at once while the process is busy and accepts nothing. None of
    /// them may have to try again; with the library's bound the 130th would.
    #[tokio::test]
    async fn burst_of_callers() {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let connect = |_| {
            let within = Duration::from_secs(1);
            std::net::TcpStream::connect_timeout(&address, within).unwrap()
        };
        let callers: Vec<_> = (0..300).map(connect).collect();
        assert_eq!(callers.len(), 300);
    }
}
