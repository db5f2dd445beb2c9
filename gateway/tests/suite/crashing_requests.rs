//! Requests that crash each server that runs them, and innocent ones beside them.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::press::three_gateways;
use crate::server::{CRASHING, RunRecord, ServerMode};
use crate::site::{RunningGateway, Site, eventually};

/// How long after the third crash further attempts may still reach servers.
const NOTICE: Duration = Duration::from_secs(3);
/// The most attempts that may reach servers after that.
const ALLOWED: usize = 3;
const PAUSE: Duration = Duration::from_millis(250);

/// Returns what ran at any server and ended with a crash, in order.
fn crashes(site: &Site) -> Vec<RunRecord> {
    let runs = site.plain.iter().chain(&site.engines).flat_map(|server| server.runs());
    let mut crashes: Vec<RunRecord> = runs.filter(|run| run.path().ends_with(CRASHING)).collect();
    crashes.sort_by_key(|run| run.at);
    crashes
}

/// Sends a request that crashes servers through one gateway after another for `period`, each time as a new attempt.
async fn crash_servers(site: &mut Site, gateways: &[RunningGateway], name: &str, period: Duration) {
    let (started, mut number) = (Instant::now(), 0);
    while started.elapsed() < period {
        let gateway = &gateways[number % gateways.len()];
        let answer = gateway.call("/safe/crashing", &format!("{name}-{number}"), &[]).await;
        assert!([502, 503].contains(&answer.status), "{answer:?}");
        number += 1;
        sleep(PAUSE).await;
        site.register("ready");
    }
}

/// Asserts that servers got no more of the request than is allowed after the third crash.
fn assert_stopped(site: &Site) {
    let crashes = crashes(site);
    let Some(third) = crashes.get(2).and_then(|run| run.at) else { return };
    let late = crashes.iter().filter(|run| run.at > Some(third + NOTICE));
    let mut ids: Vec<&str> = late.map(|run| run.id.as_str()).collect();
    ids.dedup();
    assert!(ids.len() <= ALLOWED, "{} attempts reached servers later: {ids:?}", ids.len());
}

/// Guards against a request that goes on crashing servers, whichever VM its caller sends it to.
#[tokio::test(flavor = "multi_thread")]
async fn refused_by_all() {
    let mut site = Site::start(0, 4).await;
    let gateways = three_gateways(&site).await;
    crash_servers(&mut site, &gateways, "again", Duration::from_secs(8)).await;
    assert_stopped(&site);
}

/// Guards against crashes that are not seen, as each server listens again at once, and only its new start shows.
#[tokio::test(flavor = "multi_thread")]
async fn back_at_once() {
    let mut site = Site::start(0, 4).await;
    let gateways = three_gateways(&site).await;
    site.plain.iter().for_each(|server| server.set_mode(ServerMode::BackAtOnce));
    crash_servers(&mut site, &gateways, "again", Duration::from_secs(10)).await;
    assert_stopped(&site);
}

/// Guards against a VM that starts later and does not know what the others have seen.
#[tokio::test(flavor = "multi_thread")]
async fn told_to_new_vm() {
    let mut site = Site::start(0, 4).await;
    let gateways = three_gateways(&site).await;
    crash_servers(&mut site, &gateways, "before", Duration::from_secs(5)).await;
    let later = site.start_gateway("vm-9", &[&gateways[0]], false).await;
    later.wait_ready().await;
    let known = async || later.addresses().await.len() == 4;
    eventually("the new VM knows the others", known).await;
    sleep(NOTICE).await;
    let before = crashes(&site).len();
    crash_servers(&mut site, &[later], "new", Duration::from_secs(4)).await;
    let new = crashes(&site).len() - before;
    assert!(new <= 1, "the new VM crashed {new} servers");
    assert_stopped(&site);
}

/// Guards against an innocent request that is refused since it ran at servers as they crashed.
#[tokio::test(flavor = "multi_thread")]
async fn innocent_is_served() {
    let mut site = Site::start(0, 4).await;
    let gateways = three_gateways(&site).await;
    let started = Instant::now();
    let mut refused = Vec::new();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(8) {
        if number % 20 == 0 {
            site.plain[number / 20 % 4].crash();
            site.register("ready");
        }
        let gateway = &gateways[number % gateways.len()];
        let answer = gateway.call("/safe/same", &format!("same-{number}"), &[]).await;
        if answer.status != 200 {
            refused.push((number, answer));
        }
        number += 1;
        sleep(Duration::from_millis(20)).await;
    }
    assert!(refused.len() * 50 < number, "{} of {number} refused: {refused:?}", refused.len());
}
