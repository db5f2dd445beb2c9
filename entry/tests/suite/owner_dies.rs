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
