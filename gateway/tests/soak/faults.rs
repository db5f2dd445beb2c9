//! Faults, drawn from a seed: they start at random times and overlap.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::proxy::LinkState;
use crate::server::ServerMood;
use crate::world::{ServerKind, SoakWorld};

/// What happens in one fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultKind {
    /// The store answers nothing but 503.
    StoreDown,
    /// The store answers nothing, and never what it was asked before or meanwhile.
    StoreSilent,
    /// The link of one gateway to the store is harmed.
    StoreLink(usize, LinkState),
    /// The link of all gateways to one server is harmed.
    ServerLink(usize, LinkState),
    /// A server fails its requests in some way.
    ServerMood(usize, ServerMood),
    /// A server crashes and starts empty.
    ServerCrash(usize),
    /// A server is replaced: the new one comes first, the old one drains.
    ServerReplaced(usize),
    /// A gateway's process is stopped and goes on later.
    Pause(usize),
    /// A gateway's process is killed and starts anew.
    Kill(usize),
    /// A gateway's process is told to end and starts anew.
    Term(usize),
    /// All gateways are killed at once.
    KillAll,
    /// The operators publish a configuration.
    Configure,
    /// The store forgets its history.
    Compact,
}

/// Which faults a seed plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultMix {
    /// Planned work alone.
    Planned,
    /// Faults of all kinds, one or two at a time.
    Some,
    /// Many at a time.
    Many,
    /// Faults of the store alone: no VM starts anew and tells the others what they missed.
    Store,
}

impl FaultMix {
    pub(crate) fn of(seed: u64) -> Self {
        match seed % 4 {
            0 => Self::Planned,
            1 => Self::Some,
            2 => Self::Many,
            _ => Self::Store,
        }
    }

    /// Milliseconds between the starts of two faults, on average.
    fn pause_ms(self) -> u64 {
        match self {
            Self::Planned => 900,
            Self::Some | Self::Store => 700,
            Self::Many => 250,
        }
    }
}

/// Starts faults for `time`, and comes back when all have ended.
pub(crate) async fn strike(
    world: &Arc<SoakWorld>,
    mix: FaultMix,
    time: Duration,
    mut random: Pcg64,
) {
    let until = tokio::time::Instant::now() + time;
    let mut running = tokio::task::JoinSet::new();
    while tokio::time::Instant::now() < until {
        let pause = random.random_range(0..=2 * mix.pause_ms());
        sleep(Duration::from_millis(pause)).await;
        let kind = draw(world, mix, &mut random);
        let lasts = Duration::from_millis(random.random_range(200..3_000));
        world.log(format!("fault {kind:?} for {lasts:?}"));
        let world = Arc::clone(world);
        running.spawn(async move { play(&world, kind, lasts).await });
    }
    while running.join_next().await.is_some() {}
}

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
    let links = [LinkState::Slow(120), LinkState::Silent, LinkState::AnswersLost, LinkState::Reset];
    let link = *links.choose(random).expect("there are links");
    if mix == FaultMix::Store {
        return match random.random_range(0..6) {
            0 => FaultKind::StoreDown,
            1 | 2 => FaultKind::StoreSilent,
            3 => FaultKind::StoreLink(gateway, link),
            4 => FaultKind::Compact,
            _ => FaultKind::Configure,
        };
    }
    let moods = [
        ServerMood::LosesAnswer,
        ServerMood::Fails,
        ServerMood::CutsStream,
        ServerMood::AnswersTwice,
        ServerMood::Full,
        ServerMood::Paced,
    ];
    let mood = *moods.choose(random).expect("there are moods");
    match random.random_range(0..17) {
        0 => FaultKind::StoreDown,
        1 | 2 => FaultKind::StoreLink(gateway, link),
        3 | 4 => FaultKind::ServerLink(server, link),
        5 | 6 => FaultKind::ServerMood(server, mood),
        7 => FaultKind::ServerCrash(server),
        8 => FaultKind::ServerReplaced(server),
        9 | 10 => FaultKind::Pause(gateway),
        11 => FaultKind::Kill(gateway),
        12 => FaultKind::Term(gateway),
        13 => FaultKind::KillAll,
        14 => FaultKind::Compact,
        15 => FaultKind::StoreSilent,
        _ => FaultKind::Configure,
    }
}

async fn play(world: &Arc<SoakWorld>, kind: FaultKind, lasts: Duration) {
    match kind {
        FaultKind::StoreDown => {
            world.store.set_down(true);
            sleep(lasts).await;
            world.store.set_down(false);
        }
        FaultKind::StoreSilent => {
            world.store.set_silent(true);
            sleep(lasts).await;
            world.store.set_silent(false);
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
        FaultKind::ServerMood(server, mood) => {
            let server = world.server(server);
            server.set_mood(mood);
            sleep(lasts).await;
            server.set_mood(ServerMood::Paced);
        }
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
    }
}

/// What a slot of the site is for.
pub(crate) const SLOTS: [ServerKind; 6] = [
    ServerKind::Engine,
    ServerKind::Engine,
    ServerKind::Engine,
    ServerKind::Plain,
    ServerKind::Plain,
    ServerKind::Elsewhere,
];
