//! What the system asks of a model engine.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use coltsfoothook_decision::id::{IdempotencyKey, RequestId};
use coltsfoothook_decision::report::EngineReport;
use coltsfoothook_exchange::AnswerBody;
use http::StatusCode;

use crate::error::{OrderError, RunError};
use crate::wire::{CacheEventPage, KvExport, LoadOrder, RoleOrder, UnloadOrder};

/// Speaks to model engines.
#[async_trait]
pub trait EngineClient: Send + Sync {
    /// Loads an adapter version under a slot name; returns when the engine says that it is loaded.
    async fn load(&self, address: SocketAddr, order: &LoadOrder) -> Result<(), OrderError>;

    /// Unloads a slot. A slot that is not there counts as unloaded.
    async fn unload(&self, address: SocketAddr, order: &UnloadOrder) -> Result<(), OrderError>;

    /// Changes the engine's role.
    async fn role(&self, address: SocketAddr, order: &RoleOrder) -> Result<(), OrderError>;

    /// What the engine says of itself; it may lag behind.
    async fn report(&self, address: SocketAddr) -> Result<EngineReport, OrderError>;

    /// Runs a request, at most once. Returns with the head of the answer.
    async fn run(&self, address: SocketAddr, call: RunCall) -> Result<RunAnswer, RunError>;

    /// Reads a stream again from the token `from` on.
    async fn resume(
        &self,
        address: SocketAddr,
        id: &RequestId,
        from: u32,
    ) -> Result<RunAnswer, RunError>;

    /// Stops a run. One that is over or unknown counts as stopped.
    async fn cancel(&self, address: SocketAddr, id: &RequestId) -> Result<(), OrderError>;

    /// Takes the KV cache of a run out.
    async fn export_kv(&self, address: SocketAddr, id: &RequestId) -> Result<KvExport, OrderError>;

    /// Puts a KV cache in, for a run with the same id to start from.
    async fn import_kv(
        &self,
        address: SocketAddr,
        id: &RequestId,
        kv: &KvExport,
    ) -> Result<(), OrderError>;

    /// Changes of the prefix cache from number `from` on; late and with gaps.
    async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<CacheEventPage, OrderError>;
}

/// The kinds of orders, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a slot.
    Load,
    /// Unload a slot.
    Unload,
    /// Change the role.
    Role,
}

/// Which call of the OpenAI-compatible interface runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunPath {
    /// `/v1/completions`.
    #[default]
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

impl RunPath {
    /// The path.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// A request to run.
#[derive(Clone, Debug, Default)]
pub struct RunCall {
    /// Which call.
    pub path: RunPath,
    /// The JSON body with `model` set to the slot's name and with the engine's `priority`.
    pub body: Bytes,
    /// The request's id, by which its stream is resumed and cancelled.
    pub id: RequestId,
    /// The caller's key, passed on for the engine's own account.
    pub key: Option<IdempotencyKey>,
    /// Whether it may run more than once; one that may not gets a connection of its own.
    pub repeatable: bool,
    /// How long to wait for the head of the answer; none means the setting.
    pub within: Option<Duration>,
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct RunAnswer {
    /// The status, a success.
    pub status: StatusCode,
    /// The content type; `text/event-stream` for a stream.
    pub content_type: String,
    /// The body. An error in it means that the answer was cut; see [`RunError::from`].
    pub body: AnswerBody,
}
