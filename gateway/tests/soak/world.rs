//! The site of one seed: store, servers, gateways and the proxies between them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::callers::{run_caller, run_probe};
use crate::configuration::configuration;
use crate::faults::{FaultMix, SLOTS, inject_faults};
use crate::fleet::{GatewayChild, GatewayEndpoints};
use crate::proxy::{LinkProxy, LinkState};
use crate::server::{BrittleRoom, RequestArrival, RunRecord, ServerMode, StandinServer};
use crate::store::StandinStore;
use crate::verdict::SoakVerdict;

/// The number of callers that send requests concurrently.
const CALLERS: usize = 10;
/// The time between two heartbeats of a server, as on the platform.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);
/// How long a draining server goes on serving before its entry is removed.
const LINGER: Duration = Duration::from_millis(3_500);
/// The time after the last fault until requests must be served as before. A partition is only moved once the lease of
/// its holder has expired, and the next holder waits for the pause between two holders.
const RECOVERY: Duration = Duration::from_secs(12);
/// The time after the last fault from the publication of a configuration until no gateway may use an older one.
/// Operators allow two seconds, and three after a fault of a VM or of the store.
const IN_FORCE: Duration = Duration::from_secs(3);
/// How long requests are observed after [`RECOVERY`].
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// How long the gateways may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The time between the end of a gateway process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// The least number of gateways that are cut off from each other, in the mix that has such.
const APART: usize = 16;

/// The number of callers in that mix. With fewer requests for each gateway, what the gateways may repeat for each
/// request hides less of what they repeat beyond that.
const APART_CALLERS: usize = 6;

/// One in so many servers has a newer version of the software.
const NEW_VERSION_ONE_IN: usize = 3;

/// The parameters of one seed's run.
#[derive(Clone, Debug)]
pub(crate) struct SoakPlan {
    pub(crate) seed: u64,
    pub(crate) gateways: usize,
    /// How long faults are started.
    pub(crate) faults_for: Duration,
}

/// The services of the site. Configurations move a route between `Plain` and `Elsewhere`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerKind {
    Engine,
    Plain,
    Elsewhere,
}

impl ServerKind {
    pub(crate) fn service(self) -> &'static str {
        match self {
            Self::Engine => "engines",
            Self::Plain => "plain",
            Self::Elsewhere => "elsewhere",
        }
    }

    /// Returns the prefix of the names of its servers. The verdict recognises `x`.
    fn name_prefix(self) -> &'static str {
        match self {
            Self::Engine => "e",
            Self::Plain => "p",
            Self::Elsewhere => "x",
        }
    }
}

/// A position in the site, which one server after another fills.
#[derive(Clone)]
struct ServerSlot {
    kind: ServerKind,
    server: StandinServer,
    link: LinkProxy,
}

/// A server's statement about itself.
#[derive(Clone)]
pub(crate) struct SoakStatement {
    pub(crate) server: StandinServer,
    pub(crate) kind: StatementKind,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// What a server stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementKind {
    Limit,
    Rest,
    Leaving,
}

/// A time for which all servers of a service failed under what they turned away.
#[derive(Clone)]
pub(crate) struct BrittleTime {
    pub(crate) servers: Vec<StandinServer>,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// The room of servers that fail under what they turn away: less than their entries say.
const BRITTLE_ROOM: BrittleRoom =
    BrittleRoom { places: 4, run_time: Duration::from_millis(100), breaks_beyond: 6 };
/// The keys of callers and of calls on the moved route, and the limit of the latter's customer in requests per second
/// over all gateways: about three times what they send.
pub(crate) const CALLER_KEY: &str = "caller-key";
pub(crate) const LIMITED_KEY: &str = "limited-key";
const LIMITED_PER_S: u64 = 100;
/// The limit that servers state, in requests per second.
pub(crate) const LIMIT_PER_S: f64 = 4.0;
/// The rest that servers ask for.
pub(crate) const REST: Duration = Duration::from_secs(4);

/// The running site of one seed.
pub(crate) struct SoakWorld {
    pub(crate) store: StandinStore,
    /// The link of each gateway to the store.
    pub(crate) store_links: Vec<LinkProxy>,
    pub(crate) gateways: Vec<GatewayChild>,
    pub(crate) verdict: SoakVerdict,
    /// Whether the seed plays planned work only, so that no request may be lost.
    pub(crate) only_planned: bool,
    /// Whether servers fall silent, so that streams may end by their route's timeout.
    pub(crate) has_silence: bool,
    /// Whether servers drain while no gateway restarts or pauses, so that late requests are judged.
    pub(crate) judges_drains: bool,
    /// Whether no gateway restarts or pauses but for planned work, so that it is judged what callers that left have
    /// waiting.
    pub(crate) judges_left: bool,
    /// Whether no gateway restarts or pauses, so that none may refuse a customer below its limit at any time.
    pub(crate) judges_customer: bool,
    slots: Mutex<Vec<ServerSlot>>,
    /// All servers that were ever started, each with the time at which it began to drain.
    all_servers: Mutex<Vec<(StandinServer, Option<Instant>)>>,
    /// The service of each of them, by name.
    services: Mutex<Vec<(String, ServerKind)>>,
    /// Servers that were replaced, and whether their entries were removed.
    replaced: Mutex<Vec<(ServerSlot, bool)>>,
    /// What servers stated about themselves, and when.
    statements: Mutex<Vec<SoakStatement>>,
    /// When servers failed under what they turned away.
    brittle: Mutex<Vec<BrittleTime>>,
    heartbeat: AtomicU64,
    published: AtomicU64,
    jumps: AtomicU64,
    /// The last configuration that was published after all faults, and from when on no older one may be used.
    watched: Mutex<Option<(u64, Instant)>>,
    over: AtomicBool,
    /// When the gateways were started.
    pub(crate) started: Instant,
    /// Holds the settings and logs of the gateways, and the log of faults.
    folder: PathBuf,
}

/// Plays one seed and returns the verdict. The logs are kept if there are findings.
pub(crate) async fn play(plan: SoakPlan) -> SoakVerdict {
    let mix = FaultMix::of(plan.seed);
    let gateways = if mix == FaultMix::Apart { plan.gateways.max(APART) } else { plan.gateways };
    let plan = SoakPlan { gateways, ..plan };
    let world = Arc::new(SoakWorld::start(&plan, mix).await);
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(heartbeats(Arc::clone(&world)));
    tasks.spawn(restarts(Arc::clone(&world)));
    if !world.wait_ready().await {
        world.verdict.find("not ready after the start".to_owned());
    }
    let callers = if mix == FaultMix::Apart { APART_CALLERS } else { CALLERS };
    for number in 0..callers {
        let random = Pcg64::seed_from_u64(plan.seed * 1_000 + number as u64);
        tasks.spawn(run_caller(Arc::clone(&world), number, mix.call_kinds(), random));
    }
    // The probes' requests would raise what gateways that are apart may repeat.
    let probes = if mix == FaultMix::Apart { 0 } else { plan.gateways };
    for gateway in 0..probes {
        tasks.spawn(run_probe(Arc::clone(&world), gateway));
    }
    let random = Pcg64::seed_from_u64(plan.seed);
    inject_faults(&world, mix, plan.faults_for, random).await;
    // The route alternates between two services, so a gateway that is two configurations behind uses the right one.
    // Two publications, each with its own check, show such a gateway too.
    world.configure_watched();
    sleep(RECOVERY / 2).await;
    world.configure_watched();
    sleep(RECOVERY / 2).await;
    let steady_from = Instant::now();
    sleep(OBSERVATION_TIME).await;
    world.over.store(true, Ordering::SeqCst);
    // Open requests end by their deadlines.
    let ended = async { while tasks.join_next().await.is_some() {} };
    if timeout(Duration::from_secs(10), ended).await.is_err() {
        world.verdict.find("a caller's request never ended".to_owned());
    }
    tasks.shutdown().await;
    world.verdict.judge(&world, steady_from);
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
        store.assign_evenly();
        let mut store_links = Vec::new();
        for _ in 0..plan.gateways {
            store_links.push(LinkProxy::start(store.address).await);
        }
        let endpoints: Vec<GatewayEndpoints> = (0..plan.gateways)
            .map(|number| endpoints_of(plan.seed, number, &store_links, mix == FaultMix::Apart))
            .collect();
        let gateways =
            endpoints.into_iter().map(|endpoints| GatewayChild::new(endpoints, folder.clone()));
        let world = Self {
            store,
            store_links,
            gateways: gateways.collect(),
            verdict: SoakVerdict::default(),
            only_planned: matches!(mix, FaultMix::Planned | FaultMix::Silent),
            has_silence: mix == FaultMix::Silent,
            judges_drains: matches!(mix, FaultMix::Planned | FaultMix::Copies),
            judges_left: matches!(mix, FaultMix::Planned | FaultMix::Brittle),
            judges_customer: mix.keeps_gateways(),
            slots: Mutex::default(),
            all_servers: Mutex::default(),
            services: Mutex::default(),
            replaced: Mutex::default(),
            statements: Mutex::default(),
            brittle: Mutex::default(),
            heartbeat: AtomicU64::new(0),
            published: AtomicU64::new(0),
            jumps: AtomicU64::new(0),
            watched: Mutex::default(),
            over: AtomicBool::new(false),
            started: Instant::now(),
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
        let number = self.all_servers.lock().unwrap().len();
        let server = StandinServer::start(&format!("{}-{number}", kind.name_prefix())).await;
        server.set_mode(ServerMode::Paced);
        if number % NEW_VERSION_ONE_IN == NEW_VERSION_ONE_IN - 1 {
            server.set_software("v2");
        }
        let link = LinkProxy::start_while_up(server.address, server.down_state()).await;
        self.all_servers.lock().unwrap().push((server.clone(), None));
        self.services.lock().unwrap().push((server.name.clone(), kind));
        ServerSlot { kind, server, link }
    }

    async fn wait_ready(&self) -> bool {
        let started = Instant::now();
        loop {
            let mut all = true;
            for gateway in &self.gateways {
                all &= is_ready(gateway.endpoints.ready).await;
            }
            if all {
                return true;
            }
            if started.elapsed() > READY_TIMEOUT {
                return false;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Publishes the next configuration, which moves a route to the other of two services.
    pub(crate) fn configure(&self) {
        let version = self.published.fetch_add(1, Ordering::SeqCst) + 1;
        self.publish(version);
    }

    fn publish(&self, version: u64) {
        let moved = if version.is_multiple_of(2) { "elsewhere" } else { "plain" };
        let mut configuration = configuration(version, moved);
        let limited = json!({
            "name": "c2", "api_keys": [LIMITED_KEY], "rate_per_s": LIMITED_PER_S, "burst": LIMITED_PER_S,
        });
        configuration["tenants"] = json!([{ "name": "c1", "api_keys": [CALLER_KEY] }, limited]);
        self.store.write("keyed.op", "config", Some(&configuration));
    }

    /// Publishes the next configuration, which all gateways must use after [`IN_FORCE`].
    fn configure_watched(&self) {
        self.configure();
        *self.watched.lock().unwrap() = Some((self.published(), Instant::now() + IN_FORCE));
    }

    /// Returns the only configuration that may be used for a request sent at this time, or `None` if more than one
    /// may be, as while the next one is being published.
    pub(crate) fn in_force_at(&self, sent: Instant) -> Option<u64> {
        let (version, from) = (*self.watched.lock().unwrap())?;
        (sent > from && version == self.published()).then_some(version)
    }

    /// Returns the number of the next jump of demand.
    pub(crate) fn next_jump(&self) -> u64 {
        self.jumps.fetch_add(1, Ordering::SeqCst)
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

    /// Appends a line to `faults.log`, with the time in milliseconds. It lies beside the logs of the gateways.
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

    /// Crashes a server. After `down` its entry is removed, and a new server with another name and address takes its
    /// slot.
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

    /// Starts a new server in the slot, then drains the old one, removes its entry and ends it.
    pub(crate) async fn replace(&self, slot: usize) {
        let kind = self.slots.lock().unwrap()[slot].kind;
        let new = self.new_server(kind).await;
        let old = std::mem::replace(&mut self.slots.lock().unwrap()[slot], new);
        self.register_all();
        sleep(HEARTBEAT_INTERVAL).await;
        self.register(&old, "draining");
        self.record_draining(&old.server.name);
        self.replaced.lock().unwrap().push((old.clone(), false));
        sleep(LINGER).await;
        self.store.write("keyed.servers", &old.server.name, None);
        self.record_removal(&old.server.name);
        sleep(HEARTBEAT_INTERVAL).await;
        old.server.end();
    }

    fn record_removal(&self, name: &str) {
        let mut replaced = self.replaced.lock().unwrap();
        for (_, removed) in replaced.iter_mut().filter(|(slot, _)| slot.server.name == name) {
            *removed = true;
        }
    }

    /// Lets the store go away for a moment and come back from a copy of some time ago. Operators and servers then write
    /// again what they wrote.
    pub(crate) async fn restore_store(&self, age: Duration, away: Duration) {
        let copy = self.store.copy();
        sleep(age).await;
        self.store.set_down(true);
        sleep(away).await;
        self.store.restore(copy);
        self.store.set_down(false);
        self.write_again();
    }

    fn write_again(&self) {
        self.publish(self.published());
        self.register_all();
        for (slot, removed) in self.replaced.lock().unwrap().clone() {
            if removed {
                self.store.write("keyed.servers", &slot.server.name, None);
            } else {
                self.register(&slot, "draining");
                self.record_draining(&slot.server.name);
            }
        }
    }

    /// Lets a server state a limit for some time.
    pub(crate) async fn limit(&self, slot: usize, time: Duration) {
        let server = self.server(slot);
        if self.is_stating(&server) {
            return;
        }
        let from = Instant::now();
        server.state_limit(Some(&LIMIT_PER_S.to_string()));
        self.record_statement(&server, StatementKind::Limit, from, time);
        sleep(time).await;
        server.state_limit(None);
    }

    /// Lets a server refuse everything and ask for [`REST`].
    pub(crate) async fn rest(&self, slot: usize) {
        let server = self.server(slot);
        if self.is_stating(&server) {
            return;
        }
        let from = Instant::now();
        server.state_rest(&REST.as_secs().to_string());
        server.set_mode(ServerMode::Full);
        self.record_statement(&server, StatementKind::Rest, from, REST);
        sleep(REST).await;
        server.set_mode(ServerMode::Paced);
    }

    /// Replaces a server that states in its answers that it leaves. Its entry says so never, and is removed.
    pub(crate) async fn leave_unheard(&self, slot: usize) {
        if self.is_stating(&self.server(slot)) {
            return;
        }
        let kind = self.slots.lock().unwrap()[slot].kind;
        let new = self.new_server(kind).await;
        let old = std::mem::replace(&mut self.slots.lock().unwrap()[slot], new);
        self.register_all();
        sleep(HEARTBEAT_INTERVAL).await;
        let from = Instant::now();
        old.server.state_leaving();
        let time = LINGER + HEARTBEAT_INTERVAL;
        self.record_statement(&old.server, StatementKind::Leaving, from, time);
        sleep(LINGER).await;
        self.store.write("keyed.servers", &old.server.name, None);
        sleep(HEARTBEAT_INTERVAL).await;
        old.server.end();
    }

    /// Lets all servers of a service have little room for some time, unless they already do.
    pub(crate) async fn make_brittle(&self, kind: ServerKind, time: Duration) {
        let slots = self.slots.lock().unwrap().clone();
        let of_kind = slots.into_iter().filter(|slot| slot.kind == kind).map(|slot| slot.server);
        let (servers, from): (Vec<StandinServer>, _) = (of_kind.collect(), Instant::now());
        let is_brittle = |known: &BrittleTime| {
            known.until + REST > from && known.servers[0].name == servers[0].name
        };
        if self.brittle.lock().unwrap().iter().any(is_brittle) {
            return;
        }
        servers.iter().for_each(|server| server.state_brittle(BRITTLE_ROOM));
        let until = from + time;
        self.brittle.lock().unwrap().push(BrittleTime { servers: servers.clone(), from, until });
        sleep(time).await;
        servers.iter().for_each(StandinServer::end_brittle);
    }

    /// Lets the servers of a service that have little room have a quarter of it for some time.
    pub(crate) async fn shrink_room(&self, kind: ServerKind, time: Duration) {
        let slots = self.slots.lock().unwrap().clone();
        let of_kind = slots.iter().filter(|slot| slot.kind == kind);
        of_kind.clone().for_each(|slot| slot.server.set_places(BRITTLE_ROOM.places / 4));
        sleep(time).await;
        of_kind.for_each(|slot| slot.server.set_places(BRITTLE_ROOM.places));
    }

    pub(crate) fn brittle_times(&self) -> Vec<BrittleTime> {
        self.brittle.lock().unwrap().clone()
    }

    /// Returns whether a server's earlier statement may still be judged.
    fn is_stating(&self, server: &StandinServer) -> bool {
        let statements = self.statements.lock().unwrap();
        let current = |stated: &SoakStatement| {
            stated.server.name == server.name && stated.until + REST > Instant::now()
        };
        statements.iter().any(current)
    }

    fn record_statement(
        &self,
        server: &StandinServer,
        kind: StatementKind,
        from: Instant,
        time: Duration,
    ) {
        let stated = SoakStatement { server: server.clone(), kind, from, until: from + time };
        self.statements.lock().unwrap().push(stated);
    }

    pub(crate) fn statements(&self) -> Vec<SoakStatement> {
        self.statements.lock().unwrap().clone()
    }

    /// Records that a server began to drain, and ends faults of the server itself.
    fn record_draining(&self, name: &str) {
        let mut all_servers = self.all_servers.lock().unwrap();
        for (server, draining_since) in
            all_servers.iter_mut().filter(|(server, _)| server.name == name)
        {
            server.set_mode(ServerMode::Paced);
            *draining_since = Some(Instant::now());
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

    /// Impairs the links of all gateways to all servers.
    pub(crate) fn set_all_links(&self, state: LinkState) {
        for slot in self.slots.lock().unwrap().iter() {
            slot.link.set(state);
        }
    }

    /// Returns all requests that servers ran, each with the server's name.
    pub(crate) fn runs(&self) -> Vec<(String, RunRecord)> {
        let all_servers = self.all_servers.lock().unwrap();
        let runs = all_servers.iter().flat_map(|(server, _)| {
            server.runs().into_iter().map(|run| (server.name.clone(), run))
        });
        runs.collect()
    }

    /// Returns the software version of a server.
    pub(crate) fn software(&self, server: &str) -> &'static str {
        let all_servers = self.all_servers.lock().unwrap();
        let found = all_servers.iter().find(|(known, _)| known.name == server);
        found.map_or("", |(known, _)| known.software())
    }

    /// Returns all requests that reached servers of a service, in order, also those that were rejected.
    pub(crate) fn arrivals_at(&self, kind: ServerKind) -> Vec<RequestArrival> {
        let services = self.services.lock().unwrap();
        let of_kind = |name: &str| services.iter().any(|(known, of)| known == name && *of == kind);
        let all_servers = self.all_servers.lock().unwrap();
        let servers = all_servers.iter().filter(|(server, _)| of_kind(&server.name));
        let mut arrivals: Vec<RequestArrival> =
            servers.flat_map(|(server, _)| server.all_arrivals()).collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    /// Sets how the servers of a service handle requests.
    pub(crate) fn set_service_mode(&self, kind: ServerKind, mode: ServerMode) {
        for slot in self.slots.lock().unwrap().iter().filter(|slot| slot.kind == kind) {
            slot.server.set_mode(mode);
        }
    }

    /// Returns the servers that began to drain, and when.
    pub(crate) fn drained_servers(&self) -> Vec<(String, Instant)> {
        let all_servers = self.all_servers.lock().unwrap();
        all_servers.iter().filter_map(|(server, at)| Some((server.name.clone(), (*at)?))).collect()
    }

    pub(crate) fn server_violations(&self) -> Vec<String> {
        let all_servers = self.all_servers.lock().unwrap();
        let violations = all_servers.iter().flat_map(|(server, _)| {
            server.violations().into_iter().map(|violation| format!("{}: {violation}", server.name))
        });
        violations.collect()
    }
}

/// Writes the entries of all servers every [`HEARTBEAT_INTERVAL`].
async fn heartbeats(world: Arc<SoakWorld>) {
    while !world.over() {
        world.register_all();
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Restarts gateway processes that have ended, as the platform does.
async fn restarts(world: Arc<SoakWorld>) {
    use std::os::unix::process::ExitStatusExt;
    while !world.over() {
        for (number, gateway) in world.gateways.iter().enumerate() {
            let Some(status) = gateway.ended() else { continue };
            let killed = status.signal().is_some();
            if !killed && !status.success() {
                world.verdict.find(format!("gateway {number} exited with a failure: {status}"));
            }
            sleep(RESTART_DELAY).await;
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

/// Returns the endpoints of a gateway. Each has its own loopback address, so that the fixed ports never conflict.
/// Gateways that are `apart` use different ports between each other, so that no message arrives.
fn endpoints_of(
    seed: u64,
    number: usize,
    store_links: &[LinkProxy],
    apart: bool,
) -> GatewayEndpoints {
    let peer_port = if apart { 7_010 + number as u16 } else { 7_004 };
    let ip = |number: usize| {
        let process = 1 + (std::process::id() % 200) as u8;
        [127, process, 1 + (seed % 250) as u8, 1 + number as u8]
    };
    let address = |port: u16| SocketAddr::from((ip(number), port));
    GatewayEndpoints {
        vm: format!("vm-{number}"),
        requests: address(7_001),
        ready: address(7_002),
        addresses: address(7_003),
        peers: address(peer_port),
        store: store_links[number].address,
        seeds: (0..store_links.len().min(3))
            .map(|n| SocketAddr::from((ip(n), peer_port)))
            .collect(),
    }
}
