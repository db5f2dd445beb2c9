use std::time::Duration;

use coltsfoothook_demo::CompletionAsk;
use tokio::time::timeout;

use crate::bench::{ask, client, close, owner, small_site, until_done, wait_until};

/// Callers go away in the middle of their streams, at a VM that owns the engines and at one that
/// does not. The engines stop the runs, the grants come back, and the slots can be evicted again.
#[tokio::test(flavor = "multi_thread")]
async fn grants_come_back() {
    let site = small_site(true).await;
    let own = owner(&site);
    for vm in [own, (own + 1) % 3] {
        let caller = client(&site, vm);
        until_done(&caller, &ask(0, "before")).await;
        let long = CompletionAsk { max_tokens: 4_000, ..ask(0, "long") };
        let gone = timeout(Duration::from_millis(300), caller.complete(&long)).await;
        assert!(gone.is_err(), "the stream was to outlast its caller");
    }
    wait_until("both cancellations", || {
        let cancelled: u64 = site.engines.iter().map(|engine| engine.counters().cancelled).sum();
        cancelled >= 2
    })
    .await;
    wait_until("no request in flight", || site.running().all(|vm| vm.in_flight() == 0)).await;
    for adapter in [2, 4, 6, 0] {
        until_done(&client(&site, 0), &ask(adapter, "after")).await;
    }
    close(site).await;
}
