//! HTTP client of a site, for callers and operators. It uses only the public HTTP interface.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfoothook_decision::id::ConfigVersion;
use coltsfoothook_decision::manifest::ServingManifest;
use coltsfoothook_decision::record::ConfigChange;
use coltsfoothook_exchange::{ExchangeClient, ExchangeError, ExchangeRequest, ExchangeSettings};
use futures::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use serde_json::{Value, json};
use snafu::Snafu;

const MAX_RESPONSE_BYTES: usize = 16 << 20;
const CLASS_HEADER: HeaderName = HeaderName::from_static("coltsfoothook-class");
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("coltsfoothook-deadline-ms");
const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("coltsfoothook-repeatable");
const FIRST_TRY_HEADER: HeaderName = HeaderName::from_static("coltsfoothook-first-try");
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Why a call did not yield a complete response.
#[derive(Clone, Debug, Snafu, PartialEq)]
pub enum SiteFailure {
    /// The VM answered with an error status.
    #[snafu(display("{status}: {problem}"))]
    Problem {
        /// The HTTP status, outside 2xx.
        status: StatusCode,
        /// The problem document; null if the body was not JSON.
        problem: Value,
    },
    /// The HTTP exchange failed: no connection, a timeout or a broken body.
    #[snafu(display("{source}"))]
    Exchange {
        /// The underlying error, which also says whether the request may have been sent.
        source: ExchangeError,
    },
    /// A stream ended without `[DONE]`.
    #[snafu(display("the stream ended before [DONE]: {problem}"))]
    Truncated {
        /// The problem document in the last event; null if the body ended without one.
        problem: Value,
    },
    /// The response does not have the expected form.
    #[snafu(display("unexpected response: {detail}"))]
    Unreadable {
        /// The parse error or the missing part.
        detail: String,
    },
}

impl SiteFailure {
    /// Returns the outcome in the problem document: "not_run", "failed" or "unknown".
    ///
    /// Without a document it is "not_run" if the request was certainly not sent, else "unknown".
    #[must_use]
    pub fn outcome(&self) -> &str {
        match self {
            Self::Problem { problem, .. } | Self::Truncated { problem } => {
                problem.get("outcome").and_then(Value::as_str).unwrap_or("unknown")
            }
            Self::Exchange { source } if source.certainly_not_sent() => "not_run",
            Self::Exchange { .. } | Self::Unreadable { .. } => "unknown",
        }
    }

    /// Returns the reason in the problem document; empty if there is none.
    #[must_use]
    pub fn reason(&self) -> &str {
        match self {
            Self::Problem { problem, .. } | Self::Truncated { problem } => {
                problem.get("reason").and_then(Value::as_str).unwrap_or_default()
            }
            Self::Exchange { .. } | Self::Unreadable { .. } => "",
        }
    }

    /// Returns whether a later attempt may succeed: a status of 503 or a failed exchange.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Problem { status, .. } => *status == StatusCode::SERVICE_UNAVAILABLE,
            Self::Exchange { .. } => true,
            Self::Truncated { .. } | Self::Unreadable { .. } => false,
        }
    }
}

/// A completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// `adapter@version`, or `adapter` for its default version.
    pub model: String,
    /// The prompt text.
    pub prompt: String,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
    /// The request class: `urgent`, `scheduled` or `audit`.
    pub class: &'static str,
    /// Deadline in milliseconds; `None` sends no deadline header.
    pub deadline_ms: Option<u64>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key; `None` sends no key.
    pub key: Option<String>,
}

impl Default for CompletionRequest {
    fn default() -> Self {
        Self {
            model: String::new(),
            prompt: String::new(),
            max_tokens: 16,
            stream: true,
            class: "scheduled",
            deadline_ms: None,
            repeatable: true,
            key: None,
        }
    }
}

/// A complete response to a completion request.
#[derive(Clone, Debug)]
pub struct CompletionResponse {
    /// The generated text.
    pub text: String,
    /// Time from sending to the first token, or to the complete response if it was not streamed.
    pub first: Duration,
    /// Time from sending to the end of the response.
    pub took: Duration,
    /// Longest time between two events of the stream; zero if it was not streamed.
    pub gap: Duration,
}

/// HTTP client of one listener, with one bearer credential.
pub struct SiteClient {
    address: SocketAddr,
    credential: String,
    exchange: ExchangeClient,
}

impl SiteClient {
    /// Creates a client that calls `address` with `credential` as bearer token. It opens no
    /// connection yet.
    #[must_use]
    pub fn new(address: SocketAddr, credential: &str) -> Self {
        let settings = ExchangeSettings {
            head_ms: 120_000,
            body_ms: 120_000,
            idle_connections: 1_024,
            ..Default::default()
        };
        Self { address, credential: credential.to_owned(), exchange: ExchangeClient::new(settings) }
    }

    /// Returns the address that the client calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the client calls `address` with `credential`.
    pub(crate) fn is_for(&self, address: SocketAddr, credential: &str) -> bool {
        self.address == address && self.credential == credential
    }

    /// Publishes a whole manifest based on version `base`, under a publish id derived from `base`.
    /// Returns the new version.
    ///
    /// # Errors
    ///
    /// The VM refuses the publication, or the exchange fails. See [`SiteFailure`].
    pub async fn publish(
        &self,
        base: ConfigVersion,
        manifest: &ServingManifest,
    ) -> Result<ConfigVersion, SiteFailure> {
        self.publish_as(&format!("publish-on-{base}"), base, manifest).await
    }

    /// Publishes a whole manifest based on version `base`, under the given publish id. Returns the
    /// new version.
    ///
    /// # Errors
    ///
    /// The VM refuses the publication, or the exchange fails. See [`SiteFailure`].
    pub async fn publish_as(
        &self,
        publish_id: &str,
        base: ConfigVersion,
        manifest: &ServingManifest,
    ) -> Result<ConfigVersion, SiteFailure> {
        let change = ConfigChange::Whole(manifest.clone());
        let body = json!({ "base": base, "publish_id": publish_id, "change": change });
        let response = self.json(Method::POST, "/v1/publish", Some(body)).await?;
        let version = response.get("version").and_then(Value::as_u64);
        version.map(ConfigVersion).ok_or_else(|| SiteFailure::Unreadable {
            detail: "the response has no version".to_owned(),
        })
    }

    /// Sends a request with an optional JSON body and returns the JSON response.
    ///
    /// # Errors
    ///
    /// See [`SiteFailure`].
    pub async fn json(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, SiteFailure> {
        let mut request = self.request(method, path, body);
        request.headers.insert(header::ACCEPT, HeaderValue::from_static("application/json"));
        let response = self.send(request).await?;
        let body = response.body.collect(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|source| SiteFailure::Exchange { source })?;
        serde_json::from_slice(&body)
            .map_err(|error| SiteFailure::Unreadable { detail: error.to_string() })
    }

    /// Fetches a UTF-8 text, such as the metrics.
    ///
    /// # Errors
    ///
    /// See [`SiteFailure`].
    pub async fn text(&self, path: &str) -> Result<String, SiteFailure> {
        let response = self.send(self.request(Method::GET, path, None)).await?;
        let body = response.body.collect(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|source| SiteFailure::Exchange { source })?;
        String::from_utf8(body.to_vec())
            .map_err(|error| SiteFailure::Unreadable { detail: error.to_string() })
    }

    /// Runs a completion and reads the complete response.
    ///
    /// # Errors
    ///
    /// See [`SiteFailure`].
    pub async fn complete(
        &self,
        call: &CompletionRequest,
    ) -> Result<CompletionResponse, SiteFailure> {
        let sent = Instant::now();
        let body = json!({
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": call.stream,
        });
        let mut request = self.request(Method::POST, "/v1/completions", Some(body));
        add_headers(&mut request.headers, call);
        let response = self.send(request).await?;
        if call.stream {
            return read_stream(response.body, sent).await;
        }
        let body = response.body.collect(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|source| SiteFailure::Exchange { source })?;
        let value: Value = serde_json::from_slice(&body)
            .map_err(|error| SiteFailure::Unreadable { detail: error.to_string() })?;
        let text = value.pointer("/choices/0/text").and_then(Value::as_str).unwrap_or_default();
        let took = sent.elapsed();
        Ok(CompletionResponse { text: text.to_owned(), first: took, took, gap: Duration::ZERO })
    }

    /// Sends a request with an optional JSON body and idempotency key, and returns the JSON
    /// response.
    ///
    /// # Errors
    ///
    /// See [`SiteFailure`].
    pub async fn service(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        key: Option<&str>,
    ) -> Result<Value, SiteFailure> {
        self.service_try(method, path, body, key, false).await
    }

    /// Does the same as [`Self::service`]. `first_try` sets the header which asserts that no
    /// earlier attempt under this key can have run.
    ///
    /// # Errors
    ///
    /// See [`SiteFailure`].
    pub async fn service_try(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        key: Option<&str>,
        first_try: bool,
    ) -> Result<Value, SiteFailure> {
        let mut request = self.request(method, path, body);
        if let Some(key) = key {
            insert(&mut request.headers, KEY_HEADER, key);
        }
        if first_try {
            insert(&mut request.headers, FIRST_TRY_HEADER, "true");
        }
        let response = self.send(request).await?;
        let body = response.body.collect(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|source| SiteFailure::Exchange { source })?;
        serde_json::from_slice(&body)
            .map_err(|error| SiteFailure::Unreadable { detail: error.to_string() })
    }

    fn request(&self, method: Method, path: &str, body: Option<Value>) -> ExchangeRequest {
        let mut request = ExchangeRequest::get(path.to_owned());
        request.method = method;
        if let Some(body) = body {
            request.body = body.to_string().into();
            let json = HeaderValue::from_static("application/json");
            request.headers.insert(header::CONTENT_TYPE, json);
        }
        let bearer = format!("Bearer {}", self.credential);
        insert(&mut request.headers, header::AUTHORIZATION, &bearer);
        request
    }

    async fn send(
        &self,
        request: ExchangeRequest,
    ) -> Result<coltsfoothook_exchange::ExchangeResponse, SiteFailure> {
        let sent = self.exchange.send(self.address, request).await;
        let response = sent.map_err(|source| SiteFailure::Exchange { source })?;
        if response.status.is_success() {
            return Ok(response);
        }
        let status = response.status;
        let body = response.body.collect(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|source| SiteFailure::Exchange { source })?;
        let problem = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Err(SiteFailure::Problem { status, problem })
    }
}

fn add_headers(headers: &mut HeaderMap, call: &CompletionRequest) {
    insert(headers, CLASS_HEADER, call.class);
    insert(headers, REPEATABLE_HEADER, if call.repeatable { "true" } else { "false" });
    if let Some(deadline) = call.deadline_ms {
        insert(headers, DEADLINE_HEADER, &deadline.to_string());
    }
    if let Some(key) = &call.key {
        insert(headers, KEY_HEADER, key);
    }
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

async fn read_stream(
    mut body: coltsfoothook_exchange::ResponseBody,
    sent: Instant,
) -> Result<CompletionResponse, SiteFailure> {
    let mut read = CompletionResponse {
        text: String::new(),
        first: Duration::ZERO,
        took: Duration::ZERO,
        gap: Duration::ZERO,
    };
    let mut pending = Vec::new();
    let mut last = None;
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|source| SiteFailure::Exchange { source })?;
        pending.extend_from_slice(&chunk);
        while let Some(end) = pending.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let Some(data) = line.strip_prefix(b"data:") else { continue };
            let data = data.trim_ascii();
            if data == b"[DONE]" {
                read.took = sent.elapsed();
                // Reads the body to its end, so that the connection can be reused.
                while body.next().await.is_some() {}
                return Ok(read);
            }
            let value: Value = serde_json::from_slice(data)
                .map_err(|error| SiteFailure::Unreadable { detail: error.to_string() })?;
            let Some(text) = value.pointer("/choices/0/text").and_then(Value::as_str) else {
                return Err(SiteFailure::Truncated { problem: value });
            };
            let now = Instant::now();
            match last.replace(now) {
                None => read.first = now - sent,
                Some(before) => read.gap = read.gap.max(now - before),
            }
            read.text.push_str(text);
        }
    }
    Err(SiteFailure::Truncated { problem: Value::Null })
}
