//! Timeouts for slow heads and bodies, and the connection limit.

use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfoothook_caller::{CallerServer, CallerSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::client::{call, parse, request};
use crate::fake::{FakeHandler, Script, start};

/// Guards against a sender that trickles its body and so never triggers an idle timeout: the
/// timeout covers the whole body, and the connection and its memory are released.
#[tokio::test]
async fn trickled_body() {
    let handler = FakeHandler::answering(Script::Hang);
    let server = start(handler.clone());
    let stream = TcpStream::connect(server.address()).await.expect("connect");
    let (mut reader, mut writer) = stream.into_split();
    let text = request("POST", "/v1/completions", "", &"x".repeat(1_000));
    let (head, body) = text.split_at(text.len() - 1_000);
    writer.write_all(head.as_bytes()).await.expect("write");
    let body = body.to_owned();
    let trickle = tokio::spawn(async move {
        for byte in body.bytes() {
            tokio::time::sleep(Duration::from_millis(10)).await;
            if writer.write_all(&[byte]).await.is_err() {
                break;
            }
        }
    });
    let mut bytes = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(8), reader.read_to_end(&mut bytes)).await;
    trickle.abort();
    let answer = parse(&bytes);
    assert_eq!(answer.status, 408);
    let problem = answer.json();
    assert_eq!(
        (problem["reason"].as_str(), problem["outcome"].as_str()),
        (Some("slow_sender"), Some("not_run"))
    );
    assert_eq!(handler.started.load(Ordering::SeqCst), 0);
}

/// Connections with an incomplete head are closed after the timeout. Connections beyond the limit
/// are refused and counted, and new ones are served once others have closed.
#[tokio::test]
async fn slow_head_and_connection_limit() {
    let settings = CallerSettings { connections: 2, head_timeout_ms: 100, ..Default::default() };
    let handler = FakeHandler::answering(Script::Hang);
    let server = CallerServer::start(settings, handler, None).expect("the server starts");
    let mut slow = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(server.address()).await.expect("connect");
        stream.write_all(b"GET /health HT").await.expect("write");
        slow.push(stream);
    }
    for stream in &mut slow {
        let mut bytes = Vec::new();
        let ended = tokio::time::timeout(Duration::from_secs(8), stream.read_to_end(&mut bytes));
        let _ = ended.await.expect("the connection ends");
    }
    assert_eq!(server.refused_connections(), 1);
    while server.connections() > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(call(server.address(), "GET", "/health", "").await.status, 200);
}

/// Guards against idle connections of vanished callers that exhaust the connection limit: they are
/// closed after the timeout for a head.
#[tokio::test]
async fn idle_connection_times_out() {
    let settings = CallerSettings { head_timeout_ms: 100, ..Default::default() };
    let handler = FakeHandler::answering(Script::Hang);
    let server = CallerServer::start(settings, handler, None).expect("the server starts");
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    stream.write_all(b"GET /health HTTP/1.1\r\nhost: vm\r\n\r\n").await.expect("write");
    let mut bytes = Vec::new();
    let ended = tokio::time::timeout(Duration::from_secs(8), stream.read_to_end(&mut bytes));
    let _ = ended.await.expect("the connection ends");
    assert_eq!(parse(&bytes).status, 200);
}
