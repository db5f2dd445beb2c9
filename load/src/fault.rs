//! The faults of the soak, and what must be so when all is mended.

use coltsfoothook_decision::id::{MICROS_PER_MILLI, TimePoint};
use coltsfoothook_decision::member::{ListedState, ListedVm, MemberState};
use coltsfoothook_decision::record::ControlRecord;
use rand::RngExt;

use crate::fake::LogRecord;
use crate::vm::{SoakVm, TENANT};
use crate::world::{FaultKind, SoakWorld, VmEvent, WorldEvent};

/// Milliseconds between readings of the platform's list.
const LIST_MS: u64 = 2_000;
/// Milliseconds for which the list still shows a VM that is gone.
const LIST_LAG_MS: u64 = 5_000;
/// Milliseconds for which the log keeps a record.
pub(crate) const RETENTION_MS: u64 = 60_000;
/// Milliseconds between the log's sweeps.
const RETAIN_MS: u64 = 1_000;

impl SoakWorld {
    /// The platform's list as it is now: it shows VMs for a while after they are gone.
    pub(crate) fn listed(&self) -> Vec<ListedVm> {
        let lag = LIST_LAG_MS * MICROS_PER_MILLI;
        let seats = self.seats.iter();
        let shown = seats.filter(|seat| seat.vm.is_some() || self.now.since(seat.stopped) < lag);
        let entries = shown.map(|seat| ListedVm {
            name: seat.name.clone(),
            place: seat.place.clone(),
            state: ListedState::Live,
        });
        entries.collect()
    }

    pub(crate) fn list(&mut self) {
        let list = self.listed();
        for at in 0..self.seats.len() {
            let lag = self.rng.random_range(0..LIST_LAG_MS);
            let life = self.seats[at].life;
            self.push(lag, WorldEvent::Vm(at, life, VmEvent::List(list.clone())));
        }
        self.push(LIST_MS, WorldEvent::List);
    }

    pub(crate) fn retain(&mut self) {
        let oldest = self.now.0.saturating_sub(RETENTION_MS * MICROS_PER_MILLI);
        if !self.log.down {
            self.log.retain(TimePoint(oldest));
        }
        self.push(RETAIN_MS, WorldEvent::Retain);
    }

    /// Injects one fault, or two at once.
    pub(crate) fn fault(&mut self) {
        if self.calm {
            return;
        }
        let count = if self.chance(400) { 2 } else { 1 };
        for _ in 0..count {
            let kind = self.draw_fault();
            self.inject(kind);
        }
        let most = if self.settings.vm_faults { 2_500 } else { 6_000 };
        let wait = self.rng.random_range(300..most);
        self.push(wait, WorldEvent::Fault);
    }

    fn draw_fault(&mut self) -> FaultKind {
        let vm = self.rng.random_range(0..self.seats.len());
        let engine = self.rng.random_range(0..self.engines.len());
        if self.settings.vm_faults {
            let paused = self.chance(700);
            return if paused { FaultKind::VmPaused(vm) } else { FaultKind::VmKilled(vm) };
        }
        match self.rng.random_range(0..12) {
            0 | 1 => FaultKind::LogDown,
            2 | 3 => FaultKind::VmKilled(vm),
            4 | 5 => FaultKind::VmPaused(vm),
            6 => FaultKind::Partition,
            7 => FaultKind::VmWithoutLog(vm),
            8 => FaultKind::EngineRestarts(engine),
            9 => FaultKind::ClockJumps(vm),
            10 => FaultKind::ServerDrains(engine),
            _ => FaultKind::SlowLoads,
        }
    }

    fn inject(&mut self, kind: FaultKind) {
        self.result.faults += 1;
        let lasts = match kind {
            FaultKind::LogDown => self.rng.random_range(200..12_000),
            FaultKind::VmKilled(_) => self.rng.random_range(100..8_000),
            FaultKind::VmPaused(_) => self.rng.random_range(100..20_000),
            _ => self.rng.random_range(500..10_000),
        };
        match kind {
            FaultKind::LogDown => self.log.down = true,
            FaultKind::VmKilled(vm) => self.kill(vm),
            FaultKind::VmPaused(vm) => {
                self.seats[vm].paused = self.now.plus(lasts * MICROS_PER_MILLI);
            }
            FaultKind::Partition => {
                for at in 0..self.seats.len() {
                    self.seats[at].side = self.chance(400);
                }
            }
            FaultKind::VmWithoutLog(vm) => self.seats[vm].without_log = true,
            FaultKind::EngineRestarts(engine) => {
                self.engines[engine].restart();
            }
            FaultKind::ClockJumps(vm) => {
                let hours = self.rng.random_range(0..3) * 3_600_000;
                self.seats[vm].clock_ms = 1_700_000_000_000 + hours;
            }
            FaultKind::ServerDrains(engine) => self.drain(engine, true),
            FaultKind::SlowLoads => self.slow_loads = true,
        }
        self.push(lasts, WorldEvent::Mend(kind));
    }

    fn kill(&mut self, at: usize) {
        self.seats[at].vm = None;
        self.seats[at].life += 1;
        self.seats[at].stopped = self.now;
    }

    fn drain(&mut self, engine: usize, draining: bool) {
        let server = self.engines[engine].name.clone();
        let record = ControlRecord::DrainServer { server, draining };
        if self.log.append(self.now, LogRecord::Control(record)) {
            self.drained[engine] = draining.then_some(self.now);
        }
    }

    pub(crate) fn mend(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::LogDown => self.log.down = false,
            FaultKind::VmKilled(vm) => self.push(0, WorldEvent::Boot(vm)),
            FaultKind::Partition => self.seats.iter_mut().for_each(|seat| seat.side = false),
            FaultKind::VmWithoutLog(vm) => self.seats[vm].without_log = false,
            FaultKind::ServerDrains(engine) => self.drain(engine, false),
            FaultKind::SlowLoads => self.slow_loads = false,
            FaultKind::VmPaused(_) | FaultKind::EngineRestarts(_) | FaultKind::ClockJumps(_) => {}
        }
    }

    /// Ends every fault and all new load. The first engine is left to drain, so that the rule on
    /// leaving servers is seen without faults around it.
    pub(crate) fn mend_all(&mut self) {
        self.calm = true;
        let paused = self.seats.iter().map(|seat| seat.paused);
        self.troubled = paused.max().unwrap_or_default().max(self.now);
        self.log.down = false;
        self.slow_loads = false;
        for at in 0..self.seats.len() {
            self.seats[at].side = false;
            self.seats[at].without_log = false;
            self.push(0, WorldEvent::Boot(at));
        }
        for engine in 0..self.engines.len() {
            self.drain(engine, engine == 0);
        }
    }

    /// What is not yet as it must be at rest: rule and detail.
    pub(crate) fn unrest(&self) -> Vec<(&'static str, String)> {
        let mut found = Vec::new();
        let vms: Vec<&SoakVm> = self.seats.iter().filter_map(|seat| seat.vm.as_ref()).collect();
        let Some(first) = vms.first() else { return found };
        for vm in &vms {
            let name = &vm.identity.vm;
            let sees = vm.members.live().count();
            if sees != self.seats.len() {
                found.push(("members_meet", format!("{name} sees {sees} VMs")));
            }
            if vm.config.version().0 != self.versions.len() as u64 {
                let version = vm.config.version();
                let detail = format!("{name} has {version} of {}", self.versions.len());
                found.push(("config_in_force", detail));
            }
            if vm.control.owners() != first.control.owners() {
                let detail = format!("{name} and {} differ", first.identity.vm);
                found.push(("owners_agree", detail));
            }
            if vm.open_calls() > 0 {
                found.push(("calls_answered", format!("{name} has {}", vm.open_calls())));
            }
        }
        self.owners_rest(first, &vms, &mut found);
        self.jobs_rest(&vms, &mut found);
        found
    }

    fn owners_rest(
        &self,
        first: &SoakVm,
        vms: &[&SoakVm],
        found: &mut Vec<(&'static str, String)>,
    ) {
        for ownership in first.control.owners() {
            let group = &ownership.group;
            let owner = vms.iter().find(|vm| vm.identity == ownership.owner);
            let owns = owner.is_some_and(|vm| vm.owners.iter().any(|owned| owned.group == *group));
            let known = first.members.state_of(ownership.owner.vm.as_str());
            if !owns || known != Some(MemberState::Alive) {
                found.push(("group_owned", format!("{group} has no live owner")));
            }
        }
    }

    fn jobs_rest(&self, vms: &[&SoakVm], found: &mut Vec<(&'static str, String)>) {
        for job in self.oracle.open_jobs() {
            found.push(("job_once", format!("{job} was accepted and has no end")));
        }
        for vm in vms {
            let lost = self
                .oracle
                .ended_jobs()
                .find(|(job, _)| vm.jobs.row(TENANT, job).is_none_or(|row| row.end().is_none()));
            if let Some((job, _)) = lost {
                found.push(("job_once", format!("{} lost the result of {job}", vm.identity.vm)));
            }
        }
    }
}
