//! A handler with scripted answers that records its calls.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use coltsfoothook_caller::{
    AnswerBody, AnswerStream, CallHandler, CallProblem, CallerServer, CallerSettings,
    CompletionAnswer, CompletionCall, EntriesAnswer, EntryAddress, HealthAnswer, InterfaceReason,
    JobCall, JobResult, JobState, JobStatus, ModelInfo, ModelPage, ModelQuery, ServiceAnswer,
    ServiceCall,
};
use coltsfoothook_decision::id::{AdapterVersion, CustomerName, JobId, RequestId};
use futures::StreamExt;
use http::{HeaderMap, HeaderValue, StatusCode};
use tokio::sync::mpsc;

/// The handler's answer to the next completion.
pub(crate) enum Script {
    Whole(&'static str),
    Problem(CallProblem),
    /// Chunks that the test sends; also answers a call to a plain service.
    Stream(mpsc::UnboundedReceiver<Result<Bytes, CallProblem>>),
    /// No answer; the call waits until it is dropped.
    Hang,
}

#[derive(Default)]
pub(crate) struct FakeHandler {
    pub(crate) script: Mutex<Option<Script>>,
    pub(crate) completions: Mutex<Vec<CompletionCall>>,
    pub(crate) services: Mutex<Vec<ServiceCall>>,
    pub(crate) jobs: Mutex<Vec<JobCall>>,
    pub(crate) started: AtomicUsize,
    pub(crate) dropped: Arc<AtomicUsize>,
    next: AtomicU64,
}

/// Increments the counter when a call or its stream is dropped, where the entry process would
/// cancel.
struct DropCount(Arc<AtomicUsize>);

impl Drop for DropCount {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl FakeHandler {
    pub(crate) fn answering(script: Script) -> Arc<Self> {
        Arc::new(Self { script: Mutex::new(Some(script)), ..Default::default() })
    }

    fn stream(&self, chunks: mpsc::UnboundedReceiver<Result<Bytes, CallProblem>>) -> AnswerStream {
        let guard = DropCount(self.dropped.clone());
        futures::stream::unfold((chunks, guard), |(mut chunks, guard)| async move {
            chunks.recv().await.map(|chunk| (chunk, (chunks, guard)))
        })
        .boxed()
    }

    fn status(job: &JobId) -> JobStatus {
        JobStatus { id: job.clone(), state: JobState::Queued, outcome: None }
    }
}

#[async_trait]
impl CallHandler for FakeHandler {
    fn authenticate(&self, bearer: &str) -> Option<CustomerName> {
        (bearer == "good").then(|| "wanjiru".into())
    }

    fn next_request_id(&self) -> RequestId {
        format!("r{}", self.next.fetch_add(1, Ordering::SeqCst)).into()
    }

    fn health(&self) -> HealthAnswer {
        HealthAnswer { ready: true, state: "serving".to_owned() }
    }

    async fn entries(&self, _: &CustomerName) -> Result<EntriesAnswer, CallProblem> {
        let entry = EntryAddress {
            vm: "nbo-1".into(),
            address: ([127, 0, 0, 1], 7100).into(),
            weight: 100,
            domain: "embakasi".into(),
            region: "nbo".into(),
        };
        Ok(EntriesAnswer { entries: vec![entry], ttl_ms: 2_000, keys: vec!["cf1.a.1.0".into()] })
    }

    async fn models(&self, _: &CustomerName, query: ModelQuery) -> Result<ModelPage, CallProblem> {
        let adapter = AdapterVersion { adapter: "chiller".into(), version: "3".into() };
        let more = query.limit == 1 && query.after.is_none();
        Ok(ModelPage { models: vec![ModelInfo { adapter, default: true }], more })
    }

    async fn complete(&self, call: CompletionCall) -> Result<CompletionAnswer, CallProblem> {
        self.completions.lock().expect("lock").push(call);
        self.started.fetch_add(1, Ordering::SeqCst);
        let script = self.script.lock().expect("lock").take();
        let answer = |content_type: &str, body| CompletionAnswer {
            status: StatusCode::OK,
            content_type: content_type.to_owned(),
            headers: HeaderMap::new(),
            body,
        };
        match script.expect("a script") {
            Script::Whole(text) => Ok(answer(
                "application/json",
                AnswerBody::Whole(Bytes::from_static(text.as_bytes())),
            )),
            Script::Problem(problem) => Err(problem),
            Script::Stream(chunks) => {
                Ok(answer("text/event-stream", AnswerBody::Stream(self.stream(chunks))))
            }
            Script::Hang => {
                let _guard = DropCount(self.dropped.clone());
                std::future::pending().await
            }
        }
    }

    async fn call_service(&self, call: ServiceCall) -> Result<ServiceAnswer, CallProblem> {
        self.services.lock().expect("lock").push(call);
        let script = self.script.lock().expect("lock").take();
        let body = match script {
            Some(Script::Stream(chunks)) => AnswerBody::Stream(self.stream(chunks)),
            _ => AnswerBody::Whole(Bytes::from_static(b"reading")),
        };
        let mut headers = HeaderMap::new();
        headers.insert("x-sensor", HeaderValue::from_static("crac-7"));
        headers.insert("connection", HeaderValue::from_static("x-hop"));
        headers.insert("x-hop", HeaderValue::from_static("1"));
        Ok(ServiceAnswer { status: StatusCode::CREATED, headers, body })
    }

    async fn submit_job(&self, call: JobCall) -> Result<JobStatus, CallProblem> {
        let job = call.job.clone().unwrap_or_else(|| "made".into());
        self.jobs.lock().expect("lock").push(call);
        Ok(Self::status(&job))
    }

    async fn job_status(&self, _: &CustomerName, job: &JobId) -> Result<JobStatus, CallProblem> {
        if job.as_str() == "gone" {
            return Err(CallProblem::not_run(InterfaceReason::UnknownJob, "no job gone"));
        }
        Ok(Self::status(job))
    }

    async fn job_result(&self, _: &CustomerName, job: &JobId) -> Result<JobResult, CallProblem> {
        if job.as_str() == "early" {
            let problem = CallProblem::not_run(InterfaceReason::JobUnfinished, "the job is queued");
            return Err(problem.with_retry(1_500));
        }
        let body = Bytes::from_static(b"{\"audit\":1}");
        Ok(JobResult { content_type: "application/json".to_owned(), body })
    }

    async fn cancel_job(&self, _: &CustomerName, job: &JobId) -> Result<JobStatus, CallProblem> {
        Ok(JobStatus { id: job.clone(), state: JobState::Cancelled, outcome: None })
    }
}

/// Starts a server that allows 4,096 bytes and 200 ms for a body.
pub(crate) fn start(handler: Arc<FakeHandler>) -> CallerServer {
    let settings = CallerSettings { body_bytes: 4_096, body_timeout_ms: 200, ..Default::default() };
    CallerServer::start(settings, handler, None).expect("the server starts")
}

/// Waits until `count` is at least `expected`; panics after 10 s.
pub(crate) async fn wait_for_count(count: &AtomicUsize, expected: usize) {
    let reached = async {
        while count.load(Ordering::SeqCst) < expected {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(std::time::Duration::from_secs(10), reached)
        .await
        .expect("the count is reached in time");
}
