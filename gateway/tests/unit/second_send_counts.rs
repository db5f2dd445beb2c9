//! What a request that was sent to two servers leaves behind: nothing at the servers, and one charge for each that may
//! have run it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::budget::RepeatBounds;
use coltsfoothook_decision::customer::{FleetLimit, LimitMeasure};
use coltsfoothook_decision::id::RequestFingerprint;
use coltsfoothook_decision::routing::{RetryRule, ServingRoute};
use coltsfoothook_platform::{KeyedRecord, RequestHead};
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::buffer::ReadingDue;
use crate::charge::LimitCharge;
use crate::clock;
use crate::follow::apply_servers;
use crate::peer::PeerSocket;
use crate::run::{CallerRequest, RequestRun};
use crate::second_send::send_with_second;
use crate::settings::GatewaySettings;
use crate::state::Gateway;

const ANSWER: &str = "HTTP/1.1 200 X\r\ncoltsfoothook-request-id: r\r\ncoltsfoothook-server-seal: s\r\n\
                      content-length: 0\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 X\r\ncoltsfoothook-request-id: r\r\ncoltsfoothook-not-run: 1\r\n\
                       content-length: 0\r\n\r\n";
const FAILURE: &str = "HTTP/1.1 500 X\r\ncoltsfoothook-request-id: r\r\ncoltsfoothook-server-seal: s\r\n\
                       content-length: 0\r\n\r\n";
/// A server with this delay answers no request of these tests in time.
const NEVER: u64 = 9_000;

/// Starts a server that reads a request and sends a text after a delay.
async fn server(delay_ms: u64, text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            sleep(Duration::from_millis(delay_ms)).await;
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    address
}

/// Returns a gateway with two servers, 100 observed waits of a millisecond and a customer with a limit.
async fn gateway(first: SocketAddr, second: SocketAddr) -> Arc<Gateway> {
    let mut settings = GatewaySettings::default();
    settings.second_send.percent = 5.0;
    let peers = PeerSocket::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let gateway = Arc::new(Gateway::new(settings, peers));
    for (server, address) in [("a", first), ("b", second)] {
        let entry = format!(
            r#"{{"service":"plain","address":"{address}","zone":"d1","version":"1","slots":6,
                "state":"ready","cold_remaining_ms":0,"seq":1,"born":1}}"#
        );
        let value = Some(entry.into_bytes().into());
        apply_servers(
            &gateway,
            &[KeyedRecord { key: server.to_owned(), value, position: 1 }],
            false,
        );
    }
    let now = clock::now();
    let mut view = gateway.view();
    // Known to bear refusals, so that requests need no places.
    view.backends.record_answered("a");
    for _ in 0..100 {
        view.budget.record_first(&"plain".into(), now);
        view.second_sends.record_first(&"plain".into(), now);
        view.second_sends.record_wait("safe", 1_000, now);
    }
    let limit = FleetLimit { per_second: 1.0, burst: 9.0, measure: LimitMeasure::Requests };
    view.limiter.configure(now, vec![("c".into(), limit)]);
    // A customer without demand is not among those whose use is reported. A new one is overdrawn.
    assert!(view.limiter.admit(now, "c", 1.0).is_err());
    drop(view);
    gateway
}

/// Returns a request that was charged once.
fn charged_run(gateway: &Arc<Gateway>) -> RequestRun {
    let route = ServingRoute {
        name: "safe".into(),
        host: "h".into(),
        prefix: "/".into(),
        shares: Vec::new(),
        repeat: RetryRule::Idempotent,
        timeout: Duration::from_secs(4),
        target: Duration::from_secs(1),
        target_gap: None,
        priority: 0,
        max_servers: 2,
        public: false,
    };
    let head =
        RequestHead { id: "r".into(), deadline: None, need: None, last_event: None, resumes: None };
    let request = CallerRequest {
        head,
        method: Method::GET,
        path: "/x".into(),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        fingerprint: RequestFingerprint(1),
        subjects: Vec::new(),
        route,
        customer: Some("c".into()),
        rank: 0,
        service: "plain".into(),
        config: 1,
        started: clock::now(),
        _share: gateway.buffers.share(),
        reading: ReadingDue::default(),
    };
    let charge = LimitCharge::of(gateway, request.customer.as_ref(), None).unwrap();
    charge.charge_again(gateway);
    RequestRun::new(Arc::clone(gateway), request, Some(charge))
}

/// Guards against a place or a count that is left behind at the losing server, and against a customer that pays for a
/// send that certainly did not run, or not for one that may have.
#[tokio::test]
async fn nothing_left_behind() {
    let cases = [
        ("the second wins", (NEVER, ANSWER), (0, ANSWER), Some("b"), 2),
        ("the first wins", (150, ANSWER), (NEVER, ANSWER), Some("a"), 2),
        ("the second refuses", (150, ANSWER), (0, REFUSAL), Some("a"), 1),
        ("the first refuses", (60, REFUSAL), (150, ANSWER), Some("b"), 1),
        ("both refuse", (60, REFUSAL), (150, REFUSAL), Some("b"), 0),
        ("the second is cut", (150, ANSWER), (0, ""), Some("a"), 2),
        ("the second fails", (150, ANSWER), (0, FAILURE), Some("a"), 2),
        ("the first fails", (60, FAILURE), (150, ANSWER), Some("b"), 2),
        ("the caller leaves", (NEVER, ANSWER), (NEVER, ANSWER), None, 2),
    ];
    for (name, first, second, answered, charges) in cases {
        let gateway =
            gateway(server(first.0, first.1).await, server(second.0, second.1).await).await;
        let mut run = charged_run(&gateway);
        let sent =
            timeout(Duration::from_millis(400), send_with_second(&mut run, "a".into())).await;
        let by = sent.as_ref().ok().map(|(server, _)| server.as_str());
        assert_eq!((by, run.sends), (answered, 2), "{name}");
        drop(sent);
        drop(run);
        let mut view = gateway.view();
        for server in ["a", "b"] {
            assert_eq!(view.backends.own_load(server).running, 0, "{name}: {server}");
        }
        let charged = view.limiter.usage(clock::now())[0].admitted;
        assert_eq!(charged, charges, "{name}");
    }
}

/// Guards against second sends that the budget of repeats of all VMs does not hold.
#[tokio::test]
async fn without_budget() {
    let gateway = gateway(server(150, ANSWER).await, server(0, ANSWER).await).await;
    let bounds = RepeatBounds { ratio: 0.0, slack: 0.0, ..RepeatBounds::default() };
    gateway.view().budget.set_bounds(bounds, clock::now());
    let mut run = charged_run(&gateway);
    let (answered, _) = send_with_second(&mut run, "a".into()).await;
    assert_eq!((answered.as_str(), run.sends, run.ran), ("a", 1, 0));
}
