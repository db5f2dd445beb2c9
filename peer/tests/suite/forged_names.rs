//! Under mutual TLS a VM speaks in its own name alone, and strangers do not get in.

use std::sync::Arc;

use coltsfoothook_keys::testing::{TestAuthority, TestDirectory};
use coltsfoothook_keys::{KeyFiles, TlsKeys};
use coltsfoothook_peer::{FaultReason, PeerError, PeerPool, PeerServer, PeerSettings, PeerTarget};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fake::{FakeVm, LONG, release_call, reserve_call, start, until};

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

/// VM `a`, whose key was stolen, releases a grant of VM `c`. If it were believed, the owner would
/// evict the slot under `c`'s running request.
#[tokio::test]
async fn release_for_another() {
    let directory = TestDirectory::new("release_for_another");
    let authority = TestAuthority::new();
    let vm = FakeVm::new("b", 1);
    let server = server(&authority.write(directory.path(), "b"), vm.clone());
    let pool = pool(&authority.write(directory.path(), "a"));
    let target = target(&server, "b");
    let mixed = vec![release_call("a", 1), release_call("c", 2)];
    let error = pool.release(&target, mixed, LONG).await.expect_err("forged");
    let PeerError::Refused { fault, .. } = error else { panic!("not refused") };
    assert_eq!(fault.reason, FaultReason::ForgedName);
    assert!(vm.released.lock().expect("lock").is_empty(), "nothing of the message is done");
    for name in ["A", "*", "", "a b"] {
        assert!(pool.reserve(&target, reserve_call(name, 1), LONG).await.is_err());
    }
    assert_eq!(server.counters().forged_names(), 5);
    pool.release(&target, vec![release_call("a", 1)], LONG).await.expect("its own name");
    assert!(pool.reserve(&target, reserve_call("a", 1), LONG).await.is_ok());
}

/// DNS names match whatever the case. If VM `a` could begin as `A`, two VMs would stand for one
/// certificate, and grants held under one name would be missing under the other.
#[tokio::test]
async fn capital_first() {
    let directory = TestDirectory::new("capital_first");
    let authority = TestAuthority::new();
    let server = server(&authority.write(directory.path(), "b"), FakeVm::new("b", 1));
    let pool = pool(&authority.write(directory.path(), "a"));
    let target = target(&server, "b");
    assert!(pool.reserve(&target, reserve_call("A", 1), LONG).await.is_err());
    assert_eq!(server.counters().forged_names(), 1);
    assert!(pool.reserve(&target, reserve_call("a", 1), LONG).await.is_ok());
}

/// A VM was replaced, and another one has its address now. The call must not reach the wrong one.
#[tokio::test]
async fn another_vm_at_address() {
    let directory = TestDirectory::new("another_vm_at_address");
    let authority = TestAuthority::new();
    let server = server(&authority.write(directory.path(), "b"), FakeVm::new("b", 1));
    let pool = pool(&authority.write(directory.path(), "a"));
    let error = pool.status(&target(&server, "c"), LONG).await.expect_err("not c");
    assert!(matches!(error, PeerError::NotSent { .. }), "{error}");
    assert_eq!(pool.counters().failed_handshakes(), 1);
}

/// The same without TLS: the answer carries another name and is not believed.
#[tokio::test]
async fn answer_of_another() {
    let (server, pool, _) = start(FakeVm::new("b", 1), crate::fake::plain());
    let error = pool.status(&target(&server, "c"), LONG).await.expect_err("not c");
    assert!(error.may_have_run(), "{error}");
    assert_eq!(pool.counters().forged_names(), 1);
}

/// Strangers: a certificate of another authority, plain text, and silence.
#[tokio::test]
async fn strangers() {
    let directory = TestDirectory::new("strangers");
    let ours = TestAuthority::new().write(directory.path(), "b");
    let server = server(&ours, FakeVm::new("b", 1));
    let theirs = TestAuthority::new().write(directory.path(), "a");
    let forged = KeyFiles { authority: ours.authority.clone(), ..theirs };
    assert!(pool(&forged).status(&target(&server, "b"), LONG).await.is_err());
    until(|| server.counters().failed_handshakes() == 1).await;
    let mut plain = TcpStream::connect(server.address()).await.expect("connect");
    plain.write_all(b"\0\0\0\x01x").await.expect("write");
    let _ = plain.read_to_end(&mut Vec::new()).await;
    until(|| server.counters().failed_handshakes() == 2).await;
    let mut silent = TcpStream::connect(server.address()).await.expect("connect");
    let _ = silent.read_to_end(&mut Vec::new()).await;
    until(|| server.counters().failed_handshakes() == 3).await;
}

/// The VM's certificate is replaced while it runs: calls go on, and a VM with a fresh certificate
/// that connects later is let in by the configuration made at the start.
#[tokio::test]
async fn replaced_while_running() {
    let directory = TestDirectory::new("replaced_while_running");
    let (old, new) = (TestAuthority::new(), TestAuthority::new());
    let files = old.write(directory.path(), "b");
    let keys = TlsKeys::load(files.clone()).expect("keys");
    let tls = keys.mutual_server().expect("a configuration");
    let server = PeerServer::start(PeerSettings::default(), FakeVm::new("b", 1), Some(tls));
    let server = server.expect("a server");
    let before = pool(&old.write(directory.path(), "a"));
    assert!(before.status(&target(&server, "b"), LONG).await.is_ok());
    let _ = new.write(directory.path(), "b");
    assert!(keys.reload().expect("read"));
    assert!(before.status(&target(&server, "b"), LONG).await.is_ok(), "its connection goes on");
    let after = pool(&new.write(directory.path(), "a"));
    assert!(after.status(&target(&server, "b"), LONG).await.is_ok());
}
