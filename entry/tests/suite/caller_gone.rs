use std::time::Duration;

use coltsfoothook_demo::CompletionRequest;
use tokio::time::timeout;

use crate::bench::{client, close, completion, owner, small_site, until_done, wait_until};

/// Callers disconnect during their streams, at the VM that owns the engines and at another one.
/// The engines cancel the runs, the grants are released and the slots can be evicted.
#[tokio::test(flavor = "multi_thread")]
async fn grants_come_back() {
    let site = small_site(true).await;
    let own = owner(&site);
    for vm in [own, (own + 1) % 3] {
        let caller = client(&site, vm);
        until_done(&caller, &completion(0, "before")).await;
        let long = CompletionRequest { max_tokens: 4_000, ..completion(0, "long") };
        let disconnected = timeout(Duration::from_millis(300), caller.complete(&long)).await;
        assert!(disconnected.is_err(), "the stream ended before its caller disconnected");
    }
    wait_until("both cancellations", || {
        let cancelled: u64 = site.engines.iter().map(|engine| engine.counters().cancelled).sum();
        cancelled >= 2
    })
    .await;
    wait_until("no request in flight", || site.running().all(|vm| vm.in_flight() == 0)).await;
    for adapter in [2, 4, 6, 0] {
        until_done(&client(&site, 0), &completion(adapter, "after")).await;
    }
    close(site).await;
}
