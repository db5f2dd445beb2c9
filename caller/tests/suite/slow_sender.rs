//! Senders that take their time.

use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfoothook_caller::{CallerServer, CallerSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::client::{call, parse, request};
use crate::fake::{FakeHandler, Script, start};

/// The sender writes a byte of its body now and then, which keeps an idle timeout from firing. The
/// bound covers the whole body, so the connection and its memory are given back.
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
    assert_eq!(handler.begun.load(Ordering::SeqCst), 0);
}

/// A head that never ends, and more connections than the bound: the former is cut off, the latter
/// are refused and counted, and a caller that comes when there is room again is served.
#[tokio::test]
async fn slow_head_and_crowd() {
    let settings = CallerSettings { connections: 2, head_timeout_ms: 100, ..Default::default() };
    let handler = FakeHandler::answering(Script::Hang);
    let server = CallerServer::start(settings, handler, None).expect("the face starts");
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

/// A caller keeps a connection and does not use it. It is closed after the time for a head, so that
/// callers which went away without a word do not use up the connections.
#[tokio::test]
async fn unused_connection_ends() {
    let settings = CallerSettings { head_timeout_ms: 100, ..Default::default() };
    let handler = FakeHandler::answering(Script::Hang);
    let server = CallerServer::start(settings, handler, None).expect("the face starts");
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    stream.write_all(b"GET /health HTTP/1.1\r\nhost: vm\r\n\r\n").await.expect("write");
    let mut bytes = Vec::new();
    let ended = tokio::time::timeout(Duration::from_secs(8), stream.read_to_end(&mut bytes));
    let _ = ended.await.expect("the connection ends");
    assert_eq!(parse(&bytes).status, 200);
}
