//! Requests that are sent to a second server as the first one answers late.

use std::time::{Duration, Instant};

use coltsfoothook_gateway::{GatewaySettings, SecondSendSettings};
use coltsfoothook_settings::parse_settings;
use futures::future::join_all;
use tokio::time::{sleep, timeout};

use crate::repeats::most_repeats;
use crate::server::{RequestArrival, ServerMode, StandinServer};
use crate::site::{CallerAnswer, RunningGateway, Site, call, eventually};

/// How soon a losing send must have ended.
const CANCEL_TIME: Duration = Duration::from_millis(500);
const SECOND_SENDS: &str = "coltsfoothook_gateway_second_sends_total";

fn percent(percent: f64) -> SecondSendSettings {
    SecondSendSettings { percent, ..SecondSendSettings::default() }
}

/// Sends a request to the plain service, or to an engine where the route is one of streams.
async fn request(gateway: &RunningGateway, route: &str, id: &str) -> CallerAnswer {
    match route {
        "safe" | "once" => gateway.call(&format!("/{route}/x"), id, &[]).await,
        _ => gateway.request(route, id, "a1").await,
    }
}

/// Sends as many requests as a route needs for a quantile and for second sends of one in twenty. The first ones take
/// 60 ms, which is the quantile then, so that none of the others is late by chance.
async fn observe(site: &Site, gateway: &RunningGateway, route: &str) {
    let set_all = |mode| {
        site.plain.iter().chain(&site.engines).for_each(|server| server.set_mode(mode));
    };
    set_all(ServerMode::Late(60));
    for number in 0..90 {
        if number == 8 {
            set_all(ServerMode::Normal);
        }
        let answer = request(gateway, route, &format!("warm-{number}")).await;
        assert_eq!(answer.status, 200);
    }
}

/// Sends requests until one reaches `late` first. Returns its id, its answer and the time that it took.
async fn reach(
    gateway: &RunningGateway,
    route: &str,
    late: &StandinServer,
) -> (String, CallerAnswer, Duration) {
    for number in 0..40 {
        let id = format!("late-{route}-{number}");
        let began = Instant::now();
        let answer = request(gateway, route, &id).await;
        if late.all_arrivals().iter().any(|arrival| arrival.id == id) {
            return (id, answer, began.elapsed());
        }
    }
    panic!("no request reached the late server");
}

async fn results(gateway: &RunningGateway, result: &str) -> u64 {
    gateway.counter(SECOND_SENDS, &format!("result=\"{result}\"")).await
}

async fn assert_cancelled(server: &StandinServer) {
    let ended = eventually("the losing send ends", async || server.disconnects() >= 1);
    assert!(timeout(CANCEL_TIME, ended).await.is_ok(), "the losing send still runs");
}

/// Starts two engines that hold the adapter of the requests.
async fn start_engines() -> Site {
    let mut site = Site::start(2, 0).await;
    site.engines.iter().for_each(|engine| engine.hold("a1"));
    site.register("ready");
    site
}

/// Guards against an answer that waits for the slower server, and a losing send that goes on running.
#[tokio::test]
async fn late_head() {
    let site = Site::start(0, 2).await;
    let gateway = site.start_hedging("vm-1", percent(5.0)).await;
    observe(&site, &gateway, "safe").await;
    let late = &site.plain[0];
    assert_eq!(late.disconnects(), 0);
    late.set_mode(ServerMode::Late(3_000));
    let (id, answer, took) = reach(&gateway, "safe", late).await;
    assert_eq!((answer.status, answer.body), (200, format!("ran {id}")));
    assert!(took < Duration::from_millis(400), "answered after {took:?}");
    assert_cancelled(late).await;
    eventually("it is counted", async || results(&gateway, "won").await == 1).await;
}

/// Guards against second sends of requests that may run once, and of any while the setting is absent.
#[tokio::test]
async fn not_asked_for() {
    let site = Site::start(0, 2).await;
    for (vm, route, share) in [("vm-1", "once", 5.0), ("vm-2", "safe", 0.0)] {
        let gateway = site.start_hedging(vm, percent(share)).await;
        observe(&site, &gateway, route).await;
        let late = &site.plain[0];
        late.set_mode(ServerMode::Late(500));
        let (id, answer, took) = reach(&gateway, route, late).await;
        assert_eq!(answer.status, 200);
        assert!(took >= Duration::from_millis(500), "answered after {took:?}");
        let ran = site.plain.iter().flat_map(StandinServer::runs).filter(|run| run.id == id);
        assert_eq!(ran.count(), 1, "on {route}");
        gateway.process.stop().await;
    }
}

/// Guards against a request that fails, or is sent a third time, as the second server refuses it while the first one
/// still runs it.
#[tokio::test]
async fn second_refuses() {
    let site = Site::start(0, 2).await;
    let gateway = site.start_hedging("vm-1", percent(5.0)).await;
    observe(&site, &gateway, "safe").await;
    let (late, full) = (&site.plain[0], &site.plain[1]);
    late.set_mode(ServerMode::Late(300));
    full.set_mode(ServerMode::Full);
    let mut seen = Vec::new();
    for number in 0..10 {
        let id = format!("late-{number}");
        assert_eq!(request(&gateway, "safe", &id).await.status, 200);
        let arrivals = |server: &StandinServer| {
            server.all_arrivals().iter().filter(|arrival| arrival.id == id).count()
        };
        seen.push((arrivals(late), arrivals(full)));
    }
    assert!(seen.iter().all(|(late, full)| *late == 1 && *full <= 1), "{seen:?}");
    assert!(results(&gateway, "refused").await >= 1);
}

/// Guards against sends that go on at both servers after their caller left.
#[tokio::test]
async fn caller_leaves() {
    let site = Site::start(0, 2).await;
    let gateway = site.start_hedging("vm-1", percent(5.0)).await;
    observe(&site, &gateway, "safe").await;
    site.plain.iter().for_each(|server| server.set_mode(ServerMode::Late(3_000)));
    let left = call(gateway.listen.requests, "/safe/x", "r1", &[]);
    assert!(timeout(Duration::from_millis(250), left).await.is_err(), "both servers are late");
    join_all(site.plain.iter().map(assert_cancelled)).await;
    eventually("it is counted", async || results(&gateway, "abandoned").await == 1).await;
}

/// Guards against VMs that exceed the fleet's budget of repeats together, or their share of second sends.
#[tokio::test(flavor = "multi_thread")]
async fn within_all_limits() {
    let site = Site::start(0, 3).await;
    let vms = ["vm-1", "vm-2", "vm-3", "vm-4"];
    // Half of the requests are late by that, so that the share limits them.
    let settings = SecondSendSettings { quantile: 0.5, ..percent(5.0) };
    let gateways = join_all(vms.map(|vm| site.start_hedging(vm, settings.clone()))).await;
    let send = async |name: &str, gateway: &RunningGateway, at: usize| {
        let mut sent = Vec::new();
        for number in 0..70 {
            sent.push(Instant::now());
            request(gateway, "safe", &format!("{name}-{at}-{number}")).await;
        }
        sent
    };
    let all = gateways.iter().enumerate();
    let mut requests = join_all(all.clone().map(|(at, vm)| send("quick", vm, at))).await.concat();
    site.plain.iter().for_each(|server| server.set_mode(ServerMode::Late(100)));
    requests.extend(join_all(all.map(|(at, vm)| send("late", vm, at))).await.concat());
    let mut arrivals: Vec<RequestArrival> =
        site.plain.iter().flat_map(|server| server.all_arrivals()).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let worst = most_repeats(&requests, &arrivals).expect("some are sent to a second server");
    assert!(worst.repeats as f64 <= worst.allowed, "{worst:?}");
    let second = arrivals.len() - requests.len();
    assert!(
        second > 0 && second * 20 <= requests.len(),
        "{second} second sends for {}",
        requests.len()
    );
}

/// Guards against a stream whose caller gets events of both servers, and a losing stream that goes on.
#[tokio::test]
async fn late_event() {
    let site = start_engines().await;
    let gateway = site.start_hedging("vm-1", percent(5.0)).await;
    observe(&site, &gateway, "resumed").await;
    let late = &site.engines[0];
    assert_eq!(late.disconnects(), 0);
    late.set_mode(ServerMode::LateEvent(3_000));
    let (id, answer, took) = reach(&gateway, "resumed", late).await;
    assert!(answer.whole && took < Duration::from_millis(400), "{answer:?} after {took:?}");
    let events: Vec<String> =
        (1..=4).map(|number| format!("id: {number}\ndata: {id} {number}\n\n")).collect();
    assert_eq!(answer.body, events.concat());
    assert_cancelled(late).await;
}

/// Guards against a stream that is answered with the second server's head although its first event never comes.
#[tokio::test]
async fn second_cut() {
    let site = start_engines().await;
    let gateway = site.start_hedging("vm-1", percent(5.0)).await;
    observe(&site, &gateway, "resumed").await;
    let (late, cut) = (&site.engines[0], &site.engines[1]);
    late.set_mode(ServerMode::LateEvent(300));
    cut.set_mode(ServerMode::CutsHead);
    for number in 0..20 {
        let answer = request(&gateway, "resumed", &format!("cut-{number}")).await;
        assert!(answer.status == 200 && answer.whole, "{answer:?}");
        if results(&gateway, "failed").await == 1 {
            sleep(CANCEL_TIME).await;
            assert_eq!(late.disconnects(), 0, "the first send goes on");
            return;
        }
    }
    panic!("no stream was sent to a second server");
}

/// Load: 16 requests at 16 slots, all late. Guards against second sends that take slots from first ones.
#[tokio::test]
async fn loaded() {
    let site = Site::start(0, 2).await;
    let gateway = site.start_hedging("vm-1", percent(5.0)).await;
    observe(&site, &gateway, "safe").await;
    site.plain.iter().for_each(|server| server.set_mode(ServerMode::Late(300)));
    let names: Vec<String> = (0..16).map(|number| format!("late-{number}")).collect();
    let answers = join_all(names.iter().map(|id| request(&gateway, "safe", id))).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    let arrived: usize = site.plain.iter().map(|server| server.all_arrivals().len()).sum();
    assert_eq!(arrived, 90 + 16);
    assert!(results(&gateway, "loaded").await >= 1);
}

/// Guards against second sends that nobody asked for, and against settings that allow more than one in twenty.
#[test]
fn settings() {
    let percent = |text: &str| {
        let text = format!(r#"{{ "vm": "a", "domain": "d"{text} }}"#);
        let settings = parse_settings::<GatewaySettings>("gateway.json", &text).ok()?;
        Some(settings.second_send.percent)
    };
    assert_eq!(percent(""), Some(0.0));
    assert_eq!(percent(r#", "second_send": { "percent": 5 }"#), Some(5.0));
    for wrong in [r#""percent": 5.1"#, r#""percent": -1"#, r#""quantile": 1"#] {
        assert_eq!(percent(&format!(r#", "second_send": {{ {wrong} }}"#)), None, "{wrong}");
    }
}
