//! Faults of the soak, and the checks after all faults have ended.

use coltsfoothook_decision::id::{MICROS_PER_MILLI, TimePoint};
use coltsfoothook_decision::member::{ListedState, ListedVm, MemberState};
use coltsfoothook_decision::record::ControlRecord;
use rand::RngExt;

use crate::fake::LogRecord;
use crate::vm::{SoakVm, TENANT};
use crate::world::{FaultKind, SoakWorld, VmEvent, WorldEvent};

/// Interval at which VMs receive the platform's list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 2_000;
/// Time for which the list still contains a stopped VM, and maximum delay of its delivery, in
/// milliseconds.
const LIST_LAG_MS: u64 = 5_000;
/// Time for which the log retains a record, in milliseconds.
pub(crate) const RETENTION_MS: u64 = 60_000;
/// Interval at which the log drops old records, in milliseconds.
const RETAIN_INTERVAL_MS: u64 = 1_000;

impl SoakWorld {
    /// Returns the platform's current list. It still contains VMs that stopped recently.
    pub(crate) fn listed(&self) -> Vec<ListedVm> {
        let lag = LIST_LAG_MS * MICROS_PER_MILLI;
        let hosts = self.hosts.iter();
        let shown = hosts.filter(|host| host.vm.is_some() || self.now.since(host.stopped) < lag);
        let entries = shown.map(|host| ListedVm {
            name: host.name.clone(),
            place: host.place.clone(),
            state: ListedState::Live,
        });
        entries.collect()
    }

    /// Sends the platform's list to all VMs, each with a delay of its own.
    pub(crate) fn list(&mut self) {
        let list = self.listed();
        for at in 0..self.hosts.len() {
            let lag = self.rng.random_range(0..LIST_LAG_MS);
            let generation = self.hosts[at].generation;
            self.push(lag, WorldEvent::Vm(at, generation, VmEvent::List(list.clone())));
        }
        self.push(LIST_INTERVAL_MS, WorldEvent::List);
    }

    /// Drops the records that are past the retention time.
    pub(crate) fn retain(&mut self) {
        let oldest = self.now.0.saturating_sub(RETENTION_MS * MICROS_PER_MILLI);
        if !self.log.down {
            self.log.retain(TimePoint(oldest));
        }
        self.push(RETAIN_INTERVAL_MS, WorldEvent::Retain);
    }

    /// Injects one or two faults and schedules the next ones.
    pub(crate) fn fault(&mut self) {
        if self.settling {
            return;
        }
        let count = if self.chance(400) { 2 } else { 1 };
        for _ in 0..count {
            let kind = self.draw_fault();
            self.inject(kind);
        }
        let max = if self.settings.vm_faults { 2_500 } else { 6_000 };
        let wait = self.rng.random_range(300..max);
        self.push(wait, WorldEvent::Fault);
    }

    fn draw_fault(&mut self) -> FaultKind {
        let vm = self.rng.random_range(0..self.hosts.len());
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
        let duration_ms = match kind {
            FaultKind::LogDown => self.rng.random_range(200..12_000),
            FaultKind::VmKilled(_) => self.rng.random_range(100..8_000),
            FaultKind::VmPaused(_) => self.rng.random_range(100..20_000),
            _ => self.rng.random_range(500..10_000),
        };
        match kind {
            FaultKind::LogDown => self.log.down = true,
            FaultKind::VmKilled(vm) => self.kill(vm),
            FaultKind::VmPaused(vm) => {
                self.hosts[vm].paused = self.now.plus(duration_ms * MICROS_PER_MILLI);
            }
            FaultKind::Partition => {
                for at in 0..self.hosts.len() {
                    self.hosts[at].partitioned = self.chance(400);
                }
            }
            FaultKind::VmWithoutLog(vm) => self.hosts[vm].without_log = true,
            FaultKind::EngineRestarts(engine) => {
                self.engines[engine].restart();
            }
            FaultKind::ClockJumps(vm) => {
                let hours = self.rng.random_range(0..3) * 3_600_000;
                self.hosts[vm].clock_ms = 1_700_000_000_000 + hours;
            }
            FaultKind::ServerDrains(engine) => self.drain(engine, true),
            FaultKind::SlowLoads => self.slow_loads = true,
        }
        self.push(duration_ms, WorldEvent::Repair(kind));
    }

    fn kill(&mut self, at: usize) {
        self.hosts[at].vm = None;
        self.hosts[at].generation += 1;
        self.hosts[at].stopped = self.now;
    }

    fn drain(&mut self, engine: usize, draining: bool) {
        let server = self.engines[engine].name.clone();
        let record = ControlRecord::DrainServer { server, draining };
        if self.log.append(self.now, LogRecord::Control(record)) {
            self.drained[engine] = draining.then_some(self.now);
        }
    }

    /// Ends a fault.
    pub(crate) fn repair(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::LogDown => self.log.down = false,
            FaultKind::VmKilled(vm) => self.push(0, WorldEvent::Boot(vm)),
            FaultKind::Partition => self.hosts.iter_mut().for_each(|host| host.partitioned = false),
            FaultKind::VmWithoutLog(vm) => self.hosts[vm].without_log = false,
            FaultKind::ServerDrains(engine) => self.drain(engine, false),
            FaultKind::SlowLoads => self.slow_loads = false,
            FaultKind::VmPaused(_) | FaultKind::EngineRestarts(_) | FaultKind::ClockJumps(_) => {}
        }
    }

    /// Ends all faults and stops new load. The first engine starts to drain, so that the rule on
    /// draining servers is checked without other faults.
    pub(crate) fn repair_all(&mut self) {
        self.settling = true;
        let paused = self.hosts.iter().map(|host| host.paused);
        self.faults_end = paused.max().unwrap_or_default().max(self.now);
        self.log.down = false;
        self.slow_loads = false;
        for at in 0..self.hosts.len() {
            self.hosts[at].partitioned = false;
            self.hosts[at].without_log = false;
            self.push(0, WorldEvent::Boot(at));
        }
        for engine in 0..self.engines.len() {
            self.drain(engine, engine == 0);
        }
    }

    /// Returns the conditions of a settled system that do not hold yet, as rule and detail.
    pub(crate) fn unsettled(&self) -> Vec<(&'static str, String)> {
        let mut found = Vec::new();
        let vms: Vec<&SoakVm> = self.hosts.iter().filter_map(|host| host.vm.as_ref()).collect();
        let Some(first) = vms.first() else { return found };
        for vm in &vms {
            let name = &vm.identity.vm;
            let sees = vm.members.live().count();
            if sees != self.hosts.len() {
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
        self.check_owners(first, &vms, &mut found);
        self.check_jobs(&vms, &mut found);
        found
    }

    /// Checks that the recorded owner of each group is alive and runs its owner.
    fn check_owners(
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

    /// Checks that each accepted job has ended, and that every VM knows the end.
    fn check_jobs(&self, vms: &[&SoakVm], found: &mut Vec<(&'static str, String)>) {
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
