//! Answers with neither a length nor chunks, which end with their connections.

use std::time::Duration;

use tokio::time::sleep;

use crate::cuttable::{CuttableLinks, LinkState};
use crate::press::three_gateways;
use crate::server::{CRASHING, DOWN_TIME, EVENTS, MODEL, ServerMode, StandinServer};
use crate::site::{CallerAnswer, RunningGateway, Site, eventually};

/// The routes of streams that may run once and that may be resumed.
const ROUTES: [&str; 2] = ["stream", "resumed"];
/// The most attempts at a request that crashes servers that may reach one after the third crash.
const ALLOWED: usize = 3;

/// A site whose servers end their answers with the connections, and a gateway of it.
struct UnframedSite {
    site: Site,
    gateway: RunningGateway,
}

impl UnframedSite {
    async fn start(engines: usize, plain: usize) -> Self {
        let site = Site::start(engines, plain).await;
        let gateway = site.gateway("vm-1", &[]).await;
        gateway.wait_ready().await;
        if engines > 0 {
            assert_eq!(gateway.request("stream", "loaded", "a1").await.status, 200);
        }
        for server in site.engines.iter().chain(&site.plain) {
            server.set_unframed(true);
        }
        Self { site, gateway }
    }

    /// Returns the engine that holds the adapter, and the other one.
    fn holder_and_other(&self) -> (&StandinServer, &StandinServer) {
        let (first, second) = (&self.site.engines[0], &self.site.engines[1]);
        if first.runs().is_empty() { (second, first) } else { (first, second) }
    }
}

/// Asserts that an answer is whole and has each event once.
fn assert_whole(answer: &CallerAnswer, id: &str) {
    assert!(answer.status == 200 && answer.whole, "{answer:?}");
    let events = (1..=EVENTS).map(|number| format!("id: {number}\ndata: {id} {number}\n\n"));
    assert_eq!(answer.body, events.collect::<String>());
}

/// Guards against whole answers that are taken for broken ones, since only their connections end them.
#[tokio::test]
async fn whole_ones() {
    let unframed = UnframedSite::start(1, 1).await;
    for route in ROUTES {
        let answer = unframed.gateway.request(route, route, "a1").await;
        assert_whole(&answer, route);
    }
    for path in ["/safe/x", "/once/x"] {
        let answer = unframed.gateway.call(path, "plain", &[]).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "ran plain"));
    }
}

/// Guards against a stream that ends inside an event and reaches its caller as a complete one.
#[tokio::test]
async fn cut_in_event() {
    let unframed = UnframedSite::start(1, 0).await;
    unframed.site.engines[0].set_mode(ServerMode::CutsStream);
    for route in ROUTES {
        let answer = unframed.gateway.request(route, route, "a1").await;
        assert!(!answer.whole, "{route}: {answer:?}");
    }
}

/// Guards against a stream that a crash cuts between two events and that reaches its caller as a complete one.
#[tokio::test]
async fn crash_between_events() {
    let unframed = UnframedSite::start(1, 0).await;
    let server = &unframed.site.engines[0];
    server.set_mode(ServerMode::Paced);
    let before = server.runs().len();
    let crash = async {
        eventually("the stream runs", async || server.runs().len() > before).await;
        sleep(Duration::from_millis(90)).await;
        server.crash();
    };
    let (answer, ()) = tokio::join!(unframed.gateway.request("stream", "cut", "a1"), crash);
    assert!(answer.status == 200 && !answer.body.is_empty(), "{answer:?}");
    assert!(!answer.whole, "{answer:?}");
}

/// The same before the first event is complete, where the caller has received nothing of it.
#[tokio::test]
async fn cut_in_first_event() {
    let unframed = UnframedSite::start(1, 0).await;
    for mode in [ServerMode::CutsFirst, ServerMode::CutsHead] {
        unframed.site.engines[0].set_mode(mode);
        for route in ROUTES {
            let answer = unframed.gateway.request(route, route, "a1").await;
            assert!(answer.status != 200 || !answer.whole, "{mode:?} {route}: {answer:?}");
        }
    }
}

/// Guards against a framed stream that states its end behind a part of an event.
#[tokio::test]
async fn cut_in_event_framed() {
    let unframed = UnframedSite::start(1, 0).await;
    unframed.site.engines[0].set_unframed(false);
    unframed.site.engines[0].set_mode(ServerMode::EndsInEvent);
    for route in ROUTES {
        let answer = unframed.gateway.request(route, route, "a1").await;
        assert!(!answer.whole, "{route}: {answer:?}");
    }
}

/// Guards against a resumed stream whose second run ends with its connection, whole or inside an event.
#[tokio::test]
async fn second_run() {
    let unframed = UnframedSite::start(2, 0).await;
    let (first, second) = unframed.holder_and_other();
    first.set_mode(ServerMode::CutsStream);
    assert_whole(&unframed.gateway.request("resumed", "whole", "a1").await, "whole");
    for mode in [ServerMode::CutsFirst, ServerMode::CutsHead] {
        second.set_mode(mode);
        let id = format!("cut-{mode:?}");
        let answer = unframed.gateway.request("resumed", &id, "a1").await;
        assert!(!answer.whole, "{mode:?}: {answer:?}");
    }
}

/// Guards against a stream that ends inside an event at another VM, which sends it for a VM without links.
#[tokio::test(flavor = "multi_thread")]
async fn through_other_vm() {
    let site = Site::start(1, 0).await;
    let links = CuttableLinks::default();
    let cut = site.start_cuttable("vm-1", &[], &links).await;
    let other = site.gateway("vm-2", &[&cut]).await;
    for gateway in [&cut, &other] {
        let knows_all = async || gateway.addresses().await.len() == 2;
        eventually("the gateways know each other", knows_all).await;
    }
    assert_eq!(other.request("stream", "loaded", "a1").await.status, 200);
    links.set(LinkState::Silent);
    let served = async || cut.request("stream", "first", "a1").await.status == 200;
    eventually("the cut VM serves streams", served).await;
    site.engines[0].set_unframed(true);
    for route in ROUTES {
        assert_whole(&cut.request(route, route, "a1").await, route);
    }
    site.engines[0].set_mode(ServerMode::CutsStream);
    for route in ROUTES {
        let answer = cut.request(route, &format!("{route}-cut"), "a1").await;
        assert!(!answer.whole, "{route}: {answer:?}");
    }
}

/// Guards against a request that goes on crashing servers, since its broken streams look complete.
#[tokio::test(flavor = "multi_thread")]
async fn crash_is_noticed() {
    let mut site = Site::start(4, 0).await;
    let gateways = three_gateways(&site).await;
    for server in &site.engines {
        server.set_unframed(true);
    }
    let path = format!("/stream{CRASHING}");
    let model = format!("{MODEL}/a1");
    let headers = [("coltsfoothook-model", &*model), ("coltsfoothook-token-count", "100,8")];
    for number in 0..32 {
        let gateway = &gateways[number % gateways.len()];
        let answer = gateway.call(&path, &format!("again-{number}"), &headers).await;
        assert!(answer.status != 200 || !answer.whole, "{answer:?}");
        sleep(Duration::from_millis(250)).await;
        site.register("ready");
    }
    let runs = site.engines.iter().flat_map(|server| server.runs());
    let crashes = runs.filter(|run| run.path().ends_with(CRASHING)).count();
    assert!(crashes <= 3 + ALLOWED, "{crashes} servers crashed");
}

/// Guards against a plain answer that a crash cut in its body and that reaches its caller as a whole one.
#[tokio::test]
async fn crash_in_plain_body() {
    let unframed = UnframedSite::start(0, 1).await;
    let server = &unframed.site.plain[0];
    server.set_mode(ServerMode::CrashesInBody);
    for path in ["/safe/x", "/once/x"] {
        let answer = unframed.gateway.call(path, path, &[]).await;
        assert!(answer.status != 200 || !answer.whole, "{path}: {answer:?}");
        sleep(DOWN_TIME * 2).await;
    }
}

/// Writes the entry of a server that leaves, with the time after which it is gone if it states one.
fn leave(site: &Site, server: &StandinServer, remaining_ms: Option<u64>) {
    let mut entry = server.entry("engines", 1_000, "draining");
    if let Some(remaining_ms) = remaining_ms {
        entry["remaining_ms"] = remaining_ms.into();
    }
    site.store.write("keyed.servers", &server.name, Some(&entry));
}

/// Plays a stream whose server ends it between two events, while it leaves. Returns the answer.
async fn ends_while_leaving(
    route: &str,
    engines: usize,
    remaining_ms: Option<u64>,
) -> CallerAnswer {
    let unframed = UnframedSite::start(engines, 0).await;
    let first = unframed.site.engines.iter().find(|engine| !engine.runs().is_empty()).unwrap();
    let before = first.runs().len();
    first.set_mode(ServerMode::Slow);
    let ends = async {
        eventually("the stream runs", async || first.runs().len() > before).await;
        leave(&unframed.site, first, remaining_ms);
        sleep(Duration::from_millis(1_500)).await;
        first.crash();
    };
    tokio::join!(unframed.gateway.request(route, "left", "a1"), ends).0
}

/// Guards against a stream that ends as complete where its server was gone at the end of its notice.
#[tokio::test(flavor = "multi_thread")]
async fn gone_after_notice() {
    let answer = ends_while_leaving("stream", 1, Some(1_500)).await;
    assert!(answer.status == 200 && !answer.whole, "{answer:?}");
}

/// The same where another server can go on.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_after_notice() {
    let answer = ends_while_leaving("resumed", 2, Some(1_500)).await;
    assert_whole(&answer, "left");
}

/// Guards against a stream that counts as cut since its server ends right after it, when it leaves in its own time.
#[tokio::test(flavor = "multi_thread")]
async fn ends_well() {
    let answer = ends_while_leaving("stream", 1, None).await;
    assert!(answer.status == 200 && answer.whole, "{answer:?}");
}
