//! Closing the server completes running responses.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::client::{parse, request};
use crate::fake::{FakeHandler, Script, start, wait_for_count};

/// Guards against a close that waits for handlers only and truncates streams that are still being
/// sent. The test waits longer than a closing connection without a request is kept open (250 ms).
#[tokio::test]
async fn waits_for_stream() {
    let (chunks, script) = mpsc::unbounded_channel();
    let handler = FakeHandler::answering(Script::Stream(script));
    let server = start(handler.clone());
    let address = server.address();
    let text =
        request("POST", "/v1/completions", "", r#"{"model":"a@1","prompt":"x","stream":true}"#);
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(text.as_bytes()).await.expect("write");
    chunks.send(Ok(Bytes::from_static(b"data: 1\n\n"))).expect("send");
    wait_for_count(&handler.started, 1).await;
    let mut closing = tokio::spawn(server.close());
    let ended = tokio::time::timeout(Duration::from_millis(600), &mut closing).await;
    assert!(ended.is_err(), "closing waits for the stream");
    chunks.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).expect("send");
    drop(chunks);
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("read");
    let answer = parse(&bytes);
    assert!(answer.whole);
    assert_eq!(answer.text(), "data: 1\n\ndata: [DONE]\n\n");
    closing.await.expect("closed");
    assert!(TcpStream::connect(address).await.is_err(), "the port is free");
}

/// Guards against a close that waits for an idle keep-alive connection.
#[tokio::test]
async fn idle_connection_closes() {
    let server = start(FakeHandler::answering(Script::Whole("{}")));
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    let text = request("GET", "/v1/entries", "", "").replace("connection: close\r\n", "");
    stream.write_all(text.as_bytes()).await.expect("write");
    let mut buffer = [0; 2_048];
    assert!(stream.read(&mut buffer).await.expect("read") > 0);
    tokio::time::timeout(Duration::from_secs(10), server.close()).await.expect("closed");
    assert_eq!(stream.read(&mut buffer).await.expect("read"), 0);
}

/// Guards against a close that waits for a connection on which no request was ever sent.
#[tokio::test]
async fn connection_without_request_closes() {
    let server = start(FakeHandler::answering(Script::Whole("{}")));
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    while server.connections() == 0 {
        tokio::task::yield_now().await;
    }
    tokio::time::timeout(Duration::from_secs(10), server.close()).await.expect("closed");
    assert_eq!(stream.read(&mut [0; 8]).await.expect("read"), 0);
}

/// Tests and the demonstration drop the server to simulate the death of the process, so dropping
/// must abort streams and free the port at once.
#[tokio::test]
async fn drop_aborts_streams() {
    let (chunks, script) = mpsc::unbounded_channel();
    let handler = FakeHandler::answering(Script::Stream(script));
    let server = start(handler.clone());
    let address = server.address();
    let body = r#"{"model":"a@1","prompt":"x","stream":true}"#;
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let text = request("POST", "/v1/completions", "", body);
    stream.write_all(text.as_bytes()).await.expect("write");
    chunks.send(Ok(Bytes::from_static(b"data: 1\n\n"))).expect("send");
    let mut buffer = [0; 1_024];
    assert!(stream.read(&mut buffer).await.expect("read") > 0);
    drop(server);
    wait_for_count(&handler.dropped, 1).await;
    let mut rest = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut rest)).await;
    assert!(!rest.ends_with(b"0\r\n\r\n"), "an aborted stream has no final chunk");
    assert!(TcpStream::connect(address).await.is_err());
}
