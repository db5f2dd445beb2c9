//! The HTTP server of all stand-ins. It can cut all connections, simulate downtime, freeze, and
//! stop gracefully.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::event::log_event;
use crate::reply::{ConnectionCut, Reply};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 4_096;
/// Interval between attempts to listen on the same port after downtime.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed accept, which usually means that file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long a graceful stop waits for answers in flight before it cuts their connections.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Handler of requests. An error cuts the connection without an answer.
#[async_trait]
pub(crate) trait RequestHandler: Send + Sync + 'static {
    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, ConnectionCut>;
}

/// A running server; dropping it stops it.
pub(crate) struct HttpServer {
    address: SocketAddr,
    control: Arc<ServerControl>,
}

/// Shared control of a running server, by which faults act on it.
pub(crate) struct ServerControl {
    /// Cancelled and replaced when all connections are cut.
    connections: Mutex<CancellationToken>,
    down_until: watch::Sender<Option<Instant>>,
    frozen_until: watch::Sender<Option<Instant>>,
    /// Cancelled and replaced when hanging requests are released.
    hang: Mutex<CancellationToken>,
    /// Cancelled when the stop begins.
    stop: CancellationToken,
    /// Cancelled when the last answer is sent, or after the stop's timeout.
    stopped: CancellationToken,
    tasks: TaskTracker,
}

impl ServerControl {
    /// Creates a control without faults.
    pub(crate) fn new() -> Arc<Self> {
        let stop = CancellationToken::new();
        Arc::new(Self {
            connections: Mutex::default(),
            down_until: watch::Sender::new(None),
            frozen_until: watch::Sender::new(None),
            hang: Mutex::new(stop.child_token()),
            stop,
            stopped: CancellationToken::new(),
            tasks: TaskTracker::new(),
        })
    }

    /// Cuts all connections.
    pub(crate) fn cut_connections(&self) {
        let mut token = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        token.cancel();
        *token = CancellationToken::new();
    }

    /// Returns a token that is cancelled when the requests that hang now are released. Take it
    /// before reading the faults: otherwise a request could wait forever on a fault that was
    /// switched off in between.
    pub(crate) fn hang_token(&self) -> CancellationToken {
        current(&self.hang)
    }

    /// Releases the requests that hang.
    pub(crate) fn release_hung(&self) {
        let mut token = self.hang.lock().unwrap_or_else(PoisonError::into_inner);
        token.cancel();
        *token = self.stop.child_token();
    }

    /// Returns whether the stop has begun.
    pub(crate) fn stopping(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Cuts all connections and refuses new ones for `time`.
    pub(crate) fn go_down(&self, time: Duration) {
        if !time.is_zero() {
            self.down_until.send_replace(Some(Instant::now() + time));
        }
        self.cut_connections();
    }

    /// Suspends the handling of requests for `time`, as if the process were paused.
    pub(crate) fn freeze(&self, time: Duration) {
        self.frozen_until.send_replace(Some(Instant::now() + time));
    }

    /// Waits until the server is not frozen.
    pub(crate) async fn wait_unfrozen(&self) {
        loop {
            let until = *self.frozen_until.borrow();
            match until {
                Some(until) if until > Instant::now() => sleep_until(until).await,
                _ => return,
            }
        }
    }

    /// Runs `task` until it ends or the last answer is sent. It is not cancelled when the stop
    /// begins, since answers in flight may depend on it.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stopped = self.stopped.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                () = stopped.cancelled() => {}
            }
        });
    }
}

/// Returns the present token of a replaceable one.
fn current(token: &Mutex<CancellationToken>) -> CancellationToken {
    token.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

impl HttpServer {
    /// Starts a server that listens on `listen` and passes requests to `handler`.
    pub(crate) async fn start(
        listen: SocketAddr,
        control: Arc<ServerControl>,
        handler: Arc<dyn RequestHandler>,
    ) -> std::io::Result<Self> {
        let listener = bind(listen)?;
        let address = listener.local_addr()?;
        let accepting = accept_all(listener, address, control.clone(), handler);
        control.tasks.spawn(accepting);
        Ok(Self { address, control })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the server's control.
    pub(crate) fn control(&self) -> &ServerControl {
        &self.control
    }

    /// Begins the stop: accepts no more connections and releases hanging requests.
    pub(crate) fn begin_stop(&self) {
        self.control.stop.cancel();
    }

    /// Stops accepting connections, waits for answers in flight up to [`STOP_TIMEOUT`], then stops.
    pub(crate) async fn stop(&self) {
        self.control.stop.cancel();
        self.control.tasks.close();
        if timeout(STOP_TIMEOUT, self.control.tasks.wait()).await.is_err() {
            self.control.cut_connections();
        }
        self.control.stopped.cancel();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.control.stop.cancel();
        self.control.stopped.cancel();
    }
}

/// Binds a listener with a backlog for bursts of callers. The library's default backlog is 128; the
/// kernel drops connections beyond it and callers retry only after a second.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Rebinding must not wait until connections of the previous incarnation have timed out.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections until the stop begins; closes the listener during downtime.
async fn accept_all(
    listener: TcpListener,
    address: SocketAddr,
    control: Arc<ServerControl>,
    handler: Arc<dyn RequestHandler>,
) {
    let mut listener = Some(listener);
    let mut down = control.down_until.subscribe();
    loop {
        let Some(open) = &listener else {
            listener = rebind(address, &control).await;
            if listener.is_none() {
                return;
            }
            continue;
        };
        tokio::select! {
            () = control.stop.cancelled() => return,
            _ = down.changed() => listener = None,
            accepted = open.accept() => match accepted {
                Ok((stream, _)) => {
                    let serving = serve(stream, control.clone(), handler.clone());
                    control.tasks.spawn(serving);
                }
                Err(error) => {
                    log_event("accept_failed", &address.to_string(), &error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

/// Waits until the downtime is over and listens on the port again; returns `None` if the server
/// stops before.
async fn rebind(address: SocketAddr, control: &ServerControl) -> Option<TcpListener> {
    loop {
        let until = control.down_until.borrow().unwrap_or_else(Instant::now);
        tokio::select! {
            () = control.stop.cancelled() => return None,
            () = sleep_until(until) => {}
        }
        match bind(address) {
            Ok(listener) => return Some(listener),
            Err(_) => sleep(REBIND_INTERVAL).await,
        }
    }
}

/// Serves a connection until it closes, is cut, or the server stops; a stop lets answers in flight
/// end.
async fn serve(stream: TcpStream, control: Arc<ServerControl>, handler: Arc<dyn RequestHandler>) {
    let cut = current(&control.connections);
    // Without this, each small piece of a stream would wait for an acknowledgement.
    drop(stream.set_nodelay(true));
    let answering = control.clone();
    let service = service_fn(move |request| {
        let (control, handler) = (answering.clone(), handler.clone());
        async move {
            control.wait_unfrozen().await;
            handler.handle(request).await
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = cut.cancelled() => return,
        () = control.stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = cut.cancelled() => {}
    }
}
