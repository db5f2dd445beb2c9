//! VMs that have lost their links to all servers, while callers, the store and other VMs reach them.

use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::time::sleep;

use crate::cuttable::{CuttableLinks, LinkState};
use crate::server::ServerMode;
use crate::site::{CallerAnswer, RunningGateway, Site, call, eventually};

/// How long after the links are lost requests may still fail.
const NOTICE: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(20);

/// A site with a gateway whose links can be cut, and one that keeps them.
struct CutSite {
    site: Site,
    links: CuttableLinks,
    cut: RunningGateway,
    other: RunningGateway,
}

impl CutSite {
    async fn start(engines: usize, plain: usize) -> Self {
        let site = Site::start(engines, plain).await;
        let links = CuttableLinks::default();
        let cut = site.start_cuttable("vm-1", &[], &links).await;
        let other = site.gateway("vm-2", &[&cut]).await;
        for gateway in [&cut, &other] {
            let knows_all = async || gateway.addresses().await.len() == 2;
            eventually("the gateways know each other", knows_all).await;
        }
        Self { site, links, cut, other }
    }

    /// Sends calls to the cut gateway for `period`, alternately on routes that may be retried and that may not.
    async fn press(&self, name: &str, period: Duration) -> Vec<CallerAnswer> {
        let started = Instant::now();
        let mut calls = Vec::new();
        while started.elapsed() < period {
            let path = if calls.len() % 2 == 0 { "/safe/x" } else { "/once/x" };
            let (address, id) = (self.cut.listen.requests, format!("{name}-{}", calls.len()));
            calls.push(tokio::spawn(async move { call(address, path, &id, &[]).await }));
            sleep(PAUSE).await;
        }
        let answers = join_all(calls).await.into_iter();
        answers.map(|answer| answer.unwrap().expect("the gateway answers")).collect()
    }

    /// Returns the ids of requests that ran more than once.
    fn run_twice(&self) -> Vec<String> {
        let runs = self.site.plain.iter().chain(&self.site.engines).flat_map(|s| s.runs());
        let mut ids: Vec<String> = runs.map(|run| run.id).collect();
        ids.sort_unstable();
        ids.chunk_by(|a, b| a == b)
            .filter(|same| same.len() > 1)
            .map(|same| same[0].clone())
            .collect()
    }
}

/// Asserts that nearly all requests at the cut gateway are served, from [`NOTICE`] after its links were lost.
async fn assert_served(state: LinkState) {
    let cut = CutSite::start(0, 3).await;
    let before = cut.press("before", Duration::from_millis(500)).await;
    assert!(before.iter().all(|answer| answer.status == 200), "{before:?}");
    cut.links.set(state);
    cut.press("notice", NOTICE).await;
    let during = cut.press("during", Duration::from_secs(2)).await;
    let served = during.iter().filter(|answer| answer.status == 200).count();
    assert!(served * 50 >= during.len() * 49, "{served} of {} served", during.len());
    cut.links.set(LinkState::Open);
    sleep(Duration::from_secs(1)).await;
    let after = cut.press("after", Duration::from_millis(500)).await;
    assert!(after.iter().all(|answer| answer.status == 200), "{after:?}");
    let twice = cut.run_twice();
    assert!(
        twice.iter().all(|id| !id.ends_with(['1', '3', '5', '7', '9'])),
        "ran twice: {twice:?}"
    );
}

/// Guards against a VM that takes the loss of its own links for the loss of all servers: they are silent.
#[tokio::test(flavor = "multi_thread")]
async fn silent_links() {
    assert_served(LinkState::Silent).await;
}

/// The same where open connections are reset and new ones refused.
#[tokio::test(flavor = "multi_thread")]
async fn reset_links() {
    assert_served(LinkState::Reset).await;
}

/// The same where open connections live on.
#[tokio::test(flavor = "multi_thread")]
async fn new_connections_refused() {
    assert_served(LinkState::RefuseNew).await;
}

/// Guards against streams that a cut VM does not serve, or whose events it does not pass on whole.
#[tokio::test(flavor = "multi_thread")]
async fn streams_served() {
    let cut = CutSite::start(2, 0).await;
    assert_eq!(cut.other.request("stream", "loaded", "a1").await.status, 200);
    cut.links.set(LinkState::Silent);
    let served = async || cut.cut.request("stream", "first", "a1").await.status == 200;
    eventually("the cut VM serves streams", served).await;
    for route in ["stream", "resumed"] {
        let answer = cut.cut.request(route, &format!("{route}-1"), "a1").await;
        assert_eq!((answer.status, answer.whole), (200, true));
        assert!(answer.body.contains("id: 4"), "{answer:?}");
        assert_eq!(answer.body, cut.other.request(route, &format!("{route}-1"), "a1").await.body);
    }
}

/// Guards against a caller that leaves and whose request goes on at a server by way of another VM.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    let cut = CutSite::start(1, 0).await;
    assert_eq!(cut.other.request("stream", "loaded", "a1").await.status, 200);
    cut.links.set(LinkState::Silent);
    let served = async || cut.cut.request("stream", "first", "a1").await.status == 200;
    eventually("the cut VM serves streams", served).await;
    cut.site.engines[0].set_mode(ServerMode::Slow);
    let request = cut.cut.request("stream", "leaves", "a1");
    let _ = tokio::time::timeout(Duration::from_millis(600), request).await;
    let ended = async || cut.site.engines[0].disconnects() > 0;
    let left = Instant::now();
    eventually("the server learns that the caller left", ended).await;
    assert!(left.elapsed() < Duration::from_millis(2_500), "after {:?}", left.elapsed());
}

/// Guards against a VM without links that keeps callers waiting although no other VM has links either.
#[tokio::test(flavor = "multi_thread")]
async fn refused_where_all_are_cut() {
    let site = Site::start(0, 3).await;
    let links = CuttableLinks::default();
    let first = site.start_cuttable("vm-1", &[], &links).await;
    let second = site.start_cuttable("vm-2", &[&first], &links).await;
    for gateway in [&first, &second] {
        let knows_all = async || gateway.addresses().await.len() == 2;
        eventually("the gateways know each other", knows_all).await;
    }
    links.set(LinkState::Silent);
    for number in 0..20 {
        for gateway in [&first, &second] {
            gateway.call("/safe/x", &format!("notice-{number}"), &[]).await;
        }
    }
    let sent = Instant::now();
    let answer = first.call("/once/x", "refused", &[]).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(sent.elapsed() < Duration::from_millis(200), "after {:?}", sent.elapsed());
}

/// Guards against servers that seem to crash under innocent requests to a VM that is cut off from them.
#[tokio::test(flavor = "multi_thread")]
async fn cut_is_no_crash() {
    let cut = CutSite::start(0, 3).await;
    for round in 0..3 {
        cut.press(&format!("same-{round}"), Duration::from_millis(300)).await;
        cut.links.set(LinkState::Reset);
        sleep(Duration::from_millis(300)).await;
        cut.links.set(LinkState::Open);
        sleep(Duration::from_millis(700)).await;
    }
    let answers = cut.press("later", Duration::from_millis(500)).await;
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
}
