use std::time::Duration;

use coltsfoothook_demo::CompletionRequest;
use coltsfoothook_standin::{EngineFaults, RunCut};

use crate::bench::{client, close, completion, small_site, until_done};

/// Both engines restart without adapters, one after the other, while requests continue. Repeatable
/// requests are retried; every answer is complete and from one generation.
#[tokio::test(flavor = "multi_thread")]
async fn restart_empty() {
    let site = small_site(true).await;
    let caller = client(&site, 0);
    until_done(&caller, &completion(0, "before")).await;
    for engine in &site.engines {
        engine.restart(Duration::from_millis(100));
        for number in 0..4 {
            until_done(&caller, &completion(0, &format!("after {number}"))).await;
        }
    }
    close(site).await;
}

/// An engine's connection breaks during a stream. The same run is resumed from the next token, and
/// the caller receives one complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn cut_stream() {
    let site = small_site(true).await;
    let caller = client(&site, 1);
    until_done(&caller, &completion(0, "before")).await;
    for engine in &site.engines {
        engine.set_faults(EngineFaults { cut: RunCut::Amid, cut_next: 1, ..Default::default() });
    }
    for number in 0..3 {
        let request =
            CompletionRequest { max_tokens: 40, ..completion(0, &format!("cut {number}")) };
        let read = caller.complete(&request).await.unwrap();
        crate::bench::assert_right(&request, &read);
    }
    close(site).await;
}

/// The connection breaks after the engine ran a request that must run at most once. The caller
/// receives "unknown", also for a resend, and no engine runs it twice.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_once() {
    let site = small_site(true).await;
    let caller = client(&site, 1);
    until_done(&caller, &completion(0, "before")).await;
    for engine in &site.engines {
        engine.set_faults(EngineFaults { cut: RunCut::After, cut_next: 1, ..Default::default() });
    }
    let once = CompletionRequest {
        repeatable: false,
        key: Some("incident-1".into()),
        stream: false,
        ..completion(0, "incident")
    };
    let failure = caller.complete(&once).await.unwrap_err();
    assert_eq!(failure.outcome(), "unknown", "{failure}");
    let again = client(&site, 2).complete(&once).await.unwrap_err();
    assert_eq!(again.outcome(), "unknown", "{again}");
    let repeated: u64 = site.engines.iter().map(|engine| engine.counters().repeated_keys).sum();
    assert_eq!(repeated, 0);
    close(site).await;
}
