//! The engine interface: orders, queries and runs.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use coltsfoothook_decision::id::{IdempotencyKey, RequestId};
use coltsfoothook_decision::report::EngineReport;
use coltsfoothook_exchange::ResponseBody;
use http::{HeaderMap, StatusCode};

use crate::error::{OrderError, RunError};
use crate::wire::{CacheEventPage, KvExport, LoadOrder, RoleOrder, UnloadOrder};

/// Client interface of a model engine. Every method takes the engine's address.
#[async_trait]
pub trait EngineClient: Send + Sync {
    /// Loads an adapter version under a slot name and returns once the engine reports it as loaded.
    async fn load(&self, address: SocketAddr, order: &LoadOrder) -> Result<(), OrderError>;

    /// Unloads a slot. Succeeds if the slot does not exist.
    async fn unload(&self, address: SocketAddr, order: &UnloadOrder) -> Result<(), OrderError>;

    /// Sets which part of a run the engine executes; see [`EngineRole`](crate::EngineRole).
    async fn role(&self, address: SocketAddr, order: &RoleOrder) -> Result<(), OrderError>;

    /// Reads the engine's load report, which may lag behind its actual state.
    async fn report(&self, address: SocketAddr) -> Result<EngineReport, OrderError>;

    /// Sends a request at most once and returns when the response head has arrived.
    async fn run(&self, address: SocketAddr, call: RunCall) -> Result<RunAnswer, RunError>;

    /// Resumes the stream of run `id` at token number `from`.
    async fn resume(
        &self,
        address: SocketAddr,
        id: &RequestId,
        from: u32,
    ) -> Result<RunAnswer, RunError>;

    /// Cancels a run. Succeeds if the run has ended or is unknown.
    async fn cancel(&self, address: SocketAddr, id: &RequestId) -> Result<(), OrderError>;

    /// Reads the KV cache of run `id` for import into another engine.
    async fn export_kv(&self, address: SocketAddr, id: &RequestId) -> Result<KvExport, OrderError>;

    /// Stores a KV cache from which a run with the same id will start.
    async fn import_kv(
        &self,
        address: SocketAddr,
        id: &RequestId,
        kv: &KvExport,
    ) -> Result<(), OrderError>;

    /// Reads prefix cache events from number `from` on. Events may be late, and some may be missing.
    async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<CacheEventPage, OrderError>;
}

/// Kind of an order, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Loads an adapter version into a slot.
    Load,
    /// Removes a slot's adapter.
    Unload,
    /// Changes the engine's role.
    Role,
}

/// Endpoint of the engine's OpenAI-compatible API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunPath {
    /// `/v1/completions`.
    #[default]
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

impl RunPath {
    /// Returns the endpoint's URL path.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// Parameters of one run.
#[derive(Clone, Debug, Default)]
pub struct RunCall {
    /// Endpoint that the body is posted to.
    pub path: RunPath,
    /// JSON body in which `model` is the slot's name and `priority` is the grant's priority.
    pub body: Bytes,
    /// Id under which the run can be resumed and cancelled.
    pub id: RequestId,
    /// The caller's idempotency key, forwarded to the engine; `None` sends no such header.
    pub key: Option<IdempotencyKey>,
    /// Whether the request may run more than once. If not, it is sent on a new connection.
    pub repeatable: bool,
    /// Timeout for the response head; `None` applies the configured `head_ms`.
    pub within: Option<Duration>,
}

/// Successful response whose body has not been read yet.
#[derive(Debug)]
pub struct RunAnswer {
    /// A 2xx status.
    pub status: StatusCode,
    /// Value of `Content-Type`: `text/event-stream` for a stream, `application/json` if absent.
    pub content_type: String,
    /// All headers, in which the engine may state something about itself.
    pub headers: HeaderMap,
    /// Response body. Convert an error while reading it with [`RunError::from`].
    pub body: ResponseBody,
}
