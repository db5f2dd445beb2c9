//! Whatever connects to the port, the VM goes on serving others.

use coltsfoothook_peer::PeerSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fake::{FakeVm, LONG, plain, reserve_call, start, until};

/// A program that is no VM writes bytes of its own protocol, a frame beyond the bound, or part of a
/// frame. Its connection is closed and counted; a VM's call in flight is not disturbed.
#[tokio::test]
async fn garbage_frames() {
    let vm = FakeVm::new("b", 0);
    let (server, pool, target) = start(vm.clone(), plain());
    let waiting = {
        let target = target.clone();
        tokio::spawn(async move { pool.reserve(&target, reserve_call("a", 3), LONG).await })
    };
    until(|| vm.reserving.load(std::sync::atomic::Ordering::SeqCst) == 1).await;
    let oversized = [&u32::MAX.to_be_bytes()[..], b"x"].concat();
    let nonsense = [&4u32.to_be_bytes()[..], b"\xc1\xc1\xc1\xc1"].concat();
    let cut = [&100u32.to_be_bytes()[..], b"\x84"].concat();
    let empty = 0u32.to_be_bytes().to_vec();
    let cases = [b"GET / HTTP/1.1\r\n\r\n".to_vec(), oversized, nonsense, cut, empty];
    for (at, bytes) in cases.iter().enumerate() {
        let mut stream = TcpStream::connect(server.address()).await.expect("connect");
        stream.write_all(bytes).await.expect("write");
        stream.shutdown().await.expect("shut down");
        let _ = stream.read_to_end(&mut Vec::new()).await;
        let counted = u64::try_from(at + 1).expect("a small number");
        until(|| server.counters().broken_frames() == counted).await;
    }
    vm.gate.add_permits(1);
    assert!(waiting.await.expect("a task").is_ok());
}

/// Strangers take all connections. Those beyond the bound are refused and counted, and there is room
/// again when they go.
#[tokio::test]
async fn crowd() {
    let settings = PeerSettings { connections: 2, backoff_ms: 1, backoff_most_ms: 1, ..plain() };
    let (server, pool, target) = start(FakeVm::new("b", 0), settings);
    let mut strangers = Vec::new();
    for _ in 0..2 {
        strangers.push(TcpStream::connect(server.address()).await.expect("connect"));
    }
    assert!(pool.status(&target, LONG).await.is_err());
    until(|| server.counters().refused_connections() == 1).await;
    drop(strangers);
    while pool.status(&target, LONG).await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
}
