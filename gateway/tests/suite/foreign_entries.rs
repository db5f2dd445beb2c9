//! Entries of other writers that are well formed and name no server of any service.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::site::{Site, eventually};

/// How long the entries have to do harm; orders and reports are sent several times in it.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Guards against connections to what an entry of an unknown service names, or one that cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn no_server() {
    let site = Site::start(1, 1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut entry = site.engines[0].entry("nobody", 7, "ready");
    entry["address"] = json!(listener.local_addr().unwrap());
    let connected = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connected);
    tokio::spawn(async move {
        while listener.accept().await.is_ok() {
            counted.fetch_add(1, Ordering::Relaxed);
        }
    });
    site.store.write("keyed.servers", "x-1", Some(&entry));
    for (key, field, value) in [
        ("x-2", "service", json!(7)),
        ("x-3", "state", json!("resting")),
        ("x\n4", "zone", json!("d1")),
    ] {
        entry["service"] = json!("engines");
        entry[field] = value;
        site.store.write("keyed.servers", key, Some(&entry));
        entry["state"] = json!("ready");
    }
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let served = async || gateway.request("stream", "r1", "a1").await.status == 200;
    eventually("the engine serves", served).await;
    sleep(WATCH_TIME).await;
    assert_eq!(connected.load(Ordering::Relaxed), 0);
}

/// Guards against entries that take a server out of its service, or end it, under its own name: of a service that does
/// not exist, ready or leaving, of the same start or a later one.
#[tokio::test(flavor = "multi_thread")]
async fn under_name_of_another() {
    let mut site = Site::start(1, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r0", "a1").await.status, 200);
    for (number, (state, later)) in
        [("ready", 0), ("draining", 0), ("ready", 9_000), ("draining", 9_000)]
            .into_iter()
            .enumerate()
    {
        for server in [&site.engines[0], &site.plain[0]] {
            let mut entry = server.entry("nobody", 1_000, state);
            entry["born"] = json!(entry["born"].as_u64().unwrap() + later);
            site.store.write("keyed.servers", &server.name, Some(&entry));
        }
        sleep(Duration::from_millis(700)).await;
        let id = format!("r-{number}");
        let plain = gateway.call("/once/x", &id, &[]).await;
        assert_eq!(plain.status, 200, "{state} {later}: {plain:?}");
        let stream = gateway.request("stream", &id, "a1").await;
        assert_eq!(stream.status, 200, "{state} {later}: {stream:?}");
        site.register("ready");
        sleep(Duration::from_millis(400)).await;
    }
    assert_eq!(site.engines[0].orders().len(), 1, "the adapter was not loaded again");
}
