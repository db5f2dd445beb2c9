//! Servers that state in their answers that they leave.

use std::time::{Duration, Instant};

use crate::press::{press, three_gateways};
use crate::site::{Site, eventually};

/// How long requests may still reach a server after an answer stated that it leaves; operators allow two seconds.
const NOTICE: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(15);

/// Guards against work for a server whose entry does not say yet that it leaves, since the store is down.
#[tokio::test]
async fn entry_comes_late() {
    let mut site = Site::start(0, 2).await;
    let gateways = three_gateways(&site).await;
    site.store.set_unresponsive(true);
    let leaving = site.plain[0].clone();
    leaving.state_leaving();
    press(&gateways, "told", PAUSE, Duration::from_millis(300)).await;
    let told = Instant::now();
    let answers = press(&gateways, "leaving", PAUSE, Duration::from_secs(3)).await;
    let late = leaving.arrivals_since(told + NOTICE).len();
    assert_eq!(late, 0, "requests reached a server that had stated that it leaves");
    let served = answers.iter().filter(|timed| timed.answer.status == 200).count();
    assert_eq!(served, answers.len(), "the other server takes all requests");
    // An entry from before must not make it ready again.
    site.store.set_unresponsive(false);
    site.register("ready");
    press(&gateways, "old entry", PAUSE, Duration::from_secs(2)).await;
    assert_eq!(leaving.arrivals_since(told + NOTICE).len(), 0, "an old entry made it ready again");
}

/// Guards against VMs that each have to send a leaving server a request before they learn of it.
#[tokio::test]
async fn reported_to_others() {
    let site = Site::start(0, 2).await;
    let gateways = three_gateways(&site).await;
    let leaving = site.plain[0].clone();
    leaving.state_leaving();
    let stated = async || {
        press(&gateways[..1], "one", PAUSE, Duration::from_millis(100)).await;
        !leaving.arrivals_since(Instant::now() - Duration::from_secs(5)).is_empty()
    };
    eventually("one VM is told", stated).await;
    let told = Instant::now();
    press(&gateways[..1], "other", PAUSE, NOTICE).await;
    press(&gateways[1..], "others", PAUSE, Duration::from_secs(1)).await;
    assert_eq!(leaving.arrivals_since(told + NOTICE).len(), 0, "a VM was not told by the others");
}

/// Guards against a server that is left alone for good after it restarted under its name.
#[tokio::test]
async fn back_after_restart() {
    let mut site = Site::start(0, 1).await;
    let gateways = three_gateways(&site).await;
    let server = site.plain[0].clone();
    server.state_leaving();
    press(&gateways, "told", PAUSE, Duration::from_millis(300)).await;
    let refused = async || gateways[0].call("/safe/x", "refused", &[]).await.status == 503;
    eventually("nothing is sent to it", refused).await;
    server.restart();
    site.register_restarted(&server, "plain");
    let served = async || gateways[0].call("/safe/x", "again", &[]).await.status == 200;
    eventually("the restarted server serves", served).await;
}
