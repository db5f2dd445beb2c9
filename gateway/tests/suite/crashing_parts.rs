//! Requests that crash servers and have only a part of their prompts in common, and sound ones beside them.

use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::press::three_gateways;
use crate::server::{CRASHING_PARTS, MODEL, ServerMode, StandinServer};
use crate::site::{CallerAnswer, RunningGateway, Site, call, eventually};

/// How long after the fifth crash requests with the part may still reach servers.
const NOTICE: Duration = Duration::from_secs(3);
/// The crash after which the part has to be known.
const KNOWN_AFTER: usize = 5;
/// The most requests with the part that may reach servers after that.
const ALLOWED: usize = 3;
const TICK: Duration = Duration::from_millis(50);
/// A request that crashes servers is sent each so many ticks.
const CRASHING_TICKS: usize = 4;
/// Parts that sound requests have in common, with each other and with those that crash servers.
const COMMON: [&str; 2] = ["a1", "b2"];
const ENGINES: usize = 6;

/// Which requests a caller sends.
#[derive(Clone, Copy)]
struct PartTraffic<'a> {
    /// The routes that requests go to, one after the other.
    routes: &'a [&'a str],
    /// The part that crashes servers, and at which place of the prompt.
    crashing: &'a [(&'static str, usize)],
    /// Sound requests in each tick.
    sound: usize,
}

const STREAMS: PartTraffic =
    PartTraffic { routes: &["stream"], crashing: &[(CRASHING_PARTS[0], 1)], sound: 1 };

/// A sound request: when it was sent, and its answer.
type SoundCall = (Instant, JoinHandle<Option<CallerAnswer>>);

/// Returns the prompt of a request: common parts, the one that crashes servers at its place, and a part of its own last.
fn prompt(crashing: Option<(&str, usize)>, number: usize) -> String {
    let mut parts: Vec<String> = COMMON.iter().map(|id| format!("{id}:90")).collect();
    if let Some((part, place)) = crashing {
        parts.insert(place, format!("{part}:{}", 40 + number));
    }
    parts.push(format!("f{number:07x}:30"));
    parts.join(",")
}

/// Sends a request with this prompt in a task of its own.
fn send(
    gateway: &RunningGateway,
    path: String,
    id: String,
    prompt: String,
) -> JoinHandle<Option<CallerAnswer>> {
    let address = gateway.listen.requests;
    tokio::spawn(async move {
        let headers = [
            ("coltsfoothook-model", MODEL),
            ("coltsfoothook-token-count", "200,8"),
            ("coltsfoothook-prompt-prefix", &*prompt),
        ];
        call(address, &path, &id, &headers).await
    })
}

/// Sends requests through one gateway after another for `period`; returns the sound ones.
async fn play(
    site: &mut Site,
    gateways: &[RunningGateway],
    traffic: PartTraffic<'_>,
    name: &str,
    period: Duration,
) -> Vec<SoundCall> {
    let (started, mut number) = (Instant::now(), 0);
    let mut sound = Vec::new();
    for tick in 0.. {
        if started.elapsed() > period {
            break;
        }
        let crashing = traffic.crashing.get(tick / CRASHING_TICKS % traffic.crashing.len().max(1));
        if let Some(crashing) = crashing.filter(|_| tick % CRASHING_TICKS == 0) {
            number += 1;
            let gateway = &gateways[tick / CRASHING_TICKS % gateways.len()];
            let path =
                format!("/{}/{name}-{number}", traffic.routes[number % traffic.routes.len()]);
            let id = format!("{}-{name}-{number}", crashing.0);
            send(gateway, path, id, prompt(Some(*crashing), number));
        }
        for _ in 0..traffic.sound {
            number += 1;
            let path =
                format!("/{}/{name}-{number}", traffic.routes[number % traffic.routes.len()]);
            let gateway = &gateways[number % gateways.len()];
            let call = send(gateway, path, format!("sound-{name}-{number}"), prompt(None, number));
            sound.push((Instant::now(), call));
        }
        site.register("ready");
        sleep(TICK).await;
    }
    sound
}

/// Returns when requests with a crashing part reached servers, in order.
fn arrivals(site: &Site, part: &str) -> Vec<Instant> {
    let arrivals = site.engines.iter().flat_map(StandinServer::all_arrivals);
    let mut at: Vec<Instant> =
        arrivals.filter(|arrival| arrival.id.starts_with(part)).map(|arrival| arrival.at).collect();
    at.sort_unstable();
    at
}

/// Returns when servers crashed under a part, in order.
fn crashes(site: &Site, part: &str) -> Vec<Instant> {
    let runs = site.engines.iter().flat_map(StandinServer::runs);
    let mut at: Vec<Instant> =
        runs.filter(|run| run.id.starts_with(part)).filter_map(|run| run.at).collect();
    at.sort_unstable();
    at
}

/// Asserts that servers got no more requests with the part than are allowed after the fifth crash.
fn assert_stopped(site: &Site, part: &str) {
    let crashes = crashes(site, part);
    assert!(crashes.len() >= 2, "{} crashes: the part was not played", crashes.len());
    let Some(fifth) = crashes.get(KNOWN_AFTER - 1) else { return };
    let late = arrivals(site, part).into_iter().filter(|at| *at > *fifth + NOTICE).count();
    assert!(late <= ALLOWED, "{late} reached servers later, {} crashes", crashes.len());
}

/// Returns how many of the requests sent since `from` were served, and their number.
async fn served(calls: Vec<SoundCall>, from: Instant) -> (usize, usize) {
    let late = calls.into_iter().filter(|(at, _)| *at > from);
    let ends = join_all(late.map(|(_, call)| call)).await;
    let whole = |end: &Option<CallerAnswer>| {
        end.as_ref().is_some_and(|answer| answer.status == 200 && answer.whole)
    };
    let served = ends.iter().filter(|end| whole(end.as_ref().unwrap())).count();
    (served, ends.len())
}

/// Plays requests that crash servers beside sound ones, and asserts that the former are stopped and the latter served.
async fn assert_told_apart(site: &mut Site, gateways: &[RunningGateway], traffic: PartTraffic<'_>) {
    let calls = play(site, gateways, traffic, "p", Duration::from_secs(18)).await;
    for (part, _) in traffic.crashing {
        assert_stopped(site, part);
    }
    let last = traffic.crashing.iter().filter_map(|(part, _)| crashes(site, part).pop()).max();
    let known = traffic.crashing.iter().filter_map(|(part, _)| {
        let crashes = crashes(site, part);
        crashes.get(KNOWN_AFTER - 1).or(crashes.last()).copied()
    });
    let from = known.max().expect("there were crashes") + 2 * NOTICE;
    let (served, all) = served(calls, from).await;
    assert!(served * 2 >= all && all > 20, "{served} of {all} sound ones served; last {last:?}");
}

/// Guards against requests that go on crashing servers, as no two are alike, and against refusals of sound ones.
#[tokio::test(flavor = "multi_thread")]
async fn refused_by_all() {
    let mut site = Site::start(ENGINES, 0).await;
    let gateways = three_gateways(&site).await;
    assert_told_apart(&mut site, &gateways, STREAMS).await;
}

/// The same with the part at the first place, beside many sound requests, on several routes.
#[tokio::test(flavor = "multi_thread")]
async fn first_of_parts() {
    let mut site = Site::start(ENGINES, 0).await;
    let gateways = three_gateways(&site).await;
    let traffic = PartTraffic {
        routes: &["stream", "resumed", "whole"],
        crashing: &[(CRASHING_PARTS[0], 0)],
        sound: 4,
    };
    assert_told_apart(&mut site, &gateways, traffic).await;
}

/// The same with two such parts at once.
#[tokio::test(flavor = "multi_thread")]
async fn two_parts() {
    let mut site = Site::start(ENGINES, 0).await;
    let gateways = three_gateways(&site).await;
    let crashing = &[(CRASHING_PARTS[0], 1), (CRASHING_PARTS[1], 2)];
    assert_told_apart(&mut site, &gateways, PartTraffic { crashing, ..STREAMS }).await;
}

/// The same where answers end with their connections.
#[tokio::test(flavor = "multi_thread")]
async fn unframed() {
    let mut site = Site::start(ENGINES, 0).await;
    let gateways = three_gateways(&site).await;
    site.engines.iter().for_each(|server| server.set_unframed(true));
    assert_told_apart(&mut site, &gateways, STREAMS).await;
}

/// The same where each server listens again at once, and only its new start shows that it crashed.
#[tokio::test(flavor = "multi_thread")]
async fn back_at_once() {
    let mut site = Site::start(ENGINES, 0).await;
    let gateways = three_gateways(&site).await;
    site.engines.iter().for_each(|server| server.set_mode(ServerMode::BackAtOnce));
    assert_told_apart(&mut site, &gateways, STREAMS).await;
}

/// Guards against a VM that starts later and does not know what the others have seen.
#[tokio::test(flavor = "multi_thread")]
async fn told_to_new_vm() {
    let mut site = Site::start(ENGINES, 0).await;
    let gateways = three_gateways(&site).await;
    play(&mut site, &gateways, STREAMS, "before", Duration::from_secs(4)).await;
    let later = site.start_gateway("vm-9", &[&gateways[0]], false).await;
    later.wait_ready().await;
    let known = async || later.addresses().await.len() == 4;
    eventually("the new VM knows the others", known).await;
    sleep(NOTICE).await;
    let before = arrivals(&site, CRASHING_PARTS[0]).len();
    play(&mut site, &[later], STREAMS, "new", Duration::from_secs(4)).await;
    let new = arrivals(&site, CRASHING_PARTS[0]).len() - before;
    assert!(new <= 1, "the new VM sent {new} to servers");
    assert_stopped(&site, CRASHING_PARTS[0]);
}

/// Guards against a part that stays refused although its requests crash no server any more.
#[tokio::test(flavor = "multi_thread")]
async fn mended() {
    let mut site = Site::start(ENGINES, 0).await;
    let gateways = three_gateways(&site).await;
    play(&mut site, &gateways, STREAMS, "before", Duration::from_secs(4)).await;
    site.engines.iter().for_each(StandinServer::mend);
    let before = arrivals(&site, CRASHING_PARTS[0]).len();
    play(&mut site, &gateways, STREAMS, "mended", Duration::from_secs(28)).await;
    let after = arrivals(&site, CRASHING_PARTS[0]).len() - before;
    assert!(after > 10, "{after} requests with the mended part reached servers");
}

/// Guards against a sound part that is taken for one that crashes servers, as servers end one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn servers_end_in_turn() {
    let mut site = Site::start(ENGINES, 0).await;
    let gateways = three_gateways(&site).await;
    let sound = PartTraffic { crashing: &[], ..STREAMS };
    let mut calls = Vec::new();
    for number in 0..12 {
        site.engines[number % ENGINES].crash();
        let name = format!("turn{number}");
        calls.extend(play(&mut site, &gateways, sound, &name, Duration::from_millis(600)).await);
    }
    let started = calls[0].0;
    let (served, all) = served(calls, started).await;
    assert!(served * 10 >= all * 9, "{served} of {all} sound ones served");
}
