//! Shutdown of a VM: no request is cut, and callers are sent to other VMs.

use std::time::Duration;

use tokio::time::sleep;

use crate::server::ServerMode;
use crate::site::{Site, call, eventually};

/// The process is stopped while a stream runs. The VM is no longer ready at once, the stream is completed, and the
/// process ends after it.
#[tokio::test]
async fn running_stream() {
    let site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r0", "a1").await.status, 200);
    site.engines[0].set_mode(ServerMode::Slow);
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

/// A VM that shuts down reports it to the others, which at once no longer give its address to callers.
#[tokio::test]
async fn told_others() {
    let site = Site::start(0, 1).await;
    let first = site.gateway("vm-1", &[]).await;
    let second = site.gateway("vm-2", &[&first]).await;
    eventually("both addresses are given", async || first.addresses().await.len() == 2).await;
    let own = first.listen.requests;
    let stopping = tokio::spawn(second.process.stop());
    eventually("one address is given", async || first.addresses().await == [own]).await;
    stopping.await.unwrap();
}
