//! Runs the membership protocol: probes, the platform's VM list, takeovers and catch-up from other
//! VMs.

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

/// Bounds of the time between two ticks of the membership table. The upper one also bounds how late
/// a change of this VM's own facts is noticed.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between reads of the VM list. In large clusters it grows with the number of other VMs,
/// so that the entries each VM reads per second stay constant; probes detect most changes earlier.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(30);
/// Interval after a start while no other VM is known, and the number of reads that use it.
const INITIAL_LIST_INTERVAL: Duration = Duration::from_millis(100);
const INITIAL_LISTINGS: u32 = 50;
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(500);
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// Factor by which the timeout of an indirect probe, which takes two hops, exceeds that of a probe.
const INDIRECT_TIMEOUT_FACTOR: u32 = 2;

/// Connects the membership table to the network: sends its probes and answers those of other VMs.
pub(crate) struct MembershipDriver {
    core: Arc<EntryCore>,
    rng: std::sync::Mutex<Pcg64>,
    pending_replies: std::sync::Mutex<Vec<(u64, oneshot::Sender<ProbeReply>)>>,
    next_call: std::sync::atomic::AtomicU64,
    /// Cancelled when [`MembershipDriver::begin`] has set this VM's addresses.
    started: CancellationToken,
}

impl MembershipDriver {
    pub(crate) fn new(core: Arc<EntryCore>) -> Self {
        let rng = Pcg64::seed_from_u64(core.me.incarnation.0);
        Self {
            core,
            rng: std::sync::Mutex::new(rng),
            pending_replies: std::sync::Mutex::default(),
            next_call: std::sync::atomic::AtomicU64::new(1),
            started: CancellationToken::new(),
        }
    }

    /// Sets this VM's addresses once its listeners are bound. No probe is answered before, since
    /// the reply would publish addresses at which nothing listens.
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
        self.started.cancel();
    }

    /// Passes an event to the membership table and performs its actions.
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

    /// Answers a probe of another VM, once this VM's addresses are set; `None` if the membership
    /// table gives no reply.
    pub(crate) async fn answer(self: &Arc<Self>, message: ProbeMessage) -> Option<ProbeReply> {
        self.started.cancelled().await;
        let (answer, answered) = oneshot::channel();
        let call = self.next_call.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        lock(&self.pending_replies).push((call, answer));
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
                self.send(target, message, INDIRECT_TIMEOUT_FACTOR);
            }
            MemberAction::Reply { call, reply } => {
                let mut pending_replies = lock(&self.pending_replies);
                if let Some(at) = pending_replies.iter().position(|(number, _)| *number == call) {
                    let _ = pending_replies.swap_remove(at).1.send(reply);
                }
            }
            MemberAction::Changed(change) => {
                // A VM that restarts before its death is detected is never marked dead in the
                // table; only this change reports that its previous incarnation has ended.
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
        let probe_timeout = Duration::from_millis(self.core.settings.probe_ms) * factor;
        tokio::spawn(async move {
            let number = message.number;
            let event = match driver.core.clients.peers.probe(&target, message, probe_timeout).await
            {
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

/// Sends ticks and changes of this VM's own facts to the membership table until the process ends.
pub(crate) async fn run_membership(driver: Arc<MembershipDriver>) {
    let mut reported = None;
    let stop = driver.core.closing.clone();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(next_tick_delay(&driver.core)) => {}
        }
        let facts = own_facts(&driver.core);
        if reported.as_ref() != Some(&facts) {
            driver.drive(MemberEvent::Facts(facts.clone()));
            reported = Some(facts);
        }
        driver.drive(MemberEvent::Tick);
    }
}

fn next_tick_delay(core: &EntryCore) -> Duration {
    let due = lock(&core.members).next_due();
    let micros = due.since(core.clock.now());
    Duration::from_micros(micros).clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL)
}

fn own_facts(core: &EntryCore) -> MemberFacts {
    let (control, draining) = {
        let control = read(&core.control);
        (control.next(), control.is_vm_draining(core.me.vm.as_str()))
    };
    let accepts_requests = !draining && core.own_state() == MemberState::Alive;
    MemberFacts {
        config: core.view().version,
        control,
        reads_log: core.health.readable(core.clock.now()),
        weight: if accepts_requests { core.settings.weight } else { 0 },
        usage: core.limits.usage(core.clock.now()),
    }
}

/// Polls the platform's list of VMs until the process ends.
pub(crate) async fn poll_vm_list(driver: Arc<MembershipDriver>) {
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
            // Logged once per outage: up to ten reads fail each second.
            Err(error) if !std::mem::replace(&mut down, true) => event!(ListDown, error = error),
            Err(_) => {}
        }
        let others = lock(&core.members).others().len() as u32;
        let interval = LIST_INTERVAL.max(LIST_INTERVAL_PER_VM * others);
        let initial = others == 0 && listings < INITIAL_LISTINGS;
        listings = listings.saturating_add(1);
        sleep(if initial { INITIAL_LIST_INTERVAL } else { interval }).await;
    }
}

/// Appends the takeovers that are due for this VM, until the process ends. Takes over nothing
/// while the log is not readable or this VM is shutting down.
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
        sleep(TAKEOVER_INTERVAL).await;
    }
}

/// Requests from other VMs the state that this one cannot read from the log, until the process
/// ends.
pub(crate) async fn run_catch_up(core: Arc<EntryCore>) {
    // The rotation makes the sequence differ from that of `MembershipDriver`.
    let mut rng = Pcg64::seed_from_u64(core.me.incarnation.0.rotate_left(17));
    while !core.closing.is_cancelled() {
        sleep(CATCH_UP_INTERVAL).await;
        let Some(target) = catch_up_source(&core, &mut rng) else { continue };
        let call = CatchUpCall {
            config: core.view().version,
            control_through: read(&core.control).next(),
        };
        match core.clients.peers.catch_up(&target, call, CATCH_UP_TIMEOUT).await {
            Ok(reply) => apply_catch_up(&core, reply),
            Err(error) => {
                event!(CatchUpFailed, vm = target.vm, error = error);
            }
        }
    }
}

/// Returns a random alive or leaving VM: any of them while this VM's state is incomplete, else one
/// that reports newer state. `None` if there is no such VM, or if the state is complete and the log
/// readable.
fn catch_up_source(core: &EntryCore, rng: &mut Pcg64) -> Option<PeerTarget> {
    let now = core.clock.now();
    let config = core.view().version;
    let (control, complete) = {
        let control = read(&core.control);
        (control.next(), control.is_complete())
    };
    let complete = complete && lock(&core.config).is_complete();
    if complete && core.health.readable(now) {
        return None;
    }
    let members = lock(&core.members);
    let sources: Vec<PeerTarget> = members
        .others()
        .iter()
        .filter(|row| matches!(row.state(), MemberState::Alive | MemberState::Leaving))
        .filter(|row| !complete || row.facts().config > config || row.facts().control > control)
        .map(|row| PeerTarget { address: row.place().peer, vm: row.identity().vm.clone() })
        .collect();
    (!sources.is_empty()).then(|| sources[rng.random_range(0..sources.len())].clone())
}

fn apply_catch_up(core: &Arc<EntryCore>, reply: CatchUpReply) {
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

/// Returns the snapshots that are newer than the state of the requesting VM.
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
