//! Passes calls on to a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use coltsfoothook_exchange::{
    AnswerBody, ExchangeClient, ExchangeError, ExchangeRequest, ExchangeSettings, ExchangeStage,
};
use coltsfoothook_settings::settings_struct;
use http::{HeaderMap, HeaderName, Method, StatusCode, header};
use snafu::Snafu;

/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1), those that
/// the exchange sets itself, and `Expect`, which the whole body that follows at once makes void.
const HOP_HEADERS: [HeaderName; 10] = [
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
/// Not in the list of registered names, but still sent by old clients.
const KEEP_ALIVE: &str = "keep-alive";

/// Calls plain services.
#[async_trait]
pub trait ServiceClient: Send + Sync {
    /// Sends `call` at most once.
    ///
    /// # Errors
    ///
    /// See [`ServiceError`]. An answer with an error status is an answer.
    async fn call(
        &self,
        address: SocketAddr,
        call: ServiceCall,
    ) -> Result<ServiceAnswer, ServiceError>;
}

/// A call.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Headers; those of a single connection are left out on the way.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether it may run more than once. One that may not gets a connection of its own, since on a
    /// kept one that died meanwhile its outcome would be unknown.
    pub repeatable: bool,
    /// How long to wait for the head of the answer; none means the setting.
    pub within: Option<Duration>,
}

impl ServiceCall {
    /// A repeatable `GET`.
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

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those of the connection.
    pub headers: HeaderMap,
    /// The body. An error in it means that the answer was cut; see [`ServiceError::from`].
    pub body: AnswerBody,
}

/// Why there is no answer, by the stage that was reached.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum ServiceError {
    /// No byte was sent: it did not run.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// For logs.
        cause: String,
    },
    /// It was sent and no answer came: whether it ran is unknown.
    #[snafu(display("sent, no answer: {cause}"))]
    Sent {
        /// For logs.
        cause: String,
    },
    /// It ran, at least in part, and the answer was cut.
    #[snafu(display("answer cut: {cause}"))]
    Broken {
        /// For logs.
        cause: String,
    },
    /// A stage outlasted its time.
    #[snafu(display("timed out at {stage:?}"))]
    Timeout {
        /// Which stage. At [`ExchangeStage::Connect`] it did not run.
        stage: ExchangeStage,
    },
    /// The answer is longer than its bound.
    #[snafu(display("answer longer than {limit} bytes"))]
    TooLarge {
        /// The bound in bytes.
        limit: usize,
    },
}

impl ServiceError {
    /// Whether the call certainly did not run.
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
            ExchangeError::Broken { cause } => Self::Broken { cause },
            ExchangeError::TimedOut { stage } => Self::Timeout { stage },
            ExchangeError::TooLarge { limit } => Self::TooLarge { limit },
        }
    }
}

settings_struct! {
    /// Settings of [`HttpService`].
    pub struct ServiceSettings {
        /// Connections and times.
        pub exchange: ExchangeSettings = ExchangeSettings::default();
    }
}

/// Plain services over HTTP.
pub struct HttpService {
    client: ExchangeClient,
}

impl HttpService {
    /// A client without connections yet.
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
            headers: end_to_end(call.headers),
            body: call.body,
            fresh: !call.repeatable,
            head_within: call.within,
            piece_within: None,
        };
        let answer = self.client.send(address, request).await?;
        let headers = end_to_end(answer.headers);
        Ok(ServiceAnswer { status: answer.status, headers, body: answer.body })
    }
}

/// Leaves out the headers of one connection, also those that `Connection` names.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers
}
