//! Changes of servers' entries that those who read them for others do not tell of.
//!
//! Three VMs look at the entries for all, and the others look themselves while they hear nothing of the three. The
//! three also find changes that they do not tell of: in a snapshot of all entries, where the history was dropped,
//! and after an outage, when each VM judges for itself which entries come back. The others hear that the three
//! read on, and would send requests to a server that is gone until their next look, eight seconds later.

use std::time::Duration;

use tokio::time::sleep;

use crate::site::{RunningGateway, Site, eventually};

/// How long a server that is gone may get new work.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// VMs of which some are told of entries alone.
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

/// Expects that no VM sends requests to the server that is gone.
async fn expect_unused(site: &Site, gateways: &[RunningGateway]) {
    let before = site.plain[0].runs().len();
    for (number, gateway) in gateways.iter().enumerate() {
        for call in 0..10 {
            let id = format!("r{number}-{call}");
            assert_eq!(gateway.call("/safe/1", &id, &[]).await.status, 200);
        }
        let sent = site.plain[0].runs().len() - before;
        assert_eq!(sent, 0, "VM {} sends to a server that is gone", number + 1);
    }
}

/// A server's entry is removed, and the history of entries is dropped before anybody has read of it.
#[tokio::test]
async fn gone_in_a_gap() {
    let (site, gateways) = site_of_five(2).await;
    sleep(Duration::from_millis(1_500)).await;
    site.store.write("keyed.servers", "p-0", None);
    site.store.compact();
    sleep(DRAIN_TIME).await;
    expect_unused(&site, &gateways).await;
}

/// A server's entry lapses while the store is away and does not come back after it. It counts as gone two
/// seconds after the store's return, and a look later at each VM.
#[tokio::test]
async fn gone_in_an_outage() {
    let (site, gateways) = site_of_five(2).await;
    sleep(Duration::from_millis(1_500)).await;
    site.store.set_down(true);
    site.store.write("keyed.servers", "p-0", None);
    sleep(Duration::from_millis(2_500)).await;
    site.store.set_down(false);
    sleep(Duration::from_secs(2) + DRAIN_TIME).await;
    expect_unused(&site, &gateways).await;
}

/// The only server's entry lapses while the store is away and is written again a second after its return. That it
/// is back is no change that the three tell of; callers are served by it all the while.
#[tokio::test]
async fn back_after_an_outage() {
    let (mut site, gateways) = site_of_five(1).await;
    sleep(Duration::from_millis(1_500)).await;
    site.store.set_down(true);
    sleep(Duration::from_millis(2_500)).await;
    site.store.set_down(false);
    // The store notes with its return which entries lapsed.
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
