//! A call that brings no answer says whether it may have been carried out.

use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfoothook_peer::{FaultReason, PeerError, PeerPool, PeerServer, PeerSettings, PeerTarget};
use tokio::net::TcpListener;

use crate::fake::{FakeVm, LONG, mark, plain, reserve_call, start, until};

/// Nobody listens. The call was surely not carried out, and neither is the next one, which does not
/// even try to connect; once the VM is there and the pause is over, calls go through.
#[tokio::test]
async fn dead_vm() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let settings = PeerSettings { backoff_ms: 300, ..plain() };
    let pool = PeerPool::new(settings.clone(), None).expect("a pool");
    let target = PeerTarget { vm: "b".into(), address };
    let first = pool.status(&target, LONG).await.expect_err("nobody there");
    assert!(matches!(first, PeerError::NotSent { .. }) && !first.may_have_run());
    let server =
        PeerServer::start(PeerSettings { listen: address, ..settings }, FakeVm::new("b", 0), None);
    let _server = server.expect("a server");
    let second = pool.status(&target, LONG).await.expect_err("the pause");
    assert!(second.to_string().contains("a moment ago"), "{second}");
    while pool.status(&target, LONG).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The other VM dies while it has the call. It may have carried it out; saying "not sent" would let
/// a request that must not be repeated run twice.
#[tokio::test]
async fn died_with_call() {
    let vm = FakeVm::new("b", 0);
    let settings = PeerSettings { close_ms: 1, ..plain() };
    let (server, pool, target) = start(vm.clone(), settings);
    let calling = tokio::spawn(async move {
        let error = pool.reserve(&target, reserve_call("a", 1), LONG).await;
        (pool, target, error.expect_err("the VM died"))
    });
    until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
    let address = server.address();
    server.close().await;
    let (pool, target, error) = calling.await.expect("a task");
    assert!(matches!(error, PeerError::Unknown { .. }) && error.may_have_run());

    let settings = PeerSettings { listen: address, ..plain() };
    let _server = PeerServer::start(settings, FakeVm::new("b", 0), None).expect("a server");
    assert!(pool.status(&target, LONG).await.is_ok(), "the pool connects again by itself");
}

/// A server that is dropped without closing stands for a VM that dies: its connections end.
#[tokio::test]
async fn dropped_server() {
    let vm = FakeVm::new("b", 0);
    let (server, pool, target) = start(vm.clone(), plain());
    assert!(pool.status(&target, LONG).await.is_ok());
    let (reserved, ()) = tokio::join!(pool.reserve(&target, reserve_call("a", 1), LONG), async {
        until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
        drop(server);
    });
    assert!(reserved.expect_err("the VM died").may_have_run());
    until(|| vm.dropped.load(Ordering::SeqCst) == 1).await;
    let error = pool.status(&target, LONG).await.expect_err("nobody there");
    assert!(!error.may_have_run());
}

/// The answer does not come by the deadline.
#[tokio::test]
async fn deadline() {
    let vm = FakeVm::new("b", 0);
    let (_server, pool, target) = start(vm.clone(), plain());
    let limit = Duration::from_millis(50);
    let error = pool.reserve(&target, reserve_call("a", 1), limit).await.expect_err("no answer");
    assert!(error.may_have_run());
    until(|| vm.dropped.load(Ordering::SeqCst) == 1).await;
}

/// Closing lets a running call end and its answer go out.
#[tokio::test]
async fn close_answers() {
    let vm = FakeVm::new("b", 0);
    let (server, pool, target) = start(vm.clone(), plain());
    let calling =
        tokio::spawn(async move { pool.reserve(&target, reserve_call("a", 5), LONG).await });
    until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
    let closing = tokio::spawn(server.close());
    tokio::time::sleep(Duration::from_millis(20)).await;
    vm.gate.add_permits(1);
    let reply = calling.await.expect("a task").expect("an answer");
    assert_eq!(mark(&reply), 5);
    closing.await.expect("closed");
}

/// More calls at once than the bounds: the pool sends no more than its own, and a VM with a lower
/// bound refuses what is beyond it without beginning it.
#[tokio::test]
async fn too_many_calls() {
    let vm = FakeVm::new("b", 0);
    let server = PeerServer::start(PeerSettings { calls: 1, ..plain() }, vm.clone(), None);
    let server = server.expect("a server");
    let pool = PeerPool::new(PeerSettings { calls: 2, ..plain() }, None).expect("a pool");
    let target = PeerTarget { vm: "b".into(), address: server.address() };
    let (first, others) = tokio::join!(pool.reserve(&target, reserve_call("a", 1), LONG), async {
        until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
        let busy = pool.status(&target, LONG).await;
        let (one, two) = tokio::join!(pool.status(&target, LONG), pool.status(&target, LONG));
        vm.gate.add_permits(1);
        (busy, one, two)
    });
    assert!(first.is_ok());
    let (busy, one, two) = others;
    let PeerError::Refused { fault, .. } = busy.expect_err("busy") else { panic!("not refused") };
    assert_eq!(fault.reason, FaultReason::Busy);
    let errors = [one.expect_err("busy"), two.expect_err("full")];
    assert!(errors.iter().any(|error| matches!(error, PeerError::NotSent { .. })));
    assert!(errors.iter().all(|error| !error.may_have_run()));
}
