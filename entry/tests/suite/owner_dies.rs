use coltsfoothook_demo::{CompletionRequest, LocalSite, SiteSettings};

use crate::bench::{client, close, completion, owner, small_site, until_done, wait_until};

/// The VM that owns the engines fails while callers use the others. Their requests wait or end as
/// "not run", and after the takeover every adapter is served. The new owner knows the previous
/// owner's slots from the engines' reports and evicts none that is in use.
#[tokio::test(flavor = "multi_thread")]
async fn checking_engines() {
    fail_over(true).await;
}

/// The same with engines that do not check fencing numbers and would obey the previous owner, so
/// that orders need intents.
#[tokio::test(flavor = "multi_thread")]
async fn obedient_engines() {
    fail_over(false).await;
}

async fn fail_over(checks_fencing: bool) {
    let mut site = small_site(checks_fencing).await;
    let failing = owner(&site);
    let caller = client(&site, (failing + 1) % 3);
    until_done(&caller, &completion(0, "before")).await;
    site.kill_vm(failing).await;
    until_done(&caller, &completion(0, "a loaded adapter")).await;
    until_done(&caller, &completion(2, "a cold adapter")).await;
    wait_until("a new owner", || site.running().any(|vm| vm.owned_groups() == 1)).await;
    site.start_vm(failing).await.unwrap();
    wait_until("the restarted VM", || site.vms[failing].as_ref().unwrap().ready()).await;
    until_done(&client(&site, failing), &completion(4, "through the restarted VM")).await;
    close(site).await;
}

/// The owner fails when every slot is loaded. A cold adapter needs an eviction, and the new owner
/// cannot query the previous owner's held grants. The closed port of that VM's process shows that
/// it holds none, so callers do not wait for the two minutes of the zombie window.
#[tokio::test(flavor = "multi_thread")]
async fn full_slots() {
    let mut settings = SiteSettings::default();
    settings.engine.adapter_slots = 1;
    settings.engine.step_us = 2_000;
    let mut site = LocalSite::start(settings).await.unwrap();
    let failing = owner(&site);
    let caller = client(&site, (failing + 1) % 3);
    for adapter in [0, 2] {
        until_done(&caller, &completion(adapter, "fills a slot")).await;
    }
    site.kill_vm(failing).await;
    until_done(&caller, &CompletionRequest { deadline_ms: Some(20_000), ..completion(4, "cold") })
        .await;
    close(site).await;
}
