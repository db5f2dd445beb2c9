//! Faults drawn from a seed. They start at random times and may overlap.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::callers::{CallKind, crash_series, jump, part_series};
use crate::proxy::LinkState;
use crate::server::ServerMode;
use crate::world::{ServerKind, SoakWorld};

/// The shortest time for which a server states a limit: until it binds, and one window.
const LIMIT_TIME: Duration = Duration::from_secs(7);

/// The shortest time for which servers fail under what they turn away: until it is judged, and as long again.
const BRITTLE_TIME: Duration = Duration::from_secs(6);
/// How long links to servers that fail under what they turn away are slow by, in milliseconds.
const BRITTLE_DELAY_MS: u64 = 10;

/// One fault, or one operation that operators plan.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultKind {
    /// The store answers every request with 503.
    StoreDown,
    /// The store does not respond. Requests that are open or arrive meanwhile are never answered.
    StoreUnresponsive,
    /// The link of one gateway to the store is impaired.
    StoreLink(usize, LinkState),
    /// The links of all gateways to all servers are impaired.
    AllServerLinks(LinkState),
    /// A caller sends a request again and again that crashes each server that runs it.
    CrashSeries,
    /// Callers send requests that are unlike each other but for a part of their prompts, which crashes each server.
    PartSeries,
    /// A server crashes and comes back under its name.
    ServerDown(usize),
    /// The link of all gateways to one server is impaired.
    ServerLink(usize, LinkState),
    /// A server fails its requests in some way.
    ServerMode(usize, ServerMode),
    /// A server ends its answers with their connections.
    ServerUnframed(usize),
    /// All servers of a service fail their requests in some way.
    ServiceMode(ServerKind, ServerMode),
    /// A server crashes, and a new one without adapters replaces it.
    ServerCrash(usize),
    /// A server is replaced: the new one starts, then the old one drains.
    ServerReplaced(usize),
    /// A server states how many requests it takes from all VMs.
    ServerLimited(usize),
    /// All gateways get requests at the same moment.
    Jump,
    /// The same, from callers that leave at once.
    LeavingJump,
    /// All servers of a service have little room and fail under what they turn away, as they state.
    ServiceBrittle(ServerKind),
    /// The servers of a service that fail under what they turn away have a quarter of their room for some time.
    RoomShrinks(ServerKind),
    /// A server refuses everything and states for how long it wants no request from the VM.
    ServerRests(usize),
    /// A server is replaced and states only in its answers that it leaves, until its entry is removed.
    ServerLeavesUnheard(usize),
    /// A gateway's process is suspended with SIGSTOP and resumed later.
    Pause(usize),
    /// A gateway's process is killed and restarted.
    Kill(usize),
    /// A gateway's process gets SIGTERM and is restarted.
    Term(usize),
    /// All gateway processes are killed at the same time and restarted.
    KillAll,
    /// The operators publish a configuration.
    Configure,
    /// The store compacts its history.
    Compact,
    /// The store is away for a moment and comes back from a copy that is as old as given.
    StoreCopy(Duration),
}

/// Which faults a seed plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultMix {
    /// Planned operations only: replaced servers, configurations and SIGTERM.
    Planned,
    /// Planned operations without SIGTERM, and servers that fall silent and go on.
    Silent,
    /// Faults of all kinds, one or two at a time.
    Some,
    /// Faults of all kinds, many at a time.
    Many,
    /// Faults of the store and configurations only. No VM restarts, which would read the store and report to the
    /// others what they missed.
    Store,
    /// Servers that state something about themselves, and faults of the store. No VM restarts: what a server gets
    /// after its statement is judged without exceptions.
    Statements,
    /// Servers that state limits, and jumps of demand, without restarts.
    Jumps,
    /// A store that comes back from copies, replaced servers and configurations. No VM restarts: what they do is judged
    /// as after planned operations.
    Copies,
    /// Gateways that never hear each other, servers that fail, and gateways that restart and pause.
    Apart,
    /// Servers that crash, by themselves and under requests that crash each server, and links of all VMs that are cut.
    /// No VM restarts, so that all attempts of such a request are judged.
    Crashes,
    /// The same with parts of prompts that crash each server, answers without framing and servers back at once.
    Parts,
    /// Servers that fail under what they turn away, and jumps of demand whose callers leave. No VM restarts.
    Brittle,
    /// Servers that fail under what they turn away and whose room shrinks, links that are slow, and VMs that restart and
    /// pause.
    BrittleVms,
}

impl FaultMix {
    /// Returns the mix of a seed, by its remainder modulo 8, and modulo 16 or 32 for the rarer mixes.
    pub(crate) fn of(seed: u64) -> Self {
        match seed % 8 {
            7 if seed % 16 == 15 => Self::Jumps,
            3 if seed % 16 == 11 => Self::Copies,
            5 if seed % 16 == 13 => Self::Apart,
            1 if seed % 16 == 9 => Self::Crashes,
            6 if seed % 32 == 6 => Self::Parts,
            6 if seed % 32 == 14 => Self::Brittle,
            6 if seed % 32 == 22 => Self::BrittleVms,
            0 if seed % 16 == 8 => Self::Silent,
            0 | 4 => Self::Planned,
            1 | 5 => Self::Some,
            2 | 6 => Self::Many,
            3 => Self::Store,
            _ => Self::Statements,
        }
    }

    /// Returns the kinds of requests that callers send. Gateways that are apart cannot ask each other for loads, so that
    /// streams would wait in vain.
    pub(crate) fn call_kinds(self) -> &'static [CallKind] {
        match self {
            Self::Apart | Self::Crashes => &[CallKind::Safe, CallKind::Once],
            _ => &[CallKind::Safe, CallKind::Once, CallKind::Stream, CallKind::Resumed],
        }
    }

    /// Returns whether no gateway restarts, pauses or loses contact with the others.
    pub(crate) fn keeps_gateways(self) -> bool {
        match self {
            Self::Store | Self::Statements | Self::Jumps | Self::Copies => true,
            Self::Crashes | Self::Parts | Self::Brittle | Self::Silent => true,
            Self::Planned | Self::Some | Self::Many | Self::Apart | Self::BrittleVms => false,
        }
    }

    /// Returns the mean time between the starts of two faults, in milliseconds.
    fn mean_interval_ms(self) -> u64 {
        match self {
            Self::Planned => 900,
            Self::Some | Self::Store | Self::Statements | Self::Jumps | Self::Copies => 700,
            Self::Crashes | Self::Parts => 800,
            Self::Silent => 500,
            Self::Brittle | Self::BrittleVms => 250,
            Self::Apart => 500,
            Self::Many => 250,
        }
    }
}

/// Starts faults for `time` and returns when all have ended.
pub(crate) async fn inject_faults(
    world: &Arc<SoakWorld>,
    mix: FaultMix,
    time: Duration,
    mut random: Pcg64,
) {
    let until = tokio::time::Instant::now() + time;
    let mut running = tokio::task::JoinSet::new();
    while tokio::time::Instant::now() < until {
        let delay = random.random_range(0..=2 * mix.mean_interval_ms());
        sleep(Duration::from_millis(delay)).await;
        let kind = draw(world, mix, &mut random);
        let lasts = Duration::from_millis(random.random_range(200..3_000));
        world.log(format!("fault {kind:?} for {lasts:?}"));
        let world = Arc::clone(world);
        running.spawn(async move { run_fault(&world, kind, lasts).await });
    }
    while running.join_next().await.is_some() {}
}

/// Draws a fault of the mix.
fn draw(world: &SoakWorld, mix: FaultMix, random: &mut Pcg64) -> FaultKind {
    let gateway = random.random_range(0..world.gateways.len());
    let server = random.random_range(0..world.slots());
    if mix == FaultMix::Planned {
        return match random.random_range(0..4) {
            0 => FaultKind::ServerReplaced(server),
            1 => FaultKind::Configure,
            _ => FaultKind::Term(gateway),
        };
    }
    if mix == FaultMix::Silent {
        return match random.random_range(0..6) {
            0 => FaultKind::ServerReplaced(server),
            1 | 2 => FaultKind::Configure,
            _ => FaultKind::ServerMode(server, ServerMode::Stalls),
        };
    }
    let links =
        [LinkState::Slow(120), LinkState::Stalled, LinkState::AnswersLost, LinkState::Reset];
    let link = *links.choose(random).expect("there are links");
    if mix == FaultMix::Store {
        return match random.random_range(0..6) {
            0 => FaultKind::StoreDown,
            1 | 2 => FaultKind::StoreUnresponsive,
            3 => FaultKind::StoreLink(gateway, link),
            4 => FaultKind::Compact,
            _ => FaultKind::Configure,
        };
    }
    if mix == FaultMix::Statements {
        return match random.random_range(0..7) {
            0 | 1 => FaultKind::ServerLimited(server),
            2 | 3 => FaultKind::ServerRests(server),
            4 => FaultKind::ServerLeavesUnheard(server),
            5 => FaultKind::StoreUnresponsive,
            _ => FaultKind::Configure,
        };
    }
    if mix == FaultMix::Copies {
        let age = Duration::from_millis(random.random_range(300..4_000));
        return match random.random_range(0..6) {
            0 | 1 => FaultKind::StoreCopy(age),
            2 | 3 => FaultKind::ServerReplaced(server),
            _ => FaultKind::Configure,
        };
    }
    if mix == FaultMix::Jumps {
        return match random.random_range(0..5) {
            0 | 1 => FaultKind::ServerLimited(server),
            2 | 3 => FaultKind::Jump,
            _ => FaultKind::StoreUnresponsive,
        };
    }
    if mix == FaultMix::Crashes {
        let cut = *[LinkState::Stalled, LinkState::Reset].choose(random).expect("there are links");
        return match random.random_range(0..8) {
            0..3 => FaultKind::CrashSeries,
            3..5 => FaultKind::ServerDown(server),
            5 => FaultKind::AllServerLinks(cut),
            6 => FaultKind::StoreUnresponsive,
            _ => FaultKind::Configure,
        };
    }
    if mix == FaultMix::Parts {
        return match random.random_range(0..10) {
            0..4 => FaultKind::PartSeries,
            4..6 => FaultKind::ServerDown(server),
            6 => FaultKind::ServerMode(server, ServerMode::BackAtOnce),
            7 => FaultKind::ServerUnframed(server),
            8 => FaultKind::StoreUnresponsive,
            _ => FaultKind::Configure,
        };
    }
    if mix == FaultMix::Brittle {
        let kind = *[ServerKind::Plain, ServerKind::Engine].choose(random).expect("two kinds");
        return match random.random_range(0..10) {
            0 => FaultKind::ServiceBrittle(kind),
            1 => FaultKind::StoreUnresponsive,
            2 => FaultKind::ServerDown(server),
            3 => FaultKind::Configure,
            4..7 => FaultKind::LeavingJump,
            _ => FaultKind::Jump,
        };
    }
    if mix == FaultMix::BrittleVms {
        let kind = *[ServerKind::Plain, ServerKind::Engine].choose(random).expect("two kinds");
        return match random.random_range(0..12) {
            0..2 => FaultKind::ServiceBrittle(kind),
            2..4 => FaultKind::RoomShrinks(kind),
            4 => FaultKind::Pause(gateway),
            5 => FaultKind::Kill(gateway),
            6 => FaultKind::KillAll,
            7 => FaultKind::AllServerLinks(LinkState::Slow(BRITTLE_DELAY_MS)),
            8 => FaultKind::LeavingJump,
            _ => FaultKind::Jump,
        };
    }
    if mix == FaultMix::Apart {
        let modes = [ServerMode::Full, ServerMode::Fails, ServerMode::LosesAnswer];
        let mode = *modes.choose(random).expect("there are modes");
        return match random.random_range(0..9) {
            0..5 => FaultKind::ServiceMode(ServerKind::Plain, mode),
            5 => FaultKind::Jump,
            6 => FaultKind::KillAll,
            7 => FaultKind::Kill(gateway),
            _ => FaultKind::Pause(gateway),
        };
    }
    let modes = [
        ServerMode::LosesAnswer,
        ServerMode::Fails,
        ServerMode::CutsStream,
        ServerMode::CutsFirst,
        ServerMode::AnswersTwice,
        ServerMode::Full,
        ServerMode::Paced,
    ];
    let mode = *modes.choose(random).expect("there are modes");
    match random.random_range(0..20) {
        0 => FaultKind::StoreDown,
        17..20 => FaultKind::ServerUnframed(server),
        1 | 2 => FaultKind::StoreLink(gateway, link),
        3 | 4 => FaultKind::ServerLink(server, link),
        5 | 6 => FaultKind::ServerMode(server, mode),
        7 => FaultKind::ServerCrash(server),
        8 => FaultKind::ServerReplaced(server),
        9 | 10 => FaultKind::Pause(gateway),
        11 => FaultKind::Kill(gateway),
        12 => FaultKind::Term(gateway),
        13 => FaultKind::KillAll,
        14 => FaultKind::Compact,
        15 => FaultKind::StoreUnresponsive,
        _ => FaultKind::Configure,
    }
}

/// Runs one fault and restores the state before it. Killed gateways are restarted by the `restarts` task.
async fn run_fault(world: &Arc<SoakWorld>, kind: FaultKind, lasts: Duration) {
    match kind {
        FaultKind::StoreDown => {
            world.store.set_down(true);
            sleep(lasts).await;
            world.store.set_down(false);
        }
        FaultKind::StoreUnresponsive => {
            world.store.set_unresponsive(true);
            sleep(lasts).await;
            world.store.set_unresponsive(false);
        }
        FaultKind::StoreLink(gateway, link) => {
            world.store_links[gateway].set(link);
            sleep(lasts).await;
            world.store_links[gateway].set(LinkState::Good);
        }
        FaultKind::ServerLink(server, link) => {
            let proxy = world.link(server);
            proxy.set(link);
            sleep(lasts).await;
            proxy.set(LinkState::Good);
        }
        FaultKind::AllServerLinks(link) => {
            world.set_all_links(link);
            sleep(lasts).await;
            world.set_all_links(LinkState::Good);
        }
        FaultKind::CrashSeries => crash_series(world, lasts).await,
        FaultKind::PartSeries => part_series(world, lasts).await,
        FaultKind::ServerDown(server) => world.server(server).crash(),
        FaultKind::ServerMode(server, mode) => {
            let server = world.server(server);
            server.set_mode(mode);
            sleep(lasts).await;
            server.set_mode(ServerMode::Paced);
        }
        FaultKind::ServerUnframed(server) => {
            let server = world.server(server);
            server.set_unframed(true);
            if lasts.as_millis().is_multiple_of(2) {
                server.set_mode(ServerMode::CutsStream);
            }
            sleep(lasts).await;
            server.set_mode(ServerMode::Paced);
            server.set_unframed(false);
        }
        FaultKind::ServiceMode(kind, mode) => {
            world.set_service_mode(kind, mode);
            sleep(2 * lasts).await;
            world.set_service_mode(kind, ServerMode::Paced);
        }
        FaultKind::ServerLimited(server) => world.limit(server, LIMIT_TIME + lasts).await,
        FaultKind::Jump => jump(world, None).await,
        FaultKind::LeavingJump => jump(world, Some(lasts / 20)).await,
        FaultKind::ServiceBrittle(kind) => world.make_brittle(kind, BRITTLE_TIME + lasts).await,
        FaultKind::RoomShrinks(kind) => world.shrink_room(kind, lasts).await,
        FaultKind::ServerRests(server) => world.rest(server).await,
        FaultKind::ServerLeavesUnheard(server) => world.leave_unheard(server).await,
        FaultKind::ServerCrash(server) => world.crash(server, lasts).await,
        FaultKind::ServerReplaced(server) => world.replace(server).await,
        FaultKind::Pause(gateway) => {
            world.gateways[gateway].signal(Signal::STOP);
            sleep(lasts).await;
            world.gateways[gateway].signal(Signal::CONT);
        }
        FaultKind::Kill(gateway) => {
            world.gateways[gateway].signal(Signal::KILL);
            sleep(lasts).await;
        }
        FaultKind::Term(gateway) => world.gateways[gateway].signal(Signal::TERM),
        FaultKind::KillAll => {
            for gateway in &world.gateways {
                gateway.signal(Signal::KILL);
            }
        }
        FaultKind::Configure => world.configure(),
        FaultKind::Compact => world.store.compact(),
        FaultKind::StoreCopy(age) => world.restore_store(age, lasts / 4).await,
    }
}

/// The service of each server slot of the site.
pub(crate) const SLOTS: [ServerKind; 6] = [
    ServerKind::Engine,
    ServerKind::Engine,
    ServerKind::Engine,
    ServerKind::Plain,
    ServerKind::Plain,
    ServerKind::Elsewhere,
];
