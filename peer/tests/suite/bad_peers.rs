//! Invalid or excess connections do not disturb calls on other connections.

use coltsfoothook_peer::PeerSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fake::{CALL_TIMEOUT, FakeVm, plain_settings, reserve_call, start, wait_until};

/// A connection with another protocol, an oversized frame or a truncated frame is closed and
/// counted, and a call in flight on another connection still completes.
#[tokio::test]
async fn invalid_frames() {
    let vm = FakeVm::new("b", 0);
    let (server, pool, target) = start(vm.clone(), plain_settings());
    let call = {
        let target = target.clone();
        tokio::spawn(async move { pool.reserve(&target, reserve_call("a", 3), CALL_TIMEOUT).await })
    };
    wait_until(|| vm.reserving.load(std::sync::atomic::Ordering::SeqCst) == 1).await;
    let oversized = [&u32::MAX.to_be_bytes()[..], b"x"].concat();
    let not_a_header = [&4u32.to_be_bytes()[..], b"\xc1\xc1\xc1\xc1"].concat();
    let truncated = [&100u32.to_be_bytes()[..], b"\x84"].concat();
    let empty = 0u32.to_be_bytes().to_vec();
    let cases = [b"GET / HTTP/1.1\r\n\r\n".to_vec(), oversized, not_a_header, truncated, empty];
    for (at, bytes) in cases.iter().enumerate() {
        let mut stream = TcpStream::connect(server.address()).await.expect("connect");
        stream.write_all(bytes).await.expect("write");
        stream.shutdown().await.expect("shut down");
        let _ = stream.read_to_end(&mut Vec::new()).await;
        let expected = u64::try_from(at + 1).expect("a small number");
        wait_until(|| server.counters().broken_frames() == expected).await;
    }
    vm.gate.add_permits(1);
    assert!(call.await.expect("a task").is_ok());
}

/// Connections above the limit are refused and counted, and accepted again when others close.
#[tokio::test]
async fn connection_limit() {
    let settings =
        PeerSettings { connections: 2, backoff_ms: 1, backoff_most_ms: 1, ..plain_settings() };
    let (server, pool, target) = start(FakeVm::new("b", 0), settings);
    let mut idle_streams = Vec::new();
    for _ in 0..2 {
        idle_streams.push(TcpStream::connect(server.address()).await.expect("connect"));
    }
    assert!(pool.status(&target, CALL_TIMEOUT).await.is_err());
    wait_until(|| server.counters().refused_connections() == 1).await;
    drop(idle_streams);
    while pool.status(&target, CALL_TIMEOUT).await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
}
