//! A caller and an operator, over the same HTTP that strangers use.

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

const ANSWER_BYTES: usize = 16 << 20;
const CLASS_HEADER: HeaderName = HeaderName::from_static("coltsfoothook-class");
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("coltsfoothook-deadline-ms");
const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("coltsfoothook-repeatable");
const FIRST_TRY_HEADER: HeaderName = HeaderName::from_static("coltsfoothook-first-try");
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Why a call has no proper answer.
#[derive(Clone, Debug, Snafu, PartialEq)]
pub enum SiteFailure {
    /// A problem document.
    #[snafu(display("{status}: {problem}"))]
    Problem {
        /// The status.
        status: StatusCode,
        /// The document.
        problem: Value,
    },
    /// The exchange itself failed.
    #[snafu(display("{source}"))]
    Exchange {
        /// The cause.
        source: ExchangeError,
    },
    /// A stream ended without its end mark; the problem is that of its last event, if any.
    #[snafu(display("the stream was cut: {problem}"))]
    Cut {
        /// The problem document of the last event, or null.
        problem: Value,
    },
    /// The answer cannot be read.
    #[snafu(display("the answer cannot be read: {detail}"))]
    Unreadable {
        /// What is wrong.
        detail: String,
    },
}

impl SiteFailure {
    /// The outcome that the system states; "unknown" where it could not state any.
    #[must_use]
    pub fn outcome(&self) -> &str {
        match self {
            Self::Problem { problem, .. } | Self::Cut { problem } => {
                problem.get("outcome").and_then(Value::as_str).unwrap_or("unknown")
            }
            Self::Exchange { source } if source.certainly_not_sent() => "not_run",
            Self::Exchange { .. } | Self::Unreadable { .. } => "unknown",
        }
    }

    /// The reason that the system states, if any.
    #[must_use]
    pub fn reason(&self) -> &str {
        match self {
            Self::Problem { problem, .. } | Self::Cut { problem } => {
                problem.get("reason").and_then(Value::as_str).unwrap_or_default()
            }
            Self::Exchange { .. } | Self::Unreadable { .. } => "",
        }
    }

    /// Whether trying again soon may help.
    #[must_use]
    pub fn may_pass(&self) -> bool {
        match self {
            Self::Problem { status, .. } => *status == StatusCode::SERVICE_UNAVAILABLE,
            Self::Exchange { .. } => true,
            Self::Cut { .. } | Self::Unreadable { .. } => false,
        }
    }
}

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct CompletionAsk {
    /// `adapter@version` or `adapter`.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream.
    pub stream: bool,
    /// The class.
    pub class: &'static str,
    /// Milliseconds that the caller waits.
    pub deadline_ms: Option<u64>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The idempotency key.
    pub key: Option<String>,
}

impl Default for CompletionAsk {
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

/// A whole answer of a completion.
#[derive(Clone, Debug)]
pub struct CompletionRead {
    /// The generated text.
    pub text: String,
    /// From sending to the first token, or to the whole answer if it was not streamed.
    pub first: Duration,
    /// From sending to the end.
    pub took: Duration,
    /// The longest time between two events of a stream.
    pub gap: Duration,
}

/// Calls one address with one credential.
pub struct SiteClient {
    address: SocketAddr,
    credential: String,
    exchange: ExchangeClient,
}

impl SiteClient {
    /// A client of `address`.
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

    /// Where it calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it calls `address` with `credential`.
    pub(crate) fn is_for(&self, address: SocketAddr, credential: &str) -> bool {
        self.address == address && self.credential == credential
    }

    /// Publishes a whole manifest.
    ///
    /// # Errors
    ///
    /// The problem that the VM states.
    pub async fn publish(
        &self,
        base: ConfigVersion,
        manifest: &ServingManifest,
    ) -> Result<ConfigVersion, SiteFailure> {
        self.publish_as(&format!("publish-on-{base}"), base, manifest).await
    }

    /// Publishes a whole manifest under an id of the operator's.
    ///
    /// # Errors
    ///
    /// The problem that the VM states.
    pub async fn publish_as(
        &self,
        publish_id: &str,
        base: ConfigVersion,
        manifest: &ServingManifest,
    ) -> Result<ConfigVersion, SiteFailure> {
        let change = ConfigChange::Whole(manifest.clone());
        let call = json!({ "base": base, "publish_id": publish_id, "change": change });
        let answer = self.json(Method::POST, "/v1/publish", Some(call)).await?;
        let version = answer.get("version").and_then(Value::as_u64);
        version.map(ConfigVersion).ok_or_else(|| SiteFailure::Unreadable {
            detail: "no version in the answer".to_owned(),
        })
    }

    /// Sends JSON and reads JSON.
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
        let answer = self.send(request).await?;
        let body = answer.body.collect(ANSWER_BYTES).await;
        let body = body.map_err(|source| SiteFailure::Exchange { source })?;
        serde_json::from_slice(&body)
            .map_err(|error| SiteFailure::Unreadable { detail: error.to_string() })
    }

    /// Reads text, such as metrics.
    ///
    /// # Errors
    ///
    /// See [`SiteFailure`].
    pub async fn text(&self, path: &str) -> Result<String, SiteFailure> {
        let answer = self.send(self.request(Method::GET, path, None)).await?;
        let body = answer.body.collect(ANSWER_BYTES).await;
        let body = body.map_err(|source| SiteFailure::Exchange { source })?;
        String::from_utf8(body.to_vec())
            .map_err(|error| SiteFailure::Unreadable { detail: error.to_string() })
    }

    /// Runs a completion and reads its whole answer.
    ///
    /// # Errors
    ///
    /// See [`SiteFailure`].
    pub async fn complete(&self, ask: &CompletionAsk) -> Result<CompletionRead, SiteFailure> {
        let sent = Instant::now();
        let body = json!({
            "model": ask.model,
            "prompt": ask.prompt,
            "max_tokens": ask.max_tokens,
            "stream": ask.stream,
        });
        let mut request = self.request(Method::POST, "/v1/completions", Some(body));
        add_ask(&mut request.headers, ask);
        let answer = self.send(request).await?;
        if ask.stream {
            return read_stream(answer.body, sent).await;
        }
        let body = answer.body.collect(ANSWER_BYTES).await;
        let body = body.map_err(|source| SiteFailure::Exchange { source })?;
        let value: Value = serde_json::from_slice(&body)
            .map_err(|error| SiteFailure::Unreadable { detail: error.to_string() })?;
        let text = value.pointer("/choices/0/text").and_then(Value::as_str).unwrap_or_default();
        let took = sent.elapsed();
        Ok(CompletionRead { text: text.to_owned(), first: took, took, gap: Duration::ZERO })
    }

    /// Calls a plain service with a body that names a ticket.
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

    /// The same; `first_try` states that no earlier try under the key may have run.
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
        let answer = self.send(request).await?;
        let body = answer.body.collect(ANSWER_BYTES).await;
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
    ) -> Result<coltsfoothook_exchange::ExchangeAnswer, SiteFailure> {
        let sent = self.exchange.send(self.address, request).await;
        let answer = sent.map_err(|source| SiteFailure::Exchange { source })?;
        if answer.status.is_success() {
            return Ok(answer);
        }
        let status = answer.status;
        let body = answer.body.collect(ANSWER_BYTES).await;
        let body = body.map_err(|source| SiteFailure::Exchange { source })?;
        let problem = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Err(SiteFailure::Problem { status, problem })
    }
}

fn add_ask(headers: &mut HeaderMap, ask: &CompletionAsk) {
    insert(headers, CLASS_HEADER, ask.class);
    insert(headers, REPEATABLE_HEADER, if ask.repeatable { "true" } else { "false" });
    if let Some(deadline) = ask.deadline_ms {
        insert(headers, DEADLINE_HEADER, &deadline.to_string());
    }
    if let Some(key) = &ask.key {
        insert(headers, KEY_HEADER, key);
    }
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

async fn read_stream(
    mut body: coltsfoothook_exchange::AnswerBody,
    sent: Instant,
) -> Result<CompletionRead, SiteFailure> {
    let mut read = CompletionRead {
        text: String::new(),
        first: Duration::ZERO,
        took: Duration::ZERO,
        gap: Duration::ZERO,
    };
    let mut pending = Vec::new();
    let mut last = None;
    while let Some(piece) = body.next().await {
        let piece = piece.map_err(|source| SiteFailure::Exchange { source })?;
        pending.extend_from_slice(&piece);
        while let Some(end) = pending.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let Some(data) = line.strip_prefix(b"data:") else { continue };
            let data = data.trim_ascii();
            if data == b"[DONE]" {
                read.took = sent.elapsed();
                // What follows the mark is the end of the body; it is read, so that the connection
                // can be kept.
                while body.next().await.is_some() {}
                return Ok(read);
            }
            let value: Value = serde_json::from_slice(data)
                .map_err(|error| SiteFailure::Unreadable { detail: error.to_string() })?;
            let Some(text) = value.pointer("/choices/0/text").and_then(Value::as_str) else {
                return Err(SiteFailure::Cut { problem: value });
            };
            let now = Instant::now();
            match last.replace(now) {
                None => read.first = now - sent,
                Some(before) => read.gap = read.gap.max(now - before),
            }
            read.text.push_str(text);
        }
    }
    Err(SiteFailure::Cut { problem: Value::Null })
}
