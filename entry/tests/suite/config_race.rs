use coltsfoothook_demo::{OPERATOR_TOKEN, SiteClient, version_entry};
use coltsfoothook_standin::PlatformFaults;

use crate::bench::{ask, client, close, small_site, until_done};

/// Two operators publish on the same version through two VMs at once. One is accepted, the other is
/// told which version is in force, and the loser's change is not in it.
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

/// The log's answer to a publication is lost. It is found in the log and told as accepted; the same
/// publication sent again is told as the same version.
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
    let mut asked = ask(0, "the new version");
    asked.model = "adapter-00000@2".into();
    until_done(&client(&site, 1), &asked).await;
    close(site).await;
}
