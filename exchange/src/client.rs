//! The client: sends a request and waits for the response head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_settings::settings_struct;
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::answer::{BodyFraming, EndCheck, ExchangeResponse, ResponseBody};
use crate::counted::{CountedStream, WrittenCount};
use crate::dialer::{ServerDialer, TcpDialer};
use crate::error::{ExchangeError, ExchangeStage};
use crate::pool::{ConnectionPool, IdleTimeouts, OpenConnection};

/// The minimum time by which an idle connection is dropped before the server's advertised timeout.
/// Covers a round trip and a late timer, so that a request does not race with the server's close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(200);

settings_struct! {
    /// Timeouts and limits of exchanges. All times are in milliseconds.
    pub struct ExchangeSettings {
        /// Timeout for opening a connection.
        pub connect_ms: u64 = 1_000, in 1..=600_000;
        /// Timeout for the response head, unless the request sets its own.
        pub head_ms: u64 = 30_000, in 1..=3_600_000;
        /// Timeout for each chunk of the response body, unless the request sets its own.
        pub body_ms: u64 = 30_000, in 1..=3_600_000;
        /// Idle timeout of a connection whose server advertises none in `Keep-Alive`.
        pub keep_ms: u64 = 20_000, in 0..=3_600_000;
        /// Upper bound on the idle timeout that a server advertises.
        pub most_keep_ms: u64 = 20_000, in 0..=3_600_000;
        /// The same bound for the most recently used idle connection of each server.
        pub newest_keep_ms: u64 = 20_000, in 0..=3_600_000;
        /// Idle time before the first TCP keep-alive probe, and the interval between probes. A
        /// connection whose peer vanished without a reset fails after four such periods.
        pub probe_ms: u64 = 1_000, in 1_000..=600_000;
        /// Size of the kernel's buffer for received data of a connection, in KB; 0 leaves it to the
        /// system, which lets it grow to some MB while data is not read.
        pub receive_kb: usize = 0, in 0..=65_536;
        /// Maximum number of idle connections for each server.
        pub idle_connections: usize = 64, in 0..=10_000;
        /// Maximum size of a response head, in bytes; at least 8,192.
        pub max_head_bytes: usize = 64 * 1024, in 8_192..=16 * 1024 * 1024;
    }
}

/// A request with its connection and timeout options.
#[derive(Clone, Debug)]
pub struct ExchangeRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// Headers without `Content-Length`, which is set from the body. `Host` defaults to the
    /// server's address.
    pub headers: HeaderMap,
    /// The complete body; empty for none.
    pub body: Bytes,
    /// Whether to open a new connection instead of reusing an idle one. An idle connection may have
    /// failed unnoticed, and the outcome would then be unknown ([`ExchangeError::Sent`]) where a
    /// new connection yields [`ExchangeError::NotSent`].
    pub fresh: bool,
    /// Timeout for the response head; `None` means [`ExchangeSettings::head_ms`].
    pub head_timeout: Option<Duration>,
    /// Timeout for each chunk of the body; `None` means [`ExchangeSettings::body_ms`].
    pub chunk_timeout: Option<Duration>,
}

impl ExchangeRequest {
    /// Creates a request without headers and body that may reuse a connection.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            fresh: false,
            head_timeout: None,
            chunk_timeout: None,
        }
    }

    /// Creates a `GET` request.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    /// Creates a `POST` request with a JSON body.
    #[must_use]
    pub fn post_json(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        let mut request = Self::new(Method::POST, path);
        request.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        request.body = body.into();
        request
    }

    fn into_http(self, address: SocketAddr) -> Result<Request<Full<Bytes>>, ExchangeError> {
        // An absolute URL could name a host other than the connected one in the request line.
        if !self.path.starts_with('/') {
            return Err(ExchangeError::NotSent {
                cause: "request path must begin with /".to_owned(),
            });
        }
        let mut request = Request::builder()
            .method(self.method)
            .uri(&self.path)
            .body(Full::new(self.body))
            .map_err(|error| ExchangeError::NotSent { cause: error.to_string() })?;
        *request.headers_mut() = self.headers;
        if !request.headers().contains_key(header::HOST) {
            let host = HeaderValue::from_str(&address.to_string())
                .map_err(|error| ExchangeError::NotSent { cause: error.to_string() })?;
            request.headers_mut().insert(header::HOST, host);
        }
        Ok(request)
    }
}

/// An HTTP/1.1 client; clones share one connection pool.
#[derive(Clone)]
pub struct ExchangeClient {
    settings: ExchangeSettings,
    pool: ConnectionPool,
    dialer: Arc<dyn ServerDialer>,
}

impl ExchangeClient {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub fn new(settings: ExchangeSettings) -> Self {
        Self::with_dialer(settings, Arc::new(TcpDialer))
    }

    /// Creates a client whose connections are opened by `dialer`.
    #[must_use]
    pub fn with_dialer(settings: ExchangeSettings, dialer: Arc<dyn ServerDialer>) -> Self {
        let timeouts = IdleTimeouts {
            unadvertised: Duration::from_millis(settings.keep_ms),
            max_advertised: Duration::from_millis(settings.most_keep_ms),
            newest_max_advertised: Duration::from_millis(settings.newest_keep_ms),
        };
        let pool = ConnectionPool::new(timeouts, settings.idle_connections);
        Self { settings, pool, dialer }
    }

    /// Sends `request` at most once and waits for the response head.
    ///
    /// # Errors
    ///
    /// The variant of [`ExchangeError`] shows how far the exchange got.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeResponse, ExchangeError> {
        let fresh = request.fresh;
        let chunk_timeout =
            request.chunk_timeout.unwrap_or(Duration::from_millis(self.settings.body_ms));
        let head_timeout =
            request.head_timeout.unwrap_or(Duration::from_millis(self.settings.head_ms));
        let mut message = request.into_http(address)?;
        let method = message.method().clone();
        loop {
            let pooled = if fresh { None } else { self.pool.take(address) };
            let connection = match pooled {
                Some(connection) => connection,
                None => self.connect(address).await?,
            };
            let reused = connection.reused;
            message = match self.attempt(connection, message, head_timeout).await {
                Ok(begun) => return Ok(self.build_answer(address, begun, &method, chunk_timeout)),
                // Hyper returns the message only if it wrote none of it, so sending it on another
                // connection cannot run the request twice. This is the case of a pooled connection
                // that failed while idle; the same failure of a new connection is an error.
                Err(AttemptFailure::Unwritten { message, .. }) if reused => *message,
                Err(AttemptFailure::Unwritten { cause, .. }) => {
                    return Err(ExchangeError::NotSent { cause });
                }
                Err(AttemptFailure::Final(error)) => return Err(error),
            };
        }
    }

    /// Drops all idle connections to a server. If one connection became unresponsive without a
    /// reset, the other idle ones may have as well, and each would cost an exchange its full
    /// timeout.
    pub fn forget(&self, address: SocketAddr) {
        self.pool.forget(address);
    }

    /// Opens a connection and closes it again, to see whether anything accepts it there.
    ///
    /// # Errors
    ///
    /// The error of the system, or [`std::io::ErrorKind::TimedOut`] after
    /// [`ExchangeSettings::connect_ms`].
    pub async fn probe(&self, address: SocketAddr) -> std::io::Result<()> {
        let limit = Duration::from_millis(self.settings.connect_ms);
        let opened = timeout(limit, self.dialer.dial(address)).await;
        opened.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?.map(drop)
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenConnection, ExchangeError> {
        let limit = Duration::from_millis(self.settings.connect_ms);
        let not_sent = |cause: String| ExchangeError::NotSent { cause };
        let stream = timeout(limit, self.dialer.dial(address))
            .await
            .map_err(|_| ExchangeError::TimedOut { stage: ExchangeStage::Connect })?
            .map_err(|error| not_sent(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| not_sent(error.to_string()))?;
        self.enable_keepalive(&stream).map_err(|error| not_sent(error.to_string()))?;
        if self.settings.receive_kb > 0 {
            let size = self.settings.receive_kb << 10;
            let sized = SockRef::from(&stream).set_recv_buffer_size(size);
            sized.map_err(|error| not_sent(error.to_string()))?;
        }
        let written = WrittenCount::default();
        let stream = TokioIo::new(CountedStream::new(stream, written.clone()));
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(self.settings.max_head_bytes.max(8_192))
            .handshake(stream)
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        // Errors of the connection task also reach the exchange that uses the connection.
        tokio::spawn(async move { drop(connection.await) });
        Ok(OpenConnection { sender, written, reused: false, idle_timeout: None })
    }

    /// Enables TCP keep-alive and the user timeout, so that the kernel fails a connection whose
    /// peer vanished without a reset after four periods of [`ExchangeSettings::probe_ms`].
    fn enable_keepalive(&self, stream: &TcpStream) -> std::io::Result<()> {
        let interval = Duration::from_millis(self.settings.probe_ms);
        let keepalive =
            TcpKeepalive::new().with_time(interval).with_interval(interval).with_retries(3);
        let socket = SockRef::from(stream);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(interval * 4))
    }

    async fn attempt(
        &self,
        mut connection: OpenConnection,
        message: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<BegunAnswer, AttemptFailure> {
        let written_before = connection.written.get();
        let body_bytes = message.body().size_hint().exact().unwrap_or_default();
        let result = timeout(head_timeout, connection.sender.try_send_request(message)).await;
        let Ok(result) = result else {
            let unwritten = connection.written.seal() == written_before;
            let stage = if unwritten { ExchangeStage::Connect } else { ExchangeStage::Head };
            return Err(AttemptFailure::Final(ExchangeError::TimedOut { stage }));
        };
        let mut error = match result {
            Ok(response) => {
                let request_end = written_before + body_bytes;
                return Ok(BegunAnswer { connection, response, request_end });
            }
            Err(error) => error,
        };
        let cause = error_chain(error.error());
        if let Some(message) = error.take_message() {
            return Err(AttemptFailure::Unwritten { message: Box::new(message), cause });
        }
        let unwritten = connection.written.seal() == written_before;
        Err(AttemptFailure::Final(if unwritten {
            ExchangeError::NotSent { cause }
        } else {
            ExchangeError::Sent { cause }
        }))
    }

    fn build_answer(
        &self,
        address: SocketAddr,
        begun: BegunAnswer,
        method: &Method,
        chunk_timeout: Duration,
    ) -> ExchangeResponse {
        let BegunAnswer { mut connection, response, request_end } = begun;
        let (parts, body) = response.into_parts();
        let fresh = !connection.reused;
        connection.idle_timeout = advertised_idle_timeout(&parts.headers);
        let framing = BodyFraming::of(method, parts.status, &parts.headers);
        let is_unframed = framing == BodyFraming::Connection && parts.status.is_success();
        let end_check = is_unframed.then(|| EndCheck::new(connection.written.clone(), request_end));
        let pool = self.pool.clone();
        let body = ResponseBody::new(body, chunk_timeout, address, connection, pool, end_check);
        ExchangeResponse { status: parts.status, headers: parts.headers, fresh, framing, body }
    }
}

/// Checks that `text` is valid as one path segment without escaping, and returns it.
///
/// Guards against identifiers received from other programs: one with a slash or a question mark
/// would address another endpoint.
///
/// # Errors
///
/// [`ExchangeError::NotSent`] if it is empty, `.` or `..`, or has characters other than ASCII
/// letters, digits and `.`, `_`, `-`, `~`, `:`, `@`.
pub fn path_segment(text: &str) -> Result<&str, ExchangeError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-~:@".contains(&byte);
    if !text.is_empty() && text != "." && text != ".." && text.bytes().all(allowed) {
        return Ok(text);
    }
    Err(ExchangeError::NotSent { cause: format!("{text:?} is not a valid path segment") })
}

/// Returns the idle timeout from `Keep-Alive`, less a tenth or [`KEEP_ALIVE_MARGIN`], whichever is
/// more, so that a request does not race with the server's close. `None` if the header is absent or
/// states no whole number of seconds.
fn advertised_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameter = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = parameter.trim().parse().ok()?;
    let advertised = Duration::from_secs(seconds);
    Some(advertised.saturating_sub((advertised / 10).max(KEEP_ALIVE_MARGIN)))
}

/// An answer whose head was received, with its connection.
struct BegunAnswer {
    connection: OpenConnection,
    response: http::Response<Incoming>,
    /// How many bytes the connection has written at least once the request is written whole.
    request_end: u64,
}

/// Why an attempt on one connection failed.
enum AttemptFailure {
    /// No byte of the message was written; it can be sent on another connection.
    Unwritten { message: Box<Request<Full<Bytes>>>, cause: String },
    /// The exchange failed, and the message is not available for another attempt.
    Final(ExchangeError),
}

/// Formats an error and its sources on one line, for logs.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
