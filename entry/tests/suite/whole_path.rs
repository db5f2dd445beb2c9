use std::time::{Duration, Instant};

use coltsfoothook_demo::{CompletionRequest, LocalSite, SERVICE, SiteSettings};
use http::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::bench::{assert_right, client, close, completion, small_site, until_done, verdict};

/// Any VM serves any adapter, streamed or not, with the right and complete answer. More adapters
/// are requested than the engines have slots, so that loads and evictions occur.
#[tokio::test(flavor = "multi_thread")]
async fn every_adapter() {
    let site = small_site(false).await;
    for adapter in [0, 2, 4, 6, 0, 4] {
        for vm in 0..3 {
            let request = CompletionRequest { stream: vm != 1, ..completion(adapter, "chiller 7") };
            until_done(&client(&site, vm), &request).await;
        }
    }
    close(site).await;
}

/// Time within which VMs that are ready know each other, which takes a few probes.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A VM lists all VMs and the customer's models. A VM may be ready before it knows all others, so
/// the list is polled.
#[tokio::test(flavor = "multi_thread")]
async fn entries_and_models() {
    let site = small_site(true).await;
    let caller = client(&site, 0);
    let begun = Instant::now();
    let entries = loop {
        let entries = caller.json(Method::GET, "/v1/entries", None).await.unwrap();
        if entries["entries"].as_array().unwrap().len() == 3 || begun.elapsed() > DISCOVERY_TIMEOUT
        {
            break entries;
        }
        sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(entries["entries"].as_array().unwrap().len(), 3);
    assert!(entries["keys"][0].as_str().unwrap().starts_with("cf1.vm-0."));
    let models = caller.json(Method::GET, "/v1/models", None).await.unwrap();
    assert_eq!(models["data"].as_array().unwrap().len(), 4);
    close(site).await;
}

/// Requests for an unknown adapter version or for an adapter of another customer are refused.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_names() {
    let site = small_site(true).await;
    let caller = client(&site, 2);
    let unknown = CompletionRequest { model: "adapter-00000@9".into(), ..completion(0, "x") };
    let failure = caller.complete(&unknown).await.unwrap_err();
    assert_eq!(verdict(&failure), ("not_run", "unknown_adapter"));
    let failure = caller.complete(&completion(1, "x")).await.unwrap_err();
    assert_eq!(verdict(&failure), ("not_run", "not_allowed"));
    close(site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_service() {
    let site = small_site(true).await;
    let caller = client(&site, 1);
    let path = format!("/v1/services/{SERVICE}/readings");
    let readings = caller.service(Method::GET, &path, None, None).await.unwrap();
    assert!(readings["chillers"].is_array());
    let path = format!("/v1/services/{SERVICE}/tickets");
    let ticket = json!({ "id": "t-1" });
    let made = caller.service(Method::POST, &path, Some(ticket), Some("t-1")).await.unwrap();
    assert_eq!(made["id"], Value::from("t-1"));
    close(site).await;
}

/// Guards against a rotation over a plain service's servers that leaves some of them out.
#[tokio::test(flavor = "multi_thread")]
async fn service_rotation() {
    let settings = SiteSettings { services: 2, ..SiteSettings::default() };
    let site = LocalSite::start(settings).await.expect("the site comes up");
    let path = format!("/v1/services/{SERVICE}/readings");
    for _ in 0..8 {
        client(&site, 0).service(Method::GET, &path, None, None).await.unwrap();
    }
    for service in &site.services {
        assert_eq!(service.counters().calls, 4);
    }
    close(site).await;
}

/// Sixty concurrent streams through one VM lose no token.
#[tokio::test(flavor = "multi_thread")]
async fn many_streams() {
    let site = small_site(true).await;
    let caller = client(&site, 0);
    let runs = (0..60).map(|number| {
        let caller = caller.clone();
        tokio::spawn(async move {
            let request = completion(2 * (number % 3), &format!("hall {number}"));
            let read = caller.complete(&request).await.unwrap();
            assert_right(&request, &read);
        })
    });
    for run in runs.collect::<Vec<_>>() {
        run.await.unwrap();
    }
    close(site).await;
}
