//! The owner drops the handlers of calls whose requester cancels or disconnects.

use std::sync::atomic::Ordering;

use crate::fake::{CALL_TIMEOUT, FakeVm, plain_settings, reserve_call, start, wait_until};

/// When the requester drops its call, the owner's handler is dropped. Otherwise the request could
/// be granted a slot that is neither used nor released.
#[tokio::test]
async fn requester_drops_call() {
    let vm = FakeVm::new("b", 0);
    let (_server, pool, target) = start(vm.clone(), plain_settings());
    let call = tokio::spawn(async move {
        let _ = pool.reserve(&target, reserve_call("a", 1), CALL_TIMEOUT).await;
    });
    wait_until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
    call.abort();
    wait_until(|| vm.dropped.load(Ordering::SeqCst) == 1).await;
}

/// When the requester's connection ends without cancellation of its calls, the owner drops their
/// handlers at once instead of at their deadlines.
#[tokio::test]
async fn requester_disconnects() {
    let vm = FakeVm::new("b", 0);
    let (_server, pool, target) = start(vm.clone(), plain_settings());
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.expect("a runtime for the requester");
    runtime.spawn(async move {
        let calls =
            (0..3).map(|number| pool.reserve(&target, reserve_call("a", number), CALL_TIMEOUT));
        futures::future::join_all(calls).await;
    });
    wait_until(|| vm.reserving.load(Ordering::SeqCst) == 3).await;
    runtime.shutdown_background();
    wait_until(|| vm.dropped.load(Ordering::SeqCst) == 3).await;
}
