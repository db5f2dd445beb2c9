//! What the tests of whole sites share.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_demo::{
    CompletionAsk, CompletionRead, FIRST_VERSION, LocalSite, SiteClient, SiteFailure, SiteSettings,
    adapter_name, credential,
};
use coltsfoothook_standin::{prompt_hash, read_answer};
use tokio::time::{Instant, sleep};

/// Long enough for any recovery on a busy host; nothing is asserted about the time itself.
pub const PATIENCE: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(20);

/// A small site with engines that check fencing numbers, or ignore them.
pub async fn small_site(checks_fencing: bool) -> LocalSite {
    let mut settings = SiteSettings::default();
    settings.engine.checks_fencing = checks_fencing;
    settings.engine.step_us = 2_000;
    LocalSite::start(settings).await.expect("the site comes up")
}

/// A client of the VM with the number `vm` on account of the first tenant.
pub fn client(site: &LocalSite, vm: usize) -> Arc<SiteClient> {
    let process = site.vms[vm].as_ref().expect("the VM runs");
    Arc::new(SiteClient::new(process.addresses().caller, &credential(0)))
}

/// A completion of the adapter with the number `adapter`, an even one: the first tenant's.
pub fn ask(adapter: usize, prompt: &str) -> CompletionAsk {
    CompletionAsk {
        model: format!("{}@{FIRST_VERSION}", adapter_name(adapter)),
        prompt: prompt.to_owned(),
        ..Default::default()
    }
}

/// Asserts that an answer is whole and of the adapter and prompt that were asked.
pub fn assert_right(ask: &CompletionAsk, read: &CompletionRead) {
    let proof = read_answer(&read.text).expect("the answer is of one piece");
    assert_eq!(proof.adapter, ask.model);
    assert_eq!(proof.prompt, prompt_hash(&ask.prompt));
    assert_eq!((proof.first, proof.tokens), (0, ask.max_tokens));
}

/// Tries until the answer is there; a failure other than "not run" ends the test.
pub async fn until_done(client: &SiteClient, ask: &CompletionAsk) -> CompletionRead {
    let until = Instant::now() + PATIENCE;
    loop {
        match client.complete(ask).await {
            Ok(read) => {
                assert_right(ask, &read);
                return read;
            }
            Err(failure) => {
                assert_eq!(failure.outcome(), "not_run", "{failure}");
                assert!(Instant::now() < until, "{failure}");
            }
        }
        sleep(PAUSE).await;
    }
}

/// Waits until `there` holds.
pub async fn wait_until(what: &str, mut there: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !there() {
        assert!(Instant::now() < until, "{what} did not come about");
        sleep(PAUSE).await;
    }
}

/// The number of the VM that owns the site's only group.
pub fn owner(site: &LocalSite) -> usize {
    let owns = |vm: &Option<coltsfoothook_entry::EntryProcess>| {
        vm.as_ref().is_some_and(|vm| vm.owned_groups() > 0)
    };
    site.vms.iter().position(owns).expect("a VM owns the group")
}

/// Asserts what must always hold, and stops the site.
pub async fn close(site: LocalSite) {
    assert_eq!(site.evicted_in_use(), 0);
    assert_eq!(site.doubled(), 0);
    assert_eq!(site.stop().await, 0, "an invariant was violated");
}

/// The outcome and reason of a failure.
pub fn verdict(failure: &SiteFailure) -> (&str, &str) {
    (failure.outcome(), failure.reason())
}
