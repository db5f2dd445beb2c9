//! The demonstration: the main job under load, with an engine restart, a configuration change and a
//! VM that leaves in the middle.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_standin::{EngineServerSettings, StoreServerSettings};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::client::SiteClient;
use crate::site::{LocalSite, OPERATOR_TOKEN, SiteError, SiteSettings, version_entry};
use crate::traffic::{SiteTraffic, TrafficCounts, TrafficSettings};

/// What is shown.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Whether to take a quarter of the time.
    pub quick: bool,
    /// The seed of the load.
    pub seed: u64,
    /// Called with each step, for progress.
    pub progress: fn(&str),
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self { quick: false, seed: 1, progress: |_| {} }
    }
}

/// What was seen.
#[derive(Clone, Debug, Serialize)]
pub struct DemoReport {
    /// What became of the calls.
    #[serde(flatten)]
    pub counts: TrafficCounts,
    /// Tickets that were made twice.
    pub doubled: u64,
    /// Requests that an engine lost because their slot was evicted under them.
    pub evicted_in_use: u64,
    /// Violations that the entry processes counted themselves.
    pub invariant_violations: u64,
    /// From sending a publication until its version was in force at every VM, in milliseconds; the
    /// worst of the changes.
    pub config_in_force_ms: f64,
    /// 95th centile of the time that requests waited for their adapter to load, in milliseconds.
    pub stall_p95_ms: f64,
    /// 95th centile of the time to the first token, in milliseconds.
    pub ttft_p95_ms: f64,
    /// The same of urgent requests.
    pub urgent_ttft_p95_ms: f64,
    /// 95th centile of the longest gap within a stream, in milliseconds.
    pub gap_p95_ms: f64,
    /// Mean number of requests in an engine's step.
    pub batch_mean: f64,
    /// Tokens generated.
    pub tokens: u64,
    /// Adapter loads.
    pub loads: u64,
    /// Entry VMs at the start.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
}

impl DemoReport {
    /// The promises that were broken, by name; empty if all held.
    #[must_use]
    pub fn broken(&self) -> Vec<&'static str> {
        let rules = [
            ("lost", self.counts.lost),
            ("doubled", self.doubled),
            ("wrong_adapter", self.counts.wrong_adapter),
            ("cut", self.counts.cut),
            ("evicted_in_use", self.evicted_in_use),
            ("invariant_violations", self.invariant_violations),
        ];
        rules.iter().filter(|(_, count)| *count > 0).map(|(name, _)| *name).collect()
    }
}

/// Why the demonstration could not be held.
#[derive(Debug, Snafu)]
pub enum DemoFailure {
    /// The site.
    #[snafu(display("{source}"))]
    Site {
        /// The cause.
        source: SiteError,
    },
}

const VMS: usize = 6;
/// Wanjiru's shape: twelve engines of ten-millisecond steps, a store of five loads a second.
const ENGINES: usize = 12;
const FIELD_SERVERS: usize = 3;
const ADAPTERS: usize = 120;
const TENANTS: usize = 4;
const PHASES: u32 = 5;
const PHASE: Duration = Duration::from_secs(10);
const QUICK_PHASE: Duration = Duration::from_millis(1_500);
/// Wanjiru's weight store takes five loads a second. The quick run begins as cold as the long one
/// and has a fifth of its time, so its store is as much faster.
const LOADS_PER_S: f64 = 5.0;
const QUICK_LOADS_PER_S: f64 = 25.0;
const RESTART_DOWN: Duration = Duration::from_millis(500);
const JOBS_WITHIN: Duration = Duration::from_secs(30);
const RESTARTED_ENGINE: usize = 3;
const LEAVING_VM: usize = 1;
const KILLED_VM: usize = 2;

/// Holds the demonstration.
///
/// # Errors
///
/// The site does not come up.
pub async fn run_demo(options: &DemoOptions) -> Result<DemoReport, DemoFailure> {
    let phase = if options.quick { QUICK_PHASE } else { PHASE };
    let say = options.progress;
    say(&format!("starting {VMS} entry VMs, {ENGINES} engines, {FIELD_SERVERS} field servers"));
    let mut site = LocalSite::start(demo_settings(options.quick)).await.context(SiteSnafu)?;
    let traffic = SiteTraffic::new(demo_traffic(options.seed), site.callers());
    let stop = CancellationToken::new();
    let running = tokio::spawn({
        let (traffic, stop) = (Arc::clone(&traffic), stop.clone());
        async move { traffic.run(stop).await }
    });
    let told = demo_phases(options, &mut site, &traffic, phase).await;
    say("the callers stop; waiting for running requests and audit jobs");
    stop.cancel();
    let _ = running.await;
    traffic.collect_jobs(JOBS_WITHIN).await;
    let mut report = report(&site, &traffic).await;
    report.invariant_violations = told.as_ref().map_or(0, |told| told.violated);
    report.config_in_force_ms = told.as_ref().map_or(0.0, |told| told.in_force_ms);
    report.invariant_violations += site.stop().await;
    told.context(SiteSnafu)?;
    Ok(report)
}

/// What the phases saw themselves.
struct PhaseNotes {
    violated: u64,
    in_force_ms: f64,
}

async fn demo_phases(
    options: &DemoOptions,
    site: &mut LocalSite,
    traffic: &Arc<SiteTraffic>,
    phase: Duration,
) -> Result<PhaseNotes, SiteError> {
    let say = options.progress;
    let mut notes = PhaseNotes { violated: 0, in_force_ms: 0.0 };
    for number in 1..=PHASES {
        let counts = traffic.counts();
        let state = format!(
            "phase {number} of {PHASES}: {} requests, {} done, {} not run, {} unknown",
            counts.requests, counts.done, counts.not_run, counts.unknown
        );
        match number {
            1 => say(&format!("{state}; plain load")),
            2 => {
                say(&format!("{state}; an engine restarts empty"));
                site.engines[RESTARTED_ENGINE].restart(RESTART_DOWN);
            }
            3 => {
                say(&format!("{state}; a configuration change: new versions of 50 adapters"));
                let in_force = change_configuration(site).await?;
                notes.in_force_ms = notes.in_force_ms.max(in_force.as_secs_f64() * 1_000.0);
            }
            4 => {
                say(&format!("{state}; an entry VM leaves"));
                notes.violated += site.stop_vm(LEAVING_VM).await;
                site.start_vm(LEAVING_VM).await?;
            }
            _ => {
                say(&format!("{state}; the VM that owns the engines leaves"));
                let owner = owner_vm(site).unwrap_or(KILLED_VM);
                notes.violated += site.stop_vm(owner).await;
            }
        }
        sleep(phase).await;
    }
    Ok(notes)
}

fn owner_vm(site: &LocalSite) -> Option<usize> {
    site.vms.iter().position(|vm| vm.as_ref().is_some_and(|vm| vm.owned_groups() > 0))
}

async fn change_configuration(site: &mut LocalSite) -> Result<Duration, SiteError> {
    let mut manifest = site.manifest.clone();
    for (at, adapter) in manifest.adapters.iter_mut().enumerate().take(50) {
        adapter.versions.push(version_entry(at, "2"));
        adapter.default_version = Some("2".into());
    }
    let (_, in_force) = site.publish(manifest).await?;
    Ok(in_force)
}

fn demo_settings(quick: bool) -> SiteSettings {
    SiteSettings {
        vms: VMS,
        engines: ENGINES,
        services: FIELD_SERVERS,
        adapters: ADAPTERS,
        tenants: TENANTS,
        engine: EngineServerSettings {
            adapter_slots: 8,
            batch_slots: 16,
            step_us: 10_000,
            ..Default::default()
        },
        store: StoreServerSettings {
            loads_per_s: if quick { QUICK_LOADS_PER_S } else { LOADS_PER_S },
            full_speed: 2,
            load_ms: if quick { 60 } else { 300 },
            ..Default::default()
        },
        ..Default::default()
    }
}

fn demo_traffic(seed: u64) -> TrafficSettings {
    TrafficSettings {
        completions_per_s: 50.0,
        tickets_per_s: 6.0,
        jobs_per_s: 1.0,
        adapters: ADAPTERS,
        tenants: TENANTS,
        skew: 1.2,
        seed,
        ..Default::default()
    }
}

async fn report(site: &LocalSite, traffic: &Arc<SiteTraffic>) -> DemoReport {
    let counters: Vec<_> = site.engines.iter().map(|engine| engine.counters()).collect();
    let steps: u64 = counters.iter().map(|counters| counters.steps).sum();
    let batched: u64 = counters.iter().map(|counters| counters.batch_sum).sum();
    let (ttft_p95_ms, urgent_ttft_p95_ms) = traffic.first_p95_ms();
    DemoReport {
        counts: traffic.counts(),
        doubled: site.doubled(),
        evicted_in_use: site.evicted_in_use(),
        invariant_violations: 0,
        config_in_force_ms: 0.0,
        stall_p95_ms: stall_p95_ms(site).await,
        ttft_p95_ms,
        urgent_ttft_p95_ms,
        gap_p95_ms: traffic.gap_p95_ms(),
        batch_mean: batched as f64 / steps.max(1) as f64,
        tokens: counters.iter().map(|counters| counters.tokens).sum(),
        loads: counters.iter().map(|counters| counters.loads).sum(),
        vms: site.settings.vms,
        engines: site.settings.engines,
    }
}

/// The 95th centile of load stalls, read from the metrics of the running VMs as an operator would:
/// the upper edge of the bucket that holds it.
async fn stall_p95_ms(site: &LocalSite) -> f64 {
    let mut buckets: Vec<(f64, u64)> = Vec::new();
    for address in site.operators() {
        let client = SiteClient::new(address, OPERATOR_TOKEN);
        let Ok(text) = client.text("/metrics").await else { continue };
        for line in text.lines() {
            let Some((edge, count)) = stall_bucket(line) else { continue };
            match buckets.iter_mut().find(|(known, _)| *known == edge) {
                Some((_, sum)) => *sum += count,
                None => buckets.push((edge, count)),
            }
        }
    }
    buckets.sort_by(|left, right| left.0.total_cmp(&right.0));
    let total = buckets.last().map_or(0, |(_, count)| *count);
    let wanted = (total as f64 * 0.95).ceil() as u64;
    let found = buckets.iter().find(|(_, count)| *count >= wanted);
    found.map_or(0.0, |(edge, _)| edge * 1_000.0)
}

fn stall_bucket(line: &str) -> Option<(f64, u64)> {
    let rest = line.strip_prefix("coltsfoothook_load_stall_seconds_bucket")?;
    let edge = rest.split_once("le=\"")?.1.split_once('"')?.0;
    let edge = if edge == "+Inf" { f64::INFINITY } else { edge.parse().ok()? };
    Some((edge, rest.rsplit_once(' ')?.1.parse().ok()?))
}
