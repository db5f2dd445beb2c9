//! Helpers shared by the tests of whole sites.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_demo::{
    CompletionRequest, CompletionResponse, FIRST_VERSION, LocalSite, SiteClient, SiteFailure,
    SiteSettings, adapter_name, credential,
};
use coltsfoothook_standin::{prompt_hash, read_answer};
use tokio::time::{Instant, sleep};

/// Upper bound of any recovery, also on a busy host; tests do not assert the time itself.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a small site whose engines check fencing numbers or ignore them.
pub async fn small_site(checks_fencing: bool) -> LocalSite {
    let mut settings = SiteSettings::default();
    settings.engine.checks_fencing = checks_fencing;
    settings.engine.step_us = 2_000;
    LocalSite::start(settings).await.expect("the site comes up")
}

/// Returns a client of the VM with the number `vm` with the first customer's credential.
pub fn client(site: &LocalSite, vm: usize) -> Arc<SiteClient> {
    let process = site.vms[vm].as_ref().expect("the VM runs");
    Arc::new(SiteClient::new(process.addresses().caller, &credential(0)))
}

/// Returns a completion of the adapter with the number `adapter`; the first customer may use the
/// even ones.
pub fn completion(adapter: usize, prompt: &str) -> CompletionRequest {
    CompletionRequest {
        model: format!("{}@{FIRST_VERSION}", adapter_name(adapter)),
        prompt: prompt.to_owned(),
        ..Default::default()
    }
}

/// Asserts that an answer is complete and comes from the requested adapter and prompt.
pub fn assert_right(completion: &CompletionRequest, read: &CompletionResponse) {
    let proof = read_answer(&read.text).expect("the answer comes from one generation");
    assert_eq!(proof.adapter, completion.model);
    assert_eq!(proof.prompt, prompt_hash(&completion.prompt));
    assert_eq!((proof.first, proof.tokens), (0, completion.max_tokens));
}

/// Repeats a completion until it succeeds; an outcome other than "not run" fails the test.
pub async fn until_done(client: &SiteClient, completion: &CompletionRequest) -> CompletionResponse {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        match client.complete(completion).await {
            Ok(read) => {
                assert_right(completion, &read);
                return read;
            }
            Err(failure) => {
                assert_eq!(failure.outcome(), "not_run", "{failure}");
                assert!(Instant::now() < until, "{failure}");
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until `there` holds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the number of the VM that owns the site's only group.
pub fn owner(site: &LocalSite) -> usize {
    let owns = |vm: &Option<coltsfoothook_entry::EntryProcess>| {
        vm.as_ref().is_some_and(|vm| vm.owned_groups() > 0)
    };
    site.vms.iter().position(owns).expect("a VM owns the group")
}

/// Stops the site and asserts that no used slot was evicted, no request ran twice and no invariant
/// was violated.
pub async fn close(site: LocalSite) {
    assert_eq!(site.evicted_in_use(), 0);
    assert_eq!(site.doubled(), 0);
    assert_eq!(site.stop().await, 0, "an invariant was violated");
}

/// Returns the outcome and reason of a failure.
pub fn verdict(failure: &SiteFailure) -> (&str, &str) {
    (failure.outcome(), failure.reason())
}
