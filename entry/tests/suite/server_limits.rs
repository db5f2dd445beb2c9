//! Servers that state how many requests a second they take from all VMs together.

use std::time::Duration;

use coltsfoothook_demo::{LocalSite, SERVICE, SiteFailure, SiteSettings};
use coltsfoothook_standin::{EngineFaults, ServiceFaults, StatementFaults};
use futures::future::join_all;
use http::Method;
use tokio::time::{Instant, sleep};

use crate::bench::{client, close, completion, until_done, verdict};

/// Time in which VMs learn of a limit from answers.
const NOTICE: Duration = Duration::from_secs(1);
/// The window in which a server counts its requests.
const WINDOW: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(25);

/// Returns how many requests a server with a limit may get in [`WINDOW`].
fn allowed(per_s: f64) -> u64 {
    (1.5 * per_s * WINDOW.as_secs_f64()) as u64 + 5
}

fn limit(text: &str) -> StatementFaults {
    StatementFaults { limit: Some(text.to_owned()), ..StatementFaults::default() }
}

/// Calls the plain service through one VM after another for `period`.
async fn press_service(site: &LocalSite, period: Duration) -> Vec<Result<(), SiteFailure>> {
    let started = Instant::now();
    let mut calls = Vec::new();
    while started.elapsed() < period {
        let caller = client(site, calls.len() % 3);
        calls.push(tokio::spawn(async move {
            let path = format!("/v1/services/{SERVICE}/readings");
            caller.json(Method::GET, &path, None).await.map(drop)
        }));
        sleep(PAUSE).await;
    }
    join_all(calls).await.into_iter().map(Result::unwrap).collect()
}

/// Guards against VMs that each keep the limit of a plain service's server by themselves, or not at all.
#[tokio::test(flavor = "multi_thread")]
async fn of_plain_service() {
    let settings = SiteSettings { services: 2, ..SiteSettings::default() };
    let site = LocalSite::start(settings).await.expect("the site comes up");
    let states = limit("6");
    site.services[0].set_faults(ServiceFaults { states, ..ServiceFaults::default() });
    press_service(&site, NOTICE).await;
    let before = site.services[0].counters().calls;
    let ends = press_service(&site, WINDOW).await;
    let got = site.services[0].counters().calls - before;
    assert!(got <= allowed(6.0), "{got} calls in {WINDOW:?}");
    assert!(got >= 12, "half of what the server takes is not used: {got} calls");
    assert!(ends.iter().all(Result::is_ok), "the other server takes the rest: {ends:?}");
    site.services[0].set_faults(ServiceFaults::default());
    press_service(&site, NOTICE).await;
    let before = site.services[0].counters().calls;
    press_service(&site, NOTICE).await;
    let got = site.services[0].counters().calls - before;
    assert!(got > 10, "a limit that is no longer stated is still kept: {got} calls");
    close(site).await;
}

/// Guards against engines that get more runs than they take, and against callers that learn late that none takes theirs.
#[tokio::test(flavor = "multi_thread")]
async fn of_engines() {
    let site = LocalSite::start(SiteSettings::default()).await.expect("the site comes up");
    until_done(&client(&site, 0), &completion(0, "before")).await;
    for engine in &site.engines {
        engine.set_faults(EngineFaults { states: limit("2"), ..EngineFaults::default() });
    }
    let runs = || site.engines.iter().map(|engine| engine.counters().runs).max().unwrap();
    let (mut calls, mut before) = (Vec::new(), 0);
    let started = Instant::now();
    while started.elapsed() < NOTICE + WINDOW {
        if before == 0 && started.elapsed() > NOTICE {
            before = runs();
        }
        let caller = client(&site, calls.len() % 3);
        let request = completion(0, &format!("chiller {}", calls.len()));
        calls.push(tokio::spawn(async move {
            let sent = Instant::now();
            (caller.complete(&request).await.map(drop), sent.elapsed())
        }));
        sleep(PAUSE).await;
    }
    let got = runs() - before;
    assert!(got <= allowed(2.0), "{got} runs in {WINDOW:?}");
    let ends: Vec<_> = join_all(calls).await.into_iter().map(Result::unwrap).collect();
    let refused: Vec<_> =
        ends.iter().filter_map(|(end, took)| Some((end.as_ref().err()?, took))).collect();
    assert!(refused.len() * 2 > ends.len(), "{} of {} refused", refused.len(), ends.len());
    for (failure, took) in refused {
        assert_eq!(verdict(failure), ("not_run", "overloaded"), "{failure}");
        assert!(*took < Duration::from_secs(1), "refused after {took:?}");
    }
    close(site).await;
}
