//! Servers that start again under the same id with a later `born`, at another address, while their former start neither
//! ends its connections nor answers.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::server::{NEVER_LOADED, ServerMode, StandinServer};
use crate::site::{RunningGateway, Site, eventually};

/// How long the new start may take to serve: its entry is read, and an adapter loaded.
const SOON: Duration = Duration::from_secs(2);

/// Starts a server again under its name, without ending the former start, and writes the new entry.
async fn start_again(site: &mut Site, former: &StandinServer) -> StandinServer {
    let started = StandinServer::start(&former.name).await;
    // Later than the start of `former`, with no adapters and no orders.
    started.restart();
    site.register_restarted(&started, "engines");
    started
}

async fn one_engine() -> (Site, RunningGateway, StandinServer) {
    let site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r0", "a1").await.status, 200);
    let engine = site.engines[0].clone();
    (site, gateway, engine)
}

/// Guards against a request that goes to the new start for an adapter that only the former one held, or to the former one:
/// the adapter is ordered again first, as the first order of that start.
#[tokio::test(flavor = "multi_thread")]
async fn holdings() {
    let (mut site, gateway, former) = one_engine().await;
    let runs = former.runs().len();
    let started = start_again(&mut site, &former).await;
    sleep(Duration::from_millis(600)).await;
    let answer = gateway.request("stream", "r1", "a1").await;
    assert!(answer.status == 200 && answer.whole, "{answer:?}");
    assert_eq!(started.orders()[0]["precondition"], 0);
    let arrived: Vec<String> =
        started.all_arrivals().into_iter().map(|arrival| arrival.id).collect();
    assert_eq!(arrived, ["r1"], "no request came before the adapter was loaded");
    assert_eq!(former.runs().len(), runs);
}

/// Guards against a load that the former start never completed, and that keeps the new one from others.
#[tokio::test(flavor = "multi_thread")]
async fn pending_orders() {
    let (mut site, gateway, former) = one_engine().await;
    let cold = gateway.request("stream", "cold", NEVER_LOADED);
    assert!(timeout(Duration::from_millis(300), cold).await.is_err(), "the load never completes");
    assert_eq!(former.orders().len(), 2);
    let started = start_again(&mut site, &former).await;
    let served = async {
        eventually("it serves", async || gateway.request("stream", "r1", "a2").await.status == 200)
            .await
    };
    timeout(SOON, served).await.expect("the former start's order is not waited for");
    assert_eq!(started.orders()[0]["precondition"], 0);
    assert_eq!(started.violations(), [""; 0]);
}

/// Guards against a limit, or a wish to leave, of the former start that holds requests back from the new one.
#[tokio::test(flavor = "multi_thread")]
async fn statements() {
    for leaves in [false, true] {
        let (mut site, gateway, former) = one_engine().await;
        if leaves {
            former.state_leaving();
        } else {
            former.state_limit(Some("0.1"));
        }
        assert_eq!(gateway.request("stream", "told", "a1").await.status, 200);
        let closed = async || gateway.request("stream", "closed", "a1").await.status == 503;
        eventually("the former start is closed", closed).await;
        let _started = start_again(&mut site, &former).await;
        sleep(Duration::from_millis(600)).await;
        for number in 0..6 {
            let answer = gateway.request("stream", &format!("r-{number}"), "a1").await;
            assert_eq!(answer.status, 200, "leaves {leaves}: {answer:?}");
        }
    }
}

/// Guards against requests that hang at the former start and count as running at the new one, which gets none while another
/// server has room.
#[tokio::test(flavor = "multi_thread")]
async fn counts() {
    let (mut site, gateway, former) = one_engine().await;
    former.set_mode(ServerMode::Slow);
    let send = |kind: &'static str, count: usize| {
        let calls = (0..count).map(|number| format!("{kind}-{number}"));
        let gateway = &gateway;
        let calls = calls.map(|id| async move { gateway.request("stream", &id, "a1").await });
        futures::future::join_all(calls)
    };
    let restarted = async {
        eventually("they hang", async || former.runs().len() >= 7).await;
        let started = StandinServer::start(&former.name).await;
        started.restart();
        let other = StandinServer::start("e-1").await;
        for server in [&started, &other] {
            server.hold("a1");
            server.set_mode(ServerMode::Paced);
            site.register_restarted(server, "engines");
        }
        sleep(Duration::from_millis(700)).await;
        let answers = send("new", 6).await;
        assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
        [started.runs().len(), other.runs().len()]
    };
    let (_, runs) = tokio::join!(send("hanging", 6), restarted);
    assert!(runs.iter().all(|runs| *runs >= 2), "{runs:?} of 6");
}
