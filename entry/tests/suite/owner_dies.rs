use coltsfoothook_demo::{CompletionAsk, LocalSite, SiteSettings};

use crate::bench::{ask, client, close, owner, small_site, until_done, wait_until};

/// The VM that owns the engines fails without a word while callers use the others. They wait or are
/// told "not run", and after the take-over every adapter is served again. The new owner knows the
/// old one's slots from the engines' reports, and evicts none of them that is in use.
#[tokio::test(flavor = "multi_thread")]
async fn checking_engines() {
    fail_over(true).await;
}

/// The same with engines that would obey the old owner, so that orders need their intents.
#[tokio::test(flavor = "multi_thread")]
async fn obedient_engines() {
    fail_over(false).await;
}

async fn fail_over(checks_fencing: bool) {
    let mut site = small_site(checks_fencing).await;
    let failing = owner(&site);
    let caller = client(&site, (failing + 1) % 3);
    until_done(&caller, &ask(0, "before")).await;
    site.kill_vm(failing).await;
    until_done(&caller, &ask(0, "a loaded adapter")).await;
    until_done(&caller, &ask(2, "a cold adapter")).await;
    wait_until("a new owner", || site.running().any(|vm| vm.owned_groups() == 1)).await;
    site.start_vm(failing).await.unwrap();
    wait_until("the VM's new life", || site.vms[failing].as_ref().unwrap().ready()).await;
    until_done(&client(&site, failing), &ask(4, "through the new life")).await;
    close(site).await;
}

/// The owner fails when its loads fill every slot. A cold adapter needs one of them evicted, and the
/// new owner cannot ask the old one what it holds; the closed port of the old one's process tells
/// that it holds nothing, so callers do not wait out the two minutes of the zombie window.
#[tokio::test(flavor = "multi_thread")]
async fn full_slots() {
    let mut settings = SiteSettings::default();
    settings.engine.adapter_slots = 1;
    settings.engine.step_us = 2_000;
    let mut site = LocalSite::start(settings).await.unwrap();
    let failing = owner(&site);
    let caller = client(&site, (failing + 1) % 3);
    for adapter in [0, 2] {
        until_done(&caller, &ask(adapter, "fills a slot")).await;
    }
    site.kill_vm(failing).await;
    until_done(&caller, &CompletionAsk { deadline_ms: Some(20_000), ..ask(4, "cold") }).await;
    close(site).await;
}
