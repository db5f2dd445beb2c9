use coltsfoothook_demo::{OPERATOR_TOKEN, SiteClient, version_entry};
use coltsfoothook_standin::PlatformFaults;

use crate::bench::{client, close, completion, small_site, until_done};

/// Two operators publish concurrently on the same base version through two VMs. One publication is
/// accepted, the other is refused as stale.
#[tokio::test(flavor = "multi_thread")]
async fn same_base() {
    let site = small_site(true).await;
    let base = site.newest_version();
    let manifests = [2, 3].map(|version| {
        let mut manifest = site.manifest.clone();
        manifest.adapters[0].versions.push(version_entry(0, &version.to_string()));
        manifest
    });
    let operators = site.operators();
    let first = SiteClient::new(operators[0], OPERATOR_TOKEN);
    let second = SiteClient::new(operators[1], OPERATOR_TOKEN);
    let (first, second) = tokio::join!(
        first.publish_as("first", base, &manifests[0]),
        second.publish_as("second", base, &manifests[1])
    );
    let accepted = [&first, &second].iter().filter(|result| result.is_ok()).count();
    assert_eq!(accepted, 1, "{first:?} {second:?}");
    let loser = first.err().or(second.err()).unwrap();
    assert_eq!(loser.reason(), "stale_base", "{loser}");
    close(site).await;
}

/// The log's answer to a publication is lost. The publication is read back and reported as
/// accepted; a resend of it through another VM returns the same version.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let site = small_site(true).await;
    let base = site.newest_version();
    let mut manifest = site.manifest.clone();
    manifest.adapters[0].versions.push(version_entry(0, "2"));
    site.platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    let operator = SiteClient::new(site.operators()[0], OPERATOR_TOKEN);
    let version = operator.publish_as("once", base, &manifest).await.unwrap();
    let again = SiteClient::new(site.operators()[2], OPERATOR_TOKEN);
    assert_eq!(again.publish_as("once", base, &manifest).await.unwrap(), version);
    let mut request = completion(0, "the new version");
    request.model = "adapter-00000@2".into();
    until_done(&client(&site, 1), &request).await;
    close(site).await;
}
