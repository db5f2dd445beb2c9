//! The trait that the entry process implements to serve callers, with its requests and answers.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use coltsfoothook_decision::id::{
    AdapterName, AdapterVersion, CustomerName, DomainName, IdempotencyKey, JobId, PartFingerprint,
    RegionName, RequestFingerprint, RequestId, ServiceName, VersionName, VmName,
};
use coltsfoothook_decision::outcome::{RequestClass, RequestOutcome};
use coltsfoothook_decision::value;
use futures::stream::BoxStream;
use http::{HeaderMap, Method, StatusCode};
use serde_json::{Map, Value};

use crate::problem::CallProblem;

/// Serves callers' requests.
///
/// When a caller disconnects, the future of its call is dropped, or the answer's stream if the call
/// has returned. Guards held by either must cancel the work that runs for the caller.
#[async_trait]
pub trait CallHandler: Send + Sync + 'static {
    /// Returns the customer that a bearer credential belongs to, `None` if it is unknown. Must
    /// compare in constant time.
    fn authenticate(&self, bearer: &str) -> Option<CustomerName>;

    /// Returns a new request id, unique within this VM's incarnation. An id that the caller chose
    /// is only logged beside it, so that callers that reuse ids cannot make requests
    /// indistinguishable.
    fn next_request_id(&self) -> RequestId;

    /// Reports whether this VM accepts requests. Called without authentication.
    fn health(&self) -> HealthAnswer;

    /// Lists the entry VMs that the customer may use, without those that are leaving or dead.
    async fn entries(&self, tenant: &CustomerName) -> Result<EntriesAnswer, CallProblem>;

    /// Returns a page of the adapter versions that the customer may use.
    async fn models(
        &self,
        tenant: &CustomerName,
        query: ModelQuery,
    ) -> Result<ModelPage, CallProblem>;

    /// Runs a completion; returns once the HTTP status is known, while the body may still be
    /// streaming.
    async fn complete(&self, call: CompletionCall) -> Result<CompletionAnswer, CallProblem>;

    /// Forwards a call to a plain service.
    async fn call_service(&self, call: ServiceCall) -> Result<ServiceAnswer, CallProblem>;

    /// Accepts a job; returns only after it is in the platform's log. A repeated submission with
    /// the same id and body returns the job's current state.
    async fn submit_job(&self, call: JobCall) -> Result<JobStatus, CallProblem>;

    /// Returns a job's state.
    async fn job_status(
        &self,
        tenant: &CustomerName,
        job: &JobId,
    ) -> Result<JobStatus, CallProblem>;

    /// Returns a job's result; repeated calls return the same one.
    async fn job_result(
        &self,
        tenant: &CustomerName,
        job: &JobId,
    ) -> Result<JobResult, CallProblem>;

    /// Cancels a job. A job that already has its result keeps it.
    async fn cancel_job(
        &self,
        tenant: &CustomerName,
        job: &JobId,
    ) -> Result<JobStatus, CallProblem>;
}

value! {
    /// The body of the answer to `GET /health`.
    pub struct HealthAnswer {
        /// Whether the VM accepts requests; false is answered with status 503.
        pub ready: bool,
        /// The state in words, or the reason why the VM is not ready.
        pub state: String,
    }

    /// The entry VMs that a customer may use, the body of the answer to `GET /v1/entries`.
    pub struct EntriesAnswer {
        /// The VMs. The entry process lists those of its own failure domain first, and sorts by name
        /// within both parts.
        pub entries: Vec<EntryAddress>,
        /// How long the answer may be cached, in milliseconds.
        pub ttl_ms: u64,
        /// New idempotency keys; each is for one request, which this VM runs at most once.
        pub keys: Vec<IdempotencyKey>,
    }

    /// An entry VM in the list for callers.
    pub struct EntryAddress {
        /// The VM's name.
        pub vm: VmName,
        /// The address of its listener for callers.
        pub address: SocketAddr,
        /// The relative share of new requests that it should receive.
        pub weight: u32,
        /// The failure domain that the VM belongs to.
        pub domain: DomainName,
        /// The region that the VM is in.
        pub region: RegionName,
    }

    /// Selects a page of models.
    pub struct ModelQuery {
        /// The last model of the previous page; `None` for the first page.
        pub after: Option<String>,
        /// The maximum number of entries, from 1 to `CallerSettings::page_entries`.
        pub limit: usize,
    }

    /// A page of models, sorted by name.
    pub struct ModelPage {
        /// At most [`ModelQuery::limit`] models.
        pub models: Vec<ModelInfo>,
        /// Whether another page follows.
        pub more: bool,
    }

    /// An adapter version that a customer may name as `model`.
    pub struct ModelInfo {
        /// Shown to callers as `adapter@version`.
        pub adapter: AdapterVersion,
        /// Whether requests that name the adapter without a version run on this version.
        pub default: bool,
    }

    /// The API that a completion was sent to.
    #[derive(Copy, Eq)]
    pub enum CompletionKind {
        /// `/v1/chat/completions`.
        Chat,
        /// `/v1/completions`.
        Completions,
    }

    /// The `model` field: `adapter@version`, or `adapter` for its default version.
    #[derive(Eq)]
    pub struct ModelChoice {
        /// The part before `@`.
        pub adapter: AdapterName,
        /// The part after `@`; `None` selects the default version.
        pub version: Option<VersionName>,
    }
}

/// A completion to run, with headers and body checked.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// The API that it was sent to.
    pub kind: CompletionKind,
    /// The customer on whose account it runs.
    pub tenant: CustomerName,
    /// The id from [`CallHandler::next_request_id`].
    pub request_id: RequestId,
    /// The id from the caller's `X-Request-Id`, for logs only.
    pub caller_id: Option<String>,
    /// The adapter, and the version if given, that `model` names.
    pub model: ModelChoice,
    /// The request's class; the default if the caller names none.
    pub class: RequestClass,
    /// How long the caller will still wait, in milliseconds; `None` if it set no deadline.
    pub deadline_ms: Option<u64>,
    /// Whether it may run more than once; true unless the caller forbids it.
    pub repeatable: bool,
    /// Whether the caller states that no earlier attempt with the same key can have run.
    pub first_try: bool,
    /// The `Idempotency-Key` that the caller sent.
    pub key: Option<IdempotencyKey>,
    /// Whether the caller requests a streamed answer.
    pub stream: bool,
    /// The maximum number of tokens to generate; if the caller gave none,
    /// `CallerSettings::default_max_tokens`, assumed for planning only.
    pub max_tokens: u32,
    /// The estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// A hash of the prompt's beginning, for prefix-cache affinity.
    pub prefix: u64,
    /// Parts of the prompt that other requests may have, to find one that crashes engines.
    pub parts: Vec<PartFingerprint>,
    /// A hash of the request's content without ids, equal for repeated requests. Identifies poison
    /// requests.
    pub fingerprint: RequestFingerprint,
    /// The body as sent, including unrecognised fields.
    pub body: Map<String, Value>,
}

/// The chunks of an answer's body. An error ends the stream and says why the body is truncated.
pub type AnswerStream = BoxStream<'static, Result<Bytes, CallProblem>>;

/// An answer's body, complete or streamed.
pub enum AnswerBody {
    /// A complete body.
    Whole(Bytes),
    /// Chunks that are forwarded as they arrive.
    Stream(AnswerStream),
}

/// The answer to a completion.
pub struct CompletionAnswer {
    /// The HTTP status to send to the caller.
    pub status: StatusCode,
    /// The value of `Content-Type`.
    pub content_type: String,
    /// Further headers; hop-by-hop headers are removed before they are sent to the caller.
    pub headers: HeaderMap,
    /// The body. With the content type `text/event-stream`, an error in it is sent as a final
    /// event; otherwise it closes the connection.
    pub body: AnswerBody,
}

/// A call to a plain service, with its headers checked and its body read.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The service's name in the path; not yet checked against the configuration.
    pub service: ServiceName,
    /// The HTTP method to forward.
    pub method: Method,
    /// The path after the service's name, beginning with `/`, and the query, both still encoded.
    pub path_and_query: String,
    /// The headers to forward, without hop-by-hop headers, the credential and `Coltsfoothook-*`.
    pub headers: HeaderMap,
    /// The complete body, at most `CallerSettings::body_bytes`.
    pub body: Bytes,
    /// The customer on whose account it runs.
    pub tenant: CustomerName,
    /// The id from [`CallHandler::next_request_id`].
    pub request_id: RequestId,
    /// The id from the caller's `X-Request-Id`, for logs only.
    pub caller_id: Option<String>,
    /// The request's class; the default if the caller names none.
    pub class: RequestClass,
    /// How long the caller will still wait, in milliseconds; `None` if it set no deadline.
    pub deadline_ms: Option<u64>,
    /// Whether it may run more than once; `None` leaves it to the manifest's repeatable methods.
    pub repeatable: Option<bool>,
    /// Whether the caller states that no earlier attempt with the same key can have run.
    pub first_try: bool,
    /// The `Idempotency-Key` that the caller sent.
    pub key: Option<IdempotencyKey>,
    /// A hash of the request's content without ids, equal for repeated requests. Identifies poison
    /// requests.
    pub fingerprint: RequestFingerprint,
}

/// The answer to a call of a plain service.
pub struct ServiceAnswer {
    /// The HTTP status to send to the caller.
    pub status: StatusCode,
    /// The headers; hop-by-hop headers are removed before they are sent to the caller.
    pub headers: HeaderMap,
    /// The body. An error in it closes the connection, so that the caller detects the truncation.
    pub body: AnswerBody,
}

/// A job to accept.
#[derive(Clone, Debug)]
pub struct JobCall {
    /// The id that the caller chose with `Idempotency-Key`; `None` lets the handler choose one.
    pub job: Option<JobId>,
    /// The completion to run, never streamed. Its class is `audit` unless the caller names another.
    pub call: CompletionCall,
}

value! {
    /// The phase that a job is in.
    #[derive(Copy, Eq)]
    pub enum JobState {
        /// Accepted and waiting to run.
        Queued,
        /// Running on a VM.
        Running,
        /// Ended; see [`JobStatus::outcome`].
        Finished,
        /// Cancelled by the caller before it had a result.
        Cancelled,
    }

    /// A job's state, the body of the answer to every job call except the one that fetches the
    /// result.
    pub struct JobStatus {
        /// The id that the caller chose or was given.
        pub id: JobId,
        /// The job's current phase.
        pub state: JobState,
        /// The outcome; `None` until the job has ended.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub outcome: Option<RequestOutcome>,
    }
}

/// The answer to a job's completion, as fetched by the caller.
#[derive(Clone, Debug)]
pub struct JobResult {
    /// The value of `Content-Type`.
    pub content_type: String,
    /// The complete body.
    pub body: Bytes,
}
