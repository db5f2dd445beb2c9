//! Answers that end short can be told from whole ones.

use bytes::Bytes;
use coltsfoothook_caller::{CallProblem, FaceReason};
use coltsfoothook_decision::outcome::RequestOutcome;
use expect_test::expect;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::client::{call, parse, request};
use crate::fake::{FakeHandler, Script, start};

const BODY: &str = r#"{"model":"a@1","prompt":"x","stream":true}"#;

fn lost() -> CallProblem {
    let detail = "the engine's connection broke";
    CallProblem::ended(FaceReason::AnswerLost, RequestOutcome::Unknown, detail)
}

/// The engine breaks off after the status was sent as 200. The caller gets a last event with a
/// problem document and no `[DONE]`, so it cannot take the part for the whole.
#[tokio::test]
async fn event_tells_cut() {
    let (parts, script) = mpsc::unbounded_channel();
    let server = start(FakeHandler::answering(Script::Stream(script)));
    parts.send(Ok(Bytes::from_static(b"data: {\"t\":1}\n\n"))).expect("send");
    parts.send(Err(lost())).expect("send");
    parts.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).expect("send");
    drop(parts);
    let answer = call(server.address(), "POST", "/v1/completions", BODY).await;
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    expect![[r#"
        data: {"t":1}

        event: error
        data: {"type":"urn:coltsfoothook:problem:answer_lost","title":"Answer lost","status":502,"detail":"the engine's connection broke","outcome":"unknown","reason":"answer_lost","request_id":"r0"}

    "#]]
    .assert_eq(&answer.text());
}

/// The whole stream comes as it was, byte for byte, with its end.
#[tokio::test]
async fn whole_stream() {
    let (parts, script) = mpsc::unbounded_channel();
    let server = start(FakeHandler::answering(Script::Stream(script)));
    let mut sent = String::new();
    for n in 0..500 {
        let event = format!("data: {{\"t\":{n}}}\n\n");
        sent.push_str(&event);
        parts.send(Ok(Bytes::from(event))).expect("send");
    }
    drop(parts);
    let answer = call(server.address(), "POST", "/v1/completions", BODY).await;
    assert!(answer.whole);
    assert_eq!(answer.text(), sent);
}

/// A plain service's answer breaks off. There is no event to say so in, so the connection is broken
/// inside the body and the caller's library reports a cut answer.
#[tokio::test]
async fn service_answer_breaks() {
    let (parts, script) = mpsc::unbounded_channel();
    let server = start(FakeHandler::answering(Script::Stream(script)));
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    let text = request("GET", "/v1/services/sensors/now", "", "");
    stream.write_all(text.as_bytes()).await.expect("write");
    parts.send(Ok(Bytes::from_static(b"half"))).expect("send");
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"half\r\n") {
        assert!(stream.read_buf(&mut bytes).await.expect("read") > 0);
    }
    parts.send(Err(lost())).expect("send");
    let _ = stream.read_to_end(&mut bytes).await;
    assert!(!parse(&bytes).whole);
}
