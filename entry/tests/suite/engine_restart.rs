use std::time::Duration;

use coltsfoothook_demo::CompletionAsk;
use coltsfoothook_standin::{EngineFaults, RunCut};

use crate::bench::{ask, client, close, small_site, until_done};

/// Both engines restart empty, one after the other, while callers go on. Requests that may be
/// repeated are tried again; every answer is whole and from one generation.
#[tokio::test(flavor = "multi_thread")]
async fn restart_empty() {
    let site = small_site(true).await;
    let caller = client(&site, 0);
    until_done(&caller, &ask(0, "before")).await;
    for engine in &site.engines {
        engine.restart(Duration::from_millis(100));
        for number in 0..4 {
            until_done(&caller, &ask(0, &format!("after {number}"))).await;
        }
    }
    close(site).await;
}

/// An engine's connection breaks in the middle of a stream. The same run is read on from the next
/// token, and the caller sees one whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn cut_stream() {
    let site = small_site(true).await;
    let caller = client(&site, 1);
    until_done(&caller, &ask(0, "before")).await;
    for engine in &site.engines {
        engine.set_faults(EngineFaults { cut: RunCut::Amid, cut_next: 1, ..Default::default() });
    }
    for number in 0..3 {
        let asked = CompletionAsk { max_tokens: 40, ..ask(0, &format!("cut {number}")) };
        let read = caller.complete(&asked).await.unwrap();
        crate::bench::assert_right(&asked, &read);
    }
    close(site).await;
}

/// The connection breaks after the engine ran a request that must not run twice. The caller is told
/// "unknown" and the engine ran it once.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_once() {
    let site = small_site(true).await;
    let caller = client(&site, 1);
    until_done(&caller, &ask(0, "before")).await;
    for engine in &site.engines {
        engine.set_faults(EngineFaults { cut: RunCut::After, cut_next: 1, ..Default::default() });
    }
    let once = CompletionAsk {
        repeatable: false,
        key: Some("incident-1".into()),
        stream: false,
        ..ask(0, "incident")
    };
    let failure = caller.complete(&once).await.unwrap_err();
    assert_eq!(failure.outcome(), "unknown", "{failure}");
    let again = client(&site, 2).complete(&once).await.unwrap_err();
    assert_eq!(again.outcome(), "unknown", "{again}");
    let repeated: u64 = site.engines.iter().map(|engine| engine.counters().repeated_keys).sum();
    assert_eq!(repeated, 0);
    close(site).await;
}
