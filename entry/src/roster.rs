//! Drives the membership: probes, the platform's list, takeovers and catching up from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::control::ControlFold;
use coltsfoothook_decision::member::{
    MemberAction, MemberEvent, MemberFacts, MemberPlace, MemberSettings, MemberState, MemberTable,
    ProbeMessage, ProbeReply,
};
use coltsfoothook_decision::message::{CatchUpCall, CatchUpReply};
use coltsfoothook_decision::owner::OwnerEvent;
use coltsfoothook_decision::takeover::{TakeoverPlan, TakeoverSettings};
use coltsfoothook_peer::PeerTarget;
use coltsfoothook_telemetry::event;
use rand::{Rng, RngExt};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::core::{EntryCore, read, write};
use crate::follow::{install_config, install_control};
use crate::held::lock;
use crate::own::{append_control, drive_all};

/// The membership says when it is due next; its own facts are looked at this often besides.
const LEAST_PAUSE: Duration = Duration::from_millis(10);
const MOST_PAUSE: Duration = Duration::from_millis(100);
const TAKEOVER_PERIOD: Duration = Duration::from_millis(200);
/// The list grows with the number of VMs, and probes tell of changes sooner; its period grows with
/// them, so that reading it costs each VM the same.
const LIST_PERIOD: Duration = Duration::from_millis(1_000);
const LIST_PERIOD_PER_VM: Duration = Duration::from_millis(30);
/// The period right after a start, while no other VM is known, and how often it is used.
const FIRST_LIST_PERIOD: Duration = Duration::from_millis(100);
const FIRST_LISTINGS: u32 = 50;
const CATCH_UP_PERIOD: Duration = Duration::from_millis(500);
const CATCH_UP_WITHIN: Duration = Duration::from_secs(5);
/// An indirect probe takes two hops.
const INDIRECT_FACTOR: u32 = 2;

/// The seeded generator and the open calls of the membership.
pub(crate) struct RosterDriver {
    core: Arc<EntryCore>,
    rng: std::sync::Mutex<Pcg64>,
    calls: std::sync::Mutex<Vec<(u64, oneshot::Sender<ProbeReply>)>>,
    next_call: std::sync::atomic::AtomicU64,
    /// Cancelled when the addresses of this VM are known.
    begun: CancellationToken,
}

impl RosterDriver {
    pub(crate) fn new(core: Arc<EntryCore>) -> Self {
        let rng = Pcg64::seed_from_u64(core.me.incarnation.0);
        Self {
            core,
            rng: std::sync::Mutex::new(rng),
            calls: std::sync::Mutex::default(),
            next_call: std::sync::atomic::AtomicU64::new(1),
            begun: CancellationToken::new(),
        }
    }

    /// Takes this VM's addresses, which are known when its faces listen. Before it no probe is
    /// answered: the others would learn a place where nobody listens.
    pub(crate) fn begin(&self, caller: SocketAddr, peer: SocketAddr) {
        let core = &self.core;
        let place = MemberPlace {
            caller,
            peer,
            domain: core.settings.domain.clone(),
            region: core.settings.region.clone(),
        };
        let settings = MemberSettings::default();
        *lock(&core.members) = MemberTable::new(settings, core.me.clone(), place);
        self.begun.cancel();
    }

    /// Hands an event to the membership and carries out what it wants.
    pub(crate) fn drive(self: &Arc<Self>, event: MemberEvent) {
        let mut actions = Vec::new();
        {
            let mut members = lock(&self.core.members);
            let mut rng = lock(&self.rng);
            let rng: &mut dyn Rng = &mut *rng;
            members.handle(self.core.clock.now(), event, rng, &mut actions);
        }
        for action in actions {
            self.perform(action);
        }
    }

    /// Answers a probe of another VM.
    pub(crate) async fn answer(self: &Arc<Self>, message: ProbeMessage) -> Option<ProbeReply> {
        self.begun.cancelled().await;
        let (answer, answered) = oneshot::channel();
        let call = self.next_call.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        lock(&self.calls).push((call, answer));
        self.drive(MemberEvent::Probe { call, message });
        answered.await.ok()
    }

    fn perform(self: &Arc<Self>, action: MemberAction) {
        match action {
            MemberAction::SendProbe { to, address, message } => {
                let target = PeerTarget { address, vm: to };
                self.send(target, message, 1);
            }
            MemberAction::SendIndirect { via, address, message } => {
                let target = PeerTarget { address, vm: via };
                self.send(target, message, INDIRECT_FACTOR);
            }
            MemberAction::Reply { call, reply } => {
                let mut calls = lock(&self.calls);
                if let Some(at) = calls.iter().position(|(number, _)| *number == call) {
                    let _ = calls.swap_remove(at).1.send(reply);
                }
            }
            MemberAction::Changed(change) => {
                // A VM that restarts faster than its death is found never shows as dead in the
                // table; only this change tells that its earlier life is over.
                if change.state == MemberState::Dead {
                    let vm = change.vm.clone();
                    drive_all(&self.core, &OwnerEvent::VmDead { vm });
                }
                let (vm, incarnation) = (change.vm.vm, change.vm.incarnation);
                match change.state {
                    MemberState::Alive => event!(MemberJoined, vm = vm, incarnation = incarnation),
                    MemberState::Leaving => {
                        event!(MemberLeaving, vm = vm, incarnation = incarnation);
                    }
                    MemberState::Suspect => {
                        event!(MemberSuspected, vm = vm, incarnation = incarnation);
                    }
                    MemberState::Dead => event!(MemberDead, vm = vm, incarnation = incarnation),
                }
            }
        }
    }

    fn send(self: &Arc<Self>, target: PeerTarget, message: ProbeMessage, factor: u32) {
        let driver = Arc::clone(self);
        let within = Duration::from_millis(self.core.settings.probe_ms) * factor;
        tokio::spawn(async move {
            let number = message.number;
            let event = match driver.core.clients.peers.probe(&target, message, within).await {
                Ok(reply) => {
                    driver.core.health.peer_answered(driver.core.clock.now());
                    MemberEvent::Reply(reply)
                }
                Err(error) => {
                    log::debug!("probe of {} failed: {error}", target.vm);
                    MemberEvent::ProbeTimeout { number }
                }
            };
            driver.drive(event);
        });
    }
}

/// Probes other VMs and tells them this VM's facts.
pub(crate) async fn run_roster(driver: Arc<RosterDriver>) {
    let mut told = None;
    let stop = driver.core.closing.clone();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(pause(&driver.core)) => {}
        }
        let facts = own_facts(&driver.core);
        if told.as_ref() != Some(&facts) {
            driver.drive(MemberEvent::Facts(facts.clone()));
            told = Some(facts);
        }
        driver.drive(MemberEvent::Tick);
    }
}

fn pause(core: &EntryCore) -> Duration {
    let due = lock(&core.members).next_due();
    let micros = due.since(core.clock.now());
    Duration::from_micros(micros).clamp(LEAST_PAUSE, MOST_PAUSE)
}

fn own_facts(core: &EntryCore) -> MemberFacts {
    let (control, drains) = {
        let control = read(&core.control);
        (control.next(), control.vm_drains(core.me.vm.as_str()))
    };
    let takes = !drains && core.own_state() == MemberState::Alive;
    MemberFacts {
        config: core.view().version,
        control,
        reads_log: core.health.readable(core.clock.now()),
        weight: if takes { core.settings.weight } else { 0 },
        usage: core.limits.usage(core.clock.now()),
    }
}

/// Reads the platform's list of VMs.
pub(crate) async fn run_listing(driver: Arc<RosterDriver>) {
    let core = Arc::clone(&driver.core);
    let mut down = false;
    let mut listings = 0_u32;
    while !core.closing.is_cancelled() {
        match core.clients.directory.list().await {
            Ok(list) => {
                if std::mem::take(&mut down) {
                    event!(ListUp, vms = list.len());
                }
                driver.drive(MemberEvent::Listed(list));
            }
            // Once for each outage: at ten tries a second the log would hold little else.
            Err(error) if !std::mem::replace(&mut down, true) => event!(ListDown, error = error),
            Err(_) => {}
        }
        let others = lock(&core.members).others().len() as u32;
        let period = LIST_PERIOD.max(LIST_PERIOD_PER_VM * others);
        let first = others == 0 && listings < FIRST_LISTINGS;
        listings = listings.saturating_add(1);
        sleep(if first { FIRST_LIST_PERIOD } else { period }).await;
    }
}

/// Takes groups over whose owner is gone.
pub(crate) async fn run_takeovers(core: Arc<EntryCore>) {
    let mut plan = TakeoverPlan::new(TakeoverSettings::default(), core.clock.now());
    while !core.closing.is_cancelled() {
        let now = core.clock.now();
        if core.health.readable(now) && !core.gate.is_closed() {
            let view = core.view();
            let records = {
                let members = lock(&core.members);
                let control = read(&core.control);
                plan.plan(now, &view.takeover_groups, &members, &control)
            };
            for record in records {
                append_control(&core, record);
            }
        }
        sleep(TAKEOVER_PERIOD).await;
    }
}

/// Asks other VMs for what this one cannot read from the log.
pub(crate) async fn run_catch_up(core: Arc<EntryCore>) {
    let mut rng = Pcg64::seed_from_u64(core.me.incarnation.0.rotate_left(17));
    while !core.closing.is_cancelled() {
        sleep(CATCH_UP_PERIOD).await;
        let Some(target) = better_informed(&core, &mut rng) else { continue };
        let call = CatchUpCall {
            config: core.view().version,
            control_through: read(&core.control).next(),
        };
        match core.clients.peers.catch_up(&target, call, CATCH_UP_WITHIN).await {
            Ok(reply) => take_catch_up(&core, reply),
            Err(error) => {
                event!(CatchUpFailed, vm = target.vm, error = error);
            }
        }
    }
}

/// A random VM that says it knows more than this one, while the log does not answer here or cannot
/// make this VM whole.
fn better_informed(core: &EntryCore, rng: &mut Pcg64) -> Option<PeerTarget> {
    let now = core.clock.now();
    let config = core.view().version;
    let (control, whole) = {
        let control = read(&core.control);
        (control.next(), control.whole())
    };
    let whole = whole && lock(&core.config).whole();
    if whole && core.health.readable(now) {
        return None;
    }
    let members = lock(&core.members);
    let better: Vec<PeerTarget> = members
        .others()
        .iter()
        .filter(|row| matches!(row.state(), MemberState::Alive | MemberState::Leaving))
        .filter(|row| !whole || row.facts().config > config || row.facts().control > control)
        .map(|row| PeerTarget { address: row.place().peer, vm: row.identity().vm.clone() })
        .collect();
    (!better.is_empty()).then(|| better[rng.random_range(0..better.len())].clone())
}

fn take_catch_up(core: &Arc<EntryCore>, reply: CatchUpReply) {
    core.health.peer_answered(core.clock.now());
    if let Some(record) = reply.config {
        let adopted = lock(&core.config).adopt(record);
        if adopted.is_some() {
            install_config(core);
        }
    }
    if let Some(snapshot) = reply.control {
        let adopted = write(&core.control).adopt(snapshot);
        if adopted {
            install_control(core);
        }
    }
}

/// What another VM missed.
pub(crate) fn answer_catch_up(core: &EntryCore, call: &CatchUpCall) -> CatchUpReply {
    let config = {
        let config = lock(&core.config);
        (config.version() > call.config).then(|| config.snapshot()).flatten()
    };
    let control = read(&core.control);
    let newer = |control: &ControlFold| control.next() > call.control_through;
    let control = newer(&control).then(|| control.snapshot()).flatten();
    CatchUpReply { config, control }
}
