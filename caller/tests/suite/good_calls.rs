//! Valid calls are passed to the handler with all their parameters.

use coltsfoothook_caller::CompletionKind;
use coltsfoothook_decision::outcome::RequestClass;
use expect_test::expect;

use crate::client::{call, request, send};
use crate::fake::{FakeHandler, Script, start};

const CHAT: &str = r#"{"model":"chiller@3","messages":[{"role":"user","content":"alarm 7"}],
    "max_tokens":9,"temperature":0.5,"house_field":{"a":[1]}}"#;

#[tokio::test]
async fn chat_reaches_handler() {
    let handler = FakeHandler::answering(Script::Whole("{\"ok\":true}"));
    let server = start(handler.clone());
    let headers = "coltsfoothook-class: urgent\r\ncoltsfoothook-deadline-ms: 1800\r\n\
        idempotency-key: cf1.a.1.0\r\ncoltsfoothook-repeatable: false\r\nx-request-id: lineman-4\r\n\
        coltsfoothook-first-try: true\r\n";
    let text = request("POST", "/v1/chat/completions", headers, CHAT);
    let answer = send(server.address(), &text).await;
    assert_eq!((answer.status, answer.text().as_str()), (200, "{\"ok\":true}"));
    assert_eq!(answer.header("coltsfoothook-request-id"), Some("r0"));
    let calls = handler.completions.lock().expect("lock");
    let call = &calls[0];
    assert_eq!((call.kind, call.class), (CompletionKind::Chat, RequestClass::Urgent));
    assert_eq!((call.deadline_ms, call.repeatable, call.stream), (Some(1_800), false, false));
    assert!(call.first_try);
    assert_eq!(call.model.adapter.as_str(), "chiller");
    assert_eq!(call.model.version.as_ref().map(|version| version.as_str()), Some("3"));
    assert_eq!(call.key.as_ref().map(|key| key.as_str()), Some("cf1.a.1.0"));
    assert_eq!(call.caller_id.as_deref(), Some("lineman-4"));
    assert_eq!(call.max_tokens, 9);
    assert_eq!(call.body["house_field"]["a"][0], 1, "unknown fields are passed on");
}

#[tokio::test]
async fn defaults_apply() {
    let handler = FakeHandler::answering(Script::Whole("{}"));
    let server = start(handler.clone());
    let body = r#"{"model":"chiller","prompt":"x","stream":true}"#;
    assert_eq!(call(server.address(), "POST", "/v1/completions", body).await.status, 200);
    let calls = handler.completions.lock().expect("lock");
    assert_eq!((calls[0].class, calls[0].deadline_ms), (RequestClass::Scheduled, None));
    assert!(calls[0].repeatable && calls[0].stream && calls[0].model.version.is_none());
    assert!(
        !calls[0].first_try,
        "an earlier attempt may have run unless the caller states otherwise"
    );
}

/// Guards against parts of prompts that are not told apart, or that contain the request's own message.
#[tokio::test]
async fn parts_of_chats() {
    let bodies = [
        r#"{"model":"a@1","messages":[{"role":"system","content":"s"},{"role":"user","content":"1"}]}"#,
        r#"{"model":"b@1","messages":[{"content":"s","role":"system"},{"role":"user","content":"2"}]}"#,
        r#"{"model":"a@1","messages":[{"role":"system","content":"t"},{"role":"user","content":"1"}]}"#,
    ];
    let mut parts = Vec::new();
    for body in bodies {
        let handler = FakeHandler::answering(Script::Whole("{}"));
        let server = start(handler.clone());
        assert_eq!(call(server.address(), "POST", "/v1/chat/completions", body).await.status, 200);
        parts.push(handler.completions.lock().expect("lock")[0].parts.clone());
    }
    assert_eq!(parts[0].len(), 1);
    assert_eq!(parts[0], parts[1]);
    assert_ne!(parts[0], parts[2]);
}

/// Guards against fingerprints that miss a poison request resent with other ids, or that are equal
/// for different requests.
#[tokio::test]
async fn fingerprint_ignores_transport_fields() {
    let bodies = [
        r#"{"model":"a@1","prompt":"x","user":"u1","stream":false}"#,
        r#"{ "stream":true, "prompt":"x", "model":"a@1", "metadata":{"id":"9"} }"#,
        r#"{"model":"a@1","prompt":"y"}"#,
        r#"{"model":"a@2","prompt":"x"}"#,
    ];
    let mut fingerprints = Vec::new();
    for body in bodies {
        let handler = FakeHandler::answering(Script::Whole("{}"));
        let server = start(handler.clone());
        assert_eq!(call(server.address(), "POST", "/v1/completions", body).await.status, 200);
        fingerprints.push(handler.completions.lock().expect("lock")[0].fingerprint);
    }
    assert_eq!(fingerprints[0], fingerprints[1]);
    assert!(
        fingerprints[2] != fingerprints[0]
            && fingerprints[3] != fingerprints[0]
            && fingerprints[2] != fingerprints[3]
    );
}

#[tokio::test]
async fn service_call_is_forwarded() {
    let handler = FakeHandler::answering(Script::Hang);
    let server = start(handler.clone());
    let headers = "coltsfoothook-class: urgent\r\nx-crew: salto\r\nte: trailers\r\n\
        idempotency-key: ticket-9\r\n";
    let text = request("PUT", "/v1/services/tickets/open/a%2Fb?at=3", headers, "breaker");
    let answer = send(server.address(), &text).await;
    assert_eq!((answer.status, answer.text().as_str()), (201, "reading"));
    assert_eq!(answer.header("x-sensor"), Some("crac-7"));
    assert_eq!(answer.header("x-hop"), None, "hop-by-hop because Connection lists it");
    let calls = handler.services.lock().expect("lock");
    let call = &calls[0];
    assert_eq!(
        (call.service.as_str(), call.path_and_query.as_str()),
        ("tickets", "/open/a%2Fb?at=3")
    );
    assert_eq!((call.method.as_str(), call.repeatable), ("PUT", None));
    assert_eq!(&call.body[..], b"breaker");
    let forwarded: Vec<&str> = call.headers.keys().map(|name| name.as_str()).collect();
    assert_eq!(
        forwarded,
        ["x-crew", "idempotency-key"],
        "the credential and hop-by-hop headers are not forwarded"
    );
}

#[tokio::test]
async fn entries_and_models() {
    let server = start(FakeHandler::answering(Script::Hang));
    let entries = call(server.address(), "GET", "/v1/entries", "").await.text();
    expect![[r#"{"entries":[{"vm":"nbo-1","address":"127.0.0.1:7100","weight":100,"domain":"embakasi","region":"nbo"}],"ttl_ms":2000,"keys":["cf1.a.1.0"]}"#]].assert_eq(&entries);
    let models = call(server.address(), "GET", "/v1/models?limit=1", "").await.text();
    expect![[r#"{"object":"list","data":[{"id":"chiller@3","object":"model","owned_by":"coltsfoothook","default":true}],"has_more":true,"last_id":"chiller@3"}"#]].assert_eq(&models);
    let last = call(server.address(), "GET", "/v1/models?limit=1&after=chiller%403", "").await;
    assert_eq!(last.json()["has_more"], false);
}

#[tokio::test]
async fn job_calls() {
    let handler = FakeHandler::answering(Script::Hang);
    let server = start(handler.clone());
    let at = server.address();
    let text = request("POST", "/v1/jobs", "idempotency-key: audit-may\r\n", CHAT);
    let ticket = send(at, &text).await;
    assert_eq!(
        (ticket.status, ticket.text().as_str()),
        (202, r#"{"id":"audit-may","state":"queued"}"#)
    );
    assert_eq!(handler.jobs.lock().expect("lock")[0].call.class, RequestClass::Audit);
    assert_eq!(call(at, "GET", "/v1/jobs/audit-may", "").await.json()["state"], "queued");
    assert_eq!(call(at, "GET", "/v1/jobs/audit-may/result", "").await.text(), "{\"audit\":1}");
    assert_eq!(call(at, "DELETE", "/v1/jobs/audit-may", "").await.json()["state"], "cancelled");
    let early = call(at, "GET", "/v1/jobs/early/result", "").await;
    assert_eq!((early.status, early.header("retry-after")), (409, Some("2")));
    assert_eq!(call(at, "GET", "/v1/jobs/gone", "").await.json()["reason"], "unknown_job");
}
