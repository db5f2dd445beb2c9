//! Measures round-trip times of `reserve` calls over loopback, with and without mutual TLS.
//!
//! ```text
//! cargo run --release -p coltsfoothook-peer --example reserve_trip -- [calls] [concurrency]
//! ```

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use coltsfoothook_decision::grant::{
    GrantId, PlacementReason, ReleaseCall, RequestSpec, ReserveCall, ReserveReply, SlotGrant,
};
use coltsfoothook_decision::id::{
    AdapterVersion, ConfigVersion, OwnerEpoch, RequestFingerprint, ServerIncarnation, VmIdentity,
    VmIncarnation,
};
use coltsfoothook_decision::member::{MemberState, ProbeMessage, ProbeReply};
use coltsfoothook_decision::message::{
    CatchUpCall, CatchUpReply, ExplainCall, ExplainReply, HeldCall, HeldReply, RevokeCall,
    RevokeReply, StatusReply, WithdrawCall,
};
use coltsfoothook_decision::outcome::RequestClass;
use coltsfoothook_keys::TlsKeys;
use coltsfoothook_keys::testing::{TestCa, TestDirectory};
use coltsfoothook_peer::{PeerHandler, PeerPool, PeerServer, PeerSettings, PeerTarget};
use hdrhistogram::Histogram;

/// Deadline of each call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Upper bound of the histogram: 60 s. Longer round trips are recorded as this value.
const MAX_ROUND_TRIP_NANOS: u64 = 60_000_000_000;

/// Grants every request immediately, so that only the cost of the calls is measured.
struct GrantingVm;

fn identity(name: &str) -> VmIdentity {
    VmIdentity { vm: name.into(), incarnation: VmIncarnation(0x1234_5678_9abc) }
}

#[async_trait]
impl PeerHandler for GrantingVm {
    async fn probe(&self, message: ProbeMessage) -> ProbeReply {
        ProbeReply { number: 0, from: message.from, reached: true, updates: Vec::new() }
    }

    async fn reserve(&self, call: ReserveCall) -> ReserveReply {
        ReserveReply::Granted(SlotGrant {
            id: GrantId { group: call.group, epoch: OwnerEpoch(3), number: 123_456 },
            server: "uy-salto-engine-3".into(),
            incarnation: ServerIncarnation(0x1234_5678_9abc),
            slot: "relay-report-1734@2026-05-03#3.1412".into(),
            priority: 10,
            use_within_ms: 500,
            stall_ms: 0,
            queue_ms: 3,
            reason: PlacementReason::Loaded,
        })
    }

    async fn withdraw(&self, _: WithdrawCall) {}

    async fn release(&self, _: Vec<ReleaseCall>) {}

    async fn held(&self, _: HeldCall) -> HeldReply {
        HeldReply { vm: identity("b"), grants: Vec::new() }
    }

    async fn revoke(&self, _: RevokeCall) -> RevokeReply {
        RevokeReply::Running
    }

    async fn catch_up(&self, _: CatchUpCall) -> CatchUpReply {
        CatchUpReply { config: None, control: None }
    }

    async fn status(&self) -> StatusReply {
        StatusReply {
            vm: identity("b"),
            state: MemberState::Alive,
            config: ConfigVersion(0),
            streams: Vec::new(),
            owners: Vec::new(),
            groups: Vec::new(),
            live: Vec::new(),
            invariants: Vec::new(),
        }
    }

    async fn explain(&self, _: ExplainCall) -> ExplainReply {
        ExplainReply { vm: identity("b"), steps: Vec::new() }
    }
}

fn reserve_call() -> ReserveCall {
    ReserveCall {
        requester: identity("b"),
        group: "summaries/uy-norte/0".into(),
        spec: RequestSpec {
            id: "uy-paysandu-1.5123.88123".into(),
            tenant: "ramsa".into(),
            adapter: AdapterVersion {
                adapter: "relay-report-1734".into(),
                version: "2026-05-03".into(),
            },
            model: "summaries".into(),
            class: RequestClass::Urgent,
            deadline_left_ms: Some(5_000),
            repeatable: true,
            fingerprint: RequestFingerprint(0x1234_5678_9abc_def0),
            parts: Vec::new(),
            prefix: 0x1234_5678_9abc_def0,
            prompt_tokens: 800,
            max_tokens: 200,
            avoid: Vec::new(),
        },
    }
}

/// Makes `calls` calls from `concurrency` tasks and prints the results as a line of JSON.
async fn measure(name: &str, pool: PeerPool, target: PeerTarget, calls: u32, concurrency: u32) {
    let pool = Arc::new(pool);
    pool.status(&target, CALL_TIMEOUT).await.expect("a connection");
    let (sent, received) = (pool.counters().sent_bytes(), pool.counters().received_bytes());
    let start = Instant::now();
    let workers = (0..concurrency).map(|_| {
        let (pool, target) = (pool.clone(), target.clone());
        tokio::spawn(async move {
            let mut times = Vec::new();
            for _ in 0..calls / concurrency {
                let call_start = Instant::now();
                pool.reserve(&target, reserve_call(), CALL_TIMEOUT).await.expect("a grant");
                times.push(call_start.elapsed());
            }
            times
        })
    });
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_ROUND_TRIP_NANOS, 3).expect("a histogram");
    for times in futures::future::join_all(workers).await {
        for time in times.expect("a worker") {
            histogram.saturating_record(u64::try_from(time.as_nanos()).unwrap_or(u64::MAX));
        }
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    let completed = histogram.len();
    let micros = |quantile| histogram.value_at_quantile(quantile) / 1_000;
    println!(
        "{{\"line\":\"{name}\",\"calls\":{completed},\"at_once\":{concurrency},\"p50_us\":{},\"p95_us\":{},\
         \"p99_us\":{},\"calls_per_s\":{:.0},\"call_bytes\":{},\"reply_bytes\":{}}}",
        micros(0.5),
        micros(0.95),
        micros(0.99),
        completed as f64 / elapsed_s,
        (pool.counters().sent_bytes() - sent) / completed,
        (pool.counters().received_bytes() - received) / completed,
    );
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse().expect("a number"));
    let calls = arguments.next().unwrap_or(20_000);
    let concurrency = arguments.next().unwrap_or(1);

    let settings = PeerSettings { plaintext: true, ..Default::default() };
    let server = PeerServer::start(settings.clone(), Arc::new(GrantingVm), None);
    let server = server.expect("a server");
    let pool = PeerPool::new(settings, None).expect("a pool");
    let target = PeerTarget { vm: "b".into(), address: server.address() };
    measure("plain", pool, target, calls, concurrency).await;

    let directory = TestDirectory::new("reserve_trip");
    let files = TestCa::new().write(directory.path(), "b");
    let keys = TlsKeys::load(files).expect("keys");
    let settings = PeerSettings::default();
    let tls = keys.mutual_server().expect("a configuration");
    let server = PeerServer::start(settings.clone(), Arc::new(GrantingVm), Some(tls));
    let server = server.expect("a server");
    let tls = keys.mutual_client().expect("a configuration");
    let pool = PeerPool::new(settings, Some(tls)).expect("a pool");
    let target = PeerTarget { vm: "b".into(), address: server.address() };
    // Both sides use the server's certificate, so the calls name the server's VM as requester.
    measure("mutual_tls", pool, target, calls, concurrency).await;
}
