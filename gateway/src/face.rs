//! The listening sockets of the process and the HTTP services behind them.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use coltsfoothook_decision::backend::BackendState;
use coltsfoothook_platform::{ADDRESSES_PATH, READY_PATH, addresses_body};
use coltsfoothook_telemetry::event;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

use crate::answer::{AnswerStream, own_answer, whole_answer};
use crate::buffer::ReadingDue;
use crate::clock;
use crate::forward;
use crate::hand_over;
use crate::link::StoreCall;
use crate::record_exchange::{SHARED_PATH, TABLE_QUERY, shared_body};
use crate::state::Gateway;

/// Connections that the kernel queues until they are accepted. In a burst beyond it SYN packets are dropped, and
/// clients retransmit them only after seconds.
const LISTEN_BACKLOG: u32 = 2_048;
/// The delay before the next accept after one failed, as when the process is out of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Added to the configured idle time of connections. Clients measure it from the end of the answer, and a request
/// that is sent while the connection is being closed is lost.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Idle time of connections that are opened before a configuration is known.
const INITIAL_IDLE_TIME: Duration = Duration::from_secs(20);
/// The smallest buffer that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8_192;
/// Idle time after which the kernel sends TCP keepalive probes to a caller. Four unanswered probes end the
/// connection, so that servers do not go on working for a caller whose host is unreachable.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// How long callers cache the address list, in seconds. Callers go on trying a VM that ended for as long, so it is
/// short; each further query costs a VM 0.1 ms.
const ADDRESS_TTL_S: f64 = 2.0;
/// The largest number of addresses that callers use.
const MAX_ADDRESSES: usize = 64;

/// Answers the requests of one listener.
trait InterfaceService: Clone + Send + 'static {
    fn answer(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerStream>> + Send;
}

/// Forwards callers' requests.
#[derive(Clone)]
struct RequestInterface(Arc<Gateway>);

impl InterfaceService for RequestInterface {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerStream> {
        forward::serve(Arc::clone(&self.0), request).await
    }
}

/// Answers the readiness check: 200 if the VM is ready, else 503.
#[derive(Clone)]
struct ReadyInterface(Arc<Gateway>);

impl InterfaceService for ReadyInterface {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerStream> {
        if request.uri().path() != READY_PATH {
            return own_answer(StatusCode::NOT_FOUND, "", None);
        }
        let ready = self.0.ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        own_answer(status, "", None)
    }
}

/// Answers which VM addresses callers should use; 503 if no VM is ready.
#[derive(Clone)]
struct AddressInterface(Arc<Gateway>);

impl InterfaceService for AddressInterface {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerStream> {
        if request.uri().path() != ADDRESSES_PATH {
            return own_answer(StatusCode::NOT_FOUND, "", None);
        }
        let addresses = addresses(&self.0);
        if addresses.is_empty() {
            return own_answer(StatusCode::SERVICE_UNAVAILABLE, "", None);
        }
        let longest = self.0.settings.promises.address_lifetime_s as f64;
        let body = addresses_body(&addresses, ADDRESS_TTL_S.min(longest));
        let mut headers = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        whole_answer(StatusCode::OK, headers, body.into())
    }
}

/// Returns the request addresses of the VMs that are ready, this one among them.
fn addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let mut addresses = gateway.view().roster.ready(clock::now());
    if gateway.ready() {
        addresses.push(gateway.settings.listen.requests);
    }
    addresses.sort_unstable();
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

/// Answers with the metrics as text. Gauges are set when they are read.
#[derive(Clone)]
struct MetricsInterface(Arc<Gateway>);

impl InterfaceService for MetricsInterface {
    async fn answer(&self, _request: Request<Incoming>) -> Response<AnswerStream> {
        let gateway = &self.0;
        let now = clock::now();
        {
            let view = gateway.view();
            gateway.metrics.set("servers", view.backends.servers().len());
            let count = |counts: &dyn Fn(&BackendState) -> bool| {
                view.backends.servers().iter().filter(|state| counts(state)).count()
            };
            let limited = count(&|state| state.limit_per_s().is_some());
            gateway.metrics.set("limited_servers", limited);
            let resting = count(&|state| !state.rest_wait(now).is_zero());
            gateway.metrics.set("resting_servers", resting);
            gateway.metrics.set("leaving_servers", count(&|state| state.leaving));
            gateway.metrics.set("buffered_bytes", gateway.buffers.held());
            gateway.metrics.set("vms", view.vm_count(now));
            gateway.metrics.set("shares", view.lease.held());
            let slack = view.slack_share(now) * view.budget.bounds().slack;
            gateway.metrics.set("repeat_slack", slack as usize);
            gateway.metrics.set("ordered_servers", view.order_trackers.servers().len());
            let version = view.table.as_ref().map_or(0, |table| table.version.0);
            gateway.metrics.set("configuration", usize::try_from(version).unwrap_or(usize::MAX));
            for (kind, bytes) in gateway.peers.sent_bytes() {
                gateway.metrics.sent_bytes(kind, bytes);
            }
            for call in StoreCall::ALL {
                if let Some(age) = view.answers.age(call, now) {
                    gateway.metrics.answer_age(call.name(), age);
                }
            }
        }
        whole_answer(StatusCode::OK, HeaderMap::new(), gateway.metrics.text().into())
    }
}

/// Answers other VMs: with the state that VMs share, and requests that they hand over.
#[derive(Clone)]
struct PeerInterface(Arc<Gateway>);

impl InterfaceService for PeerInterface {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerStream> {
        if hand_over::is_handed_over(request.headers()) {
            return forward::serve_handed_over(&self.0, request).await;
        }
        if request.uri().path() != SHARED_PATH {
            return own_answer(StatusCode::NOT_FOUND, "", None);
        }
        let table_only = request.uri().query() == Some(TABLE_QUERY);
        whole_answer(StatusCode::OK, HeaderMap::new(), shared_body(&self.0, table_only).into())
    }
}

/// The listening sockets, opened but not served yet.
pub(crate) struct InterfaceListeners {
    requests: TcpListener,
    ready: TcpListener,
    addresses: TcpListener,
    peers: TcpListener,
    /// `None` if the settings give port 0.
    metrics: Option<TcpListener>,
}

impl InterfaceListeners {
    /// Opens all sockets. An address that cannot be bound fails the start of the process.
    pub(crate) fn open(gateway: &Gateway) -> io::Result<Self> {
        let listen = &gateway.settings.listen;
        Ok(Self {
            requests: open(listen.requests)?,
            ready: open(listen.ready)?,
            addresses: open(listen.addresses)?,
            peers: open(listen.peers)?,
            metrics: if listen.metrics.port() == 0 { None } else { Some(open(listen.metrics)?) },
        })
    }

    /// Spawns a task per listener on `tasks`. The one for callers' requests stops accepting when the process closes.
    pub(crate) fn serve(self, gateway: &Arc<Gateway>, tasks: &mut JoinSet<()>) {
        let shared = Arc::clone(gateway);
        let (ready, addresses) = (ReadyInterface(shared.clone()), AddressInterface(shared.clone()));
        tasks.spawn(accept(shared.clone(), self.ready, ready, false));
        tasks.spawn(accept(shared.clone(), self.addresses, addresses, false));
        tasks.spawn(accept(shared.clone(), self.peers, PeerInterface(shared.clone()), false));
        if let Some(metrics) = self.metrics {
            tasks.spawn(accept(shared.clone(), metrics, MetricsInterface(shared.clone()), false));
        }
        let requests = RequestInterface(shared.clone());
        tasks.spawn(accept(shared, self.requests, requests, true));
    }
}

fn open(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Lets a restarted process bind while connections of its predecessor are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts and serves connections; with `until_closing` only until the process closes, then waits for the open ones.
async fn accept(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    service: impl InterfaceService,
    until_closing: bool,
) {
    let mut closing = gateway.closing.subscribe();
    // Dropping the set aborts its connections; at a shutdown they are awaited below.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing), if until_closing => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let (gateway, service) = (Arc::clone(&gateway), service.clone());
                connections.spawn(connection(gateway, stream, service, until_closing));
            }
            Err(error) => {
                event!(AcceptFailed, cause = error);
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
    // Closes the socket, so that new connections are refused.
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Counts a caller's connection from its first request to its end.
struct UsedConnection(Arc<Gateway>);

impl UsedConnection {
    fn new(gateway: Arc<Gateway>) -> Self {
        gateway.used_connections.fetch_add(1, Ordering::Relaxed);
        Self(gateway)
    }
}

impl Drop for UsedConnection {
    fn drop(&mut self) {
        self.0.used_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a connection. A shutdown waits for it, once it was used, if `is_awaited`.
async fn connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    service: impl InterfaceService,
    is_awaited: bool,
) {
    if let Err(error) = set_socket_options(&stream, gateway.settings.buffers.socket_kb << 10) {
        event!(AcceptFailed, cause = error);
        return;
    }
    let table = gateway.view().table.clone();
    let idle =
        table.as_ref().map_or(INITIAL_IDLE_TIME, |table| table.limits.idle_time + IDLE_MARGIN);
    let head = table.as_ref().map_or(MIN_HEAD_BYTES * 2, |table| table.limits.head_bytes * 2);
    let reading = ReadingDue::default();
    let signal = reading.clone();
    let (used, counting) = (OnceLock::new(), Arc::clone(&gateway));
    let service = service_fn(move |mut request: Request<Incoming>| {
        let service = service.clone();
        if is_awaited {
            used.get_or_init(|| UsedConnection::new(Arc::clone(&counting)));
        }
        request.extensions_mut().insert(signal.clone());
        async move { Ok::<_, Infallible>(service.answer(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle);
    builder.max_buf_size(head.max(MIN_HEAD_BYTES));
    let mut closing = gateway.closing.subscribe();
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // Errors of a connection are not logged; the end of each of its requests is.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = reading.passed() => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = reading.passed() => {}
    }
}

/// Sets the options of a caller's connection; `send_bytes` is the size of its send buffer, 0 for the system's.
fn set_socket_options(stream: &TcpStream, send_bytes: usize) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    if send_bytes > 0 {
        socket.set_send_buffer_size(send_bytes)?;
    }
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE / 2)
        .with_retries(3);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(KEEPALIVE_IDLE * 3))
}
