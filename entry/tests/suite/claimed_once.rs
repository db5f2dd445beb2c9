use coltsfoothook_demo::{LocalSite, SERVICE, SiteFailure};
use coltsfoothook_standin::{PlatformFaults, ServiceFaults};
use http::Method;
use serde_json::{Value, json};

use crate::bench::{client, close, small_site, verdict};

async fn ticket(site: &LocalSite, vm: usize, key: &str) -> Result<Value, SiteFailure> {
    let path = format!("/v1/services/{SERVICE}/tickets");
    let body = json!({ "id": key });
    client(site, vm).service(Method::POST, &path, Some(body), Some(key)).await
}

/// A caller sends the same ticket to three VMs concurrently. One VM runs it, the others refuse it
/// as claimed, and one ticket is created.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_resends() {
    let site = small_site(true).await;
    for number in 0..5 {
        let key = format!("crossed-{number}");
        let (a, b, c) =
            tokio::join!(ticket(&site, 0, &key), ticket(&site, 1, &key), ticket(&site, 2, &key));
        let made = [&a, &b, &c].iter().filter(|result| result.is_ok()).count();
        assert_eq!(made, 1, "{a:?} {b:?} {c:?}");
    }
    close(site).await;
}

/// The log appends the claim but its answer is lost. The claim is read back, the ticket is created
/// once, and a resend is refused as already claimed.
#[tokio::test(flavor = "multi_thread")]
async fn lost_append() {
    let site = small_site(true).await;
    site.platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    assert!(ticket(&site, 0, "lost").await.is_ok());
    let again = ticket(&site, 1, "lost").await.unwrap_err();
    assert_eq!(verdict(&again), ("done", "already_claimed"));
    close(site).await;
}

/// The log appends records but loses many answers. Each claim is read back, so no ticket is
/// refused as if the log were down.
#[tokio::test(flavor = "multi_thread")]
async fn many_lost() {
    let site = small_site(true).await;
    site.platform.set_faults(PlatformFaults { lose_answers: 20, ..Default::default() });
    for number in 0..6 {
        let made = ticket(&site, number % 3, &format!("lost-{number}")).await;
        assert!(made.is_ok(), "{made:?}");
    }
    close(site).await;
}

/// The service creates the ticket and its connection breaks before the answer. The caller receives
/// "unknown", no VM retries, and a resend with the same key does not run.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let site = small_site(true).await;
    for service in &site.services {
        service.set_faults(ServiceFaults { cut_after: 1, ..Default::default() });
    }
    assert_eq!(ticket(&site, 0, "cut").await.unwrap_err().outcome(), "unknown");
    assert_eq!(ticket(&site, 2, "cut").await.unwrap_err().outcome(), "unknown");
    close(site).await;
}

/// A key that is reused with another body is refused.
#[tokio::test(flavor = "multi_thread")]
async fn another_body() {
    let site = small_site(true).await;
    assert!(ticket(&site, 0, "twice").await.is_ok());
    let path = format!("/v1/services/{SERVICE}/tickets");
    let body = json!({ "id": "another" });
    let reused = client(&site, 1).service(Method::POST, &path, Some(body), Some("twice")).await;
    assert_eq!(reused.unwrap_err().reason(), "key_reused");
    close(site).await;
}

/// The VM that ran a ticket dies before the caller resends it to another VM. Its outcome is
/// unknown, so it does not run again.
#[tokio::test(flavor = "multi_thread")]
async fn claimer_dead() {
    let mut site = small_site(true).await;
    assert!(ticket(&site, 0, "orphan").await.is_ok());
    site.kill_vm(0).await;
    assert_eq!(ticket(&site, 1, "orphan").await.unwrap_err().outcome(), "unknown");
    close(site).await;
}
