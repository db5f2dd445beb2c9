//! Measures the latency of streamed events from the handler to the caller, over loopback.
//!
//! ```text
//! cargo run --release -p coltsfoothook-caller --example face_delay -- [step_ms] [events] [streams] [warm]
//! ```
//!
//! `warm` is the number of requests sent on each connection before its stream starts. The kernel
//! delays acknowledgements on a connection that has carried traffic in both directions, an effect
//! that a new connection does not show.
//!
//! Prints one line of JSON with the latencies in microseconds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use coltsfoothook_caller::{
    AnswerBody, CallHandler, CallProblem, CallerServer, CallerSettings, CompletionAnswer,
    CompletionCall, EntriesAnswer, HealthAnswer, InterfaceReason, JobCall, JobResult, JobStatus,
    ModelPage, ModelQuery, ServiceAnswer, ServiceCall,
};
use coltsfoothook_decision::id::{CustomerName, JobId, RequestId};
use futures::StreamExt;
use http::{HeaderMap, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BODY: &str = r#"{"model":"a@1","prompt":"x","stream":true}"#;

/// Streams `events` events, one per `step`, each with its creation time in microseconds since
/// `start`.
struct TickHandler {
    start: Instant,
    step: Duration,
    events: u32,
}

fn unsupported<T>() -> Result<T, CallProblem> {
    Err(CallProblem::not_run(InterfaceReason::UnknownPath, "the benchmark serves completions only"))
}

#[async_trait]
impl CallHandler for TickHandler {
    fn authenticate(&self, _: &str) -> Option<CustomerName> {
        Some("t".into())
    }

    fn next_request_id(&self) -> RequestId {
        "r".into()
    }

    fn health(&self) -> HealthAnswer {
        HealthAnswer { ready: true, state: String::new() }
    }

    async fn complete(&self, _: CompletionCall) -> Result<CompletionAnswer, CallProblem> {
        let (start, step) = (self.start, self.step);
        let ticks = futures::stream::iter(0..self.events).then(move |_| async move {
            tokio::time::sleep(step).await;
            Ok(Bytes::from(format!("data: {}\n\n", start.elapsed().as_micros())))
        });
        Ok(CompletionAnswer {
            status: StatusCode::OK,
            content_type: "text/event-stream".to_owned(),
            headers: HeaderMap::new(),
            body: AnswerBody::Stream(ticks.boxed()),
        })
    }

    async fn entries(&self, _: &CustomerName) -> Result<EntriesAnswer, CallProblem> {
        unsupported()
    }

    async fn models(&self, _: &CustomerName, _: ModelQuery) -> Result<ModelPage, CallProblem> {
        unsupported()
    }

    async fn call_service(&self, _: ServiceCall) -> Result<ServiceAnswer, CallProblem> {
        unsupported()
    }

    async fn submit_job(&self, _: JobCall) -> Result<JobStatus, CallProblem> {
        unsupported()
    }

    async fn job_status(&self, _: &CustomerName, _: &JobId) -> Result<JobStatus, CallProblem> {
        unsupported()
    }

    async fn job_result(&self, _: &CustomerName, _: &JobId) -> Result<JobResult, CallProblem> {
        unsupported()
    }

    async fn cancel_job(&self, _: &CustomerName, _: &JobId) -> Result<JobStatus, CallProblem> {
        unsupported()
    }
}

/// Reads one stream and returns the latency of each event in microseconds.
async fn read_latencies(address: std::net::SocketAddr, start: Instant, warm: u64) -> Vec<u128> {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let mut buffer = vec![0; 65_536];
    for _ in 0..warm {
        let health = b"GET /health HTTP/1.1\r\nhost: vm\r\n\r\n";
        stream.write_all(health).await.expect("write");
        assert!(stream.read(&mut buffer).await.expect("read") > 0);
    }
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\
         authorization: Bearer k\r\ncontent-length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    stream.write_all(head.as_bytes()).await.expect("write");
    let mut latencies = Vec::new();
    loop {
        let size = stream.read(&mut buffer).await.expect("read");
        if size == 0 {
            return latencies;
        }
        let now = start.elapsed().as_micros();
        let text = String::from_utf8_lossy(&buffer[..size]);
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        latencies.extend(
            events
                .filter_map(|created_us| created_us.parse().ok())
                .map(|created_us: u128| now - created_us),
        );
    }
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse().expect("a number"));
    let step_ms = arguments.next().unwrap_or(10);
    let events = arguments.next().unwrap_or(300);
    let streams = arguments.next().unwrap_or(20);
    let warm = arguments.next().unwrap_or(0);
    let start = Instant::now();
    let events = u32::try_from(events).expect("a small number");
    let handler = TickHandler { start, step: Duration::from_millis(step_ms), events };
    let server = CallerServer::start(CallerSettings::default(), Arc::new(handler), None);
    let server = server.expect("the server starts");
    let address = server.address();
    let readers = (0..streams).map(|_| tokio::spawn(read_latencies(address, start, warm)));
    let (mut first_latencies, mut latencies) = (Vec::<u128>::new(), Vec::<u128>::new());
    for joined in futures::future::join_all(readers).await {
        let joined = joined.expect("the reader task ends");
        first_latencies.extend(joined.first());
        latencies.extend(joined);
    }
    latencies.sort_unstable();
    first_latencies.sort_unstable();
    let first_p50 = first_latencies[first_latencies.len() / 2];
    let quantile = |q: f64| latencies[((latencies.len() - 1) as f64 * q) as usize];
    let (p50, p95, p99, max) = (quantile(0.5), quantile(0.95), quantile(0.99), quantile(1.0));
    println!(
        "{{\"step_ms\":{step_ms},\"streams\":{streams},\"warm\":{warm},\"events\":{},\
         \"first_p50_us\":{first_p50},\"p50_us\":{p50},\
         \"p95_us\":{p95},\"p99_us\":{p99},\"max_us\":{max}}}",
        latencies.len()
    );
}
