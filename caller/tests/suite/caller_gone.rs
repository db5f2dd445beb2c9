//! A caller that goes away takes its request with it.

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::client::request;
use crate::fake::{FakeHandler, Script, reaches, start};

const BODY: &str = r#"{"model":"a@1","prompt":"x","stream":true}"#;

/// The caller hangs up while its request waits for a slot. Nobody would read the answer, so the
/// request must leave the queue: its future is dropped.
#[tokio::test]
async fn while_waiting() {
    let handler = FakeHandler::answering(Script::Hang);
    let server = start(handler.clone());
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    let text = request("POST", "/v1/completions", "", BODY);
    stream.write_all(text.as_bytes()).await.expect("write");
    reaches(&handler.begun, 1).await;
    drop(stream);
    reaches(&handler.dropped, 1).await;
}

/// The caller hangs up in the middle of a stream. The engine would go on generating for nobody, so
/// the handler's stream is dropped, even though no further part comes that would fail to be written.
#[tokio::test]
async fn mid_stream() {
    let (parts, script) = mpsc::unbounded_channel();
    let handler = FakeHandler::answering(Script::Stream(script));
    let server = start(handler.clone());
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    let text = request("POST", "/v1/completions", "", BODY);
    stream.write_all(text.as_bytes()).await.expect("write");
    parts.send(Ok(Bytes::from_static(b"data: {}\n\n"))).expect("send");
    let mut buffer = [0; 1_024];
    assert!(stream.read(&mut buffer).await.expect("read") > 0);
    drop(stream);
    reaches(&handler.dropped, 1).await;
}
