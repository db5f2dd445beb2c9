//! The HTTP server under every stand-in: it can cut all connections, be down for a while, freeze,
//! and stop without cutting anything.

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

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 4_096;
/// Between two attempts to listen on the same port again.
const REBIND_PAUSE: Duration = Duration::from_millis(20);
/// After a failed accept, which usually means that files are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long a graceful stop waits for answers under way.
const STOP_PATIENCE: Duration = Duration::from_secs(10);

/// Answers requests. An error cuts the connection without an answer.
#[async_trait]
pub(crate) trait RequestHandler: Send + Sync + 'static {
    async fn handle(&self, request: Request<Incoming>) -> Result<Reply, ConnectionCut>;
}

/// A running server.
pub(crate) struct HttpServer {
    address: SocketAddr,
    control: Arc<ServerControl>,
}

/// What faults do to a server while it runs.
pub(crate) struct ServerControl {
    /// Cancelled, and replaced, when all connections are cut.
    connections: Mutex<CancellationToken>,
    down_until: watch::Sender<Option<Instant>>,
    frozen_until: watch::Sender<Option<Instant>>,
    /// Cancelled, and replaced, when requests that hang are to end.
    hung: Mutex<CancellationToken>,
    stop: CancellationToken,
    /// Cancelled when the last answer is out.
    stopped: CancellationToken,
    tasks: TaskTracker,
}

impl ServerControl {
    /// A control without faults.
    pub(crate) fn new() -> Arc<Self> {
        let stop = CancellationToken::new();
        Arc::new(Self {
            connections: Mutex::default(),
            down_until: watch::Sender::new(None),
            frozen_until: watch::Sender::new(None),
            hung: Mutex::new(stop.child_token()),
            stop,
            stopped: CancellationToken::new(),
            tasks: TaskTracker::new(),
        })
    }

    /// Cuts every connection.
    pub(crate) fn cut_connections(&self) {
        let mut token = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        token.cancel();
        *token = CancellationToken::new();
    }

    /// Cancelled when the requests that hang now are to end. It is taken before the faults are
    /// looked at: a fault that is switched off in between would else be waited on for ever.
    pub(crate) fn hung(&self) -> CancellationToken {
        current(&self.hung)
    }

    /// Ends the requests that hang.
    pub(crate) fn cut_hung(&self) {
        let mut token = self.hung.lock().unwrap_or_else(PoisonError::into_inner);
        token.cancel();
        *token = self.stop.child_token();
    }

    /// Whether the server is on its way out.
    pub(crate) fn stopping(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Refuses connections for `time`, and cuts those that are open.
    pub(crate) fn go_down(&self, time: Duration) {
        if !time.is_zero() {
            self.down_until.send_replace(Some(Instant::now() + time));
        }
        self.cut_connections();
    }

    /// Takes and answers nothing for `time`, as a paused process.
    pub(crate) fn freeze(&self, time: Duration) {
        self.frozen_until.send_replace(Some(Instant::now() + time));
    }

    /// Returns when the server is not frozen.
    pub(crate) async fn thawed(&self) {
        loop {
            let until = *self.frozen_until.borrow();
            match until {
                Some(until) if until > Instant::now() => sleep_until(until).await,
                _ => return,
            }
        }
    }

    /// Runs `task` until it ends or the last answer is out. Answers may depend on it, so it must
    /// not end when the stop begins.
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

fn current(token: &Mutex<CancellationToken>) -> CancellationToken {
    token.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

impl HttpServer {
    /// Listens on `listen` and answers with `handler`.
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

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its control.
    pub(crate) fn control(&self) -> &ServerControl {
        &self.control
    }

    /// Takes no new connection from now on.
    pub(crate) fn begin_stop(&self) {
        self.control.stop.cancel();
    }

    /// Takes no new connection, lets answers under way end, then stops.
    pub(crate) async fn stop(&self) {
        self.control.stop.cancel();
        self.control.tasks.close();
        if timeout(STOP_PATIENCE, self.control.tasks.wait()).await.is_err() {
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

/// Listens with room for a burst of callers. The library's own bound is 128: connections beyond it
/// are dropped by the kernel and tried again only after a second.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restart must not wait for the connections of the life before to time out.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

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
            listener = bind_again(address, &control).await;
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
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
}

/// Waits until the server is to be up again and takes its port back; none if it stops before.
async fn bind_again(address: SocketAddr, control: &ServerControl) -> Option<TcpListener> {
    loop {
        let until = control.down_until.borrow().unwrap_or_else(Instant::now);
        tokio::select! {
            () = control.stop.cancelled() => return None,
            () = sleep_until(until) => {}
        }
        match bind(address) {
            Ok(listener) => return Some(listener),
            Err(_) => sleep(REBIND_PAUSE).await,
        }
    }
}

async fn serve(stream: TcpStream, control: Arc<ServerControl>, handler: Arc<dyn RequestHandler>) {
    let cut = current(&control.connections);
    // Without it each small piece of a stream would wait for an acknowledgement.
    drop(stream.set_nodelay(true));
    let answering = control.clone();
    let service = service_fn(move |request| {
        let (control, handler) = (answering.clone(), handler.clone());
        async move {
            control.thawed().await;
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
