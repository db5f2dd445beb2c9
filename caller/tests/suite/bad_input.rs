//! Invalid requests are answered with a problem document with the outcome "not run", and are not
//! passed to the handler.

use std::sync::atomic::Ordering;

use coltsfoothook_caller::{CallerServer, CallerSettings, CompletionKind, parse_completion};
use proptest::prelude::*;

use crate::client::{RawAnswer, call, request, send};
use crate::fake::{FakeHandler, Script, start};

fn assert_refused(answer: &RawAnswer, status: u16, reason: &str) {
    let problem = answer.json();
    assert_eq!((answer.status, problem["reason"].as_str()), (status, Some(reason)), "{problem}");
    assert_eq!(answer.header("content-type"), Some("application/problem+json"));
    assert_eq!(problem["outcome"], "not_run");
    assert_eq!(problem["status"], status);
    assert_eq!(problem["type"], format!("urn:coltsfoothook:problem:{reason}"));
    assert_eq!(problem["request_id"].as_str(), answer.header("coltsfoothook-request-id"));
}

#[tokio::test]
async fn bodies() {
    let handler = FakeHandler::answering(Script::Hang);
    let server = start(handler.clone());
    let deep = format!(r#"{{"model":"a","prompt":{}{}}}"#, "[".repeat(60), "]".repeat(60));
    let bodies = [
        "",
        "{",
        "[]",
        "{\"model\":\"a\",\"prompt\":\"\u{1}\"}",
        r#"{"prompt":"x"}"#,
        r#"{"model":3,"prompt":"x"}"#,
        r#"{"model":"","prompt":"x"}"#,
        r#"{"model":"a@","prompt":"x"}"#,
        r#"{"model":"a@1@2","prompt":"x"}"#,
        r#"{"model":"a@1#7.2","prompt":"x"}"#,
        r#"{"model":"a"}"#,
        r#"{"model":"a","prompt":7}"#,
        r#"{"model":"a","prompt":"x","stream":"yes"}"#,
        r#"{"model":"a","prompt":"x","max_tokens":0}"#,
        r#"{"model":"a","prompt":"x","max_tokens":-4}"#,
        r#"{"model":"a","prompt":"x","max_tokens":99999999999}"#,
        r#"{"model":"a","prompt":"x","max_tokens":1.5}"#,
        deep.as_str(),
    ];
    for body in bodies {
        let answer = call(server.address(), "POST", "/v1/completions", body).await;
        assert_refused(&answer, 400, "malformed_request");
    }
    for messages in ["[]", "{}", "[1]", r#"[{"content":"x"}]"#, r#"[{"role":"user","content":5}]"#]
    {
        let body = format!(r#"{{"model":"a","messages":{messages}}}"#);
        let answer = call(server.address(), "POST", "/v1/chat/completions", &body).await;
        assert_refused(&answer, 400, "malformed_request");
    }
    assert_eq!(handler.started.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn headers() {
    let handler = FakeHandler::answering(Script::Hang);
    let server = start(handler.clone());
    let long = "k".repeat(200);
    let huge = "k".repeat(300);
    let cases = [
        ("coltsfoothook-class: at-once", 400, "malformed_request"),
        ("coltsfoothook-deadline-ms: -1", 400, "malformed_request"),
        ("coltsfoothook-deadline-ms: 0", 400, "malformed_request"),
        ("coltsfoothook-deadline-ms: 99999999999999999999", 400, "malformed_request"),
        ("coltsfoothook-repeatable: perhaps", 400, "malformed_request"),
        ("coltsfoothook-first-try: perhaps", 400, "malformed_request"),
        ("idempotency-key: a b", 400, "malformed_request"),
        ("idempotency-key: a\r\nidempotency-key: b", 400, "malformed_request"),
        (&format!("idempotency-key: {long}"), 400, "malformed_request"),
        (&format!("idempotency-key: {huge}"), 431, "header_too_large"),
        ("x-request-id: no/slash", 400, "malformed_request"),
    ];
    for (header, status, reason) in cases {
        let body = r#"{"model":"a","prompt":"x"}"#;
        let text = request("POST", "/v1/completions", &format!("{header}\r\n"), body);
        assert_refused(&send(server.address(), &text).await, status, reason);
    }
    assert_eq!(handler.started.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn paths() {
    let server = start(FakeHandler::answering(Script::Hang));
    let at = server.address();
    let long = format!("/v1/services/s/{}", "p".repeat(3_000));
    for (method, path, status, reason) in [
        ("GET", "/", 404, "unknown_path"),
        ("GET", "/v2/entries", 404, "unknown_path"),
        ("GET", "/v1/completions", 405, "method_not_allowed"),
        ("PUT", "/v1/jobs/a", 405, "method_not_allowed"),
        ("GET", "/v1/jobs/a%20b", 400, "malformed_request"),
        ("GET", "/v1/services//x", 400, "malformed_request"),
        ("GET", "/v1/models?limit=0", 400, "malformed_request"),
        ("GET", long.as_str(), 431, "header_too_large"),
    ] {
        assert_refused(&call(at, method, path, "").await, status, reason);
    }
}

#[tokio::test]
async fn credentials() {
    let server = start(FakeHandler::answering(Script::Hang));
    let good = request("GET", "/v1/entries", "", "");
    for bearer in ["Bearer bad", "Basic good", "good", "Bearer", "Bearer good,Bearer good"] {
        let text = good.replace("Bearer good", bearer);
        let answer = send(server.address(), &text).await;
        assert_refused(&answer, 401, "unauthenticated");
        assert_eq!(answer.header("www-authenticate"), Some("Bearer"));
        assert!(!answer.text().contains("bad"), "a credential must not appear in the response");
    }
    let missing = good.replace("authorization: Bearer good\r\n", "");
    assert_refused(&send(server.address(), &missing).await, 401, "unauthenticated");
    let health = send(server.address(), &missing.replace("/v1/entries", "/health")).await;
    assert_eq!((health.status, health.json()["ready"].as_bool()), (200, Some(true)));
}

/// Guards against unbounded memory use by an oversized body, sent with or without `Content-Length`.
#[tokio::test]
async fn body_too_large() {
    let server = start(FakeHandler::answering(Script::Hang));
    let large = "x".repeat(10_000);
    let answer = call(server.address(), "POST", "/v1/completions", &large).await;
    assert_refused(&answer, 413, "body_too_large");
    let chunked = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\
         authorization: Bearer good\r\ntransfer-encoding: chunked\r\n\r\n2710\r\n{large}\r\n0\r\n\r\n"
    );
    assert_refused(&send(server.address(), &chunked).await, 413, "body_too_large");
}

/// Guards against closing the connection while the caller still writes an oversized body. The
/// caller would see a connection reset instead of the response and not know that nothing ran.
#[tokio::test]
async fn large_body_gets_response() {
    let handler = FakeHandler::answering(Script::Hang);
    let server =
        CallerServer::start(CallerSettings::default(), handler, None).expect("the server starts");
    let large = "x".repeat(12 * 1024 * 1024);
    let answer = call(server.address(), "POST", "/v1/completions", &large).await;
    assert_refused(&answer, 413, "body_too_large");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// The parser returns, without a panic, for any bytes.
    #[test]
    fn parser_never_panics(body in prop::collection::vec(any::<u8>(), 0..300)) {
        let settings = CallerSettings { prefix_bytes: 5, ..Default::default() };
        let _ = parse_completion(CompletionKind::Chat, &body, &settings);
        let _ = parse_completion(CompletionKind::Completions, &body, &settings);
    }

    /// The parser returns, without a panic, for almost valid bodies with multi-byte characters.
    #[test]
    fn near_bodies_never_panic(model in "\\PC{0,12}", prompt in "\\PC{0,40}", tail in "\\PC{0,8}") {
        let settings = CallerSettings { prefix_bytes: 5, ..Default::default() };
        let fields = serde_json::json!({"model": model, "prompt": prompt, "messages":
            [{"role": prompt, "content": model}], "max_tokens": tail.len()});
        let body = format!("{fields}{tail}");
        let _ = parse_completion(CompletionKind::Chat, body.as_bytes(), &settings);
        let _ = parse_completion(CompletionKind::Completions, body.as_bytes(), &settings);
    }
}
