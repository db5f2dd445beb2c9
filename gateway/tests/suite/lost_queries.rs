//! Held queries for records that the store never answers.
//!
//! A VM asks the store to hold its query for operators' records until there are some. A store that
//! becomes unresponsive accepts such queries and never answers them, while their connections stay
//! open and other calls are answered again. The loss affects all VMs alike, so that none can report
//! newer records to another. With a query held for 20 s, all VMs of a site served callers by a
//! replaced configuration for 14 s after an outage.

use std::time::Duration;

use tokio::time::sleep;

use crate::server::StandinServer;
use crate::site::{RunningGateway, Site};

/// Time within which an accepted configuration must be in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);

/// Returns a site of three VMs, and the server of a service that `/moved/` does not go to yet.
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

/// Publishes a configuration that moves the route, and checks that each VM has it in force in time.
async fn check_moved(site: &Site, elsewhere: &StandinServer, gateways: &[RunningGateway]) {
    site.configure(5, "elsewhere");
    sleep(CONFIG_LIMIT).await;
    for (number, gateway) in gateways.iter().enumerate() {
        assert_eq!(gateway.call("/moved/1", &format!("after-{number}"), &[]).await.status, 200);
        assert_eq!(
            elsewhere.runs().len(),
            number + 1,
            "VM {} uses the old configuration",
            number + 1
        );
    }
}

/// The store is unresponsive for some seconds. It then answers all calls again except the queries
/// that it held, and a configuration that is published next must be in force in time.
#[tokio::test]
async fn after_unresponsive_store() {
    let (site, elsewhere, gateways) = site_of_three().await;
    site.store.set_unresponsive(true);
    sleep(Duration::from_millis(2_500)).await;
    site.store.set_unresponsive(false);
    check_moved(&site, &elsewhere, &gateways).await;
}

/// The store loses the queries that it holds but answers every other call, without an outage. No VM
/// has a newer configuration to report to the others.
#[tokio::test]
async fn without_outage() {
    let (site, elsewhere, gateways) = site_of_three().await;
    site.store.drop_held();
    check_moved(&site, &elsewhere, &gateways).await;
}
