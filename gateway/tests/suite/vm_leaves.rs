//! A VM ends: no request is cut, and callers are sent elsewhere.

use std::time::Duration;

use tokio::time::sleep;

use crate::server::ServerMood;
use crate::site::{Site, call, eventually};

/// SIGTERM comes while a stream runs. It goes on to its end, the VM is not ready at once, and the
/// process ends after the stream.
#[tokio::test]
async fn running_stream() {
    let site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.ask("stream", "r0", "a1").await.status, 200);
    site.engines[0].set_mood(ServerMood::Slow);
    let (requests, ready) = (gateway.listen.requests, gateway.listen.ready);
    let stream = tokio::spawn(async move {
        let headers = [("coltsfoothook-model", "base/a1"), ("coltsfoothook-token-count", "9,9")];
        call(requests, "/stream/x", "r1", &headers).await
    });
    let runs = async || site.engines[0].runs().iter().any(|run| run.id == "r1");
    eventually("the stream runs", runs).await;
    sleep(Duration::from_millis(1_500)).await;
    let stopping = tokio::spawn(gateway.process.stop());
    sleep(Duration::from_millis(200)).await;
    let answer = call(ready, "/v1/ready", "x", &[]).await;
    assert!(answer.is_none_or(|answer| answer.status == 503));
    let answer = stream.await.unwrap().expect("the stream is answered");
    assert!(answer.whole, "{answer:?}");
    stopping.await.unwrap();
}

/// A VM that leaves tells the others, which send callers elsewhere at once.
#[tokio::test]
async fn told_others() {
    let site = Site::start(0, 1).await;
    let first = site.gateway("vm-1", &[]).await;
    let second = site.gateway("vm-2", &[&first]).await;
    eventually("both are told of", async || first.addresses().await.len() == 2).await;
    let own = first.listen.requests;
    let stopping = tokio::spawn(second.process.stop());
    eventually("one is told of", async || first.addresses().await == [own]).await;
    stopping.await.unwrap();
}
