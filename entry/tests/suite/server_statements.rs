//! Servers that state that they leave, or for how long they want no request.

use std::time::Duration;

use coltsfoothook_demo::{LocalSite, SERVICE, SiteSettings};
use coltsfoothook_standin::{EngineFaults, ServiceFaults, StatementFaults};
use http::Method;
use tokio::time::{Instant, sleep};

use crate::bench::{client, close, completion, until_done, verdict};

const PAUSE: Duration = Duration::from_millis(15);

/// Calls the plain service through all VMs in turn, and returns how many calls failed.
async fn call_service(site: &LocalSite, calls: usize) -> usize {
    let path = format!("/v1/services/{SERVICE}/readings");
    let mut failed = 0;
    for number in 0..calls {
        let ended = client(site, number % 3).json(Method::GET, &path, None).await;
        failed += usize::from(ended.is_err());
        sleep(PAUSE).await;
    }
    failed
}

async fn two_services() -> LocalSite {
    let settings = SiteSettings { services: 2, ..SiteSettings::default() };
    LocalSite::start(settings).await.expect("the site comes up")
}

/// Guards against calls to a server that has stated that it leaves and that operators have not drained.
#[tokio::test(flavor = "multi_thread")]
async fn service_leaves() {
    let site = two_services().await;
    let states = StatementFaults { leaving: true, ..StatementFaults::default() };
    site.services[0].set_faults(ServiceFaults { states, ..ServiceFaults::default() });
    assert_eq!(call_service(&site, 12).await, 0);
    let told = site.services[0].counters().calls;
    assert!(told > 0, "no VM was told");
    assert_eq!(call_service(&site, 60).await, 0);
    assert_eq!(site.services[0].counters().calls, told, "a leaving server got calls");
    close(site).await;
}

/// Guards against calls to a resting server, and against a repeatable call that fails since the first server rests.
#[tokio::test(flavor = "multi_thread")]
async fn service_rests() {
    let site = two_services().await;
    let states = StatementFaults { retry_after: Some("20".into()), ..StatementFaults::default() };
    site.services[0].set_faults(ServiceFaults { refuse: true, states, ..ServiceFaults::default() });
    assert_eq!(call_service(&site, 90).await, 0, "the other server takes the calls");
    let refused = site.services[0].counters().refused;
    assert!(
        (1..=3).contains(&refused),
        "{refused} calls reached a server that each VM had to leave alone"
    );
    close(site).await;
}

/// Guards against runs at an engine that leaves, and against callers that wait for one that rests.
#[tokio::test(flavor = "multi_thread")]
async fn engines_leave_and_rest() {
    let site = LocalSite::start(SiteSettings::default()).await.expect("the site comes up");
    until_done(&client(&site, 0), &completion(0, "before")).await;
    let states = StatementFaults { leaving: true, ..StatementFaults::default() };
    site.engines[0].set_faults(EngineFaults { states, ..EngineFaults::default() });
    for number in 0..12 {
        until_done(&client(&site, number % 3), &completion(0, &format!("told {number}"))).await;
    }
    let told = site.engines[0].counters().runs;
    for number in 0..12 {
        until_done(&client(&site, number % 3), &completion(0, &format!("later {number}"))).await;
    }
    assert!(site.engines[0].counters().runs <= told + 2, "a leaving engine got runs");
    let states = StatementFaults { retry_after: Some("20".into()), ..StatementFaults::default() };
    site.engines[1].set_faults(EngineFaults { refuse: true, states, ..EngineFaults::default() });
    for number in 0..30 {
        let sent = Instant::now();
        let ended = client(&site, number % 3).complete(&completion(0, "resting")).await;
        let failure = ended.expect_err("both engines want no request");
        assert_eq!(verdict(&failure).0, "not_run", "{failure}");
        if number >= 6 {
            assert!(
                sent.elapsed() < Duration::from_millis(400),
                "refused after {:?}",
                sent.elapsed()
            );
        }
    }
    let refused = site.engines[1].counters().refused_runs;
    assert!(refused <= 6, "{refused} runs reached an engine that each VM had to leave alone");
    close(site).await;
}

/// Guards against "not run" for a call that one server ran, lost the answer of, and no other server wants.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_true() {
    let site = two_services().await;
    let limit = StatementFaults { limit: Some("1".into()), ..StatementFaults::default() };
    let limited = ServiceFaults { states: limit, ..ServiceFaults::default() };
    site.services[0].set_faults(limited.clone());
    let states = StatementFaults { retry_after: Some("60".into()), ..StatementFaults::default() };
    site.services[1].set_faults(ServiceFaults { refuse: true, states, ..ServiceFaults::default() });
    call_service(&site, 30).await;
    site.services[0].set_faults(ServiceFaults { cut_after: 1_000, ..limited });
    let path = format!("/v1/services/{SERVICE}/readings");
    let mut ran_and_failed = 0;
    for number in 0..200 {
        let before = site.services[0].counters().calls;
        let ended = client(&site, number % 3).json(Method::GET, &path, None).await;
        let failure = ended.expect_err("no server answers");
        if site.services[0].counters().calls > before {
            assert_ne!(verdict(&failure).0, "not_run", "{failure}");
            ran_and_failed += 1;
        }
        sleep(PAUSE).await;
    }
    assert!(ran_and_failed > 0, "no call ran");
    close(site).await;
}
