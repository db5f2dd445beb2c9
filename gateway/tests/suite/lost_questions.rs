//! Questions that the store holds until there are records, and never answers.
//!
//! What was seen: for fourteen seconds after an outage all VMs of a site served callers by a configuration that
//! operators had replaced, while they called the store for everything else and were answered. How it came about: a
//! VM asked the store to hold its question for operators' records for 20 s, and waited that long for the
//! answer. A silent store takes questions and never answers them, and their connections live on. The loss met
//! all VMs alike, so that none could tell another of newer records. What proved it: a VM's log has the question
//! given up 21 s after it was asked, and all missed configurations in force 20 ms after the next one.

use std::time::Duration;

use tokio::time::sleep;

use crate::server::StandinServer;
use crate::site::{RunningGateway, Site};

/// Within which time operators want an accepted configuration in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// A site of three VMs, and a service that `/moved/` does not go to yet.
async fn site_of_three() -> (Site, StandinServer, Vec<RunningGateway>) {
    let site = Site::start(0, 1).await;
    let elsewhere = StandinServer::start("x-0").await;
    site.store.write("keyed.servers", "x-0", Some(&elsewhere.entry("elsewhere", 1, "ready")));
    let mut gateways: Vec<RunningGateway> = Vec::new();
    for vm in ["vm-1", "vm-2", "vm-3"] {
        let seeds: Vec<&RunningGateway> = gateways.iter().collect();
        gateways.push(site.gateway(vm, &seeds).await);
    }
    for gateway in &gateways {
        gateway.wait_ready().await;
        assert_eq!(gateway.call("/moved/1", "before", &[]).await.status, 200);
    }
    assert_eq!(elsewhere.runs().len(), 0);
    (site, elsewhere, gateways)
}

/// Publishes a configuration that moves the route, and expects it in force at each VM in time.
async fn expect_moved(site: &Site, elsewhere: &StandinServer, gateways: &[RunningGateway]) {
    site.configure(5, "elsewhere");
    sleep(IN_FORCE).await;
    for (number, gateway) in gateways.iter().enumerate() {
        assert_eq!(gateway.call("/moved/1", &format!("after-{number}"), &[]).await.status, 200);
        assert_eq!(elsewhere.runs().len(), number + 1, "VM {} uses the old one", number + 1);
    }
}

/// A caller is served by the old service four seconds after operators moved its route. The store had
/// fallen silent for some seconds and answers all calls again, but not the questions that it held.
#[tokio::test]
async fn after_silence() {
    let (site, elsewhere, gateways) = site_of_three().await;
    site.store.set_silent(true);
    sleep(Duration::from_millis(2_500)).await;
    site.store.set_silent(false);
    expect_moved(&site, &elsewhere, &gateways).await;
}

/// The same without any outage: the store forgets the questions that it holds, and answers every other
/// call all the while. No VM has a newer configuration to tell the others of.
#[tokio::test]
async fn without_outage() {
    let (site, elsewhere, gateways) = site_of_three().await;
    site.store.lose_held();
    expect_moved(&site, &elsewhere, &gateways).await;
}
