//! Changes of servers' entries that the readers do not report.
//!
//! Three readers poll the entries for all; the other VMs poll them only if they receive no reports.
//! Changes in a snapshot, which is read when the history was dropped, and changes after an outage,
//! when each VM determines by itself which entries return, are not reported. VMs that rely on the
//! readers in these cases would send requests to a removed server until their next poll, eight
//! seconds later.

use std::time::Duration;

use tokio::time::sleep;

use crate::site::{RunningGateway, Site, eventually};

/// Time within which a removed server must get no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// With five VMs, two are not readers and rely on reports.
const VMS: [&str; 5] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];

async fn site_of_five(servers: usize) -> (Site, Vec<RunningGateway>) {
    let site = Site::start(0, servers).await;
    let mut gateways: Vec<RunningGateway> = Vec::new();
    for vm in VMS {
        let seeds: Vec<&RunningGateway> = gateways.iter().collect();
        gateways.push(site.gateway(vm, &seeds).await);
    }
    for gateway in &gateways {
        let all = async || gateway.addresses().await.len() == VMS.len();
        eventually("all VMs know each other", all).await;
    }
    (site, gateways)
}

/// Checks that no VM sends requests to the removed server.
async fn expect_unused(site: &Site, gateways: &[RunningGateway]) {
    let before = site.plain[0].runs().len();
    for (number, gateway) in gateways.iter().enumerate() {
        for call in 0..10 {
            let id = format!("r{number}-{call}");
            assert_eq!(gateway.call("/safe/1", &id, &[]).await.status, 200);
        }
        let sent = site.plain[0].runs().len() - before;
        assert_eq!(sent, 0, "VM {} sends to a removed server", number + 1);
    }
}

/// A server's entry is removed, and the history of entries is dropped before any VM has read of it.
#[tokio::test]
async fn gone_in_a_gap() {
    let (site, gateways) = site_of_five(2).await;
    sleep(Duration::from_millis(1_500)).await;
    site.store.write("keyed.servers", "p-0", None);
    site.store.compact();
    sleep(DRAIN_LIMIT).await;
    expect_unused(&site, &gateways).await;
}

/// A server's entry lapses while the store is down and is not written again. The server counts as
/// removed two seconds after the store's return, and each VM then has one more poll to notice it.
#[tokio::test]
async fn gone_in_an_outage() {
    let (site, gateways) = site_of_five(2).await;
    sleep(Duration::from_millis(1_500)).await;
    site.store.set_down(true);
    site.store.write("keyed.servers", "p-0", None);
    sleep(Duration::from_millis(2_500)).await;
    site.store.set_down(false);
    sleep(Duration::from_secs(2) + DRAIN_LIMIT).await;
    expect_unused(&site, &gateways).await;
}

/// The only server's entry lapses while the store is down and is written again a second after its
/// return. The readers report neither; requests must be served by the server throughout.
#[tokio::test]
async fn back_after_an_outage() {
    let (mut site, gateways) = site_of_five(1).await;
    sleep(Duration::from_millis(1_500)).await;
    site.store.set_down(true);
    sleep(Duration::from_millis(2_500)).await;
    site.store.set_down(false);
    // On its return the store records which entries lapsed.
    site.store.write("keyed.servers", "p-0", None);
    sleep(Duration::from_secs(1)).await;
    site.register("ready");
    for round in 0..20 {
        for (number, gateway) in gateways.iter().enumerate() {
            let answer = gateway.call("/safe/1", &format!("r{number}-{round}"), &[]).await;
            assert_eq!(answer.status, 200, "VM {} dropped the server", number + 1);
        }
        sleep(Duration::from_millis(200)).await;
    }
}
