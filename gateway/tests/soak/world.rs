//! The site of one seed.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::callers::{call_on, probe_on};
use crate::configuration::configuration;
use crate::faults::{FaultMix, SLOTS, strike};
use crate::fleet::{GatewayChild, GatewayPlace};
use crate::proxy::LinkProxy;
use crate::server::{RunNote, ServerMood, StandinServer};
use crate::store::StandinStore;
use crate::verdict::SoakVerdict;

/// Callers at once.
const CALLERS: usize = 10;
/// Between two heartbeats of a server, as on the platform.
const HEARTBEAT: Duration = Duration::from_millis(600);
/// How long a leaving server goes on serving.
const LINGER: Duration = Duration::from_millis(3_500);
/// After the last fault, the time until requests are served as before: a share that moved waits for the
/// pause between two holders, and leases must lapse before it.
const RECOVERY: Duration = Duration::from_secs(12);
/// From when a configuration is published after the last fault until it alone may be in force: operators allow
/// two seconds, and three after a fault of a VM or of the store.
const IN_FORCE: Duration = Duration::from_secs(3);
/// How long the last look at served requests lasts.
const LAST_LOOK: Duration = Duration::from_secs(3);
/// How long the gateways may take to be ready.
const START: Duration = Duration::from_secs(20);
/// How long a process that ended stays away.
const RESTART: Duration = Duration::from_millis(300);

/// What is played.
#[derive(Clone, Debug)]
pub(crate) struct SoakPlan {
    pub(crate) seed: u64,
    pub(crate) gateways: usize,
    pub(crate) faults_for: Duration,
}

/// The services of the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerKind {
    Engine,
    Plain,
    Elsewhere,
}

impl ServerKind {
    fn service(self) -> &'static str {
        match self {
            Self::Engine => "engines",
            Self::Plain => "plain",
            Self::Elsewhere => "elsewhere",
        }
    }

    fn mark(self) -> &'static str {
        match self {
            Self::Engine => "e",
            Self::Plain => "p",
            Self::Elsewhere => "x",
        }
    }
}

/// A server's place in the site; one life after another stands in it.
struct ServerSlot {
    kind: ServerKind,
    server: StandinServer,
    link: LinkProxy,
}

pub(crate) struct SoakWorld {
    pub(crate) store: StandinStore,
    pub(crate) store_links: Vec<LinkProxy>,
    pub(crate) gateways: Vec<GatewayChild>,
    pub(crate) verdict: SoakVerdict,
    pub(crate) only_planned: bool,
    slots: Mutex<Vec<ServerSlot>>,
    /// All lives, with the time at which each began to leave.
    lives: Mutex<Vec<(StandinServer, Option<Instant>)>>,
    heartbeat: AtomicU64,
    published: AtomicU64,
    /// The configuration that was published last after all faults, and from when on it alone may be in force.
    watched: Mutex<Option<(u64, Instant)>>,
    over: AtomicBool,
    folder: PathBuf,
}

/// Plays one seed.
pub(crate) async fn play(plan: SoakPlan) -> SoakVerdict {
    let mix = FaultMix::of(plan.seed);
    let world = Arc::new(SoakWorld::start(&plan, mix).await);
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(heartbeats(Arc::clone(&world)));
    tasks.spawn(restarts(Arc::clone(&world)));
    if !world.wait_ready().await {
        world.verdict.find("not ready after the start".to_owned());
    }
    for number in 0..CALLERS {
        let random = Pcg64::seed_from_u64(plan.seed * 1_000 + number as u64);
        tasks.spawn(call_on(Arc::clone(&world), number, random));
    }
    for gateway in 0..plan.gateways {
        tasks.spawn(probe_on(Arc::clone(&world), gateway));
    }
    let random = Pcg64::seed_from_u64(plan.seed);
    strike(&world, mix, plan.faults_for, random).await;
    // A gateway that is two configurations behind sends to the right one of two services. One of two looks shows it.
    world.configure_watched();
    sleep(RECOVERY / 2).await;
    world.configure_watched();
    sleep(RECOVERY / 2).await;
    let calm_from = Instant::now();
    sleep(LAST_LOOK).await;
    world.over.store(true, Ordering::SeqCst);
    // Requests that are open end by their deadlines.
    let ended = async { while tasks.join_next().await.is_some() {} };
    if timeout(Duration::from_secs(10), ended).await.is_err() {
        world.verdict.find("a caller's request never ended".to_owned());
    }
    tasks.shutdown().await;
    world.verdict.judge(&world, calm_from);
    if world.verdict.findings().is_empty() {
        let _ = std::fs::remove_dir_all(&world.folder);
    } else {
        println!("seed {}: logs are in {}", plan.seed, world.folder.display());
    }
    match Arc::try_unwrap(world) {
        Ok(world) => world.verdict,
        Err(_) => unreachable!("all tasks have ended"),
    }
}

impl SoakWorld {
    async fn start(plan: &SoakPlan, mix: FaultMix) -> Self {
        let folder =
            std::env::temp_dir().join(format!("soak-{}-{}", std::process::id(), plan.seed));
        std::fs::create_dir_all(&folder).expect("the folder is made");
        let store = StandinStore::start().await;
        store.deal_evenly();
        let mut store_links = Vec::new();
        for _ in 0..plan.gateways {
            store_links.push(LinkProxy::start(store.address).await);
        }
        let places: Vec<GatewayPlace> =
            (0..plan.gateways).map(|number| place(plan.seed, number, &store_links)).collect();
        let gateways = places.into_iter().map(|place| GatewayChild::new(place, folder.clone()));
        let world = Self {
            store,
            store_links,
            gateways: gateways.collect(),
            verdict: SoakVerdict::default(),
            only_planned: mix == FaultMix::Planned,
            slots: Mutex::default(),
            lives: Mutex::default(),
            heartbeat: AtomicU64::new(0),
            published: AtomicU64::new(0),
            watched: Mutex::default(),
            over: AtomicBool::new(false),
            folder,
        };
        for kind in SLOTS {
            let slot = world.new_server(kind).await;
            world.slots.lock().unwrap().push(slot);
        }
        world.configure();
        world.register_all();
        for gateway in &world.gateways {
            gateway.start();
        }
        world
    }

    async fn new_server(&self, kind: ServerKind) -> ServerSlot {
        let number = self.lives.lock().unwrap().len();
        let server = StandinServer::start(&format!("{}-{number}", kind.mark())).await;
        server.set_mood(ServerMood::Paced);
        let link = LinkProxy::start(server.address).await;
        self.lives.lock().unwrap().push((server.clone(), None));
        ServerSlot { kind, server, link }
    }

    async fn wait_ready(&self) -> bool {
        let begun = Instant::now();
        loop {
            let mut all = true;
            for gateway in &self.gateways {
                all &= is_ready(gateway.place.ready).await;
            }
            if all {
                return true;
            }
            if begun.elapsed() > START {
                return false;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Publishes the next configuration; each one moves a route to the other of two services.
    pub(crate) fn configure(&self) {
        let version = self.published.fetch_add(1, Ordering::SeqCst) + 1;
        let moved = if version.is_multiple_of(2) { "elsewhere" } else { "plain" };
        self.store.write("keyed.op", "config", Some(&configuration(version, moved)));
    }

    /// Publishes a configuration that all gateways must use in a while.
    fn configure_watched(&self) {
        self.configure();
        *self.watched.lock().unwrap() = Some((self.published(), Instant::now() + IN_FORCE));
    }

    /// The configuration that alone may be in force for a request sent at a time, if there is one. While the
    /// next one is being published there is none: an answer may be of either.
    pub(crate) fn in_force_at(&self, sent: Instant) -> Option<u64> {
        let (version, from) = (*self.watched.lock().unwrap())?;
        (sent > from && version == self.published()).then_some(version)
    }

    pub(crate) fn published(&self) -> u64 {
        self.published.load(Ordering::SeqCst)
    }

    pub(crate) fn over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    pub(crate) fn slots(&self) -> usize {
        self.slots.lock().unwrap().len()
    }

    pub(crate) fn link(&self, slot: usize) -> LinkProxy {
        self.slots.lock().unwrap()[slot].link.clone()
    }

    pub(crate) fn server(&self, slot: usize) -> StandinServer {
        self.slots.lock().unwrap()[slot].server.clone()
    }

    /// Notes what happens, beside the logs of the gateways.
    pub(crate) fn log(&self, line: String) {
        use std::io::Write;
        let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let at = at.map_or(0, |since| since.as_millis());
        let path = self.folder.join("faults.log");
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
        if let Ok(mut file) = file {
            let _ = writeln!(file, "{at} {line}");
        }
    }

    /// A server crashes; its entry lapses, and another life comes at another address.
    pub(crate) async fn crash(&self, slot: usize, down: Duration) {
        let (kind, old) = {
            let slots = self.slots.lock().unwrap();
            (slots[slot].kind, slots[slot].server.clone())
        };
        old.end();
        sleep(down).await;
        self.store.write("keyed.servers", &old.name, None);
        let new = self.new_server(kind).await;
        self.slots.lock().unwrap()[slot] = new;
        self.register_all();
    }

    /// A new server comes, and the old one leaves once the store has its word.
    pub(crate) async fn replace(&self, slot: usize) {
        let kind = self.slots.lock().unwrap()[slot].kind;
        let new = self.new_server(kind).await;
        let old = std::mem::replace(&mut self.slots.lock().unwrap()[slot], new);
        self.register_all();
        sleep(HEARTBEAT).await;
        self.register(&old, "draining");
        self.note_leaving(&old.server.name);
        sleep(LINGER).await;
        self.store.write("keyed.servers", &old.server.name, None);
        sleep(HEARTBEAT).await;
        old.server.end();
    }

    fn note_leaving(&self, name: &str) {
        let mut lives = self.lives.lock().unwrap();
        for (server, left_at) in lives.iter_mut().filter(|(server, _)| server.name == name) {
            server.set_mood(ServerMood::Paced);
            *left_at = Some(Instant::now());
        }
    }

    fn register(&self, slot: &ServerSlot, state: &str) {
        let heartbeat = self.heartbeat.fetch_add(1, Ordering::SeqCst) + 1;
        let mut entry = slot.server.entry(slot.kind.service(), heartbeat, state);
        entry["address"] = json!(slot.link.address);
        self.store.write("keyed.servers", &slot.server.name, Some(&entry));
    }

    fn register_all(&self) {
        for slot in self.slots.lock().unwrap().iter().filter(|slot| !slot.server.is_ended()) {
            self.register(slot, "ready");
        }
    }

    /// Everything that servers ran, with the server's name.
    pub(crate) fn runs(&self) -> Vec<(String, RunNote)> {
        let lives = self.lives.lock().unwrap();
        let runs = lives.iter().flat_map(|(server, _)| {
            server.runs().into_iter().map(|run| (server.name.clone(), run))
        });
        runs.collect()
    }

    /// Servers that began to leave, and when.
    pub(crate) fn left_servers(&self) -> Vec<(String, Instant)> {
        let lives = self.lives.lock().unwrap();
        lives.iter().filter_map(|(server, at)| Some((server.name.clone(), (*at)?))).collect()
    }

    pub(crate) fn server_faults(&self) -> Vec<String> {
        let lives = self.lives.lock().unwrap();
        let faults = lives.iter().flat_map(|(server, _)| {
            server.faults().into_iter().map(|fault| format!("{}: {fault}", server.name))
        });
        faults.collect()
    }
}

/// Each server writes its entry again and again.
async fn heartbeats(world: Arc<SoakWorld>) {
    while !world.over() {
        world.register_all();
        sleep(HEARTBEAT).await;
    }
}

/// Starts processes anew that have ended, as the platform does.
async fn restarts(world: Arc<SoakWorld>) {
    use std::os::unix::process::ExitStatusExt;
    while !world.over() {
        for (number, gateway) in world.gateways.iter().enumerate() {
            let Some(status) = gateway.ended() else { continue };
            let killed = status.signal().is_some();
            if !killed && !status.success() {
                world.verdict.find(format!("gateway {number} ended by itself: {status}"));
            }
            sleep(RESTART).await;
            gateway.start();
        }
        sleep(Duration::from_millis(20)).await;
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    use coltsfoothook_exchange::{ExchangeClient, ExchangeRequest, ExchangeSettings};
    let client = ExchangeClient::new(ExchangeSettings::default());
    let answer = client.send(address, ExchangeRequest::get("/v1/ready")).await;
    answer.is_ok_and(|answer| answer.status.as_u16() == 200)
}

/// Each gateway has a loopback address of its own, so that ports never meet.
fn place(seed: u64, number: usize, store_links: &[LinkProxy]) -> GatewayPlace {
    let ip = |number: usize| {
        let process = 1 + (std::process::id() % 200) as u8;
        [127, process, 1 + (seed % 250) as u8, 1 + number as u8]
    };
    let address = |port: u16| SocketAddr::from((ip(number), port));
    GatewayPlace {
        vm: format!("vm-{number}"),
        requests: address(7_001),
        ready: address(7_002),
        addresses: address(7_003),
        peers: address(7_004),
        store: store_links[number].address,
        seeds: (0..store_links.len().min(3)).map(|n| SocketAddr::from((ip(n), 7_004))).collect(),
    }
}
