//! Forwards calls to a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use coltsfoothook_exchange::{
    ExchangeClient, ExchangeError, ExchangeRequest, ExchangeSettings, ExchangeStage, ResponseBody,
};
use coltsfoothook_settings::settings_struct;
use http::{HeaderMap, HeaderName, Method, StatusCode, header};
use snafu::Snafu;

/// Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1, and RFC 2616,
/// section 13.5.1), headers that the exchange client sets itself, and `Expect`, which has no use
/// because the body is sent with the headers.
const NOT_FORWARDED: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Hop-by-hop header of HTTP/1.0 clients, for which the `http` crate has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// Client interface of plain services.
#[async_trait]
pub trait ServiceClient: Send + Sync {
    /// Sends `call` at most once.
    ///
    /// # Errors
    ///
    /// See [`ServiceError`]. A response with an error status is not an error.
    async fn call(
        &self,
        address: SocketAddr,
        call: ServiceCall,
    ) -> Result<ServiceAnswer, ServiceError>;
}

/// HTTP request to a service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method, forwarded as is.
    pub method: Method,
    /// Path and query, sent unchanged.
    pub path: String,
    /// Request headers; hop-by-hop headers, `Host`, `Content-Length` and `Expect` are not
    /// forwarded.
    pub headers: HeaderMap,
    /// Complete request body; may be empty.
    pub body: Bytes,
    /// Whether the call may run more than once. If not, it is sent on a new connection: if a reused
    /// connection had been closed by the service, it would be unknown whether the call ran.
    pub repeatable: bool,
    /// Timeout for the response head; `None` applies the configured `head_ms`.
    pub within: Option<Duration>,
}

impl ServiceCall {
    /// Returns a repeatable `GET` without headers or body.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            repeatable: true,
            within: None,
        }
    }
}

/// Response whose body has not been read yet.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// Any status, also that of an error.
    pub status: StatusCode,
    /// Response headers without hop-by-hop headers and `Content-Length`.
    pub headers: HeaderMap,
    /// Response body. Convert an error while reading it with [`ServiceError::from`].
    pub body: ResponseBody,
}

/// Failure of a call, by the stage that it reached.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum ServiceError {
    /// No byte was sent: the call did not run.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// Description of the underlying error, for logs.
        cause: String,
    },
    /// The call was sent, at least in part, but no valid response head arrived: whether it ran is
    /// unknown.
    #[snafu(display("sent, no answer: {cause}"))]
    Sent {
        /// Description of the underlying error, for logs.
        cause: String,
    },
    /// The call ran, at least in part; the response head arrived, but the body ended early or was
    /// malformed.
    #[snafu(display("answer cut: {cause}"))]
    Broken {
        /// Description of the underlying error, for logs.
        cause: String,
    },
    /// A stage exceeded its timeout.
    #[snafu(display("timed out at {stage:?}"))]
    Timeout {
        /// Stage that timed out. At [`ExchangeStage::Connect`] the call did not run.
        stage: ExchangeStage,
    },
    /// The response body exceeds the size limit.
    #[snafu(display("answer longer than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

impl ServiceError {
    /// Returns whether the call is known not to have run, so that a retry cannot run it twice.
    #[must_use]
    pub fn certainly_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Timeout { stage: ExchangeStage::Connect })
    }
}

impl From<ExchangeError> for ServiceError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent { cause } => Self::NotSent { cause },
            ExchangeError::Sent { cause } => Self::Sent { cause },
            ExchangeError::BodyFailed { cause } => Self::Broken { cause },
            ExchangeError::TimedOut { stage } => Self::Timeout { stage },
            ExchangeError::TooLarge { limit } => Self::TooLarge { limit },
        }
    }
}

settings_struct! {
    /// Settings of [`HttpService`].
    pub struct ServiceSettings {
        /// Connections and timeouts.
        pub exchange: ExchangeSettings = ExchangeSettings::default();
    }
}

/// [`ServiceClient`] over HTTP, with one connection pool for all services.
pub struct HttpService {
    client: ExchangeClient,
}

impl HttpService {
    /// Creates a client; connections are opened on first use.
    #[must_use]
    pub fn new(settings: ServiceSettings) -> Self {
        Self { client: ExchangeClient::new(settings.exchange) }
    }
}

#[async_trait]
impl ServiceClient for HttpService {
    async fn call(
        &self,
        address: SocketAddr,
        call: ServiceCall,
    ) -> Result<ServiceAnswer, ServiceError> {
        let request = ExchangeRequest {
            method: call.method,
            path: call.path,
            headers: forwarded_headers(call.headers),
            body: call.body,
            fresh: !call.repeatable,
            head_timeout: call.within,
            chunk_timeout: None,
        };
        let answer = self.client.send(address, request).await?;
        let headers = forwarded_headers(answer.headers);
        Ok(ServiceAnswer { status: answer.status, headers, body: answer.body })
    }
}

/// Removes the headers in [`NOT_FORWARDED`], those listed in `Connection`, and `Keep-Alive`.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in NOT_FORWARDED.iter().chain(&listed) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers
}
