use coltsfoothook_demo::{CompletionRequest, OPERATOR_TOKEN, SERVICE, SiteClient};
use coltsfoothook_standin::{OutageKind, PlatformFaults};
use http::Method;
use serde_json::json;

use crate::bench::{client, close, completion, owner, small_site, until_done, verdict, wait_until};

fn log_down() -> PlatformFaults {
    PlatformFaults { log: OutageKind::Refuse, ..Default::default() }
}

/// While the log is down, loaded adapters are served and a key issued by a VM runs, at most once;
/// a caller's own key cannot be claimed and does not run, and a publication is refused. After the
/// log recovers, requests and publications succeed again.
#[tokio::test(flavor = "multi_thread")]
async fn what_still_works() {
    let mut site = small_site(false).await;
    let caller = client(&site, 0);
    until_done(&caller, &completion(0, "before")).await;
    let entries = caller.json(Method::GET, "/v1/entries", None).await.unwrap();
    let issued = entries["keys"][0].as_str().unwrap().to_owned();
    site.platform.set_faults(log_down());
    until_done(&caller, &completion(0, "during")).await;
    let path = format!("/v1/services/{SERVICE}/tickets");
    let ticket = json!({ "id": issued });
    let made = caller.service(Method::POST, &path, Some(ticket.clone()), Some(&issued)).await;
    assert!(made.is_ok(), "{made:?}");
    let again = client(&site, 1).service(Method::POST, &path, Some(ticket), Some(&issued)).await;
    assert_eq!(again.unwrap_err().outcome(), "done");
    let own = json!({ "id": "own-key" });
    let claimed = caller.service(Method::POST, &path, Some(own), Some("own-key")).await;
    assert_eq!(verdict(&claimed.unwrap_err()), ("unknown", "log_unavailable"));
    let first = json!({ "id": "first-key" });
    let first = caller.service_try(Method::POST, &path, Some(first), Some("first-key"), true).await;
    assert_eq!(verdict(&first.unwrap_err()), ("not_run", "log_unavailable"));
    let operator = SiteClient::new(site.operators()[0], OPERATOR_TOKEN);
    let version = site.newest_version();
    assert!(operator.publish(version, &site.manifest.clone()).await.is_err());
    assert!(site.services.iter().all(|service| {
        service
            .tickets_by_id()
            .iter()
            .all(|made| !["own-key", "first-key"].contains(&made.text.as_str()))
    }));
    site.platform.set_faults(PlatformFaults::default());
    until_done(&caller, &completion(2, "after")).await;
    let manifest = site.manifest.clone();
    site.publish(manifest).await.unwrap();
    close(site).await;
}

/// The owner of the engines fails while the log is down, so no VM can take over. Loaded adapters
/// are served, since no VM can order an eviction; a cold adapter is "not run".
#[tokio::test(flavor = "multi_thread")]
async fn owner_gone_too() {
    let mut site = small_site(true).await;
    let failing = owner(&site);
    let caller = client(&site, (failing + 1) % 3);
    until_done(&caller, &completion(0, "before")).await;
    site.platform.set_faults(log_down());
    site.kill_vm(failing).await;
    until_done(&caller, &completion(0, "without an owner")).await;
    let cold = CompletionRequest { deadline_ms: Some(1_500), ..completion(6, "cold") };
    let failure = caller.complete(&cold).await.unwrap_err();
    assert_eq!(failure.outcome(), "not_run", "{failure}");
    site.platform.set_faults(PlatformFaults::default());
    wait_until("a new owner", || site.running().any(|vm| vm.owned_groups() == 1)).await;
    until_done(&caller, &completion(6, "cold no more")).await;
    close(site).await;
}

/// A VM starts without state while the log is down. It receives the configuration and the owners
/// from another VM and serves requests.
#[tokio::test(flavor = "multi_thread")]
async fn start_without_log() {
    let mut site = small_site(true).await;
    let other = (owner(&site) + 1) % 3;
    until_done(&client(&site, other), &completion(0, "before")).await;
    site.platform.set_faults(log_down());
    site.kill_vm(other).await;
    site.start_vm(other).await.unwrap();
    wait_until("the restarted VM", || site.vms[other].as_ref().unwrap().ready()).await;
    until_done(&client(&site, other), &completion(0, "from a VM that never saw the log")).await;
    site.platform.set_faults(PlatformFaults::default());
    close(site).await;
}
