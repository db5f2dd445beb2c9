//! Mutual TLS rejects unknown peers and messages under another VM's name.

use std::sync::Arc;

use coltsfoothook_keys::testing::{TestCa, TestDirectory};
use coltsfoothook_keys::{KeyFiles, TlsKeys};
use coltsfoothook_peer::{FaultReason, PeerError, PeerPool, PeerServer, PeerSettings, PeerTarget};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fake::{CALL_TIMEOUT, FakeVm, release_call, reserve_call, start, wait_until};

fn server(files: &KeyFiles, vm: Arc<FakeVm>) -> PeerServer {
    let keys = TlsKeys::load(files.clone()).expect("keys");
    let tls = keys.mutual_server().expect("a configuration");
    PeerServer::start(PeerSettings::default(), vm, Some(tls)).expect("a server")
}

fn pool(files: &KeyFiles) -> PeerPool {
    let keys = TlsKeys::load(files.clone()).expect("keys");
    let tls = keys.mutual_client().expect("a configuration");
    let settings = PeerSettings { backoff_ms: 1, backoff_most_ms: 1, ..Default::default() };
    PeerPool::new(settings, Some(tls)).expect("a pool")
}

fn target(server: &PeerServer, vm: &str) -> PeerTarget {
    PeerTarget { vm: vm.into(), address: server.address() }
}

/// A sender with the key of VM `a` cannot release a grant of VM `c`. Otherwise the owner would
/// evict the slot under `c`'s running request.
#[tokio::test]
async fn release_for_another() {
    let directory = TestDirectory::new("release_for_another");
    let authority = TestCa::new();
    let vm = FakeVm::new("b", 1);
    let server = server(&authority.write(directory.path(), "b"), vm.clone());
    let pool = pool(&authority.write(directory.path(), "a"));
    let target = target(&server, "b");
    let mixed = vec![release_call("a", 1), release_call("c", 2)];
    let error = pool.release(&target, mixed, CALL_TIMEOUT).await.expect_err("forged");
    let PeerError::Refused { fault, .. } = error else { panic!("not refused") };
    assert_eq!(fault.reason, FaultReason::ForgedName);
    assert!(vm.released.lock().expect("lock").is_empty(), "no part of the message is applied");
    for name in ["A", "*", "", "a b"] {
        assert!(pool.reserve(&target, reserve_call(name, 1), CALL_TIMEOUT).await.is_err());
    }
    assert_eq!(server.counters().forged_names(), 5);
    pool.release(&target, vec![release_call("a", 1)], CALL_TIMEOUT).await.expect("its own name");
    assert!(pool.reserve(&target, reserve_call("a", 1), CALL_TIMEOUT).await.is_ok());
}

/// DNS names are case-insensitive. If VM `a` could also connect as `A`, one certificate would match
/// two VM names, and grants held under one name would be missing under the other.
#[tokio::test]
async fn uppercase_name() {
    let directory = TestDirectory::new("uppercase_name");
    let authority = TestCa::new();
    let server = server(&authority.write(directory.path(), "b"), FakeVm::new("b", 1));
    let pool = pool(&authority.write(directory.path(), "a"));
    let target = target(&server, "b");
    assert!(pool.reserve(&target, reserve_call("A", 1), CALL_TIMEOUT).await.is_err());
    assert_eq!(server.counters().forged_names(), 1);
    assert!(pool.reserve(&target, reserve_call("a", 1), CALL_TIMEOUT).await.is_ok());
}

/// A call to an address that now belongs to another VM fails without being sent.
#[tokio::test]
async fn another_vm_at_address() {
    let directory = TestDirectory::new("another_vm_at_address");
    let authority = TestCa::new();
    let server = server(&authority.write(directory.path(), "b"), FakeVm::new("b", 1));
    let pool = pool(&authority.write(directory.path(), "a"));
    let error = pool.status(&target(&server, "c"), CALL_TIMEOUT).await.expect_err("not c");
    assert!(matches!(error, PeerError::NotSent { .. }), "{error}");
    assert_eq!(pool.counters().failed_handshakes(), 1);
}

/// Without TLS, a reply with the name of another VM than the target is rejected.
#[tokio::test]
async fn reply_from_another_vm() {
    let (server, pool, _) = start(FakeVm::new("b", 1), crate::fake::plain_settings());
    let error = pool.status(&target(&server, "c"), CALL_TIMEOUT).await.expect_err("not c");
    assert!(error.may_have_run(), "{error}");
    assert_eq!(pool.counters().forged_names(), 1);
}

/// A certificate of an unknown CA, a plaintext connection and a connection that sends nothing all
/// count as failed handshakes.
#[tokio::test]
async fn unknown_peers() {
    let directory = TestDirectory::new("unknown_peers");
    let ours = TestCa::new().write(directory.path(), "b");
    let server = server(&ours, FakeVm::new("b", 1));
    let theirs = TestCa::new().write(directory.path(), "a");
    let forged = KeyFiles { authority: ours.authority.clone(), ..theirs };
    assert!(pool(&forged).status(&target(&server, "b"), CALL_TIMEOUT).await.is_err());
    wait_until(|| server.counters().failed_handshakes() == 1).await;
    let mut plain = TcpStream::connect(server.address()).await.expect("connect");
    plain.write_all(b"\0\0\0\x01x").await.expect("write");
    let _ = plain.read_to_end(&mut Vec::new()).await;
    wait_until(|| server.counters().failed_handshakes() == 2).await;
    let mut idle = TcpStream::connect(server.address()).await.expect("connect");
    let _ = idle.read_to_end(&mut Vec::new()).await;
    wait_until(|| server.counters().failed_handshakes() == 3).await;
}

/// Replacing a running server's certificate and CA keeps open connections, and the existing TLS
/// configuration accepts new connections with certificates of the new CA.
#[tokio::test]
async fn replaced_while_running() {
    let directory = TestDirectory::new("replaced_while_running");
    let (old, new) = (TestCa::new(), TestCa::new());
    let files = old.write(directory.path(), "b");
    let keys = TlsKeys::load(files.clone()).expect("keys");
    let tls = keys.mutual_server().expect("a configuration");
    let server = PeerServer::start(PeerSettings::default(), FakeVm::new("b", 1), Some(tls));
    let server = server.expect("a server");
    let before = pool(&old.write(directory.path(), "a"));
    assert!(before.status(&target(&server, "b"), CALL_TIMEOUT).await.is_ok());
    let _ = new.write(directory.path(), "b");
    assert!(keys.reload().expect("read"));
    assert!(
        before.status(&target(&server, "b"), CALL_TIMEOUT).await.is_ok(),
        "the connection stays open"
    );
    let after = pool(&new.write(directory.path(), "a"));
    assert!(after.status(&target(&server, "b"), CALL_TIMEOUT).await.is_ok());
}
