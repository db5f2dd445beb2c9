//! [`EngineClient`] over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use coltsfoothook_decision::id::{OwnerEpoch, RequestId};
use coltsfoothook_decision::report::EngineReport;
use coltsfoothook_exchange::{
    ExchangeClient, ExchangeError, ExchangeRequest, ExchangeResponse, ExchangeSettings,
    path_segment,
};
use coltsfoothook_settings::settings_struct;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::client::{EngineClient, RunAnswer, RunCall};
use crate::error::{OrderError, RunError};
use crate::wire::{CacheEventPage, KvExport, LoadOrder, RoleOrder, UnloadOrder};

/// Request header that carries the id of a run.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Request header that carries the fencing number of an order, which is the sender's owner epoch.
pub const FENCING_HEADER: HeaderName = HeaderName::from_static("x-fencing-number");
const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum size in bytes of an error body that is parsed; of a longer one only the status is used.
const ERROR_BODY_BYTES: usize = 16 * 1024;
/// Maximum length of an error message taken from a body, in characters.
const REASON_CHARS: usize = 400;

const CODE_SLOTS_FULL: &str = "slots_full";
const CODE_STALE_FENCING: &str = "stale_fencing";
const CODE_LOAD_FAILED: &str = "load_failed";

settings_struct! {
    /// Settings of [`HttpEngine`].
    pub struct EngineSettings {
        /// Timeout of an adapter load in milliseconds; after it, whether the load takes effect is unknown.
        pub load_ms: u64 = 15_000, in 1..=3_600_000;
        /// Timeout of other orders and of queries in milliseconds.
        pub answer_ms: u64 = 1_000, in 1..=600_000;
        /// Maximum size of a load report, page of cache events or KV export in bytes; a longer one is an error.
        pub max_answer_bytes: usize = 8 * 1024 * 1024, in 1_024..=1_073_741_824;
        /// Connections, and timeouts of runs.
        pub exchange: ExchangeSettings = ExchangeSettings { connect_ms: 500, head_ms: 120_000, ..Default::default() };
    }
}

/// [`EngineClient`] over HTTP, with one connection pool for all engines.
pub struct HttpEngine {
    settings: EngineSettings,
    client: ExchangeClient,
}

#[derive(Serialize)]
struct LoadBody<'a> {
    lora_name: &'a str,
    lora_path: &'a str,
}

#[derive(Serialize)]
struct UnloadBody<'a> {
    lora_name: &'a str,
}

#[derive(Serialize)]
struct RoleBody {
    role: crate::wire::EngineRole,
}

#[derive(Deserialize, Default)]
struct ErrorBody {
    #[serde(default)]
    error: ErrorDetail,
}

#[derive(Deserialize, Default)]
struct ErrorDetail {
    #[serde(default)]
    message: String,
    /// An error code as text; some engines send a number instead, which is ignored.
    #[serde(default)]
    code: serde_json::Value,
}

impl HttpEngine {
    /// Creates a client; connections are opened on first use.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        let client = ExchangeClient::new(settings.exchange.clone());
        Self { settings, client }
    }

    async fn send_order(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
        fencing: OwnerEpoch,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        let mut request = ExchangeRequest::post_json(path, json(body)?);
        request.headers.insert(FENCING_HEADER, HeaderValue::from(fencing.0));
        self.request_body(address, request, timeout_ms).await.map(drop)
    }

    async fn query<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: String,
    ) -> Result<T, OrderError> {
        let request = ExchangeRequest::get(path);
        let body = self.request_body(address, request, self.settings.answer_ms).await?;
        serde_json::from_slice(&body)
            .map_err(|error| OrderError::BadAnswer { cause: error.to_string() })
    }

    async fn request_body(
        &self,
        address: SocketAddr,
        mut request: ExchangeRequest,
        timeout_ms: u64,
    ) -> Result<Bytes, OrderError> {
        request.head_timeout = Some(Duration::from_millis(timeout_ms));
        let answer = self.client.send(address, request).await?;
        if !answer.status.is_success() {
            return Err(order_error(answer).await);
        }
        Ok(answer.body.collect(self.settings.max_answer_bytes).await?)
    }
}

#[async_trait]
impl EngineClient for HttpEngine {
    async fn load(&self, address: SocketAddr, order: &LoadOrder) -> Result<(), OrderError> {
        let body = LoadBody { lora_name: order.slot.as_str(), lora_path: &order.weights };
        let timeout_ms = self.settings.load_ms;
        self.send_order(address, "/v1/load_lora_adapter", &body, order.fencing, timeout_ms).await
    }

    async fn unload(&self, address: SocketAddr, order: &UnloadOrder) -> Result<(), OrderError> {
        let body = UnloadBody { lora_name: order.slot.as_str() };
        let timeout_ms = self.settings.answer_ms;
        ignore_not_found(
            self.send_order(address, "/v1/unload_lora_adapter", &body, order.fencing, timeout_ms)
                .await,
        )
    }

    async fn role(&self, address: SocketAddr, order: &RoleOrder) -> Result<(), OrderError> {
        let body = RoleBody { role: order.role };
        self.send_order(address, "/v1/role", &body, order.fencing, self.settings.answer_ms).await
    }

    async fn report(&self, address: SocketAddr) -> Result<EngineReport, OrderError> {
        self.query(address, "/v1/load_report".to_owned()).await
    }

    async fn run(&self, address: SocketAddr, call: RunCall) -> Result<RunAnswer, RunError> {
        let mut request = ExchangeRequest::post_json(call.path.as_str(), call.body);
        let id = header_value(call.id.as_str())?;
        request.headers.insert(REQUEST_ID_HEADER, id);
        if let Some(key) = &call.key {
            request.headers.insert(IDEMPOTENCY_HEADER, header_value(key.as_str())?);
        }
        request.fresh = !call.repeatable;
        request.head_timeout = call.within;
        let result = run_response(self.client.send(address, request).await?).await;
        match result {
            // A run refers to no resource but its slot, so 404 means that the slot is missing.
            Err(RunError::Refused { status: StatusCode::NOT_FOUND, .. }) => {
                Err(RunError::SlotMissing)
            }
            result => result,
        }
    }

    async fn resume(
        &self,
        address: SocketAddr,
        id: &RequestId,
        from: u32,
    ) -> Result<RunAnswer, RunError> {
        let request =
            ExchangeRequest::get(format!("/v1/streams/{}?from={from}", path_segment(id.as_str())?));
        run_response(self.client.send(address, request).await?).await
    }

    async fn cancel(&self, address: SocketAddr, id: &RequestId) -> Result<(), OrderError> {
        let request = ExchangeRequest::new(
            Method::DELETE,
            format!("/v1/streams/{}", path_segment(id.as_str())?),
        );
        ignore_not_found(
            self.request_body(address, request, self.settings.answer_ms).await.map(drop),
        )
    }

    async fn export_kv(&self, address: SocketAddr, id: &RequestId) -> Result<KvExport, OrderError> {
        self.query(address, format!("/v1/kv/{}", path_segment(id.as_str())?)).await
    }

    async fn import_kv(
        &self,
        address: SocketAddr,
        id: &RequestId,
        kv: &KvExport,
    ) -> Result<(), OrderError> {
        let mut request =
            ExchangeRequest::post_json(format!("/v1/kv/{}", path_segment(id.as_str())?), json(kv)?);
        request.method = Method::PUT;
        self.request_body(address, request, self.settings.answer_ms).await.map(drop)
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<CacheEventPage, OrderError> {
        self.query(address, format!("/v1/cache_events?from={from}")).await
    }
}

fn json(body: &impl Serialize) -> Result<Vec<u8>, OrderError> {
    serde_json::to_vec(body).map_err(|error| OrderError::OrderNotSent { cause: error.to_string() })
}

fn header_value(text: &str) -> Result<HeaderValue, RunError> {
    HeaderValue::from_str(text).map_err(|error| RunError::NotSent { cause: error.to_string() })
}

/// Treats `NotFound` as success for unload and cancel, which are idempotent: a retry after a lost
/// response finds the slot or run already removed.
fn ignore_not_found(result: Result<(), OrderError>) -> Result<(), OrderError> {
    match result {
        Err(OrderError::NotFound) => Ok(()),
        other => other,
    }
}

async fn run_response(answer: ExchangeResponse) -> Result<RunAnswer, RunError> {
    if !answer.status.is_success() {
        return Err(run_error(answer).await);
    }
    let content_type = content_type(&answer.headers);
    let ExchangeResponse { status, headers, body, .. } = answer;
    Ok(RunAnswer { status, content_type, headers, body })
}

/// Maps an error response of a run. Engines return client errors and 503 only before they begin a run;
/// any other status may follow a partial run.
async fn run_error(answer: ExchangeResponse) -> RunError {
    let status = answer.status;
    let headers = answer.headers.clone();
    let detail = match error_detail(answer).await {
        Ok(detail) => detail,
        Err(error) => return RunError::from(error),
    };
    let reason = detail.message;
    match status {
        StatusCode::SERVICE_UNAVAILABLE => RunError::Refused { status, reason, headers },
        status if status.is_client_error() => RunError::Refused { status, reason, headers },
        status => RunError::Failed { status, reason },
    }
}

async fn order_error(answer: ExchangeResponse) -> OrderError {
    let status = answer.status;
    let detail = match error_detail(answer).await {
        Ok(detail) => detail,
        Err(error) => return OrderError::from(error),
    };
    let reason = detail.message;
    match detail.code.as_str().unwrap_or_default() {
        CODE_STALE_FENCING => OrderError::StaleFencing,
        CODE_SLOTS_FULL => OrderError::SlotsFull,
        CODE_LOAD_FAILED => OrderError::LoadFailed { reason },
        _ if status == StatusCode::NOT_FOUND => OrderError::NotFound,
        _ if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            OrderError::OrderRefused { status, reason }
        }
        _ => OrderError::EffectUnknown { cause: format!("{status} {reason}") },
    }
}

async fn error_detail(answer: ExchangeResponse) -> Result<ErrorDetail, ExchangeError> {
    let body = match answer.body.collect(ERROR_BODY_BYTES).await {
        Ok(body) => body,
        // Without the body's code and message, the error is classified by its status alone.
        Err(ExchangeError::TooLarge { .. }) => Bytes::new(),
        Err(error) => return Err(error),
    };
    let parsed: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
    let mut detail = parsed.error;
    detail.message = detail.message.chars().take(REASON_CHARS).collect();
    Ok(detail)
}

fn content_type(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/json").to_owned()
}
