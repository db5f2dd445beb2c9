//! A small site: the store, servers and a gateway as processes, all on loopback addresses.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::server::MODEL;
use crate::store::Store;

pub const HOST: &str = "ficu95.example";
/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Heartbeats of silence after which the store removes an entry.
const SILENT_HEARTBEATS: u32 = 3;

const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A process that is killed when it is dropped.
pub struct Process(Child);

impl Process {
    pub fn terminate(&self) {
        unsafe { kill(self.0.id() as i32, SIGTERM) };
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a server's entry says, until it is removed.
struct Entry {
    name: String,
    text: String,
    seq: u64,
    silent_since: Option<Instant>,
}

/// A server of the site.
pub struct Server {
    pub name: String,
    pub process: Process,
}

pub struct Gateway {
    pub process: Process,
    pub requests: SocketAddr,
    ready: SocketAddr,
}

pub struct Site {
    pub store: Store,
    pub record: Record,
    folder: PathBuf,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Site {
    /// Starts a site without servers and gateways. `folder` is for settings and logs.
    pub fn start(folder: &Path, record: Record) -> Self {
        let store = Store::start();
        let entries: Arc<Mutex<Vec<Entry>>> = Arc::default();
        let (written, heard) = (store.clone(), Arc::clone(&entries));
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                heard.lock().unwrap().retain_mut(|entry| entry.beat(&written));
            }
        });
        Self { store, record, folder: folder.to_owned(), entries }
    }

    /// Writes the configuration.
    pub fn configure(&self, config: &str) {
        self.store.write("keyed.op", "config", config);
    }

    /// Starts a server process and writes its entry.
    pub fn server(&self, name: &str, service: &str) -> Server {
        self.spoiling_server(name, service, false)
    }

    /// Starts a server as [`Self::server`] does, one that spoils some of its answers if `spoils`.
    pub fn spoiling_server(&self, name: &str, service: &str, spoils: bool) -> Server {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let program = std::env::current_exe().expect("the path of this program");
        let mut child = Command::new(program)
            .args(["server", name, &born.to_string(), &self.record.path, &spoils.to_string()])
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server process");
        self.keep_id(&child);
        let mut port = String::new();
        let output = child.stdout.take().expect("its output");
        BufReader::new(output).read_line(&mut port).expect("its port");
        let port = port.trim();
        let models = format!(r#"[{{"name":"{MODEL}","version":1,"adapters":[]}}]"#);
        let text = format!(
            r#""service":"{service}","address":"127.0.0.1:{port}","zone":"z1","version":"v1","slots":8,"cold_remaining_ms":0,"born":{born},"models":{models}"#
        );
        let mut entry = Entry { name: name.to_owned(), text, seq: 0, silent_since: None };
        entry.write(&self.store, r#""state":"ready""#);
        self.entries.lock().unwrap().push(entry);
        self.record.line(&format!("server {name} of {service} starts on port {port}"));
        Server { name: name.to_owned(), process: Process(child) }
    }

    /// Writes that a server is removed at short notice.
    pub fn drain(&self, name: &str, remaining_ms: u64) {
        self.record.line(&format!("server {name} reports draining, {remaining_ms} ms remain"));
        let mut entries = self.entries.lock().unwrap();
        if let Some(entry) = entries.iter_mut().find(|entry| entry.name == name) {
            let state = format!(r#""state":"draining","remaining_ms":{remaining_ms}"#);
            entry.write(&self.store, &state);
            entry.silent_since = Some(Instant::now());
        }
    }

    /// Kills a server. Its entry stays until the store has not heard it for three heartbeats.
    pub fn crash(&self, server: &mut Server) {
        self.record.line(&format!("server {} is killed", server.name));
        server.process.kill();
        let mut entries = self.entries.lock().unwrap();
        if let Some(entry) = entries.iter_mut().find(|entry| entry.name == server.name) {
            entry.silent_since = Some(Instant::now());
        }
    }

    /// Starts a gateway with the command of the deploy file, in the root of the repository.
    pub fn gateway(&self, vm: &str) -> Gateway {
        let [requests, ready, addresses, peers, metrics] = free_addresses();
        let settings = format!(
            r#"{{
  "vm": "{vm}", "domain": "z1",
  "listen": {{ "requests": "{requests}", "ready": "{ready}", "addresses": "{addresses}", "peers": "{peers}", "metrics": "{metrics}" }},
  "capacity": {{ "core_part": 0.25, "link_mbps": 1000.0 }},
  "seeds": ["{peers}"],
  "first_start": true,
  "store": {{ "address": "{store}", "parts": 12, "least_lifetime_ms": 1000 }},
  "choice": {{ "server_speed": true, "memory_first": true }},
  "promises": {{ "grace_s": 8, "order_pause_ms": 3000, "servers_check_fences": true, "repeat_ratio": 0.2, "repeat_slack": 58, "repeat_window_s": 10, "address_lifetime_s": 5, "config_ms": 2000, "version_ms": 5000 }}
}}"#,
            store = self.store.address
        );
        let file = self.folder.join(format!("{vm}.json"));
        fs::write(&file, settings).expect("a settings file");
        let log = fs::File::create(self.folder.join(format!("{vm}.log"))).expect("a log file");
        let child = Command::new("target/release/coltsfoothook-gateway")
            .env("COLTSFOOTHOOK_SETTINGS", &file)
            .stdout(log)
            .spawn()
            .expect("a gateway process");
        self.keep_id(&child);
        Gateway { process: Process(child), requests, ready }
    }

    /// Keeps a process's id in a file, for the script that ends what is left.
    fn keep_id(&self, child: &Child) {
        let file = self.folder.join("pids");
        let mut ids = fs::read_to_string(&file).unwrap_or_default();
        ids.push_str(&format!("{}\n", child.id()));
        fs::write(&file, ids).expect("a file of process ids");
    }
}

impl Gateway {
    /// Waits until the readiness check is answered with 200. Returns whether it was in time.
    pub fn wait_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        use std::io::{Read, Write};
        let Ok(mut stream) = TcpStream::connect(self.ready) else { return false };
        let call = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        let _ = stream.write_all(call.as_bytes());
        let _ = stream.read_to_string(&mut answer);
        answer.starts_with("HTTP/1.1 200")
    }
}

impl Entry {
    fn write(&mut self, store: &Store, state: &str) {
        self.seq += 1;
        let value = format!(r#"{{{},{state},"seq":{}}}"#, self.text, self.seq);
        store.write("keyed.servers", &self.name, &value);
    }

    /// Writes the entry with the next heartbeat, or removes that of a silent server. Returns whether it is kept.
    fn beat(&mut self, store: &Store) -> bool {
        match self.silent_since {
            None => self.write(store, r#""state":"ready""#),
            Some(since) if since.elapsed() < HEARTBEAT * SILENT_HEARTBEATS => {}
            Some(_) => {
                store.write("keyed.servers", &self.name, "");
                return false;
            }
        }
        true
    }
}

/// The ports to choose from, below those that the kernel gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Returns five different addresses that are free for TCP and UDP. Each search begins at another port.
fn free_addresses() -> [SocketAddr; 5] {
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let offset = (clock.subsec_micros() + std::process::id()) % u32::from(PORTS.end - PORTS.start);
    let first = PORTS.start + offset as u16;
    let mut found = Vec::new();
    for port in (first..PORTS.end).chain(PORTS.start..first) {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // Held until all are found.
        if let (Ok(tcp), Ok(udp)) = (TcpListener::bind(address), UdpSocket::bind(address)) {
            found.push((address, tcp, udp));
        }
        if found.len() == 5 {
            break;
        }
    }
    std::array::from_fn(|number| found[number].0)
}

/// Returns a configuration with a `safe`, an `unsafe` and two `streaming` routes, one of them resumable.
pub fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":8000,"target_latency_ms":1000,"priority":0,"service":"{service}","max_attempts":2{more}}}"#
        )
    };
    let stream = r#","target_gap_ms":400,"sticky":true"#;
    let routes = [
        route("lookup", "safe", "fieldapp", ""),
        route("read", "unsafe", "fieldapp", ""),
        route("summary", "streaming", "logscribe", stream),
        route("digest", "streaming", "logscribe", &format!(r#"{stream},"resumable":true"#)),
    ];
    let engine = format!(
        r#"{{"slots":8,"kv_capacity_tokens":150260,"weights_mb":17000.0,"adapter_slots":18,"loads_per_s":5.0,"models":[{{"name":"{MODEL}","weights_mb":16100.0,"load_s":0.6,"adapters":100,"adapter_mb":40.0}}]}}"#
    );
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{{"name":"fieldapp","max_connections":110,"health_path":"/health"}},{{"name":"logscribe","max_connections":630,"health_path":"/health","engine":{engine}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}
