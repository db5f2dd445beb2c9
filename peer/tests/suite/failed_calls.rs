//! The error of a failed call shows whether the call may have been carried out.

use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfoothook_peer::{FaultReason, PeerError, PeerPool, PeerServer, PeerSettings, PeerTarget};
use tokio::net::TcpListener;

use crate::fake::{
    CALL_TIMEOUT, FakeVm, plain_settings, reply_tag, reserve_call, start, wait_until,
};

/// A call to an address without a listener is reported as not sent. During the backoff the next
/// call makes no attempt to connect; after it, calls succeed if a server was started.
#[tokio::test]
async fn no_listener() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let settings = PeerSettings { backoff_ms: 300, ..plain_settings() };
    let pool = PeerPool::new(settings.clone(), None).expect("a pool");
    let target = PeerTarget { vm: "b".into(), address };
    let first = pool.status(&target, CALL_TIMEOUT).await.expect_err("no listener");
    assert!(matches!(first, PeerError::NotSent { .. }) && !first.may_have_run());
    let server =
        PeerServer::start(PeerSettings { listen: address, ..settings }, FakeVm::new("b", 0), None);
    let _server = server.expect("a server");
    let second = pool.status(&target, CALL_TIMEOUT).await.expect_err("backoff");
    assert!(second.to_string().contains("waiting to reconnect"), "{second}");
    while pool.status(&target, CALL_TIMEOUT).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The called VM stops while it handles the call. The error must not be "not sent", which would let
/// a request that must not be repeated run twice.
#[tokio::test]
async fn vm_stops_during_call() {
    let vm = FakeVm::new("b", 0);
    let settings = PeerSettings { close_ms: 1, ..plain_settings() };
    let (server, pool, target) = start(vm.clone(), settings);
    let call = tokio::spawn(async move {
        let error = pool.reserve(&target, reserve_call("a", 1), CALL_TIMEOUT).await;
        (pool, target, error.expect_err("the VM died"))
    });
    wait_until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
    let address = server.address();
    server.close().await;
    let (pool, target, error) = call.await.expect("a task");
    assert!(matches!(error, PeerError::Unknown { .. }) && error.may_have_run());

    let settings = PeerSettings { listen: address, ..plain_settings() };
    let _server = PeerServer::start(settings, FakeVm::new("b", 0), None).expect("a server");
    assert!(pool.status(&target, CALL_TIMEOUT).await.is_ok(), "the pool reconnects");
}

/// Dropping a server without closing it breaks its connections and drops the calls in flight.
#[tokio::test]
async fn dropped_server() {
    let vm = FakeVm::new("b", 0);
    let (server, pool, target) = start(vm.clone(), plain_settings());
    assert!(pool.status(&target, CALL_TIMEOUT).await.is_ok());
    let (reserved, ()) =
        tokio::join!(pool.reserve(&target, reserve_call("a", 1), CALL_TIMEOUT), async {
            wait_until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
            drop(server);
        });
    assert!(reserved.expect_err("the VM died").may_have_run());
    wait_until(|| vm.dropped.load(Ordering::SeqCst) == 1).await;
    let error = pool.status(&target, CALL_TIMEOUT).await.expect_err("no listener");
    assert!(!error.may_have_run());
}

/// After its deadline, a call fails as unconfirmed and the server drops its handler.
#[tokio::test]
async fn deadline() {
    let vm = FakeVm::new("b", 0);
    let (_server, pool, target) = start(vm.clone(), plain_settings());
    let limit = Duration::from_millis(50);
    let error = pool.reserve(&target, reserve_call("a", 1), limit).await.expect_err("no answer");
    assert!(error.may_have_run());
    wait_until(|| vm.dropped.load(Ordering::SeqCst) == 1).await;
}

/// Closing the server lets a running call finish and sends its reply.
#[tokio::test]
async fn close_sends_reply() {
    let vm = FakeVm::new("b", 0);
    let (server, pool, target) = start(vm.clone(), plain_settings());
    let call =
        tokio::spawn(
            async move { pool.reserve(&target, reserve_call("a", 5), CALL_TIMEOUT).await },
        );
    wait_until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
    let closing = tokio::spawn(server.close());
    tokio::time::sleep(Duration::from_millis(20)).await;
    vm.gate.add_permits(1);
    let reply = call.await.expect("a task").expect("an answer");
    assert_eq!(reply_tag(&reply), 5);
    closing.await.expect("closed");
}

/// The pool sends no more concurrent calls than its limit, and a server with a lower limit refuses
/// the excess calls without starting them.
#[tokio::test]
async fn too_many_calls() {
    let vm = FakeVm::new("b", 0);
    let server = PeerServer::start(PeerSettings { calls: 1, ..plain_settings() }, vm.clone(), None);
    let server = server.expect("a server");
    let pool = PeerPool::new(PeerSettings { calls: 2, ..plain_settings() }, None).expect("a pool");
    let target = PeerTarget { vm: "b".into(), address: server.address() };
    let (first, others) =
        tokio::join!(pool.reserve(&target, reserve_call("a", 1), CALL_TIMEOUT), async {
            wait_until(|| vm.reserving.load(Ordering::SeqCst) == 1).await;
            let busy = pool.status(&target, CALL_TIMEOUT).await;
            let (one, two) = tokio::join!(
                pool.status(&target, CALL_TIMEOUT),
                pool.status(&target, CALL_TIMEOUT)
            );
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
