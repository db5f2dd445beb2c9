//! The log comes back from an older copy of itself: what was appended since is gone.

use coltsfoothook_demo::{LocalSite, SERVICE, SiteFailure, version_entry};
use http::Method;
use serde_json::{Value, json};

use crate::bench::{client, close, completion, small_site, until_done};

async fn ticket(site: &LocalSite, vm: usize, key: &str) -> Result<Value, SiteFailure> {
    let path = format!("/v1/services/{SERVICE}/tickets");
    let body = json!({ "id": key });
    client(site, vm).service(Method::POST, &path, Some(body), Some(key)).await
}

fn tickets(site: &LocalSite, key: &str) -> usize {
    let made = |service: &coltsfoothook_standin::ServiceHandle| {
        service.tickets_by_id().iter().filter(|made| made.text == key).count()
    };
    site.services.iter().map(made).sum()
}

/// Guards against VMs that never read on, since the log does not have their offset or has given it out again.
#[tokio::test(flavor = "multi_thread")]
async fn works_again() {
    let mut site = small_site(true).await;
    until_done(&client(&site, 0), &completion(0, "before")).await;
    let copy = site.platform.copy_log();
    for number in 0..4 {
        assert!(ticket(&site, number % 3, &format!("lost-{number}")).await.is_ok());
    }
    site.platform.restore_log(copy);
    for number in 0..6 {
        let made = ticket(&site, number % 3, &format!("after-{number}")).await;
        assert!(made.is_ok(), "{number}: {made:?}");
    }
    let mut manifest = site.manifest.clone();
    manifest.adapters[0].versions.push(version_entry(0, "2"));
    site.publish(manifest).await.expect("a configuration is accepted and in force");
    close(site).await;
}

/// Guards against a claim that is lost with the log and a ticket that is made twice.
#[tokio::test(flavor = "multi_thread")]
async fn claimed_before() {
    let site = small_site(true).await;
    let copy = site.platform.copy_log();
    assert!(ticket(&site, 0, "once").await.is_ok());
    site.platform.restore_log(copy);
    for vm in 0..3 {
        let again = ticket(&site, vm, "once").await;
        assert!(again.is_err(), "VM {vm}: {again:?}");
    }
    assert_eq!(tickets(&site, "once"), 1);
    close(site).await;
}

/// Guards against a lost claim at a VM that starts after the loss and has never read it.
#[tokio::test(flavor = "multi_thread")]
async fn claimed_before_start() {
    let mut site = small_site(true).await;
    let copy = site.platform.copy_log();
    assert!(ticket(&site, 0, "once").await.is_ok());
    site.platform.restore_log(copy);
    site.kill_vm(2).await;
    site.start_vm(2).await.expect("the VM starts");
    until_done(&client(&site, 2), &completion(0, "after")).await;
    let again = ticket(&site, 2, "once").await;
    assert!(again.is_err(), "{again:?}");
    assert_eq!(tickets(&site, "once"), 1);
    close(site).await;
}

/// Guards against a configuration that was accepted and is lost with the log.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_before() {
    let mut site = small_site(true).await;
    let copy = site.platform.copy_log();
    let mut manifest = site.manifest.clone();
    manifest.adapters[0].versions.push(version_entry(0, "2"));
    let (version, _) = site.publish(manifest).await.expect("it is accepted");
    site.platform.restore_log(copy);
    site.kill_vm(2).await;
    site.start_vm(2).await.expect("the VM starts");
    let in_force = || site.running().all(|vm| vm.config_version() >= version);
    crate::bench::wait_until("the new VM has the configuration", in_force).await;
    close(site).await;
}

/// Guards against a change that is accepted on one that the log lost, at a VM that starts later and reads them in
/// another order; several copies in a row.
#[tokio::test(flavor = "multi_thread")]
async fn built_on_what_was_lost() {
    let mut site = small_site(true).await;
    let mut manifest = site.manifest.clone();
    for round in 0..3 {
        let copy = site.platform.copy_log();
        manifest.adapters[0].versions.push(version_entry(0, &format!("lost-{round}")));
        site.publish(manifest.clone()).await.expect("it is accepted");
        site.platform.restore_log(copy);
        manifest.adapters[0].versions.push(version_entry(0, &format!("next-{round}")));
        site.publish(manifest.clone()).await.expect("the next one is accepted");
    }
    let version = site.newest_version();
    site.kill_vm(2).await;
    site.start_vm(2).await.expect("the VM starts");
    let in_force = || site.running().all(|vm| vm.config_version() == version);
    crate::bench::wait_until("all VMs have the last configuration", in_force).await;
    close(site).await;
}
