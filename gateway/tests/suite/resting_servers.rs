//! Servers that refuse a request and state for how long they want none from that VM.

use std::time::{Duration, Instant};

use crate::press::press;
use crate::server::ServerMode;
use crate::site::{Site, eventually};

const REST: Duration = Duration::from_secs(3);
/// How long after its refusal a server may still get requests that were on their way.
const NOTICE: Duration = Duration::from_millis(500);
/// The most requests that a server may get during its rest.
const ALLOWED: usize = 2;
const PAUSE: Duration = Duration::from_millis(15);

/// Guards against requests to a plain server during its rest, although another server takes them.
#[tokio::test]
async fn another_takes_over() {
    let site = Site::start(0, 2).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let resting = &site.plain[0];
    resting.set_mode(ServerMode::Full);
    resting.state_rest("3");
    let started = Instant::now();
    let answers = press(&[gateway], "call", PAUSE, REST).await;
    let first = resting.arrivals_since(started)[0];
    let during = resting.arrivals_since(first + NOTICE);
    let during = during.iter().filter(|at| **at < first + REST).count();
    assert!(during <= ALLOWED, "{during} requests during the rest");
    let served = answers.iter().filter(|timed| timed.answer.status == 200).count();
    assert_eq!(served, answers.len(), "the other server takes all requests");
}

/// Guards against retries at the only server that holds an adapter, and against callers that wait until a refusal that
/// is known beforehand.
#[tokio::test]
async fn refused_early() {
    let site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "before", "a1").await.status, 200);
    let engine = &site.engines[0];
    engine.set_mode(ServerMode::Full);
    engine.state_rest("3");
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < REST - Duration::from_millis(200) {
        let sent = Instant::now();
        let answer = gateway.request("stream", &format!("r{number}"), "a1").await;
        number += 1;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(sent.elapsed() < Duration::from_millis(400), "after {:?}", sent.elapsed());
        let retry: f64 = answer.retry_after.expect("the caller learns when").parse().unwrap();
        let left = REST.saturating_sub(started.elapsed()).as_secs_f64();
        assert!(retry > left - 0.5, "come back after {retry} s, {left} s of rest are left");
        tokio::time::sleep(PAUSE).await;
    }
    let first = engine.arrivals_since(started)[0];
    let during = engine.arrivals_since(first + NOTICE).len();
    assert!(during <= ALLOWED, "{during} requests during the rest");
    engine.set_mode(ServerMode::Normal);
    let served = async || gateway.request("stream", "after", "a1").await.status == 200;
    eventually("it serves after its rest", served).await;
    assert!(started.elapsed() < REST + Duration::from_secs(2), "it was left alone for too long");
}

/// Guards against a rest that outlives the start of its server, and against one of an unreadable length.
#[tokio::test]
async fn belongs_to_start() {
    let mut site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let server = site.plain[0].clone();
    server.set_mode(ServerMode::Full);
    server.state_rest("60");
    assert_eq!(gateway.call("/safe/x", "resting", &[]).await.status, 503);
    server.set_mode(ServerMode::Normal);
    server.restart();
    site.register_restarted(&server, "plain");
    let served = async || gateway.call("/safe/x", "again", &[]).await.status == 200;
    eventually("the restarted server serves", served).await;
    server.set_mode(ServerMode::Full);
    server.state_rest("a while");
    gateway.call("/safe/x", "unreadable", &[]).await;
    server.set_mode(ServerMode::Normal);
    let served = Instant::now();
    while gateway.call("/safe/x", "later", &[]).await.status != 200 {
        assert!(served.elapsed() < Duration::from_secs(2), "an unreadable rest was kept");
    }
}
