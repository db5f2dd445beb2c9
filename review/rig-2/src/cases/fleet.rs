//! Servers that are started anew after they crashed, and callers whose requests run there.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::store::Store;
use crate::world::{Crash, HOST, Log, Server};

/// The interval of the other callers' requests.
const OTHERS_INTERVAL: Duration = Duration::from_millis(60);

/// The servers, each of which is started anew, at its address and under a new id, some seconds after it crashed.
pub struct Fleet {
    store: Store,
    crash: Crash,
    /// How long a server that crashed is down.
    down: Duration,
    pub servers: Mutex<Vec<Server>>,
    next: AtomicUsize,
    crashes: AtomicUsize,
    pub ended: AtomicBool,
}

impl Fleet {
    /// Starts a number of servers. `crash` says what crashes them.
    pub fn start(store: &Store, count: usize, crash: Crash, down: Duration, log: &Log) -> Self {
        let fleet = Self {
            store: store.clone(),
            crash,
            down,
            servers: Mutex::default(),
            next: AtomicUsize::new(0),
            crashes: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
        };
        (0..count).for_each(|_| fleet.add("127.0.0.1:0", log));
        fleet
    }

    fn add(&self, address: &str, log: &Log) {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let server = Server::start_at(&self.store, &format!("i-{number}"), address, self.crash);
        log.line(format!("server {} starts", server.name));
        self.servers.lock().unwrap().push(server);
    }

    /// Starts servers anew that have crashed, until the end.
    pub fn keep(&self, log: &Log) {
        let mut due: Vec<(Instant, String)> = Vec::new();
        let mut known: Vec<String> = Vec::new();
        while !self.ended.load(Ordering::SeqCst) {
            for server in self.servers.lock().unwrap().iter() {
                if server.has_ended() && !known.contains(&server.name) {
                    known.push(server.name.clone());
                    server.crash();
                    log.line(format!("server {} has crashed", server.name));
                    self.crashes.fetch_add(1, Ordering::SeqCst);
                    due.push((Instant::now() + self.down, server.address.to_string()));
                }
            }
            if due.first().is_some_and(|(at, _)| *at <= Instant::now()) {
                let (_, address) = due.remove(0);
                self.add(&address, log);
            }
            sleep(Duration::from_millis(10));
        }
    }

    pub fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }

    /// Returns the name of the server that ran a request.
    pub fn ran_at(&self, id: &str) -> Option<String> {
        let servers = self.servers.lock().unwrap();
        servers.iter().find(|server| server.ran(id)).map(|server| server.name.clone())
    }
}

/// Callers whose requests take a second each and may run once.
#[derive(Default)]
pub struct OtherCallers {
    paused: AtomicBool,
    served: AtomicUsize,
    lost: AtomicUsize,
}

impl OtherCallers {
    /// Sends requests until the fleet's end.
    pub fn call<'scope>(
        &'scope self,
        fleet: &'scope Fleet,
        ports: &'scope [SocketAddr],
        scope: &'scope std::thread::Scope<'scope, '_>,
    ) {
        let mut number = 0;
        while !fleet.ended.load(Ordering::SeqCst) {
            sleep(OTHERS_INTERVAL);
            if self.paused.load(Ordering::SeqCst) {
                continue;
            }
            number += 1;
            scope.spawn(move || self.call_once(fleet, ports[number % ports.len()], number));
        }
    }

    fn call_once(&self, fleet: &Fleet, port: SocketAddr, number: usize) {
        let id = format!("o-{number}");
        let headers = [
            ("host", HOST),
            ("coltsfoothook-request-id", id.as_str()),
            ("coltsfoothook-deadline-ms", "4000"),
        ];
        let body = format!("{{\"n\":{number}}}");
        let limit = Duration::from_secs(5);
        let answer = call(port, "POST", "/once/second", &headers, body.as_bytes(), limit);
        if answer.status == 200 && answer.whole {
            self.served.fetch_add(1, Ordering::SeqCst);
        } else if fleet.ran_at(&id).is_some() {
            self.lost.fetch_add(1, Ordering::SeqCst);
        }
    }

    pub fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::SeqCst);
    }

    pub fn log(&self, log: &Log) {
        log.line(format!(
            "other callers: {} requests served, {} lost that a server had begun to run",
            self.served.load(Ordering::SeqCst),
            self.lost.load(Ordering::SeqCst),
        ));
    }
}
