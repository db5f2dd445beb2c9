//! Callers and operators of the soak.

use coltsfoothook_decision::id::{AdapterVersion, ConfigVersion, MICROS_PER_MILLI};
use coltsfoothook_decision::manifest::{
    AdapterEntry, EngineEntry, ManifestDelta, ModelEntry, ServerEntry, ServerKind, ServingManifest,
    ServingManifestParts, StoreEntry, TenantEntry, VersionEntry,
};
use coltsfoothook_decision::outcome::{RequestClass, RequestOutcome};
use coltsfoothook_decision::record::{ConfigChange, ConfigRecord, JobEntry};
use rand::RngExt;

use crate::call::MODEL;
use crate::effect::{SoakKind, SoakRequest};
use crate::vm::TENANT;
use crate::world::{CallerRequest, REGION, SoakWorld, VmEvent, WorldEvent};

/// Time after which a caller resends a request without an answer, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 25_000;
/// Time after which a caller that hedges resends a request, while it still waits for the first
/// attempt, in milliseconds.
const HEDGE_MS: u64 = 300;
/// Maximum number of times that a caller sends a request.
const MAX_CALLER_ATTEMPTS: u32 = 4;
/// Time after the first attempt in which a caller may resend a key, in milliseconds. Together with
/// the longest pause of a VM it is shorter than the log's retention of the claim.
const CALLER_WINDOW_MS: u64 = 30_000;
/// Time after which a caller resubmits a job that was not accepted, in milliseconds.
const JOB_TIMEOUT_MS: u64 = 4_000;

impl SoakWorld {
    /// Returns the manifest that is published before the VMs start.
    pub(crate) fn initial_manifest(&self) -> ServingManifest {
        ServingManifest {
            models: vec![ModelEntry { name: MODEL.into() }],
            adapters: (0..self.settings.adapters).map(adapter_entry).collect(),
            tenants: vec![TenantEntry {
                name: TENANT.into(),
                credentials: vec!["ab".repeat(32)],
                requests_per_s: None,
                burst: 100,
                weight: 1.0,
            }],
            servers: self
                .engines
                .iter()
                .enumerate()
                .map(|(at, engine)| ServerEntry {
                    name: engine.name.clone(),
                    address: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000 + at as u16)),
                    domain: format!("domain-{}", at % 3).into(),
                    region: REGION.into(),
                    serves: ServerKind::Engine(EngineEntry {
                        model: MODEL.into(),
                        adapter_slots: self.settings.slots as u32,
                        batch_slots: 8,
                        checks_fencing: engine.checks_fencing,
                    }),
                })
                .collect(),
            stores: vec![StoreEntry { region: REGION.into(), loads_per_s: 5.0, full_speed: 2 }],
            ..Default::default()
        }
    }

    /// Creates a request, and schedules its sending and the next arrival.
    pub(crate) fn arrive(&mut self) {
        if self.settling {
            return;
        }
        let number = self.requests.len();
        let kind = match self.rng.random_range(0..10) {
            0..=5 => {
                let repeatable = self.chance(700);
                SoakKind::Model { adapter: self.draw_adapter(), repeatable }
            }
            6 | 7 => SoakKind::Service { key: format!("own-{number}"), first_try: true },
            _ => SoakKind::Service { key: self.issued_key(number), first_try: true },
        };
        let name = match &kind {
            SoakKind::Model { .. } => format!("model-{number}"),
            SoakKind::Service { key, .. } => key.clone(),
        };
        let hedged = self.chance(300);
        let first = self.now;
        self.requests.push(CallerRequest { name, kind, hedged, first, attempts: 0, done: false });
        self.push(0, WorldEvent::Resend(number));
        let wait = self.rng.random_range(10..120);
        self.push(wait, WorldEvent::Arrive);
    }

    /// Draws an adapter. Low numbers are more popular; the popularity shifts by one adapter every
    /// 20 s.
    fn draw_adapter(&mut self) -> AdapterVersion {
        let count = self.settings.adapters;
        let first = self.rng.random_range(0..count);
        let second = self.rng.random_range(0..=first);
        let drift = (self.now.0 / 20_000_000) as usize;
        let at = (second + drift) % count;
        AdapterVersion { adapter: format!("adapter-{at:03}").into(), version: "1".into() }
    }

    /// Returns a key issued by a random VM, or one of the caller's own if that VM is down.
    fn issued_key(&mut self, number: usize) -> String {
        let at = self.rng.random_range(0..self.hosts.len());
        match &mut self.hosts[at].vm {
            Some(vm) => vm.claims.issue().0,
            None => format!("own-{number}"),
        }
    }

    /// Sends a request, for the first time or again. The first attempt goes to the VM that issued
    /// the key, if one did, all others to a random VM, which may be down.
    pub(crate) fn resend(&mut self, number: usize) {
        let attempts = self.requests[number].attempts;
        let request = &self.requests[number];
        let expired = self.now.since(request.first) > CALLER_WINDOW_MS * MICROS_PER_MILLI;
        if request.done || expired || attempts >= MAX_CALLER_ATTEMPTS {
            return;
        }
        self.requests[number].attempts += 1;
        let request = &self.requests[number];
        let kind = match &request.kind {
            SoakKind::Service { key, .. } => {
                let first_try = attempts == 0 && !request.hedged;
                SoakKind::Service { key: key.clone(), first_try }
            }
            // Model requests are sent once.
            kind if attempts == 0 => kind.clone(),
            _ => return,
        };
        let name = request.name.clone();
        let at = self.rng.random_range(0..self.hosts.len());
        let at = self.issuer_of(number).filter(|_| attempts == 0).unwrap_or(at);
        let generation = self.hosts[at].generation;
        let hedged = request.hedged;
        let attempt_number = u64::from(attempts) + 1;
        let request = SoakRequest { number: number as u64, attempt_number, name, kind };
        self.push(1, WorldEvent::Vm(at, generation, VmEvent::Request(request)));
        let timeout = if hedged { HEDGE_MS } else { CALLER_TIMEOUT_MS };
        self.push(timeout, WorldEvent::Resend(number));
    }

    /// Returns the VM that issued the request's key, if any.
    fn issuer_of(&self, number: usize) -> Option<usize> {
        let name = &self.requests[number].name;
        self.hosts.iter().position(|host| name.starts_with(&format!("cf1.{}.", host.name)))
    }

    /// Handles an answer to a caller. A caller resends the same key after the outcome "unknown". A
    /// caller that timed out does not receive answers to earlier attempts, unless it hedges.
    pub(crate) fn answered(&mut self, number: u64, attempt_number: u64, outcome: RequestOutcome) {
        let number = number as usize;
        let request = &self.requests[number];
        if !request.hedged && u64::from(request.attempts) != attempt_number {
            return;
        }
        let name = self.requests[number].name.clone();
        self.oracle.answered(self.now.0, &name, outcome);
        if outcome == RequestOutcome::Unknown {
            self.push(50, WorldEvent::Resend(number));
        } else {
            self.requests[number].done = true;
        }
    }

    /// Publishes two changes, often with the same base version. Some are repeated after a delay,
    /// and some are invalid.
    pub(crate) fn publish(&mut self) {
        if self.settling {
            return;
        }
        for _ in 0..2 {
            let base = self.some_version();
            self.publishes += 1;
            let publish_id = format!("publish-{}", self.publishes);
            let change = self.draw_change();
            let record = ConfigRecord::Publish { base, publish_id, change };
            let wait = self.rng.random_range(0..400);
            self.push(wait, WorldEvent::Republish(record.clone()));
            if self.chance(300) {
                let delay = self.rng.random_range(0..30_000);
                self.push(delay, WorldEvent::Republish(record));
            }
        }
        let wait = self.rng.random_range(300..5_000);
        self.push(wait, WorldEvent::Publish);
    }

    /// Returns the version in force at a random VM, or version 1 if it is down.
    fn some_version(&mut self) -> ConfigVersion {
        let at = self.rng.random_range(0..self.hosts.len());
        let vm = self.hosts[at].vm.as_ref();
        vm.map_or(ConfigVersion(1), |vm| vm.config.version())
    }

    fn draw_change(&mut self) -> ConfigChange {
        let mut put = ServingManifestParts::default();
        let at = self.settings.adapters + self.rng.random_range(0..20);
        let mut entry = adapter_entry(at);
        if self.chance(100) {
            entry.model = "no-such-model".into();
        }
        put.adapters.push(entry);
        ConfigChange::Delta(ManifestDelta { put, remove: Default::default() })
    }

    /// Creates and submits an audit job, and schedules the next one.
    pub(crate) fn job(&mut self) {
        if self.settling {
            return;
        }
        self.jobs += 1;
        let entry = JobEntry {
            job: format!("job-{}", self.jobs).into(),
            tenant: TENANT.into(),
            adapter: self.draw_adapter(),
            class: RequestClass::Audit,
            due_ms: None,
            body: "{}".to_owned(),
            rewritten: 0,
        };
        self.resubmit(entry, 0);
        let wait = self.rng.random_range(200..3_000);
        self.push(wait, WorldEvent::Job);
    }

    /// Submits a job to a random VM, unless it was accepted, and schedules the next attempt.
    pub(crate) fn resubmit(&mut self, entry: JobEntry, attempts: u32) {
        let accepted = self.oracle.knows_job(entry.job.as_str());
        if accepted || attempts >= MAX_CALLER_ATTEMPTS {
            return;
        }
        let at = self.rng.random_range(0..self.hosts.len());
        let generation = self.hosts[at].generation;
        self.push(1, WorldEvent::Vm(at, generation, VmEvent::Submit(entry.clone())));
        self.push(JOB_TIMEOUT_MS, WorldEvent::Resubmit(entry, attempts + 1));
    }
}

fn adapter_entry(at: usize) -> AdapterEntry {
    AdapterEntry {
        name: format!("adapter-{at:03}").into(),
        model: MODEL.into(),
        versions: vec![VersionEntry { version: "1".into(), weights: format!("store/{at}") }],
        tenants: vec![TENANT.into()],
        default_version: None,
    }
}
