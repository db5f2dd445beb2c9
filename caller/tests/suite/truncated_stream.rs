//! Callers can distinguish truncated responses from complete ones.

use bytes::Bytes;
use coltsfoothook_caller::{CallProblem, InterfaceReason};
use coltsfoothook_decision::outcome::RequestOutcome;
use expect_test::expect;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::client::{call, parse, request};
use crate::fake::{FakeHandler, Script, start};

const BODY: &str = r#"{"model":"a@1","prompt":"x","stream":true}"#;

fn lost_answer() -> CallProblem {
    let detail = "the engine's connection broke";
    CallProblem::ended(InterfaceReason::AnswerLost, RequestOutcome::Unknown, detail)
}

/// Guards against a caller that takes a truncated stream for a complete one. When the engine fails
/// after status 200 was sent, the stream ends with a problem document as an event, without
/// `[DONE]`.
#[tokio::test]
async fn truncated_stream_ends_with_error() {
    let (chunks, script) = mpsc::unbounded_channel();
    let server = start(FakeHandler::answering(Script::Stream(script)));
    chunks.send(Ok(Bytes::from_static(b"data: {\"t\":1}\n\n"))).expect("send");
    chunks.send(Err(lost_answer())).expect("send");
    chunks.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).expect("send");
    drop(chunks);
    let answer = call(server.address(), "POST", "/v1/completions", BODY).await;
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    expect![[r#"
        data: {"t":1}

        event: error
        data: {"type":"urn:coltsfoothook:problem:answer_lost","title":"Answer lost","status":502,"detail":"the engine's connection broke","outcome":"unknown","reason":"answer_lost","request_id":"r0"}

    "#]]
    .assert_eq(&answer.text());
}

/// A complete stream is forwarded unchanged and ends with its final chunk.
#[tokio::test]
async fn complete_stream() {
    let (chunks, script) = mpsc::unbounded_channel();
    let server = start(FakeHandler::answering(Script::Stream(script)));
    let mut sent = String::new();
    for n in 0..500 {
        let event = format!("data: {{\"t\":{n}}}\n\n");
        sent.push_str(&event);
        chunks.send(Ok(Bytes::from(event))).expect("send");
    }
    drop(chunks);
    let answer = call(server.address(), "POST", "/v1/completions", BODY).await;
    assert!(answer.whole);
    assert_eq!(answer.text(), sent);
}

/// Guards against a truncated response of a plain service that looks complete. Its format has no
/// error event, so the connection is closed without the final chunk.
#[tokio::test]
async fn truncated_service_response() {
    let (chunks, script) = mpsc::unbounded_channel();
    let server = start(FakeHandler::answering(Script::Stream(script)));
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    let text = request("GET", "/v1/services/sensors/now", "", "");
    stream.write_all(text.as_bytes()).await.expect("write");
    chunks.send(Ok(Bytes::from_static(b"half"))).expect("send");
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"half\r\n") {
        assert!(stream.read_buf(&mut bytes).await.expect("read") > 0);
    }
    chunks.send(Err(lost_answer())).expect("send");
    let _ = stream.read_to_end(&mut bytes).await;
    assert!(!parse(&bytes).whole);
}
