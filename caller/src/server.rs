//! The HTTP server for callers.
//!
//! It uses hyper directly, unlike the operators' interface, because dropshot opens its listener
//! itself and leaves Nagle's algorithm enabled, which delays the first event of a stream on a
//! reused connection by about 30 ms (docs/HOUSE-STYLE.md, "Libraries"). hyper also makes it
//! possible to limit connections, to free the port at the start of closing, and to answer unknown
//! paths with problem documents.

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

use crate::handler::CallHandler;
use crate::interface::CallerInterface;
use crate::settings::CallerSettings;

/// The maximum number of connections waiting to be accepted; the kernel may set a lower limit.
const LISTEN_BACKLOG: u32 = 4_096;
/// The interval between attempts to accept after an error, such as running out of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum buffer size that hyper accepts; a smaller `head_bytes` is raised to it.
const MIN_HEAD_BYTES: usize = 8_192;
/// How long a closing connection that has received no request waits for one that is in flight.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// The server could not be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The listener could not be opened.
    #[snafu(display("cannot listen for callers at {listen}"))]
    Listen {
        /// The configured address.
        listen: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// The running HTTP server for callers. Dropping it without [`close`](Self::close) aborts all
/// connections at once, as the death of the process would.
pub struct CallerServer {
    address: SocketAddr,
    shared: Arc<ServerShared>,
    task: JoinHandle<()>,
}

/// The state that all connections share.
struct ServerShared {
    interface: CallerInterface,
    tls: Option<TlsAcceptor>,
    connection_permits: Arc<Semaphore>,
    refused: AtomicU64,
    closing: CancellationToken,
}

impl CallerServer {
    /// Starts the server. Without `tls` it serves plain HTTP; the process's settings decide whether
    /// that is allowed.
    ///
    /// # Errors
    ///
    /// The address is in use or not local.
    pub fn start(
        settings: CallerSettings,
        handler: Arc<dyn CallHandler>,
        tls: Option<rustls::ServerConfig>,
    ) -> Result<Self, StartError> {
        let listen = settings.listen;
        let listener = bind(listen).context(ListenSnafu { listen })?;
        let address = listener.local_addr().context(ListenSnafu { listen })?;
        let shared = Arc::new(ServerShared {
            connection_permits: Arc::new(Semaphore::new(settings.connections)),
            interface: CallerInterface { settings, handler },
            tls: tls.map(|config| TlsAcceptor::from(Arc::new(config))),
            refused: AtomicU64::new(0),
            closing: CancellationToken::new(),
        });
        let task = tokio::spawn(accept_callers(listener, shared.clone()));
        Ok(Self { address, shared, task })
    }

    /// Returns the bound address, with the actual port if port 0 was configured.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections, for metrics.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.interface.settings.connections
            - self.shared.connection_permits.available_permits()
    }

    /// Returns how many connections were refused since the start, because the limit was reached or
    /// the TLS handshake failed.
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Stops accepting connections and returns when the last running response has ended.
    ///
    /// The port is freed at the start, and connections without a request are closed. Callers must
    /// have moved to other VMs before this call: the handler must refuse new work as "leaving", and
    /// the VM must have been absent from the list of entries for longer than callers cache it.
    pub async fn close(mut self) {
        self.shared.closing.cancel();
        let _ = (&mut self.task).await;
    }
}

impl Drop for CallerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a listener with a backlog for bursts of connections. tokio's default backlog is 128; the
/// kernel drops connection attempts beyond the backlog, and a caller retries only after a second.
fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept_callers(listener: TcpListener, shared: Arc<ServerShared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    let Ok(permit) = shared.connection_permits.clone().try_acquire_owned() else {
                        shared.refuse(from, "too many connections");
                        continue;
                    };
                    connections.spawn(serve_stream(stream, from, permit, shared.clone()));
                }
                Err(error) => {
                    event!(AcceptFailed, face = "caller", reason = error);
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
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
    shared: Arc<ServerShared>,
) {
    let _permit = permit;
    // Each token is a small write. Nagle's algorithm would delay it until the caller's kernel
    // acknowledges the previous one, which can take up to 40 ms.
    let _ = stream.set_nodelay(true);
    let Some(acceptor) = shared.tls.clone() else {
        return serve_requests(stream, shared).await;
    };
    let timeout = Duration::from_millis(shared.interface.settings.handshake_timeout_ms);
    match tokio::time::timeout(timeout, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => serve_requests(stream, shared).await,
        Ok(Err(error)) => shared.refuse(from, &error.to_string()),
        Err(_) => shared.refuse(from, "TLS handshake timed out"),
    }
}

/// Serves one connection until the caller or the server closes it. When the caller disconnects,
/// hyper drops the running future and the response body.
async fn serve_requests<S>(stream: S, shared: Arc<ServerShared>)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let has_request = AtomicBool::new(false);
    let service = service_fn(|request| {
        has_request.store(true, Ordering::Relaxed);
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(shared.interface.answer(request).await) }
    });
    let settings = &shared.interface.settings;
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(settings.head_timeout_ms))
        .max_buf_size(settings.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shared.closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    // On a graceful shutdown hyper closes idle connections and completes running responses, but it
    // keeps waiting on a connection that has not received its first request.
    let ended = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, connection.as_mut()).await;
    if ended.is_err() && has_request.load(Ordering::Relaxed) {
        let _ = connection.await;
    }
}

impl ServerShared {
    fn refuse(&self, from: SocketAddr, reason: &str) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        event!(CallerRefused, reason = reason, from = from);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a backlog so short that a burst of 300 connections, while the process accepts
    /// none, makes callers retry. With tokio's default backlog the 130th connection
    /// would.
    #[tokio::test]
    async fn burst_of_callers() {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let connect = |_| {
            let timeout = Duration::from_secs(1);
            std::net::TcpStream::connect_timeout(&address, timeout).unwrap()
        };
        let callers: Vec<_> = (0..300).map(connect).collect();
        assert_eq!(callers.len(), 300);
    }
}
