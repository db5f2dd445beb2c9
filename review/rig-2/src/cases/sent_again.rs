//! A request crashes each server that runs it, and its caller sends it again and again.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::fleet::{Fleet, OtherCallers};
use super::{BROKEN, HELD, NOT_RUN};
use crate::http::{Answer, call};
use crate::store::Store;
use crate::world::{Addresses, Crash, Folder, Gateway, HOST, Log, configuration};

const GATEWAYS: usize = 3;
const SERVERS: usize = 6;
/// `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// The most retries that may reach servers after the third crash.
const ALLOWED: usize = 3;
/// The text that all callers send, and where.
const TEXT: &[u8] = b"{\"prompt\":\"Which alarms came in since the last shift?\"}";
const TARGET: &str = "/once/ask";
/// The adapter on which the text crashes its server, and the one on which it completes.
const DEADLY: &str = "m0/a1";
const SOUND: &str = "m0/a2";
/// The interval at which its caller sends the request again, and that of those who send the text to the other adapter.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
const SOUND_INTERVAL: Duration = Duration::from_millis(250);
const PLAYED: Duration = Duration::from_secs(40);

fn ask(port: SocketAddr, id: &str, model: &str) -> Answer {
    let headers = [
        ("host", HOST),
        ("coltsfoothook-request-id", id),
        ("coltsfoothook-deadline-ms", "4000"),
        ("coltsfoothook-model", model),
        ("coltsfoothook-token-count", "300,40"),
    ];
    call(port, "POST", TARGET, &headers, TEXT, Duration::from_secs(5))
}

/// What a case adds to that.
#[derive(Clone, Copy)]
pub enum Variant {
    /// Other callers send the same text to another adapter, where it completes.
    SameText,
    /// The process of a server lives on for a moment after it has closed the connection of the request that crashes it.
    SlowEnd,
}

/// How long it lives on, in milliseconds.
const TEARDOWN_MS: u64 = 200;
/// How long a server that crashed is down, and the same where its process ends slowly.
const DOWN_TIME: Duration = Duration::from_millis(2_000);
const SLOW_DOWN_TIME: Duration = Duration::from_millis(4_000);

pub fn play(root: &Path, has_trouble: bool, variant: Variant, log: &Log) -> u8 {
    let folder = Folder::new();
    let store = Store::start();
    store.write("keyed.op", "config", Some(&configuration(1)));
    let down = match variant {
        Variant::SameText => DOWN_TIME,
        Variant::SlowEnd => SLOW_DOWN_TIME,
    };
    let crash = Crash {
        in_answers: false,
        model: has_trouble.then_some(DEADLY),
        teardown_ms: matches!(variant, Variant::SlowEnd).then_some(TEARDOWN_MS),
    };
    let fleet = Fleet::start(&store, SERVERS, crash, down, log);
    let addresses = Addresses::find(GATEWAYS);
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| Gateway::start(root, &folder.0, &store, &addresses, number, true, log))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        log.line("the gateways are not ready");
        return NOT_RUN;
    }
    sleep(Duration::from_secs(5));
    let ports: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.requests).collect();
    let runs: Mutex<Vec<Instant>> = Mutex::default();
    let (served, lost) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let others = OtherCallers::default();
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.keep(log));
        scope.spawn(|| others.call(&fleet, &ports, scope));
        scope.spawn(|| {
            if matches!(variant, Variant::SlowEnd) {
                return;
            }
            for number in 0.. {
                if fleet.ended.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("s-{number}");
                let answer = ask(ports[number % GATEWAYS], &id, SOUND);
                if answer.status == 200 && answer.whole {
                    served.fetch_add(1, Ordering::SeqCst);
                } else if fleet.ran_at(&id).is_some() {
                    lost.fetch_add(1, Ordering::SeqCst);
                }
                sleep(SOUND_INTERVAL);
            }
        });
        let begun = Instant::now();
        let mut number = 0;
        while begun.elapsed() < PLAYED {
            let id = format!("d-{number}");
            let (at, sent) = (number % GATEWAYS, Instant::now());
            let answer = ask(ports[at], &id, DEADLY);
            let ran = fleet.ran_at(&id);
            log.line(format!(
                "the request, as {id} to front-{}: answered {}, run by {}",
                at + 1,
                answer.status,
                ran.as_deref().unwrap_or("no server"),
            ));
            if ran.is_some() {
                runs.lock().unwrap().push(sent);
            }
            number += 1;
            sleep(RETRY_INTERVAL);
        }
        fleet.ended.store(true, Ordering::SeqCst);
    });
    others.log(log);
    let (served, lost) = (served.into_inner(), lost.into_inner());
    if matches!(variant, Variant::SameText) {
        log.line(format!(
            "the same text for {SOUND}: {served} served, {lost} lost that a server had begun to run"
        ));
        if served == 0 {
            return NOT_RUN;
        }
    }
    let crashes = fleet.crashes();
    let runs = runs.into_inner().unwrap();
    if crashes < 3 {
        log.line(format!("{crashes} servers crashed"));
        return HELD;
    }
    let late = runs.iter().filter(|at| **at > runs[2] + STABLE_WINDOW).count();
    log.line(format!(
        "{crashes} servers crashed; {late} retries reached servers later than {} ms after the third crash, of {ALLOWED} \
         allowed",
        STABLE_WINDOW.as_millis(),
    ));
    if late > ALLOWED { BROKEN } else { HELD }
}
