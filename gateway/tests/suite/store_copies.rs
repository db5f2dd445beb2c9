//! The store comes back from an older copy of itself: offsets and generations are given out again.

use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::sleep;

use crate::server::StandinServer;
use crate::site::{RunningGateway, Site, eventually};

/// Time within which a leaving server must get no new work, and a configuration must be in force.
const PROMISE: Duration = Duration::from_secs(2);
/// Time for which VMs read what was written.
const READ_TIME: Duration = Duration::from_millis(1_500);
/// Heartbeats of all servers between a copy and the store's return from it.
const LOST_HEARTBEATS: usize = 6;

async fn start_vms(site: &Site, count: usize) -> Vec<RunningGateway> {
    let mut gateways: Vec<RunningGateway> = Vec::new();
    for number in 1..=count {
        let seeds: Vec<&RunningGateway> = gateways.iter().collect();
        gateways.push(site.gateway(&format!("vm-{number}"), &seeds).await);
    }
    for gateway in &gateways {
        let all = async || gateway.addresses().await.len() == count;
        eventually("all VMs know each other", all).await;
    }
    gateways
}

/// Loses some heartbeats of all servers, which the VMs have read, and has them written again.
async fn lose_heartbeats(site: &mut Site) {
    let copy = site.store.copy();
    for _ in 0..LOST_HEARTBEATS {
        site.register("ready");
    }
    sleep(READ_TIME).await;
    site.store.restore(copy);
    site.register("ready");
}

/// Calls all VMs and returns how many requests `server` got meanwhile.
async fn calls_to(server: &StandinServer, gateways: &[RunningGateway], name: &str) -> usize {
    let from = Instant::now();
    for (number, gateway) in gateways.iter().enumerate() {
        for call in 0..10 {
            let id = format!("{name}-{number}-{call}");
            assert_eq!(gateway.call("/safe/1", &id, &[]).await.status, 200);
        }
    }
    server.arrivals_since(from).len()
}

/// Guards against entries that count as old since their offsets were given out before.
#[tokio::test]
async fn leaving_after_copy() {
    let mut site = Site::start(0, 2).await;
    let gateways = start_vms(&site, 1).await;
    lose_heartbeats(&mut site).await;
    sleep(READ_TIME).await;
    let leaving = site.plain[0].clone();
    site.drain(&leaving, "plain");
    sleep(PROMISE).await;
    assert_eq!(calls_to(&leaving, &gateways, "late").await, 0, "it said that it leaves");
}

/// Guards against reports between VMs that count as known since their offsets were given out before.
#[tokio::test]
async fn leaving_told_by_readers() {
    let mut site = Site::start(0, 2).await;
    let gateways = start_vms(&site, 5).await;
    lose_heartbeats(&mut site).await;
    let leaving = site.plain[0].clone();
    site.drain(&leaving, "plain");
    sleep(PROMISE).await;
    assert_eq!(calls_to(&leaving, &gateways, "late").await, 0, "it said that it leaves");
}

/// Guards against a reader that goes on from an offset that was given out again, and passes over what lies before.
#[tokio::test]
async fn leaving_passed_over() {
    let mut site = Site::start(0, 2).await;
    let gateways = start_vms(&site, 1).await;
    let copy = site.store.copy();
    for _ in 0..LOST_HEARTBEATS {
        site.register("ready");
    }
    sleep(READ_TIME).await;
    site.store.restore(copy);
    let leaving = site.plain[0].clone();
    site.drain(&leaving, "plain");
    for number in 0..4 * LOST_HEARTBEATS {
        site.store.write("keyed.servers", &format!("pad-{number}"), None);
    }
    sleep(PROMISE).await;
    assert_eq!(calls_to(&leaving, &gateways, "late").await, 0, "it said that it leaves");
}

/// Guards against a configuration that is passed over for the same reason, also where it comes several times.
#[tokio::test]
async fn configuration_passed_over() {
    let site = Site::start(0, 1).await;
    let elsewhere = StandinServer::start("x-0").await;
    site.store.write("keyed.servers", "x-0", Some(&elsewhere.entry("elsewhere", 1, "ready")));
    let gateways = start_vms(&site, 1).await;
    for round in 1..4 {
        let copy = site.store.copy();
        site.configure(10 * round, "plain");
        sleep(Duration::from_millis(300)).await;
        let before = elsewhere.runs().len();
        assert_eq!(gateways[0].call("/moved/1", "plain", &[]).await.status, 200);
        assert_eq!(elsewhere.runs().len(), before, "the route leads to the plain service");
        site.store.restore(copy);
        site.configure(10 * round + 1, "elsewhere");
        for number in 0..3 {
            site.store.write("keyed.op", &format!("pad-{number}"), None);
        }
        sleep(PROMISE).await;
        assert_eq!(gateways[0].call("/moved/1", "moved", &[]).await.status, 200);
        assert_eq!(elsewhere.runs().len(), before + 1, "round {round}: the route has moved");
    }
}

/// Guards against servers that count as gone since the copy does not have their entries yet.
#[tokio::test]
async fn not_yet_written_again() {
    let mut site = Site::start(0, 1).await;
    site.store.write("keyed.servers", "p-0", None);
    let copy = site.store.copy();
    site.register("ready");
    let gateways = start_vms(&site, 1).await;
    assert_eq!(calls_to(&site.plain[0], &gateways, "before").await, 10);
    site.store.restore(copy);
    sleep(READ_TIME).await;
    assert_eq!(calls_to(&site.plain[0], &gateways, "not yet").await, 10);
    site.register("ready");
    sleep(READ_TIME).await;
    assert_eq!(calls_to(&site.plain[0], &gateways, "again").await, 10);
}

/// Guards against two VMs that order a server with one fencing number, as a generation is given out again, and against
/// a VM that never orders again since servers have seen a generation that is lost.
#[tokio::test]
async fn generation_given_out_again() {
    let site = Site::start(4, 0).await;
    site.store.assign_evenly();
    let first = site.gateway("vm-1", &[]).await;
    first.wait_ready().await;
    eventually("the first is a member", async || site.store.members() == 1).await;
    let copy = site.store.copy();
    let second = site.gateway("vm-2", &[&first]).await;
    second.wait_ready().await;
    let ordered_by = |holder: &str| {
        let by = |order: &Value| order["holder"] == holder;
        let servers = site.engines.iter();
        servers.filter(|engine| engine.orders().last().is_some_and(by)).cloned().collect()
    };
    let mut number = 0;
    let mut of_second: Vec<StandinServer> = Vec::new();
    let orders = async || {
        number += 1;
        first.request("stream", &format!("r{number}"), &format!("a{}", number % 8)).await;
        of_second = ordered_by("vm-2");
        !of_second.is_empty()
    };
    eventually("the second orders a server", orders).await;
    drop(second);
    site.store.restore(copy);
    let mut count = 0;
    let orders_again = async || {
        count += 1;
        first.request("stream", &format!("again-{count}"), &format!("a{}", count % 8)).await;
        let again: Vec<StandinServer> = ordered_by("vm-1");
        of_second.iter().all(|server| again.iter().any(|other| other.name == server.name))
    };
    eventually("the first orders it again", orders_again).await;
    for engine in &site.engines {
        assert_eq!(engine.violations(), Vec::<String>::new());
    }
}
