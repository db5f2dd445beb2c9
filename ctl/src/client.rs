//! HTTP calls to entry VMs, with failover between them and retries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothook_operator::{ProblemDocument, ProblemReason};
use coltsfoothook_settings::{SecretFile, SecretText, load_settings};
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::arguments::ConnectArguments;
use crate::error::CtlError;
use crate::settings::CtlSettings;
use crate::tls::TlsClient;

/// Timeout of the TCP connection, and again of the TLS handshake. It is short so that an
/// unreachable VM does not delay the call to the next VM for long.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay if the answer has no `retry_after_ms`.
const DEFAULT_RETRY_DELAY_MS: u64 = 500;
/// Upper bound of the retry delay, also of the one that an answer asks for.
const MAX_RETRY_DELAY_MS: u64 = 10_000;

/// Client of the operators' interface; tries the entry VMs in order until one answers.
pub(crate) struct EntryClient {
    settings: CtlSettings,
    token: SecretText,
    tls: Option<TlsClient>,
}

/// Why a VM gave no answer; says whether the call may have taken effect.
enum CallFailure {
    /// The call was not sent.
    NotSent(String),
    /// The call was sent and may have taken effect.
    NoAnswer(String),
}

/// An HTTP answer with its body, not yet decoded.
struct CallAnswer {
    status: StatusCode,
    body: Bytes,
}

impl EntryClient {
    /// Makes a client from the settings file, overridden by the command line. Opens no connection.
    pub(crate) fn connect(arguments: ConnectArguments) -> Result<Self, CtlError> {
        let mut settings = match &arguments.settings {
            Some(file) => load_settings::<CtlSettings>(file)?,
            None => CtlSettings::default(),
        };
        if !arguments.entries.is_empty() {
            settings.entries = arguments.entries;
        }
        settings.token_file = arguments.token_file.map(SecretFile::new).or(settings.token_file);
        settings.ca_file = arguments.ca_file.or(settings.ca_file);
        settings.server_name = arguments.server_name.or(settings.server_name);
        settings.plain |= arguments.plain;
        Self::new(settings)
    }

    fn new(settings: CtlSettings) -> Result<Self, CtlError> {
        if settings.entries.is_empty() {
            return Err(CtlError::usage("give --entry ADDRESS, or entries in a settings file"));
        }
        let Some(token_file) = &settings.token_file else {
            return Err(CtlError::usage(
                "give --token-file FILE, or token_file in a settings file",
            ));
        };
        let token = token_file.read()?;
        let tls = match &settings.ca_file {
            Some(ca_file) => Some(TlsClient::load(ca_file, settings.server_name.as_deref())?),
            None => None,
        };
        let remote_address = settings.entries.iter().find(|address| !address.ip().is_loopback());
        if let (None, false, Some(address)) = (&tls, settings.plain, remote_address) {
            // Otherwise one missing option would send the token unencrypted over the network.
            let message = format!(
                "{address} needs TLS: give --ca-file FILE, or --plain to connect without it"
            );
            return Err(CtlError::usage(message));
        }
        Ok(Self { settings, token, tls })
    }

    /// Sends a GET call to the VMs in order until one gives an answer other than "not ready".
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a call that changes state. Retries it while no VM is reachable or ready, its outcome
    /// is unknown or the log is down, up to the configured number of attempts, so the call must be
    /// idempotent.
    pub(crate) async fn change<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CtlError> {
        let body = serde_json::to_vec(body);
        let body = Bytes::from(body.map_err(|error| CtlError::usage(error.to_string()))?);
        let mut unconfirmed = Vec::new();
        for attempt in 1.. {
            let error = match self.call(method.clone(), path, body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let delay_ms = match &error {
                CtlError::Unknown { .. } | CtlError::NotReached { .. } => DEFAULT_RETRY_DELAY_MS,
                CtlError::Problem { document } if is_retryable(document) => {
                    document.retry_after_ms.unwrap_or(DEFAULT_RETRY_DELAY_MS)
                }
                _ => return Err(error),
            };
            if may_have_taken_effect(&error) {
                unconfirmed.push(error.to_string());
            }
            if attempt >= self.settings.attempts {
                // An earlier attempt may have taken effect even if the last one reached no VM.
                return Err(if unconfirmed.is_empty() {
                    error
                } else {
                    CtlError::Unknown { attempts: unconfirmed }
                });
            }
            tokio::time::sleep(Duration::from_millis(delay_ms.min(MAX_RETRY_DELAY_MS))).await;
        }
        Err(CtlError::Unknown { attempts: unconfirmed })
    }

    /// Sends a call to the VMs in order until one gives an answer other than "not ready".
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CtlError> {
        let mut attempts = Vec::new();
        let mut change_sent = false;
        let mut not_ready = None;
        for &address in &self.settings.entries {
            match self.call_one(address, &method, path, body.clone()).await {
                Ok(answer) => match read_answer(&answer) {
                    Err(CtlError::Problem { document })
                        if document.reason == ProblemReason::NotReady.as_str() =>
                    {
                        not_ready = Some(CtlError::Problem { document });
                    }
                    result => return result,
                },
                Err(CallFailure::NotSent(reason)) => attempts.push(format!("{address}: {reason}")),
                Err(CallFailure::NoAnswer(reason)) => {
                    change_sent |= method != Method::GET;
                    attempts.push(format!("{address}: {reason}"));
                }
            }
        }
        if change_sent {
            return Err(CtlError::Unknown { attempts });
        }
        Err(not_ready.unwrap_or(CtlError::NotReached { attempts }))
    }

    /// Connects to one VM, with TLS if configured, and sends the call.
    async fn call_one(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<CallAnswer, CallFailure> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token.expose()))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| CallFailure::NotSent("connection timed out".to_owned()))?
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        let Some(tls) = &self.tls else { return self.exchange(stream, request).await };
        let handshake = tls.connector().connect(tls.name(address), stream);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| CallFailure::NotSent("TLS handshake timed out".to_owned()))?
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        self.exchange(stream, request).await
    }

    /// Sends a request on an open connection and reads the answer within the timeout and size
    /// limit.
    async fn exchange<S>(
        &self,
        stream: S,
        request: Request<Full<Bytes>>,
    ) -> Result<CallAnswer, CallFailure>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) =
            handshake.map_err(|error| CallFailure::NotSent(error.to_string()))?;
        let driver = tokio::spawn(connection);
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        let max_bytes = self.settings.answer_bytes;
        let answer = async {
            let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
            let status = response.status();
            let body = Limited::new(response.into_body(), max_bytes).collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            Ok::<_, String>(CallAnswer { status, body })
        };
        let answered = tokio::time::timeout(timeout, answer).await;
        driver.abort();
        match answered {
            Ok(answer) => answer.map_err(CallFailure::NoAnswer),
            Err(_) => Err(CallFailure::NoAnswer("the answer timed out".to_owned())),
        }
    }
}

/// Returns whether a call that got this problem can succeed when it is repeated unchanged.
fn is_retryable(document: &ProblemDocument) -> bool {
    let retryable =
        [ProblemReason::AppendUnknown, ProblemReason::LogUnavailable, ProblemReason::NotReady];
    retryable.iter().any(|reason| document.reason == reason.as_str())
}

/// Returns whether the failed call may have changed state.
fn may_have_taken_effect(error: &CtlError) -> bool {
    match error {
        CtlError::Unknown { .. } => true,
        CtlError::Problem { document } => document.reason == ProblemReason::AppendUnknown.as_str(),
        _ => false,
    }
}

/// Decodes an answer: the value on success, else the problem document.
fn read_answer<T: DeserializeOwned>(answer: &CallAnswer) -> Result<T, CtlError> {
    if answer.status.is_success() {
        let parsed = serde_json::from_slice(&answer.body);
        return parsed.map_err(|error| CtlError::MalformedAnswer { message: error.to_string() });
    }
    match serde_json::from_slice::<ProblemDocument>(&answer.body) {
        Ok(document) => Err(CtlError::Problem { document: Box::new(document) }),
        Err(_) => Err(CtlError::MalformedAnswer { message: format!("status {}", answer.status) }),
    }
}
