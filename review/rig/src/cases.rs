//! The cases.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::client::{Answer, Call, Connection, call};
use crate::record::Record;
use crate::server::{MODEL, body_bytes};
use crate::site::{Gateway, Server, Site, configuration};

/// Whether the rule of a case was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Plays a case, without its disruption unless `trouble`.
pub fn play(name: &str, folder: &Path, record: Record, trouble: bool) -> Verdict {
    record.line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let site = Site::start(folder, record);
    site.configure(&configuration());
    match name {
        "term-cuts-answer" => term_cuts_answer(&site, trouble),
        "lengths-disagree" => lengths_disagree(&site, trouble),
        "crash-cuts-plain-answer" => crash_cuts_plain_answer(&site, trouble),
        "notice-cuts-stream" => notice_cuts_stream(&site, trouble),
        _ => Verdict::NotRun,
    }
}

/// How long all is calm before the first request: longer than `stable_window_ms`, 3 s.
const CALM: Duration = Duration::from_secs(4);

/// Starts servers and a gateway, and waits until it is ready and all has been calm for [`CALM`].
fn start(site: &Site, names: &[&str], service: &str) -> Option<(Vec<Server>, Gateway)> {
    let servers = names.iter().map(|name| site.server(name, service)).collect();
    let gateway = site.gateway("front-z1-1");
    if !gateway.wait_ready() {
        site.record.line("the gateway is not ready");
        return None;
    }
    site.record.line("the gateway is ready");
    std::thread::sleep(CALM);
    Some((servers, gateway))
}

/// Takes the server that runs a request out of `servers`.
fn runner_of(site: &Site, servers: &mut Vec<Server>, id: &str) -> Option<Server> {
    let line = site.record.wait_for(&format!(" runs {id} "))?;
    let at =
        servers.iter().position(|server| line.contains(&format!("server {} ", server.name)))?;
    Some(servers.remove(at))
}

fn log_answer(site: &Site, id: &str, answer: &std::io::Result<Answer>) {
    let text = match answer {
        Ok(answer) => answer.text(),
        Err(error) => format!("no answer: {error}"),
    };
    site.record.line(&format!("client gets for {id}: {text}"));
}

/// The bytes of each answer, and how many of them the clients read in a second.
const ANSWER_BYTES: usize = 5_000_000;
const SLOW_BYTES_PER_S: usize = 1_000_000;

/// The process gets SIGTERM while clients read answers that their server has given whole.
fn term_cuts_answer(site: &Site, trouble: bool) -> Verdict {
    let Some((_servers, mut gateway)) = start(site, &["i-a1", "i-a2"], "fieldapp") else {
        return Verdict::NotRun;
    };
    let address = gateway.requests;
    let path = format!("/read/whole/{ANSWER_BYTES}");
    let answers = std::thread::scope(|scope| {
        let clients: Vec<_> = ["c1", "c2", "c3"]
            .into_iter()
            .map(|id| {
                let path = path.as_str();
                site.record.line(&format!(
                    "client sends {id}, POST {path}, and reads {SLOW_BYTES_PER_S} bytes a second"
                ));
                let slow = Call {
                    method: "POST",
                    path,
                    id,
                    model: None,
                    bytes_per_s: Some(SLOW_BYTES_PER_S),
                };
                (id, scope.spawn(move || call(address, &slow)))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(500));
        if trouble {
            site.record.line("the gateway gets SIGTERM; grace_s is 8");
            gateway.process.terminate();
            let from = Instant::now();
            while !gateway.process.has_ended() && from.elapsed() < Duration::from_secs(8) {
                std::thread::sleep(Duration::from_millis(20));
            }
            site.record.line(&format!(
                "the gateway's process has ended {} ms after SIGTERM",
                from.elapsed().as_millis()
            ));
        }
        let joined = clients.into_iter().map(|(id, client)| (id, client.join().expect("a client")));
        joined.collect::<Vec<_>>()
    });
    let mut verdict = Verdict::Held;
    for (id, answer) in &answers {
        log_answer(site, id, answer);
        let whole = answer
            .as_ref()
            .is_ok_and(|a| a.status == 200 && a.complete && a.body == body_bytes(ANSWER_BYTES));
        if !whole {
            verdict = Verdict::Broken;
        }
    }
    verdict
}

/// The bytes of an answer, as on the sheets; how many clients send how many requests, each on one connection.
const PLAIN_BYTES: usize = 800;
const CLIENTS: usize = 4;
const REQUESTS: usize = 60;

/// One of three servers spoils one in fifty of its answers: it states a length beside its chunks, another one than
/// they have.
fn lengths_disagree(site: &Site, trouble: bool) -> Verdict {
    let _spoiling = site.spoiling_server("i-d0", "fieldapp", trouble);
    let Some((_servers, gateway)) = start(site, &["i-d1", "i-d2"], "fieldapp") else {
        return Verdict::NotRun;
    };
    let (address, path) = (gateway.requests, format!("/read/whole/{PLAIN_BYTES}"));
    let broken: usize = std::thread::scope(|scope| {
        let path = path.as_str();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || use_kept(site, address, path, client)))
            .collect();
        clients.into_iter().map(|client| client.join().expect("a client")).sum()
    });
    site.record
        .line(&format!("{broken} of {} answers are none, or not the server's", CLIENTS * REQUESTS));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends requests one after the other on a connection that is kept, and returns how many answers break the rule. A
/// client whose answer is none opens a new connection.
fn use_kept(site: &Site, address: std::net::SocketAddr, path: &str, client: usize) -> usize {
    let (mut broken, mut connection) = (0, None);
    for number in 0..REQUESTS {
        let id = format!("c{client}-{number}");
        let plain = Call { method: "POST", path, id: &id, model: None, bytes_per_s: None };
        let answer = match &mut connection {
            None => {
                Connection::open(address).and_then(|opened| connection.insert(opened).call(&plain))
            }
            Some(kept) => Connection::call(kept, &plain),
        };
        let is_whole = answer.as_ref().is_ok_and(|answer| {
            answer.complete
                && answer.id == id
                && (answer.status != 200 || answer.body == body_bytes(PLAIN_BYTES))
        });
        if !is_whole {
            log_answer(site, &id, &answer);
            broken += 1;
        }
        if answer.is_err() {
            connection = None;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    broken
}

/// The bytes of an answer without a length, and the pause after its first half.
const UNFRAMED_BYTES: usize = 800;
const HALF_PAUSE_MS: u64 = 600;

/// A server is killed after the first half of an answer that has no length and ends with its connection.
fn crash_cuts_plain_answer(site: &Site, trouble: bool) -> Verdict {
    let Some((mut servers, gateway)) = start(site, &["i-b1", "i-b2", "i-b3"], "fieldapp") else {
        return Verdict::NotRun;
    };
    let address = gateway.requests;
    let mut verdict = Verdict::Held;
    for (round, (method, route)) in
        [("POST", "read"), ("GET", "lookup"), ("POST", "read")].into_iter().enumerate()
    {
        let path = format!("/{route}/unframed/{UNFRAMED_BYTES}/{HALF_PAUSE_MS}");
        let id = format!("c{}", round + 1);
        let answer = std::thread::scope(|scope| {
            site.record.line(&format!("client sends {id}, {method} {path}"));
            let plain = Call { method, path: &path, id: &id, model: None, bytes_per_s: None };
            let client = scope.spawn(move || call(address, &plain));
            let server = if trouble { runner_of(site, &mut servers, &id) } else { None };
            if let Some(mut server) = server {
                std::thread::sleep(Duration::from_millis(HALF_PAUSE_MS / 2));
                site.crash(&mut server);
            }
            client.join().expect("a client")
        });
        log_answer(site, &id, &answer);
        if let Ok(answer) = &answer
            && answer.status == 200
            && answer.complete
            && answer.body != body_bytes(UNFRAMED_BYTES)
        {
            site.record.line(&format!("{id}: a success whose body is not the server's whole body"));
            verdict = Verdict::Broken;
        }
        if !trouble && !answer.is_ok_and(|answer| answer.status == 200 && answer.complete) {
            verdict = Verdict::Broken;
        }
        if trouble {
            servers.push(site.server(&format!("i-b{}", round + 4), "fieldapp"));
            std::thread::sleep(Duration::from_secs(2));
        }
    }
    verdict
}

/// The events of a stream and the pause between two of them, and how long a server is there after its notice.
const EVENTS: usize = 40;
const EVENT_PAUSE_MS: u64 = 100;
const NOTICE_MS: u64 = 2_000;

/// A server that reported `draining` is gone, as it said, amid a stream that has no length.
fn notice_cuts_stream(site: &Site, trouble: bool) -> Verdict {
    let names = ["i-c1", "i-c2", "i-c3", "i-c4", "i-c5", "i-c6", "i-c7"];
    let Some((mut servers, gateway)) = start(site, &names, "logscribe") else {
        return Verdict::NotRun;
    };
    let address = gateway.requests;
    let mut verdict = Verdict::Held;
    for (round, route) in ["summary", "digest"].into_iter().enumerate() {
        let path = format!("/{route}/events/{EVENTS}/{EVENT_PAUSE_MS}");
        let id = format!("c{}", round + 1);
        let answer = std::thread::scope(|scope| {
            site.record.line(&format!("client sends {id}, POST {path}"));
            let stream = Call {
                method: "POST",
                path: &path,
                id: &id,
                model: Some(MODEL),
                bytes_per_s: None,
            };
            let client = scope.spawn(move || call(address, &stream));
            let server = if trouble { runner_of(site, &mut servers, &id) } else { None };
            if let Some(mut server) = server {
                std::thread::sleep(Duration::from_millis(500));
                site.drain(&server.name, NOTICE_MS);
                servers.push(site.server(&format!("i-c{}", round + 8), "logscribe"));
                std::thread::sleep(Duration::from_millis(NOTICE_MS));
                site.crash(&mut server);
            }
            client.join().expect("a client")
        });
        log_answer(site, &id, &answer);
        let events = answer.as_ref().map_or(0, |answer| {
            String::from_utf8_lossy(&answer.body).matches("data: token-").count()
        });
        let complete = answer.as_ref().is_ok_and(|answer| answer.status == 200 && answer.complete);
        site.record.line(&format!(
            "{id}: {events} of {EVENTS} events, ended as {}",
            if complete { "complete" } else { "cut" }
        ));
        if complete && events != EVENTS || !trouble && !complete {
            verdict = Verdict::Broken;
        }
    }
    verdict
}
