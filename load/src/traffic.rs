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

/// Milliseconds after which a caller sends a request again that got no answer.
const CALLER_PATIENCE_MS: u64 = 25_000;
/// The same for a caller that hedges: it sends again while it still waits.
const HEDGE_MS: u64 = 300;
/// How often a caller sends a request.
const CALLER_TRIES: u32 = 4;
/// Milliseconds after its first try beyond which a caller does not send a key again. With the
/// longest pause of a VM it stays within the time for which the log keeps the claim.
const CALLER_WINDOW_MS: u64 = 30_000;
/// Milliseconds after which a caller submits a job again that was not accepted.
const JOB_PATIENCE_MS: u64 = 4_000;

impl SoakWorld {
    pub(crate) fn first_manifest(&self) -> ServingManifest {
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

    /// A new request arrives.
    pub(crate) fn arrive(&mut self) {
        if self.calm {
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
        self.requests.push(CallerRequest { name, kind, hedged, first, tries: 0, done: false });
        self.push(0, WorldEvent::Resend(number));
        let wait = self.rng.random_range(10..120);
        self.push(wait, WorldEvent::Arrive);
    }

    /// Popularity is skewed, and drifts as time passes.
    fn draw_adapter(&mut self) -> AdapterVersion {
        let count = self.settings.adapters;
        let first = self.rng.random_range(0..count);
        let second = self.rng.random_range(0..=first);
        let drift = (self.now.0 / 20_000_000) as usize;
        let at = (second + drift) % count;
        AdapterVersion { adapter: format!("adapter-{at:03}").into(), version: "1".into() }
    }

    fn issued_key(&mut self, number: usize) -> String {
        let at = self.rng.random_range(0..self.seats.len());
        match &mut self.seats[at].vm {
            Some(vm) => vm.claims.issue().0,
            None => format!("own-{number}"),
        }
    }

    /// A caller sends a request, the first time or again, to any VM: it keeps old answers on which
    /// addresses to use.
    pub(crate) fn resend(&mut self, number: usize) {
        let tries = self.requests[number].tries;
        let request = &self.requests[number];
        let old = self.now.since(request.first) > CALLER_WINDOW_MS * MICROS_PER_MILLI;
        if request.done || old || tries >= CALLER_TRIES {
            return;
        }
        self.requests[number].tries += 1;
        let request = &self.requests[number];
        let kind = match &request.kind {
            SoakKind::Service { key, .. } => {
                let first_try = tries == 0 && !request.hedged;
                SoakKind::Service { key: key.clone(), first_try }
            }
            // A completion is sent again as a new request; the oracle knows it by a new name.
            kind if tries == 0 => kind.clone(),
            _ => return,
        };
        let name = request.name.clone();
        let at = self.rng.random_range(0..self.seats.len());
        let at = self.issuer_of(number).filter(|_| tries == 0).unwrap_or(at);
        let life = self.seats[at].life;
        let hedged = request.hedged;
        let number_of_try = u64::from(tries) + 1;
        let request = SoakRequest { number: number as u64, number_of_try, name, kind };
        self.push(1, WorldEvent::Vm(at, life, VmEvent::Request(request)));
        let patience = if hedged { HEDGE_MS } else { CALLER_PATIENCE_MS };
        self.push(patience, WorldEvent::Resend(number));
    }

    fn issuer_of(&self, number: usize) -> Option<usize> {
        let name = &self.requests[number].name;
        self.seats.iter().position(|seat| name.starts_with(&format!("cf1.{}.", seat.name)))
    }

    /// A caller is answered. One that is told "unknown" sends the same key again, as careless
    /// callers do. One that lost patience has closed its connection and hears nothing more of that
    /// try, unless it hedges: then it keeps both.
    pub(crate) fn answered(&mut self, number: u64, number_of_try: u64, outcome: RequestOutcome) {
        let number = number as usize;
        let request = &self.requests[number];
        if !request.hedged && u64::from(request.tries) != number_of_try {
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

    /// Two operators publish, often on the same base; now and then one repeats itself, is wrong or
    /// is late.
    pub(crate) fn publish(&mut self) {
        if self.calm {
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
                let late = self.rng.random_range(0..30_000);
                self.push(late, WorldEvent::Republish(record));
            }
        }
        let wait = self.rng.random_range(300..5_000);
        self.push(wait, WorldEvent::Publish);
    }

    fn some_version(&mut self) -> ConfigVersion {
        let at = self.rng.random_range(0..self.seats.len());
        let vm = self.seats[at].vm.as_ref();
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

    /// A caller submits an audit job, and again until it is told that it is accepted.
    pub(crate) fn job(&mut self) {
        if self.calm {
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

    pub(crate) fn resubmit(&mut self, entry: JobEntry, tries: u32) {
        let accepted = self.oracle.knows_job(entry.job.as_str());
        if accepted || tries >= CALLER_TRIES {
            return;
        }
        let at = self.rng.random_range(0..self.seats.len());
        let life = self.seats[at].life;
        self.push(1, WorldEvent::Vm(at, life, VmEvent::Submit(entry.clone())));
        self.push(JOB_PATIENCE_MS, WorldEvent::Resubmit(entry, tries + 1));
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
