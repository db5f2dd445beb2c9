//! A server crashes in the middle of an answer without a length, and its process ends a moment after the connection.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use super::{BROKEN, HELD, NOT_RUN, cut_answers};
use crate::store::Store;
use crate::world::{Addresses, Crash, Folder, Gateway, Log, Server, configuration};

const PATHS: [&str; 4] = ["/once/halves", "/safe/halves", "/stream/events", "/resumed/events"];
/// How many servers take requests. One of them crashes at a time.
const SERVERS: usize = 5;
/// How long the process lives on after it has closed the connection, in milliseconds.
const TEARDOWN_MS: u64 = 200;
const PAUSE: Duration = Duration::from_millis(2_000);
const DEADLINE_MS: u64 = 9_000;

pub fn play(root: &Path, has_trouble: bool, log: &Log) -> u8 {
    let folder = Folder::new();
    let store = Store::start();
    store.write("keyed.op", "config", Some(&configuration(1)));
    let crash = Crash { in_answers: has_trouble, teardown_ms: Some(TEARDOWN_MS), model: None };
    let start = |number: usize| Server::start(&store, &format!("i-{number}"), crash);
    let mut servers: Vec<Server> = (0..SERVERS).map(start).collect();
    let gateway = Gateway::start(root, &folder.0, &store, &Addresses::find(1), 0, true, log);
    if !gateway.wait_ready() {
        log.line("the gateway is not ready");
        return NOT_RUN;
    }
    sleep(Duration::from_secs(4));
    let mut broken = 0;
    for (number, path) in PATHS.into_iter().enumerate() {
        let id = format!("r-{number}");
        log.line(format!("client sends {id} to {path}"));
        let answer = gateway.request(path, &id, DEADLINE_MS, &[]);
        let ran: Vec<&Server> = servers.iter().filter(|server| server.ran(&id)).collect();
        if ran.is_empty() {
            log.line(format!("{id} ran at no server"));
            return NOT_RUN;
        }
        broken += usize::from(cut_answers::is_broken(path, &id, &answer, log));
        sleep(PAUSE);
        for server in ran {
            let name = &server.name;
            let end = if server.has_ended() { "its process has ended" } else { "it goes on" };
            log.line(format!("{name} ran {id}; {end}"));
            if server.has_ended() {
                server.crash();
            }
        }
        servers.push(start(servers.len()));
        sleep(PAUSE);
    }
    if broken > 0 { BROKEN } else { HELD }
}
