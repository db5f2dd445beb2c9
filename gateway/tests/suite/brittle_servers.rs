//! Servers that fall over when they have to turn many requests away.

use std::time::{Duration, Instant};

use crate::press::{press, three_gateways};
use crate::server::BrittleRoom;
use crate::site::Site;

/// How long after servers first said that they are brittle they may still fall over.
const NOTICE: Duration = Duration::from_secs(3);
const ROOM: BrittleRoom =
    BrittleRoom { places: 8, run_time: Duration::from_millis(150), breaks_beyond: 6 };
/// More than the servers can run.
const PAUSE: Duration = Duration::from_millis(5);

/// Guards against VMs that together turn a server over which says that it is brittle.
#[tokio::test(flavor = "multi_thread")]
async fn not_turned_over() {
    let site = Site::start(0, 2).await;
    let gateways = three_gateways(&site).await;
    site.plain.iter().for_each(|server| server.state_brittle(ROOM));
    let started = Instant::now();
    let mut heartbeats = site;
    let pressed = press(&gateways, "press", PAUSE, Duration::from_secs(8));
    let registered = async {
        loop {
            tokio::time::sleep(Duration::from_millis(200)).await;
            heartbeats.register("ready");
        }
    };
    let answers = tokio::select! {
        answers = pressed => answers,
        () = registered => unreachable!("it never ends"),
    };
    let falls = heartbeats.plain.iter().flat_map(|server| server.falls());
    let falls = falls.filter(|at| *at > started + NOTICE).count();
    assert!(falls <= 2, "servers fell over {falls} times");
    let served = answers.iter().filter(|timed| timed.answer.status == 200).count();
    assert!(served * 4 >= answers.len(), "{served} of {} served", answers.len());
}
