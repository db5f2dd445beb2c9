//! A server that leaves as planned crashes while it writes an answer without a length.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{BROKEN, HELD, NOT_RUN};
use crate::http::Answer;
use crate::server::whole_body;
use crate::store::Store;
use crate::world::{Addresses, Crash, Folder, Gateway, Log, Server, configuration};

/// How a server leaves as planned.
#[derive(Clone, Copy, PartialEq)]
enum Leaving {
    /// It reports that it drains.
    Draining,
    /// Its entry is removed without that.
    Removed,
}

/// The paths of the requests, and how their servers leave.
const ROUNDS: [(&str, Leaving); 5] = [
    ("/once/halves", Leaving::Draining),
    ("/safe/halves", Leaving::Draining),
    ("/stream/events", Leaving::Draining),
    ("/resumed/events", Leaving::Draining),
    ("/once/halves", Leaving::Removed),
];
/// How many servers take requests. One of them crashes at a time.
const SERVERS: usize = 5;
/// How long after its report, or the removal of its entry, a server is killed. It is to serve for `drain_ms` (2 s) and
/// longer.
const CRASH_AFTER: Duration = Duration::from_millis(1_300);
/// The time between two rounds.
const PAUSE: Duration = Duration::from_millis(2_000);
const DEADLINE_MS: u64 = 9_000;

pub fn play(root: &Path, has_trouble: bool, log: &Log) -> u8 {
    let folder = Folder::new();
    let store = Store::start();
    store.write("keyed.op", "config", Some(&configuration(1)));
    let mut servers: Vec<Server> = (0..SERVERS).map(|number| start(&store, number)).collect();
    let gateway = Gateway::start(root, &folder.0, &store, &Addresses::find(1), 0, true, log);
    if !gateway.wait_ready() {
        log.line("the gateway is not ready");
        return NOT_RUN;
    }
    sleep(Duration::from_secs(4));
    let mut broken = 0;
    for (number, (path, leaving)) in ROUNDS.into_iter().enumerate() {
        let id = format!("r-{number}");
        let (answer, ran) = std::thread::scope(|scope| {
            let client = scope.spawn(|| gateway.request(path, &id, DEADLINE_MS, &[]));
            log.line(format!("client sends {id} to {path}"));
            let ran = disrupt(&store, &mut servers, &id, leaving, has_trouble, log);
            (client.join().unwrap_or_default(), ran)
        });
        if !ran {
            log.line(format!("{id} ran at no server"));
            return NOT_RUN;
        }
        broken += usize::from(is_broken(path, &id, &answer, log));
        sleep(PAUSE);
    }
    if broken > 0 { BROKEN } else { HELD }
}

fn start(store: &Store, number: usize) -> Server {
    Server::start(store, &format!("i-{number}"), Crash::default())
}

/// Replaces the server that runs a request by a new one, and kills it while it leaves. Returns whether one runs it.
fn disrupt(
    store: &Store,
    servers: &mut Vec<Server>,
    id: &str,
    leaving: Leaving,
    has_trouble: bool,
    log: &Log,
) -> bool {
    let until = Instant::now() + Duration::from_secs(3);
    let at = loop {
        if let Some(at) = servers.iter().position(|server| server.ran(id)) {
            break at;
        }
        if Instant::now() > until {
            return false;
        }
        sleep(Duration::from_millis(5));
    };
    log.line(format!("{} runs {id}", servers[at].name));
    let new = start(store, servers.len());
    log.line(format!("{} starts, to take the place of {}", new.name, servers[at].name));
    servers.push(new);
    let server = &servers[at];
    if leaving == Leaving::Draining {
        server.drain();
        log.line(format!("{} reports that it drains", server.name));
    } else {
        server.remove_entry();
        log.line(format!("the entry of {} is removed; it goes on serving", server.name));
    }
    if has_trouble {
        sleep(CRASH_AFTER);
        server.crash();
        log.line(format!("{} is killed, {} ms later", server.name, CRASH_AFTER.as_millis()));
    }
    true
}

/// Judges an answer: a success must be the server's whole body, and one that ends early must not look complete.
pub fn is_broken(path: &str, id: &str, answer: &Answer, log: &Log) -> bool {
    let whole = whole_body(path, id);
    let seal = answer.header("coltsfoothook-server-seal").unwrap_or("none");
    log.line(format!(
        "client gets {} to {id}: seal {seal}, {} bytes of {}, {} {}",
        answer.status,
        answer.body.len(),
        whole.len(),
        if answer.whole { "complete by its framing" } else { "cut" },
        answer.cause,
    ));
    let is_success = (200..300).contains(&answer.status) && answer.whole;
    let broken = is_success && answer.body != whole;
    if broken {
        log.line(format!(
            "broken: {id} is a success that looks complete, without the end of its body"
        ));
    }
    broken
}
