use coltsfoothook_demo::{OPERATOR_TOKEN, SiteClient, credential};
use http::{Method, StatusCode};

use crate::bench::{ask, close, small_site};
use coltsfoothook_demo::SiteFailure;

fn status(failure: &SiteFailure) -> Option<StatusCode> {
    match failure {
        SiteFailure::Problem { status, .. } => Some(*status),
        _ => None,
    }
}

/// A tenant's credential opens no operator call, an operator's token no caller's call, and a wrong
/// one nothing.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_credentials() {
    let site = small_site(true).await;
    for secret in [credential(0), "nobody".to_owned(), String::new()] {
        let operator = SiteClient::new(site.operators()[0], &secret);
        let failure = operator.json(Method::GET, "/v1/status", None).await.unwrap_err();
        assert_eq!(status(&failure), Some(StatusCode::UNAUTHORIZED), "{failure}");
    }
    for secret in [OPERATOR_TOKEN, "nobody", ""] {
        let caller = SiteClient::new(site.callers()[0], secret);
        let failure = caller.complete(&ask(0, "x")).await.unwrap_err();
        assert_eq!(status(&failure), Some(StatusCode::UNAUTHORIZED), "{failure}");
        assert_eq!(failure.outcome(), "not_run");
    }
    let operator = SiteClient::new(site.operators()[0], OPERATOR_TOKEN);
    let seen = operator.json(Method::GET, "/v1/status", None).await.unwrap();
    assert_eq!(seen["vms"].as_array().unwrap().len(), 3);
    close(site).await;
}
