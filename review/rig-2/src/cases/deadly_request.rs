//! All gateways are killed at once after a request has crashed three servers, and its caller sends it on.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::fleet::{Fleet, OtherCallers};
use super::{BROKEN, HELD, NOT_RUN};
use crate::store::Store;
use crate::world::{Addresses, Crash, Folder, Gateway, Log, MODEL, configuration};

const GATEWAYS: usize = 3;
const SERVERS: usize = 5;
/// How long a server that crashed is down.
const DOWN_TIME: Duration = Duration::from_millis(2_000);
/// How long the gateways are down.
const KILLED_TIME: Duration = Duration::from_millis(1_200);
/// `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// The most retries that may reach servers after the third crash.
const ALLOWED: usize = 3;
/// The interval at which the caller sends the request again.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// How long the caller goes on after the gateways are back.
const PLAYED: Duration = Duration::from_secs(45);

/// The headers of the request, whose prompt has a part of its caller and one of its own.
fn headers(model: &str) -> [(&str, &str); 3] {
    [
        ("coltsfoothook-model", model),
        ("coltsfoothook-token-count", "900,40"),
        ("coltsfoothook-prompt-prefix", "5c1e07a2:640,91bd3f06:260"),
    ]
}

pub fn play(root: &Path, has_trouble: bool, log: &Log) -> u8 {
    let folder = Folder::new();
    let store = Store::start();
    store.write("keyed.op", "config", Some(&configuration(1)));
    let fleet = Fleet::start(&store, SERVERS, Crash::default(), DOWN_TIME, log);
    let addresses = Addresses::find(GATEWAYS);
    let start = |number, bootstrap| {
        Gateway::start(root, &folder.0, &store, &addresses, number, bootstrap, log)
    };
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|number| start(number, true)).collect();
    let ports: Vec<_> = gateways.iter().map(|gateway| gateway.requests).collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        log.line("the gateways are not ready");
        return NOT_RUN;
    }
    sleep(Duration::from_secs(5));
    let runs = std::sync::Mutex::new(Vec::<(Instant, String)>::new());
    let others = OtherCallers::default();
    let result = std::thread::scope(|scope| {
        scope.spawn(|| fleet.keep(log));
        scope.spawn(|| others.call(&fleet, &ports, scope));
        let result = drive(&fleet, &mut gateways, &ports, start, has_trouble, &others, &runs, log);
        fleet.ended.store(true, Ordering::SeqCst);
        result
    });
    others.log(log);
    result
}

#[allow(clippy::too_many_arguments)]
fn drive(
    fleet: &Fleet,
    gateways: &mut Vec<Gateway>,
    ports: &[std::net::SocketAddr],
    start: impl Fn(usize, bool) -> Gateway,
    has_trouble: bool,
    others: &OtherCallers,
    runs: &std::sync::Mutex<Vec<(Instant, String)>>,
    log: &Log,
) -> u8 {
    let mut number = 0;
    let send = |number: usize| {
        let id = format!("d-{number}");
        let port = ports[number % ports.len()];
        let mut all = vec![
            ("host", crate::world::HOST),
            ("coltsfoothook-request-id", id.as_str()),
            ("coltsfoothook-deadline-ms", "4000"),
        ];
        all.extend_from_slice(&headers(MODEL));
        let limit = Duration::from_secs(5);
        let sent = Instant::now();
        let answer = crate::http::call(port, "POST", "/once/deadly", &all, b"{\"d\":1}", limit);
        let ran = fleet.ran_at(&id);
        let at = ran.as_deref().map_or("no server".to_owned(), |name| format!("server {name}"));
        log.line(format!(
            "the request, as {id} to front-{}: answered {}, run by {at}",
            number % ports.len() + 1,
            answer.status,
        ));
        if ran.is_some() {
            runs.lock().unwrap().push((sent, id));
        }
    };
    // Until it has crashed three servers.
    let until = Instant::now() + Duration::from_secs(30);
    while runs.lock().unwrap().len() < 3 && Instant::now() < until {
        number += 1;
        send(number);
        sleep(RETRY_INTERVAL);
    }
    let third = match runs.lock().unwrap().get(2) {
        Some((at, _)) => *at,
        None => return NOT_RUN,
    };
    log.line("it has crashed the third server");
    if has_trouble {
        sleep(Duration::from_millis(500));
        others.pause(true);
        gateways.iter_mut().for_each(|gateway| gateway.process.kill());
        log.line("all gateways are killed");
        sleep(KILLED_TIME);
        *gateways = (0..GATEWAYS).map(|number| start(number, false)).collect();
        if !gateways.iter().all(Gateway::wait_ready) {
            log.line("the gateways are not ready");
            return NOT_RUN;
        }
        others.pause(false);
        log.line("all gateways are ready again");
    }
    // From then on all machines are in touch.
    sleep(STABLE_WINDOW + Duration::from_millis(500));
    let from = Instant::now().max(third + STABLE_WINDOW);
    let before = fleet.crashes();
    log.line("all machines are in touch; the caller goes on");
    while from.elapsed() < PLAYED {
        number += 1;
        send(number);
        sleep(RETRY_INTERVAL);
    }
    let retries = runs.lock().unwrap().iter().filter(|(at, _)| *at >= from).count();
    log.line(format!(
        "{retries} retries reached servers later than {} ms after the third crash, of {ALLOWED} allowed; {} more servers crashed",
        STABLE_WINDOW.as_millis(),
        fleet.crashes() - before,
    ));
    if retries > ALLOWED { BROKEN } else { HELD }
}
