//! Callers that disconnect: their requests are ended at the servers.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::server::{NEVER_LOADED, ServerMode};
use crate::site::{Site, call, eventually};

/// A caller closes its connection in the middle of a stream. The gateway must close the connection to the server,
/// which would otherwise continue to generate.
#[tokio::test]
async fn amid_stream() {
    let site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r0", "a1").await.status, 200);
    site.engines[0].set_mode(ServerMode::Slow);
    let headers = [("coltsfoothook-model", "base/a1"), ("coltsfoothook-token-count", "9,9")];
    let stream = call(gateway.listen.requests, "/stream/x", "r1", &headers);
    assert!(timeout(Duration::from_millis(500), stream).await.is_err(), "the stream takes seconds");
    eventually("the server's connection is closed", async || site.engines[0].disconnects() == 1)
        .await;
}

/// A caller disconnects while its request waits for an adapter whose load never completes. The request must not be
/// sent to a server afterwards.
#[tokio::test]
async fn amid_wait() {
    let site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r0", "a1").await.status, 200);
    let model = format!("base/{NEVER_LOADED}");
    let headers = [("coltsfoothook-model", model.as_str()), ("coltsfoothook-token-count", "9,9")];
    let cold = call(gateway.listen.requests, "/stream/x", "r1", &headers);
    assert!(timeout(Duration::from_millis(60), cold).await.is_err(), "the load never completes");
    sleep(Duration::from_millis(1_000)).await;
    assert!(site.engines[0].runs().iter().all(|run| run.id != "r1"));
}
