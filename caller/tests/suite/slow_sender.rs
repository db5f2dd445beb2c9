//! Senders that take their time.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::client::{parse, request};
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
