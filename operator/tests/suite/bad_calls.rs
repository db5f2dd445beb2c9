//! Unauthenticated and invalid calls get a problem document and are not passed to the handler.

use expect_test::expect;

use crate::fake::start;

#[tokio::test]
async fn unauthenticated_calls_refused() {
    let running = start();
    for (method, path) in [
        ("POST", "/v1/publish"),
        ("PUT", "/v1/drain/vms/e1"),
        ("GET", "/v1/manifest"),
        ("GET", "/metrics"),
        ("GET", "/no/such"),
    ] {
        let (status, kind, body) = running.call(method, path, "tenant-credential", "{}").await;
        assert_eq!((status, kind.as_str()), (401, "application/problem+json"), "{path}");
        assert!(body.contains(r#""outcome":"not_run""#) && !body.contains("tenant-credential"));
    }
    assert_eq!(running.call("GET", "/health", "", "").await.0, 200);
    assert!(running.handler.calls.lock().expect("a lock").is_empty());
    running.server.close().await;
}

#[tokio::test]
async fn malformed_calls() {
    let running = start();
    let mut outcomes = String::new();
    let large = "x".repeat(5_000);
    for (method, path, body) in [
        ("DELETE", "/v1/manifest", ""),
        ("GET", "/v1/nothing", ""),
        ("POST", "/v1/publish", "{"),
        (
            "POST",
            "/v1/publish",
            r#"{"base": 1, "publish_id": "a", "change": {"whole": {"adapters": [{"name": 5}]}}}"#,
        ),
        (
            "POST",
            "/v1/publish",
            r#"{"base": 1, "publish_id": "a", "change": {"whole": {"adaptors": []}}}"#,
        ),
        ("POST", "/v1/publish", r#"{"base": 1, "publish_id": "", "change": {"whole": {}}}"#),
        ("POST", "/v1/publish", &large),
        ("PUT", "/v1/drain/vms/a%40b", r#"{"draining": true}"#),
        ("PUT", "/v1/drain/vms/e1", "{}"),
        ("POST", "/v1/lift", r#"{"fingerprint": "xyz"}"#),
    ] {
        outcomes += &format!("{method} {path}: {}\n", running.outcome(method, path, body).await);
    }
    expect![[r#"
        DELETE /v1/manifest: 405 "method_not_allowed" "not_run": "this path takes GET"
        GET /v1/nothing: 404 "unknown_path" "not_run": "the calls are listed in docs/OPERATORS.md"
        POST /v1/publish: 400 "malformed_request" "not_run": "EOF while parsing an object at line 1 column 1"
        POST /v1/publish: 400 "malformed_request" "not_run": "change.whole.adapters[0].name: invalid type: integer `5`, expected a string at line 1 column 75"
        POST /v1/publish: 400 "malformed_request" "not_run": "change.whole.adaptors: unknown field `adaptors`, expected one of `models`, `adapters`, `tenants`, `servers`, `services`, `classes`, `schedules`, `stores`, `policy` at line 1 column 62"
        POST /v1/publish: 400 "malformed_request" "not_run": "publish_id: it is not allowed; allowed: 1 to 128 bytes, no white space, no control characters, none of @#/\\\"?%, not \".\" or \"..\""
        POST /v1/publish: 413 "body_too_large" "not_run": "a body has at most 4096 bytes"
        PUT /v1/drain/vms/a%40b: 400 "malformed_request" "not_run": "1 to 128 bytes, no white space, no control characters, none of @#/\\\"?%, not \".\" or \"..\""
        PUT /v1/drain/vms/e1: 400 "malformed_request" "not_run": "missing field `draining` at line 1 column 2"
        POST /v1/lift: 400 "malformed_request" "not_run": "fingerprint: it is not allowed; allowed: up to 16 hexadecimal digits"
    "#]].assert_eq(&outcomes);
    assert!(running.handler.calls.lock().expect("a lock").is_empty());
    running.server.close().await;
}

#[tokio::test]
async fn other_calls() {
    let running = start();
    let mut outcomes = String::new();
    for (method, path, body) in [
        ("GET", "/v1/manifest", ""),
        ("GET", "/v1/status", ""),
        ("PUT", "/v1/drain/vms/e1", r#"{"draining": true}"#),
        ("PUT", "/v1/drain/servers/gone", r#"{"draining": false}"#),
        ("GET", "/v1/explain/r-1", ""),
        ("POST", "/v1/lift", r#"{"fingerprint": "ff"}"#),
        ("GET", "/metrics", ""),
    ] {
        outcomes += &format!("{method} {path}: {}\n", running.outcome(method, path, body).await);
    }
    expect![[r#"
        GET /v1/manifest: 503 "not_ready" "not_run": "this VM does not know the configuration in force; ask another one"
        GET /v1/status: 200 {"asked":"e1","vms":[]}
        PUT /v1/drain/vms/e1: 200 {"written":true}
        PUT /v1/drain/servers/gone: 404 "unknown_name" "not_run": "GET /v1/manifest names the backend servers"
        GET /v1/explain/r-1: 404 "unknown_request" "not_run": "each VM remembers its last requests alone, and none after a restart"
        POST /v1/lift: 504 "append_unknown" "unknown": "the record may stand in the log; the same call again is safe"
        GET /metrics: 200 up 1

    "#]].assert_eq(&outcomes);
    expect![[r#"
        [
            "drain Vm e1 true",
            "drain Server gone false",
            "lift 255",
        ]
    "#]]
    .assert_debug_eq(&*running.handler.calls.lock().expect("a lock"));
    running.server.close().await;
}
