//! The retry budget of a VM, from what the engines get.

use coltsfoothook_demo::CompletionRequest;
use coltsfoothook_standin::{EngineFaults, RunCut};
use futures::future::join_all;

use crate::bench::{client, close, completion, small_site, until_done};

/// How many streams break.
const STREAMS: usize = 40;
/// What a VM may retry: a tenth of its requests, and ten more.
const ALLOWED: u64 = STREAMS as u64 / 10 + 10;

/// Guards against broken streams that are all resumed at their engine, whatever the budget holds.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams() {
    let site = small_site(true).await;
    let caller = client(&site, 0);
    until_done(&caller, &completion(0, "before")).await;
    for engine in &site.engines {
        engine.set_faults(EngineFaults {
            cut: RunCut::Amid,
            cut_next: 1_000,
            ..Default::default()
        });
    }
    join_all((0..STREAMS).map(|number| {
        let caller = &caller;
        async move {
            let request =
                CompletionRequest { max_tokens: 10, ..completion(0, &format!("cut {number}")) };
            // Streams beyond the budget end early, as their callers are told.
            let _ = caller.complete(&request).await;
        }
    }))
    .await;
    let resumes: u64 = site.engines.iter().map(|engine| engine.counters().resumes).sum();
    assert!(resumes <= ALLOWED, "{resumes} streams were resumed, {ALLOWED} retries are allowed");
    close(site).await;
}
