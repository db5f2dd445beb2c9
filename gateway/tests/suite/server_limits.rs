//! Servers that state how many requests a second they take from all VMs together.

use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::time::sleep;

use crate::press::{TimedAnswer, many_gateways, press, three_gateways};
use crate::server::{ServerMode, StandinServer};
use crate::site::{Site, eventually};

/// How long VMs have to keep to a limit after a server stated it first.
const NOTICE: Duration = Duration::from_secs(3);
/// The window in which a server counts its requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns how many requests a server with a limit may get in [`WINDOW`].
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64()) as usize + 5
}

/// Guards against VMs that each keep a server's limit by themselves, or not at all.
#[tokio::test]
async fn shared_by_vms() {
    let site = Site::start(0, 2).await;
    let gateways = three_gateways(&site).await;
    press(&gateways, "before", Duration::from_millis(20), Duration::from_millis(500)).await;
    let (limited, stated) = (&site.plain[0], Instant::now());
    limited.state_limit(Some("4"));
    let answers =
        press(&gateways, "limited", Duration::from_millis(12), Duration::from_secs(9)).await;
    let most = limited.most_arrivals(WINDOW, stated + NOTICE);
    assert!(most <= allowed(4.0), "{most} requests in {WINDOW:?}");
    assert!(most >= 8, "half of what the server takes is not used: {most} requests");
    let served = answers.iter().filter(|timed| timed.answer.status == 200).count();
    assert_eq!(served, answers.len(), "the other server takes the rest");
    limited.state_limit(None);
    let lifted = Instant::now();
    press(&gateways, "lifted", Duration::from_millis(12), Duration::from_secs(2)).await;
    let after = limited.arrivals_since(lifted + Duration::from_secs(1)).len();
    assert!(after > 15, "a limit that is no longer stated is still kept: {after} requests");
}

/// Guards against requests that wait for a server at its limit until their callers give up, and against refused ones
/// that ran.
#[tokio::test]
async fn refused_early() {
    let site = Site::start(0, 1).await;
    let gateways = three_gateways(&site).await;
    let (limited, stated) = (&site.plain[0], Instant::now());
    limited.state_limit(Some("3"));
    let answers = press(&gateways, "call", Duration::from_millis(25), Duration::from_secs(8)).await;
    let most = limited.most_arrivals(WINDOW, stated + NOTICE);
    assert!(most <= allowed(3.0), "{most} requests in {WINDOW:?}");
    let refused: Vec<&TimedAnswer> =
        answers.iter().filter(|timed| timed.answer.status == 503).collect();
    assert!(refused.len() * 2 > answers.len(), "{} of {} refused", refused.len(), answers.len());
    for timed in &refused {
        assert!(timed.took < Duration::from_millis(400), "refused after {:?}", timed.took);
        let retry = timed.answer.retry_after.as_ref().expect("the caller learns when to come back");
        assert!(retry.parse::<f64>().unwrap() > 0.0);
    }
    let ran = limited.runs().len();
    assert_eq!(ran + refused.len(), answers.len(), "a request was refused and ran, or was lost");
}

/// Guards against a limit that outlives the start of the server that stated it, and against one that an unreadable
/// value, a refusal or a failure lifts.
#[tokio::test]
async fn belongs_to_start() {
    let mut site = Site::start(0, 1).await;
    let gateways = three_gateways(&site).await;
    let limited: StandinServer = site.plain[0].clone();
    limited.state_limit(Some("2"));
    press(&gateways, "first", Duration::from_millis(25), Duration::from_secs(2)).await;
    limited.state_limit(Some("soon"));
    let unreadable = Instant::now();
    press(&gateways, "unreadable", Duration::from_millis(25), Duration::from_secs(5)).await;
    let most = limited.most_arrivals(WINDOW, unreadable);
    assert!(most <= allowed(2.0), "an unreadable value lifted the limit: {most} requests");
    limited.state_limit(None);
    limited.set_mode(ServerMode::Full);
    let full = Instant::now();
    press(&gateways, "full", Duration::from_millis(25), Duration::from_secs(5)).await;
    let most = limited.most_arrivals(WINDOW, full);
    assert!(most <= allowed(2.0), "a refusal lifted the limit: {most} requests");
    limited.set_mode(ServerMode::Fails);
    let failing = Instant::now();
    press(&gateways, "failing", Duration::from_millis(25), Duration::from_secs(5)).await;
    let most = limited.most_arrivals(WINDOW, failing);
    assert!(most <= allowed(2.0), "a failure lifted the limit: {most} requests");
    limited.set_mode(ServerMode::Normal);
    limited.restart();
    site.register_restarted(&limited, "plain");
    let serves = async || {
        let answers =
            press(&gateways, "again", Duration::from_millis(25), Duration::from_millis(500)).await;
        answers.iter().all(|timed| timed.answer.status == 200)
    };
    eventually("the restarted server takes all requests", serves).await;
}

/// Guards against VMs of a large fleet that each send a request on the same last bit of a server's limit.
#[tokio::test(flavor = "multi_thread")]
async fn jump_at_many_vms() {
    let site = Site::start(0, 1).await;
    let gateways = many_gateways(&site, 30).await;
    let (limited, stated) = (&site.plain[0], Instant::now());
    limited.state_limit(Some("2"));
    press(&gateways, "told", Duration::from_millis(50), NOTICE).await;
    for round in 0..3 {
        sleep(Duration::from_secs(2)).await;
        let at_once = gateways.iter().map(|gateway| gateway.call("/safe/x", "jump", &[]));
        join_all(at_once).await;
        let name = format!("after-{round}");
        press(&gateways, &name, Duration::from_millis(10), Duration::from_secs(2)).await;
    }
    let most = limited.most_arrivals(WINDOW, stated + NOTICE);
    assert!(most <= allowed(2.0), "{most} requests in {WINDOW:?}");
    assert!(most >= 4, "half of what the server takes is not used: {most} requests");
}

/// Guards against a VM that starts and knows no limit until it has sent to the server itself.
#[tokio::test]
async fn told_at_start() {
    let site = Site::start(0, 1).await;
    let gateways = three_gateways(&site).await;
    let limited = &site.plain[0];
    limited.state_limit(Some("2"));
    press(&gateways, "told", Duration::from_millis(50), Duration::from_secs(2)).await;
    sleep(Duration::from_secs(2)).await;
    let started = site.gateway("vm-4", &[&gateways[0]]).await;
    started.wait_ready().await;
    sleep(Duration::from_millis(500)).await;
    let from = Instant::now();
    join_all((0..20).map(|call| {
        let id = format!("first-{call}");
        let started = &started;
        async move { started.call("/safe/x", &id, &[]).await }
    }))
    .await;
    let sent = limited.arrivals_since(from).len();
    assert!(sent <= 5, "{sent} requests of a VM that has just started");
}
