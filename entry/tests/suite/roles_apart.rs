use std::time::Duration;

use coltsfoothook_demo::{OPERATOR_TOKEN, SiteClient, SiteFailure, credential};
use http::{Method, StatusCode};
use tokio::time::{Instant, sleep};

use crate::bench::{TEST_TIMEOUT, close, completion, small_site};

fn status(failure: &SiteFailure) -> Option<StatusCode> {
    match failure {
        SiteFailure::Problem { status, .. } => Some(*status),
        _ => None,
    }
}

/// A customer's credential is refused by the operator interface, an operator's token by the caller
/// interface, and an unknown one by both.
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
        let failure = caller.complete(&completion(0, "x")).await.unwrap_err();
        assert_eq!(status(&failure), Some(StatusCode::UNAUTHORIZED), "{failure}");
        assert_eq!(failure.outcome(), "not_run");
    }
    let operator = SiteClient::new(site.operators()[0], OPERATOR_TOKEN);
    let seen = operator.json(Method::GET, "/v1/status", None).await.unwrap();
    assert_eq!(seen["vms"].as_array().unwrap().len(), 3);
    close(site).await;
}

/// An operator's token is replaced in its file while the VMs run: the new one is accepted and the
/// old one refused.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_token() {
    let site = small_site(true).await;
    site.replace_token("a new token");
    let until = Instant::now() + TEST_TIMEOUT;
    let fresh = SiteClient::new(site.operators()[0], "a new token");
    while fresh.json(Method::GET, "/v1/status", None).await.is_err() {
        assert!(Instant::now() < until, "the new token is not accepted");
        sleep(Duration::from_millis(50)).await;
    }
    let old = SiteClient::new(site.operators()[0], OPERATOR_TOKEN);
    let failure = old.json(Method::GET, "/v1/status", None).await.unwrap_err();
    assert_eq!(status(&failure), Some(StatusCode::UNAUTHORIZED), "{failure}");
    close(site).await;
}
