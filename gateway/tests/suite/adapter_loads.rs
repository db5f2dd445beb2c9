//! Loads of adapters for waiting requests, and the fencing of the orders.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::site::{Site, eventually};

/// Several requests need a cold adapter. It must be ordered once for all of them, and each gets its own answer.
#[tokio::test]
async fn cold_adapter() {
    let site = Site::start(2, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let requests = (0..8).map(|number| {
        let gateway = &gateway;
        async move { gateway.request("stream", &format!("r{number}"), "a1").await }
    });
    let answers = futures::future::join_all(requests).await;
    for (number, answer) in answers.iter().enumerate() {
        assert!(answer.whole && answer.body.contains(&format!("data: r{number} 1")), "{answer:?}");
    }
    let orders: usize = site.engines.iter().map(|engine| engine.orders().len()).sum();
    assert_eq!(orders, 1);
}

/// Five adapters are requested in rotation from two servers with two slots each. Adapters must be evicted, and no
/// server may be ordered to hold more than it has slots for.
#[tokio::test]
async fn make_way() {
    let site = Site::start(2, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    for number in 0..10 {
        let adapter = format!("a{}", number % 5);
        let mut answer = gateway.request("stream", &format!("r{number}"), &adapter).await;
        if answer.status == 503 {
            answer = gateway.request("stream", &format!("again-{number}"), &adapter).await;
        }
        assert_eq!(answer.status, 200, "{adapter}: {answer:?}");
        sleep(Duration::from_millis(350)).await;
    }
    for engine in &site.engines {
        let mut held: Vec<String> = Vec::new();
        for order in engine.orders() {
            let adapter = order["adapter"].as_str().unwrap().to_owned();
            held.retain(|other| *other != adapter);
            if order["operation"] == "load" {
                held.push(adapter);
            }
            assert!(held.len() <= 2, "{} held {held:?}", engine.name);
        }
    }
}

/// Operators name a new version. Requests run on it once it is loaded, on the previous one no longer than the
/// operators allow, and the server receives the version that a request expects.
#[tokio::test]
async fn new_version() {
    let site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r0", "a1").await.status, 200);
    let version = json!({ "model": "base", "adapter": "a1", "version": 2 });
    site.store.write("keyed.op", "version/base.a1", Some(&version));
    let loaded = async || {
        gateway.request("stream", "again", "a1").await;
        site.engines[0].orders().iter().any(|order| order["version"] == 2)
    };
    eventually("the new version is ordered", loaded).await;
    let on_new = async || {
        gateway.request("stream", "new", "a1").await;
        let runs = site.engines[0].runs();
        runs.last().and_then(|run| run.header("coltsfoothook-expect-version")) == Some("2")
    };
    eventually("requests run on the new version", on_new).await;
    for number in 0..5 {
        gateway.request("stream", &format!("after-{number}"), "a1").await;
    }
    let runs = site.engines[0].runs();
    let after = runs.iter().filter(|run| run.id.starts_with("after"));
    assert!(after.clone().count() > 0);
    for run in after {
        assert_eq!(run.header("coltsfoothook-expect-version"), Some("2"));
    }
}

/// Operators name versions in a burst, the next before the former is loaded anywhere. A request must run at once on the
/// version that servers hold, as long as each later one allows that by the time at which it was named, and on the newest
/// once it has to. None may run on an older version than an earlier request did.
#[tokio::test]
async fn versions_in_a_burst() {
    let site = Site::start(1, 0).await;
    let name = |number: u64| {
        let version = json!({ "model": "base", "adapter": "a1", "version": number });
        site.store.write("keyed.op", "version/base.a1", Some(&version));
    };
    name(1);
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r0", "a1").await.status, 200);
    for number in 2..=4 {
        name(number);
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_millis(200)).await;
    let named_at = std::time::Instant::now();
    assert_eq!(gateway.request("stream", "first", "a1").await.status, 200);
    while named_at.elapsed() < Duration::from_secs(3) {
        gateway.request("stream", "next", "a1").await;
        sleep(Duration::from_millis(100)).await;
    }
    let runs = site.engines[0].runs();
    let version = |run: &crate::server::RunRecord| -> u64 {
        run.header("coltsfoothook-expect-version").unwrap().parse().unwrap()
    };
    let versions: Vec<u64> = runs.iter().map(version).collect();
    assert_eq!(
        versions[..2],
        [1, 1],
        "the first request waits for a version that it need not have"
    );
    assert!(versions.is_sorted() && versions.last() == Some(&4), "{versions:?}");
}

/// One of two VMs holds all partitions. Requests for cold adapters at the other one must be served too, and every
/// order carries the name of the holder.
#[tokio::test]
async fn other_vm_orders() {
    let site = Site::start(2, 0).await;
    let first = site.gateway("vm-1", &[]).await;
    first.wait_ready().await;
    sleep(Duration::from_millis(600)).await;
    let second = site.gateway("vm-2", &[&first]).await;
    second.wait_ready().await;
    let served = async || second.request("stream", "r", "a7").await.status == 200;
    eventually("the second VM serves a cold adapter", served).await;
    let orders = site.engines.iter().flat_map(|engine| engine.orders());
    for order in orders {
        assert_eq!(order["holder"], "vm-1");
    }
}

/// The store is unavailable for longer than the lease of a partition. Adapters that servers hold are still served,
/// and cold ones are still loaded while other VMs confirm the outage.
#[tokio::test]
async fn store_away() {
    let site = Site::start(1, 0).await;
    let first = site.gateway("vm-1", &[]).await;
    first.wait_ready().await;
    assert_eq!(first.request("stream", "r0", "a1").await.status, 200);
    sleep(Duration::from_millis(600)).await;
    let second = site.gateway("vm-2", &[&first]).await;
    second.wait_ready().await;
    sleep(Duration::from_millis(600)).await;
    site.store.set_down(true);
    sleep(Duration::from_secs(4)).await;
    assert_eq!(first.request("stream", "r1", "a1").await.status, 200);
    let cold = async || first.request("stream", "r2", "a2").await.status == 200;
    eventually("a cold adapter is served without the store", cold).await;
}

/// The system starts for the first time, and the configuration is published just before the first requests. VMs must
/// assign the partitions before that: a partition that moved later would have no holder for the pause between two
/// holders, and cold adapters would not be loaded in the first seconds.
#[tokio::test]
async fn joins_unconfigured() {
    let site = Site::start_unconfigured(1, 0).await;
    let first = site.gateway("vm-1", &[]).await;
    let _second = site.gateway("vm-2", &[&first]).await;
    eventually("both are members", async || site.store.members() == 2).await;
    site.configure(1, "plain");
    first.wait_ready().await;
    assert_eq!(first.request("stream", "r1", "a1").await.status, 200);
}

/// All VMs lost power and the partitions were assigned anew, so no VM may order a server for some seconds. A request
/// for an adapter that no server holds must be refused at once, with a `Retry-After` when the adapter can be loaded.
/// A shorter one would only make the caller be refused again.
#[tokio::test]
async fn nobody_orders() {
    let site = Site::start(1, 0).await;
    let gateway = site.start_gateway("vm-1", &[], false).await;
    gateway.wait_ready().await;
    eventually("the VM has its partitions", async || {
        let answer = gateway.request("stream", "r1", "a1").await;
        let later: Option<f64> = answer.retry_after.and_then(|seconds| seconds.parse().ok());
        answer.status == 503 && later.is_some_and(|seconds| seconds > 1.5)
    })
    .await;
    let refused_at = std::time::Instant::now();
    assert_eq!(gateway.request("stream", "r2", "a1").await.status, 503);
    assert!(refused_at.elapsed() < Duration::from_millis(300), "refused at once");
    eventually("it is loaded", async || gateway.request("stream", "r3", "a1").await.status == 200)
        .await;
}
