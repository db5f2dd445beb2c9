//! Servers that start again under their name, and entries that name no server.

use serde_json::json;

use crate::site::{Site, eventually};

/// An engine that has taken some orders crashes and is back at once under its name and address, empty. Its
/// old entry still stands. A caller asks for an adapter that it held: the first send is refused, the
/// report tells of the new life, the adapter is loaded anew, and the caller is answered. Orders to the new
/// life begin with the count of none; the count of the old one would be refused for ever.
#[tokio::test]
async fn born_again() {
    let mut site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    for number in 0..3 {
        assert_eq!(gateway.ask("stream", &format!("r{number}"), "a1").await.status, 200);
    }
    assert_eq!(gateway.ask("stream", "r3", "a2").await.status, 200);
    let engine = site.engines[0].clone();
    assert_eq!(engine.orders().len(), 2);
    engine.restart();
    let served = async || gateway.ask("stream", "again", "a1").await.status == 200;
    eventually("the new life serves", served).await;
    assert_eq!(engine.orders()[0]["precondition"], 0);
    // Its entry counts heartbeats from the start.
    site.register_anew(&engine, "engines");
    assert_eq!(gateway.ask("stream", "r4", "a1").await.status, 200);
    let other = async || gateway.ask("stream", "r5", "a2").await.status == 200;
    eventually("it takes orders", other).await;
    assert_eq!(engine.faults(), [""; 0]);
}

/// The only engine announced that it leaves, crashed, and is back under its name. It serves again.
#[tokio::test]
async fn back_after_leaving() {
    let mut site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.ask("stream", "r1", "a1").await.status, 200);
    let engine = site.engines[0].clone();
    site.drain(&engine, "engines");
    let refused = async || gateway.ask("stream", "r2", "a1").await.status == 503;
    eventually("nothing is sent to it", refused).await;
    engine.restart();
    site.register_anew(&engine, "engines");
    let served = async || gateway.ask("stream", "r3", "a1").await.status == 200;
    eventually("the new life serves", served).await;
}

/// Other programs write to the servers' topic: fields missing or of another type, states and services
/// that nobody knows, text that is no entry. None is sent a request or an order, and the servers beside
/// them serve as before.
#[tokio::test]
async fn foreign_entries() {
    let mut site = Site::start(1, 1).await;
    let entry = site.engines[0].entry("engines", 7, "ready");
    let closed = json!("127.0.0.1:9");
    for (number, field) in
        ["service", "address", "zone", "slots", "state", "seq"].iter().enumerate()
    {
        let mut odd = entry.clone();
        odd["address"] = closed.clone();
        odd.as_object_mut().unwrap().remove(*field);
        site.store.write("keyed.servers", &format!("x-{number}"), Some(&odd));
        odd[*field] = json!([1, { "a": null }]);
        site.store.write("keyed.servers", &format!("y-{number}"), Some(&odd));
    }
    for (key, field, value) in
        [("z-1", "state", "resting"), ("z-2", "service", "nobody"), ("z-3", "address", "nowhere")]
    {
        let mut odd = entry.clone();
        odd["address"] = closed.clone();
        odd[field] = json!(value);
        site.store.write("keyed.servers", key, Some(&odd));
    }
    site.store.write("keyed.servers", "z-4", Some(&json!("no entry")));
    // The engine's own entry is written over, and its next heartbeat puts it right.
    site.store.write("keyed.servers", "e-0", Some(&json!({ "state": 3 })));
    site.register("ready");
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    for number in 0..6 {
        let adapter = if number % 2 == 0 { "a1" } else { "a2" };
        let answer = gateway.ask("stream", &format!("r{number}"), adapter).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(gateway.call("/safe/1", &format!("p{number}"), &[]).await.status, 200);
    }
}
