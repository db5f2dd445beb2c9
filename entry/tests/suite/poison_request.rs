use coltsfoothook_demo::{CompletionRequest, LocalSite, SiteSettings};
use coltsfoothook_standin::EngineFaults;

use crate::bench::{assert_right, client, close, completion, until_done};

const MARK: &str = "POISON";

/// A request crashes each engine that runs it. Its caller repeats it with new ids through all VMs
/// while other requests run. It crashes at most two engines, it is condemned, and all other
/// requests succeed.
#[tokio::test(flavor = "multi_thread")]
async fn two_crashes() {
    let mut settings = SiteSettings { engines: 4, ..Default::default() };
    settings.engine.step_us = 2_000;
    let site = LocalSite::start(settings).await.unwrap();
    let faults =
        EngineFaults { crash_mark: Some(MARK.into()), crash_down_ms: 300, ..Default::default() };
    for engine in &site.engines {
        engine.set_faults(faults.clone());
    }
    let good = (0..3).map(|vm| {
        let caller = client(&site, vm);
        tokio::spawn(async move {
            for number in 0..20 {
                let request = completion(2 * (number % 2), &format!("good {vm} {number}"));
                let read = until_done(&caller, &request).await;
                assert_right(&request, &read);
            }
        })
    });
    let good: Vec<_> = good.collect();
    let poison = CompletionRequest { deadline_ms: Some(20_000), ..completion(0, MARK) };
    let mut last = None;
    for number in 0..12 {
        let failure = client(&site, number % 3).complete(&poison).await.unwrap_err();
        last = Some(failure);
    }
    for run in good {
        run.await.unwrap();
    }
    let crashes: u64 = site.engines.iter().map(|engine| engine.counters().crashes).sum();
    assert!(crashes <= 2, "one request crashed {crashes} engines");
    let last = last.unwrap();
    assert_eq!((last.outcome(), last.reason()), ("not_run", "condemned"), "{last}");
    close(site).await;
}
