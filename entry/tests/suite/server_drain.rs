use coltsfoothook_demo::{OPERATOR_TOKEN, SiteClient};
use http::Method;
use serde_json::json;

use crate::bench::{client, close, completion, small_site, until_done};

/// An operator drains an engine. Requests are served by the other engine, and the drained one gets
/// no new runs.
#[tokio::test(flavor = "multi_thread")]
async fn engine_drained() {
    let site = small_site(true).await;
    let caller = client(&site, 0);
    until_done(&caller, &completion(0, "before")).await;
    let operator = SiteClient::new(site.operators()[0], OPERATOR_TOKEN);
    let path = "/v1/drain/servers/engine-00";
    operator.json(Method::PUT, path, Some(json!({ "draining": true }))).await.unwrap();
    until_done(&caller, &completion(0, "moves over")).await;
    let before = site.engines[0].counters().runs;
    for number in 0..10 {
        until_done(&client(&site, number % 3), &completion(2 * (number % 4), "elsewhere")).await;
    }
    assert_eq!(site.engines[0].counters().runs, before);
    operator.json(Method::PUT, path, Some(json!({ "draining": false }))).await.unwrap();
    until_done(&caller, &completion(0, "after")).await;
    close(site).await;
}
