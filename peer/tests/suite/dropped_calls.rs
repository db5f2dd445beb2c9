//! A request that nobody waits for any more leaves the owner's queue.

use std::sync::atomic::Ordering;

use crate::fake::{FakeVm, LONG, plain, reserve_call, start, until};

/// The caller hangs up, so the entry VM drops its call to the owner. The owner's handler is dropped
/// too; otherwise the request would be granted a slot that nobody uses and nobody releases.
#[tokio::test]
async fn asker_drops() {
    let vm = FakeVm::new("b", 0);
    let (_server, pool, target) = start(vm.clone(), plain());
    let calling = tokio::spawn(async move {
        let _ = pool.reserve(&target, reserve_call("a", 1), LONG).await;
    });
    until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
    calling.abort();
    until(|| vm.dropped.load(Ordering::SeqCst) == 1).await;
}

/// The asking VM dies or is cut off: its connection ends without a word for each call. All of its
/// requests leave the queue at once instead of waiting for their deadlines.
#[tokio::test]
async fn asker_dies() {
    let vm = FakeVm::new("b", 0);
    let (_server, pool, target) = start(vm.clone(), plain());
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.expect("a runtime of the asking VM");
    runtime.spawn(async move {
        let calls = (0..3).map(|number| pool.reserve(&target, reserve_call("a", number), LONG));
        futures::future::join_all(calls).await;
    });
    until(|| vm.reserving.load(Ordering::SeqCst) == 3).await;
    runtime.shutdown_background();
    until(|| vm.dropped.load(Ordering::SeqCst) == 3).await;
}
