//! Requests are cancelled when their caller disconnects.

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::client::request;
use crate::fake::{FakeHandler, Script, start, wait_for_count};

const BODY: &str = r#"{"model":"a@1","prompt":"x","stream":true}"#;

/// Guards against requests that stay queued after their caller has disconnected: the handler's
/// future is dropped.
#[tokio::test]
async fn disconnect_while_waiting() {
    let handler = FakeHandler::answering(Script::Hang);
    let server = start(handler.clone());
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    let text = request("POST", "/v1/completions", "", BODY);
    stream.write_all(text.as_bytes()).await.expect("write");
    wait_for_count(&handler.started, 1).await;
    drop(stream);
    wait_for_count(&handler.dropped, 1).await;
}

/// Guards against an engine that keeps generating after the caller has disconnected during a
/// stream: the handler's stream is dropped, even if there is no further chunk whose write would
/// fail.
#[tokio::test]
async fn disconnect_during_stream() {
    let (chunks, script) = mpsc::unbounded_channel();
    let handler = FakeHandler::answering(Script::Stream(script));
    let server = start(handler.clone());
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    let text = request("POST", "/v1/completions", "", BODY);
    stream.write_all(text.as_bytes()).await.expect("write");
    chunks.send(Ok(Bytes::from_static(b"data: {}\n\n"))).expect("send");
    let mut buffer = [0; 1_024];
    assert!(stream.read(&mut buffer).await.expect("read") > 0);
    drop(stream);
    wait_for_count(&handler.dropped, 1).await;
}
