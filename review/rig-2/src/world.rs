//! A small deployment on loopback: the store, servers and gateways, each with what the platform gives it.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, call};
use crate::server::{DEADLY_MODEL_VARIABLE, IN_ANSWERS_VARIABLE, TEARDOWN_VARIABLE};
use crate::store::Store;

/// The interval of servers' heartbeats, as `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// After how many heartbeat intervals of silence an entry is removed.
const SILENT_HEARTBEATS: u32 = 3;
/// The host of all routes.
pub const HOST: &str = "a.example";
/// The service of all routes.
pub const SERVICE: &str = "app";
/// The model that all servers hold, with the adapters `a1` and `a2`.
pub const MODEL: &str = "m0";

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Log {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Log {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.started.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self, file: &Path) {
        let lines = self.lines.lock().unwrap();
        if let Err(error) = fs::write(file, lines.join("\n") + "\n") {
            eprintln!("{}: {error}", file.display());
        }
    }
}

/// The variable with the file that takes the ids of child processes, for the script that ends them if this program is
/// ended itself.
const IDS_VARIABLE: &str = "REVIEW_IDS";

/// A child process, killed by its id when it is dropped.
pub struct Process(Child);

impl Process {
    fn new(child: Child) -> Self {
        if let Some(file) = std::env::var_os(IDS_VARIABLE) {
            let ids = fs::OpenOptions::new().create(true).append(true).open(file);
            let _ = ids.and_then(|mut ids| writeln!(ids, "{}", child.id()));
        }
        Self(child)
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How a server crashes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crash {
    /// Requests for this model crash it.
    pub model: Option<&'static str>,
    /// Whether it crashes in the middle of answers without a length.
    pub in_answers: bool,
    /// How long its process lives on after it has closed the connection of the request that crashes it; `None` if both end
    /// at once.
    pub teardown_ms: Option<u64>,
}

/// A backend server, and how it registers itself.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    process: Mutex<Process>,
    /// Ids of the requests that it ran, in order.
    pub runs: Arc<Mutex<Vec<String>>>,
    entry: Arc<Entry>,
}

struct Entry {
    store: Store,
    name: String,
    address: SocketAddr,
    born: u64,
    seq: AtomicU64,
    draining: AtomicBool,
    /// Whether it writes no heartbeats any more.
    silent: AtomicBool,
}

impl Entry {
    fn write(&self) {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let value = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":400,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[\"a1@1\",\"a2@1\"]}}],\"seq\":{seq},\"born\":{}}}",
            self.address, self.born,
        );
        self.store.write("keyed.servers", &self.name, Some(&value));
    }
}

impl Server {
    /// Starts a server process, which registers itself. `crash` says what crashes it.
    pub fn start(store: &Store, name: &str, crash: Crash) -> Self {
        Self::start_at(store, name, "127.0.0.1:0", crash)
    }

    /// Starts a server as [`Self::start`] does, at an address that was free or a former server's.
    pub fn start_at(store: &Store, name: &str, address: &str, crash: Crash) -> Self {
        let program = std::env::current_exe().expect("the path of this program");
        let mut child = Command::new(program)
            .args(["server", name, address])
            .envs(crash.model.map(|model| (DEADLY_MODEL_VARIABLE, model)))
            .envs(crash.in_answers.then_some((IN_ANSWERS_VARIABLE, "1")))
            .envs(crash.teardown_ms.map(|ms| (TEARDOWN_VARIABLE, ms.to_string())))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server process");
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = first.strip_prefix("listening ").and_then(|text| text.parse().ok());
        let address = address.expect("the server's address");
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let seen = Arc::clone(&runs);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(id) = line.strip_prefix("run ") {
                    seen.lock().unwrap().push(id.to_owned());
                }
            }
        });
        let entry = Arc::new(Entry {
            store: store.clone(),
            name: name.to_owned(),
            address,
            born: unix_ms(),
            seq: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            silent: AtomicBool::new(false),
        });
        entry.write();
        let beating = Arc::clone(&entry);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                if beating.silent.load(Ordering::SeqCst) {
                    return;
                }
                beating.write();
            }
        });
        Self {
            name: name.to_owned(),
            address,
            process: Mutex::new(Process::new(child)),
            runs,
            entry,
        }
    }

    /// Reports that it drains.
    pub fn drain(&self) {
        self.entry.draining.store(true, Ordering::SeqCst);
        self.entry.write();
    }

    /// Removes its entry without reporting that it drains. It goes on serving.
    pub fn remove_entry(&self) {
        self.entry.silent.store(true, Ordering::SeqCst);
        self.entry.store.write("keyed.servers", &self.name, None);
    }

    /// Kills its process. Its entry is removed after some heartbeats of silence.
    pub fn crash(&self) {
        self.process.lock().unwrap().kill();
        if !self.entry.silent.swap(true, Ordering::SeqCst) {
            let entry = Arc::clone(&self.entry);
            std::thread::spawn(move || {
                std::thread::sleep(HEARTBEAT * SILENT_HEARTBEATS);
                entry.store.write("keyed.servers", &entry.name, None);
            });
        }
    }

    /// Returns whether its process has ended.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.lock().unwrap();
        !matches!(process.0.try_wait(), Ok(None))
    }

    pub fn ran(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run == id)
    }
}

/// Where the gateways of a deployment listen. The port for other VMs is the same at all of them.
pub struct Addresses {
    ips: Vec<Ipv4Addr>,
    peers: u16,
    /// Ports for requests, readiness and the directory, for each gateway.
    ports: Vec<[u16; 3]>,
}

impl Addresses {
    /// Finds free addresses for `count` gateways, each at a loopback address of its own.
    pub fn find(count: usize) -> Self {
        let mut ips: Vec<Ipv4Addr> = Vec::new();
        while ips.len() < count {
            let ip = free_ip();
            if !ips.contains(&ip) {
                ips.push(ip);
            }
        }
        let peers = loop {
            let port = free_port(ips[0]).local_addr().expect("an address").port();
            if ips.iter().all(|ip| is_free(*ip, port)) {
                break port;
            }
        };
        // Held until all are found, so that none is found twice.
        let mut held = Vec::new();
        let mut ports = Vec::new();
        for ip in &ips {
            let found: [u16; 3] = std::array::from_fn(|_| {
                let listener = loop {
                    let listener = free_port(*ip);
                    if listener.local_addr().expect("an address").port() != peers {
                        break listener;
                    }
                };
                let port = listener.local_addr().expect("an address").port();
                held.push(listener);
                port
            });
            ports.push(found);
        }
        Self { ips, peers, ports }
    }
}

/// A gateway process with the settings that the deploy file's template gives it.
pub struct Gateway {
    pub requests: SocketAddr,
    pub ready: SocketAddr,
    pub process: Process,
}

impl Gateway {
    /// Starts the gateway with a number. `bootstrap` is true when the whole system starts for the first time.
    pub fn start(
        root: &Path,
        folder: &Path,
        store: &Store,
        addresses: &Addresses,
        number: usize,
        bootstrap: bool,
        log: &Log,
    ) -> Self {
        let name = format!("front-{}", number + 1);
        let (ip, peers) = (addresses.ips[number], addresses.peers);
        let at = |port: u16| SocketAddr::new(IpAddr::V4(ip), port);
        let [requests, ready, directory] = addresses.ports[number].map(at);
        let seeds: Vec<String> =
            addresses.ips.iter().take(3).map(|ip| format!("\"{ip}:{peers}\"")).collect();
        let values = [
            ("node", format!("\"{name}\"")),
            ("zone", format!("\"z{}\"", number + 1)),
            ("listen.front", format!("\"{requests}\"")),
            ("listen.ready", format!("\"{ready}\"")),
            ("listen.directory", format!("\"{directory}\"")),
            ("ip", ip.to_string()),
            ("port_range.0", peers.to_string()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("bootstrap", bootstrap.to_string()),
            ("platform.address", format!("\"{}\"", store.address)),
            ("platform.parts", "12".to_owned()),
            ("platform.min_ttl_ms", "1000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.checks_fence", "true".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "58".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.config_ms", "2000".to_owned()),
            ("bounds.version_ms", "5000".to_owned()),
        ];
        let template = fs::read_to_string(root.join("deploy/gateway.json")).expect("the template");
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, render(&template, &values)).expect("the settings");
        let file = folder.join(format!("{name}.log"));
        let output = fs::OpenOptions::new().create(true).append(true).open(file);
        let output = output.expect("a log file");
        let errors = output.try_clone().expect("a log file");
        let child = Command::new(root.join("target/release/coltsfoothook-gateway"))
            .current_dir(root)
            .env_clear()
            .env("COLTSFOOTHOOK_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("a gateway process");
        log.line(format!("gateway {name} started"));
        Self { requests, ready, process: Process::new(child) }
    }

    /// Waits until it is ready. Returns whether it is.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let second = Duration::from_secs(1);
            if call(self.ready, "GET", "/v1/ready", &[("host", "x")], b"", second).status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a request as a client does, on a new connection.
    pub fn request(
        &self,
        target: &str,
        id: &str,
        deadline_ms: u64,
        more: &[(&str, &str)],
    ) -> Answer {
        let deadline = deadline_ms.to_string();
        let mut headers = vec![
            ("host", HOST),
            ("coltsfoothook-request-id", id),
            ("coltsfoothook-deadline-ms", deadline.as_str()),
        ];
        headers.extend_from_slice(more);
        let limit = Duration::from_millis(deadline_ms + 1_000);
        call(self.requests, "POST", target, &headers, b"{}", limit)
    }
}

/// Renders the deploy file's template. The deployment has none of the fields that its sections are for.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name: String =
            text[start + 3..].chars().take_while(|character| *character != '}').collect();
        let close = format!("{{{{/{name}}}}}");
        let end = text[start..].find(&close).expect("the end of a section") + start + close.len();
        text.replace_range(start..end, "");
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder without a value: {text}");
    text
}

/// Returns a loopback address at which the metrics' port is free.
fn free_ip() -> Ipv4Addr {
    let mut seed = unix_ms() ^ u64::from(std::process::id()) << 20;
    loop {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let [.., a, b, c] = (seed >> 33).to_be_bytes();
        let ip = Ipv4Addr::new(127, 1 + a % 250, b, 1 + c % 250);
        if TcpListener::bind((ip, 9464)).is_ok() {
            return ip;
        }
    }
}

/// Returns a listener on a port that is free for UDP too.
fn free_port(ip: Ipv4Addr) -> TcpListener {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return listener;
        }
    }
}

fn is_free(ip: Ipv4Addr, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
}

/// Returns the configuration with the routes of all cases.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":10000,\"target_latency_ms\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\
             \"max_attempts\":{attempts},\"resumable\":{resumable},\"target_gap_ms\":400}}"
        )
    };
    let routes = [
        route("once", "unsafe", 1, false),
        route("safe", "safe", 2, false),
        route("stream", "streaming", 1, false),
        route("resumed", "streaming", 2, true),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let name = format!("review-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
