//! The budget of repeats over all VMs, from what the servers get.

use std::time::Instant;

use futures::future::join_all;

use crate::repeats::most_repeats;
use crate::server::{RequestArrival, ServerMode};
use crate::site::{RunningGateway, Site};

/// How many requests each VM gets at once.
const REQUESTS: usize = 20;

/// Sends requests to all VMs at once and returns when.
async fn send_to_all(gateways: &[RunningGateway], name: &str) -> Vec<Instant> {
    let calls = gateways.iter().enumerate().flat_map(|(at, gateway)| {
        (0..REQUESTS).map(move |call| async move {
            let sent = Instant::now();
            gateway.call("/safe/x", &format!("{name}-{at}-{call}"), &[]).await;
            sent
        })
    });
    join_all(calls).await
}

/// Asserts that the servers of the site got no more repeats than all VMs together may send.
fn assert_within_budget(site: &Site, requests: &[Instant]) {
    let mut arrivals: Vec<RequestArrival> =
        site.plain.iter().flat_map(|server| server.all_arrivals()).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let Some(worst) = most_repeats(requests, &arrivals) else { return };
    let (repeats, allowed) = (worst.repeats, worst.allowed);
    assert!(repeats as f64 <= allowed, "{repeats} repeats in a window, {allowed} are allowed");
}

/// Guards against VMs that cannot hear each other and take the whole slack each.
#[tokio::test(flavor = "multi_thread")]
async fn vms_apart() {
    let site = Site::start(0, 3).await;
    let gateways = join_all((1..=8).map(|number| {
        let vm = format!("vm-{number}");
        let site = &site;
        async move { site.start_apart(&vm).await }
    }))
    .await;
    join_all(gateways.iter().map(RunningGateway::wait_ready)).await;
    site.plain.iter().for_each(|server| server.set_mode(ServerMode::Full));
    let requests = send_to_all(&gateways, "apart").await;
    assert_within_budget(&site, &requests);
}

/// Guards against processes that come after others and take a share of the slack that those have used.
#[tokio::test(flavor = "multi_thread")]
async fn vms_replaced() {
    let site = Site::start(0, 3).await;
    let mut requests = Vec::new();
    for round in 0..4 {
        let gateways = join_all((1..=3).map(|number| {
            let vm = format!("vm-{}", 10 * (round + 1) + number);
            let site = &site;
            async move { site.start_gateway(&vm, &[], false).await }
        }))
        .await;
        join_all(gateways.iter().map(RunningGateway::wait_ready)).await;
        site.plain.iter().for_each(|server| server.set_mode(ServerMode::Full));
        requests.extend(send_to_all(&gateways, &format!("round-{round}")).await);
        join_all(gateways.into_iter().map(|gateway| gateway.process.stop())).await;
    }
    assert_within_budget(&site, &requests);
}
