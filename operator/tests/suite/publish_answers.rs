//! The status, reason and outcome for each result of a publication.

use coltsfoothook_decision::check::{FaultKind, ManifestFault};
use coltsfoothook_decision::id::ConfigVersion;
use coltsfoothook_operator::PublishAnswer;
use expect_test::expect;

use crate::fake::start;

#[tokio::test]
async fn every_result() {
    let running = start();
    let fault = ManifestFault {
        path: "adapters[\"a\"].model".to_owned(),
        kind: FaultKind::Dangling,
        detail: "there is no model \"b\"".to_owned(),
        allowed: "the name of a model in the manifest".to_owned(),
    };
    let mut outcomes = String::new();
    for answer in [
        PublishAnswer::Accepted(ConfigVersion(8)),
        PublishAnswer::Repeated(ConfigVersion(8)),
        PublishAnswer::Stale { in_force: ConfigVersion(9) },
        PublishAnswer::Rejected(vec![fault; 3]),
        PublishAnswer::Unknown,
        PublishAnswer::LogUnavailable,
        PublishAnswer::NotReady,
    ] {
        *running.handler.answer.lock().expect("a lock") = Some(answer);
        let body = r#"{"base": 7, "publish_id": "build-1", "change": {"delta": {}}}"#;
        outcomes += &format!("{}\n", running.outcome("POST", "/v1/publish", body).await);
    }
    expect![[r#"
        200 {"version":8,"repeated":false}
        200 {"version":8,"repeated":true}
        409 "stale_base" "not_run": "version 9 is in force; build the change on it"
        422 "rejected" "not_run": "3 faults; nothing changed"
        504 "append_unknown" "unknown": "the record may stand in the log; the same call again is safe"
        503 "log_unavailable" "not_run": "the platform's log does not take the record; nothing changed"
        503 "not_ready" "not_run": "this VM does not know the configuration in force; ask another one"
    "#]].assert_eq(&outcomes);
    running.server.close().await;
}
