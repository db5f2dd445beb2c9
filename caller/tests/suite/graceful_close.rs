//! Closing the face cuts no answer.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::client::{parse, request};
use crate::fake::{FakeHandler, Script, reaches, start};

/// The VM is told to stop while a caller reads a stream. Closing must wait for the stream's end; a
/// server that only waits for handlers would return when the status line is out and cut the rest. The
/// pause is longer than the time that closing leaves to connections without a request.
#[tokio::test]
async fn waits_for_stream() {
    let (parts, script) = mpsc::unbounded_channel();
    let handler = FakeHandler::answering(Script::Stream(script));
    let server = start(handler.clone());
    let address = server.address();
    let text =
        request("POST", "/v1/completions", "", r#"{"model":"a@1","prompt":"x","stream":true}"#);
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(text.as_bytes()).await.expect("write");
    parts.send(Ok(Bytes::from_static(b"data: 1\n\n"))).expect("send");
    reaches(&handler.begun, 1).await;
    let mut closing = tokio::spawn(server.close());
    let early = tokio::time::timeout(Duration::from_millis(600), &mut closing).await;
    assert!(early.is_err(), "closing waits");
    parts.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).expect("send");
    drop(parts);
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("read");
    let answer = parse(&bytes);
    assert!(answer.whole);
    assert_eq!(answer.text(), "data: 1\n\ndata: [DONE]\n\n");
    closing.await.expect("closed");
    assert!(TcpStream::connect(address).await.is_err(), "the port is free");
}

/// An idle connection that a caller keeps open does not hold the process back.
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

/// A connection on which nothing was ever sent does not hold the process back either.
#[tokio::test]
async fn silent_connection_closes() {
    let server = start(FakeHandler::answering(Script::Whole("{}")));
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    while server.connections() == 0 {
        tokio::task::yield_now().await;
    }
    tokio::time::timeout(Duration::from_secs(10), server.close()).await.expect("closed");
    assert_eq!(stream.read(&mut [0; 8]).await.expect("read"), 0);
}

/// A process that dies closes nothing in order. Dropping the face stands for that in tests and in
/// the demonstration, so it must cut streams and free the port at once.
#[tokio::test]
async fn drop_cuts() {
    let (parts, script) = mpsc::unbounded_channel();
    let handler = FakeHandler::answering(Script::Stream(script));
    let server = start(handler.clone());
    let address = server.address();
    let body = r#"{"model":"a@1","prompt":"x","stream":true}"#;
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let text = request("POST", "/v1/completions", "", body);
    stream.write_all(text.as_bytes()).await.expect("write");
    parts.send(Ok(Bytes::from_static(b"data: 1\n\n"))).expect("send");
    let mut buffer = [0; 1_024];
    assert!(stream.read(&mut buffer).await.expect("read") > 0);
    drop(server);
    reaches(&handler.dropped, 1).await;
    let mut rest = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut rest)).await;
    assert!(!rest.ends_with(b"0\r\n\r\n"), "a cut stream has no regular end");
    assert!(TcpStream::connect(address).await.is_err());
}
