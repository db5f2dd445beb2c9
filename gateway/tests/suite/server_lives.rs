//! Servers that restart under the same name, and entries that describe no server.

use serde_json::json;

use crate::site::{Site, eventually};

/// An engine that has carried out orders crashes and restarts at once under its name and address, without
/// adapters, while its old entry is still in the store. A request for an adapter that it held must be answered: the
/// first send is refused, the engine's report shows the new incarnation, and the adapter is loaded again. The count
/// of orders must start at zero, since the engine would refuse the old count forever.
#[tokio::test]
async fn born_again() {
    let mut site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    for number in 0..3 {
        assert_eq!(gateway.request("stream", &format!("r{number}"), "a1").await.status, 200);
    }
    assert_eq!(gateway.request("stream", "r3", "a2").await.status, 200);
    let engine = site.engines[0].clone();
    assert_eq!(engine.orders().len(), 2);
    engine.restart();
    let served = async || gateway.request("stream", "again", "a1").await.status == 200;
    eventually("the restarted engine serves", served).await;
    assert_eq!(engine.orders()[0]["precondition"], 0);
    // The new entry counts heartbeats from 1 again.
    site.register_restarted(&engine, "engines");
    assert_eq!(gateway.request("stream", "r4", "a1").await.status, 200);
    let other = async || gateway.request("stream", "r5", "a2").await.status == 200;
    eventually("it takes orders", other).await;
    assert_eq!(engine.violations(), [""; 0]);
}

/// The only engine announces that it drains, crashes and restarts under its name. It must serve again.
#[tokio::test]
async fn back_after_leaving() {
    let mut site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r1", "a1").await.status, 200);
    let engine = site.engines[0].clone();
    site.drain(&engine, "engines");
    let refused = async || gateway.request("stream", "r2", "a1").await.status == 503;
    eventually("nothing is sent to it", refused).await;
    engine.restart();
    site.register_restarted(&engine, "engines");
    let served = async || gateway.request("stream", "r3", "a1").await.status == 200;
    eventually("the restarted engine serves", served).await;
}

/// The servers' topic holds entries with missing fields or fields of another type, with unknown states and services,
/// and text that is no entry. None of them may be sent a request or an order, and valid servers must still serve.
#[tokio::test]
async fn foreign_entries() {
    let mut site = Site::start(1, 1).await;
    let entry = site.engines[0].entry("engines", 7, "ready");
    let closed = json!("127.0.0.1:9");
    for (number, field) in
        ["service", "address", "zone", "slots", "state", "seq"].iter().enumerate()
    {
        let mut malformed = entry.clone();
        malformed["address"] = closed.clone();
        malformed.as_object_mut().unwrap().remove(*field);
        site.store.write("keyed.servers", &format!("x-{number}"), Some(&malformed));
        malformed[*field] = json!([1, { "a": null }]);
        site.store.write("keyed.servers", &format!("y-{number}"), Some(&malformed));
    }
    for (key, field, value) in
        [("z-1", "state", "resting"), ("z-2", "service", "nobody"), ("z-3", "address", "nowhere")]
    {
        let mut malformed = entry.clone();
        malformed["address"] = closed.clone();
        malformed[field] = json!(value);
        site.store.write("keyed.servers", key, Some(&malformed));
    }
    site.store.write("keyed.servers", "z-4", Some(&json!("no entry")));
    // The engine's own entry is overwritten, and its next heartbeat restores it.
    site.store.write("keyed.servers", "e-0", Some(&json!({ "state": 3 })));
    site.register("ready");
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    for number in 0..6 {
        let adapter = if number % 2 == 0 { "a1" } else { "a2" };
        let answer = gateway.request("stream", &format!("r{number}"), adapter).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(gateway.call("/safe/1", &format!("p{number}"), &[]).await.status, 200);
    }
}
