//! `slopes`: control costs by the size of a site, which docs/CAPACITY.md evaluates.
//!
//! Each site runs in this process, with stand-in servers and callers. Bytes and messages are
//! counted by the VMs. CPU time and memory are those of the process and include the stand-in
//! servers, so they are upper bounds for the VMs.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use coltsfoothook_demo::{
    CompletionRequest, LocalSite, OPERATOR_TOKEN, SiteClient, SiteError, SiteFailure, SiteSettings,
    adapter_name, credential,
};
use coltsfoothook_standin::EngineServerSettings;
use coltsfoothook_telemetry::process_usage;
use futures::future::join_all;
use http::Method;
use serde::Serialize;
use serde_json::json;

use crate::config::{config_cost, one_delta, owner_cost};
use crate::fit::{LineFit, SlopePoint};
use crate::plot;
use crate::sample::SiteFigures;

/// Target sizes, to which the fitted lines are extrapolated.
const TARGET_VMS: f64 = 360.0;
const TARGET_SERVERS: f64 = 860.0;
const TARGET_ADAPTERS: f64 = 16_000.0;
const TARGET_REQUESTS: f64 = 3_100.0;
const TARGET_LOADS_HOUR: f64 = 4_800.0;
const TARGET_CHANGES: f64 = 5_000.0;
/// Number of adapters where adapters are not varied.
const SITE_ADAPTERS: usize = 16;
/// Number of VMs where VMs are not varied.
const SITE_VMS: usize = 6;
/// Time to wait after the start of a site until its start-up traffic has ended.
const SETTLE_TIME: Duration = Duration::from_secs(10);
const PERCENT: f64 = 100.0;
const MEGABYTE: f64 = 1e6;

/// Options of `slopes`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct SlopesOptions {
    /// Measure only this; may be given several times: vms, servers, owners, adapters, requests,
    /// claims, loads, changes
    #[bpaf(argument("NAME"))]
    only: Vec<String>,
    /// Duration of the measurement of each point in milliseconds
    #[bpaf(argument("MS"), fallback(3_000), display_fallback)]
    measure_ms: u64,
    /// Write plots into this directory
    #[bpaf(argument("DIR"))]
    plots: Option<PathBuf>,
    /// Print one JSON line
    json: bool,
}

/// One measured slope, with its fitted line and the extrapolated value at the target.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct MeasuredSlope {
    pub(crate) name: String,
    pub(crate) size_unit: String,
    pub(crate) value_unit: String,
    pub(crate) points: Vec<SlopePoint>,
    pub(crate) fit: LineFit,
    pub(crate) target: f64,
    pub(crate) projected: f64,
}

/// Result of all measurements; the field names are JSON keys.
#[derive(Clone, Debug, Serialize)]
struct SlopesReport {
    measure_ms: u64,
    slopes: Vec<MeasuredSlope>,
    /// Failed measurements, with the cause.
    failed: Vec<String>,
}

/// Why a measurement failed.
#[derive(Debug)]
enum SlopeFailure {
    Site(SiteError),
    Call(SiteFailure),
}

impl From<SiteError> for SlopeFailure {
    fn from(error: SiteError) -> Self {
        Self::Site(error)
    }
}

impl From<SiteFailure> for SlopeFailure {
    fn from(failure: SiteFailure) -> Self {
        Self::Call(failure)
    }
}

impl std::fmt::Display for SlopeFailure {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Site(error) => write!(formatter, "site failed: {error}"),
            Self::Call(failure) => write!(formatter, "call failed: {failure}"),
        }
    }
}

/// Slopes that are measured at the same sizes.
struct SlopeSet {
    size_unit: &'static str,
    target: f64,
    slopes: Vec<MeasuredSlope>,
}

impl SlopeSet {
    fn new(size_unit: &'static str, target: f64) -> Self {
        Self { size_unit, target, slopes: Vec::new() }
    }

    /// Adds a point to the slope `name`, which is created with the first point.
    fn add(&mut self, name: &str, unit: &str, size: f64, value: f64) {
        let point = SlopePoint { size, value };
        if let Some(slope) = self.slopes.iter_mut().find(|slope| slope.name == name) {
            slope.points.push(point);
            return;
        }
        self.slopes.push(MeasuredSlope {
            name: name.to_owned(),
            size_unit: self.size_unit.to_owned(),
            value_unit: unit.to_owned(),
            points: vec![point],
            fit: LineFit::default(),
            target: self.target,
            projected: 0.0,
        });
    }

    /// Fits a line to each slope and extrapolates it to the target.
    fn fitted(mut self) -> Vec<MeasuredSlope> {
        for slope in &mut self.slopes {
            slope.fit = LineFit::of(&slope.points);
            slope.projected = slope.fit.at(slope.target);
        }
        self.slopes
    }
}

pub(crate) fn run(options: &SlopesOptions) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let report = runtime.block_on(measure(options));
    show(options, &report)
}

async fn measure(options: &SlopesOptions) -> SlopesReport {
    let selected = |name: &str| options.only.is_empty() || options.only.iter().any(|it| it == name);
    let time = Duration::from_millis(options.measure_ms);
    let (mut slopes, mut failed) = (Vec::new(), Vec::new());
    // Runs measurements without a site first, and small ones first: the allocator keeps freed
    // memory, so growth after a larger measurement would not show.
    if selected("owners") {
        slopes.extend(owners());
    }
    if selected("adapters") {
        slopes.extend(adapters());
    }
    if selected("vms") {
        collect("vms", vms(time).await, &mut slopes, &mut failed);
    }
    if selected("servers") {
        collect("servers", servers(time).await, &mut slopes, &mut failed);
    }
    if selected("requests") {
        collect("requests", requests("request", true, time).await, &mut slopes, &mut failed);
    }
    if selected("claims") {
        collect("claims", requests("claim", false, time).await, &mut slopes, &mut failed);
    }
    if selected("loads") {
        collect("loads", loads().await, &mut slopes, &mut failed);
    }
    if selected("changes") {
        collect("changes", changes().await, &mut slopes, &mut failed);
    }
    SlopesReport { measure_ms: options.measure_ms, slopes, failed }
}

/// Appends the slopes of a measurement, or its failure.
fn collect(
    name: &str,
    measured: Result<Vec<MeasuredSlope>, SlopeFailure>,
    slopes: &mut Vec<MeasuredSlope>,
    failed: &mut Vec<String>,
) {
    match measured {
        Ok(measured) => slopes.extend(measured),
        Err(failure) => failed.push(format!("{name}: {failure}")),
    }
}

fn adapters() -> Vec<MeasuredSlope> {
    let mut set = SlopeSet::new("adapters", TARGET_ADAPTERS);
    for adapters in [1_000, 2_000, 4_000, 8_000, 16_000] {
        progress("adapters", adapters);
        let (size, cost) = (f64::from(adapters), config_cost(TARGET_SERVERS as u32, adapters));
        set.add("manifest-memory", "MB", size, cost.resident_bytes / MEGABYTE);
        set.add("manifest-delta", "µs for a change", size, cost.delta_us);
        set.add("manifest-snapshot", "MB", size, cost.snapshot_bytes / MEGABYTE);
        set.add("manifest-change", "bytes of a change's record", size, cost.delta_bytes);
    }
    set.fitted()
}

fn owners() -> Vec<MeasuredSlope> {
    let mut set = SlopeSet::new("backend servers", TARGET_SERVERS);
    for servers in [64, 128, 256, 512, 860] {
        progress("owners", servers);
        let (size, cost) = (f64::from(servers), owner_cost(servers, TARGET_ADAPTERS as u32));
        set.add("owner-round", "µs for a report of each server", size, cost.round_us);
    }
    set.fitted()
}

async fn vms(time: Duration) -> Result<Vec<MeasuredSlope>, SlopeFailure> {
    let mut set = SlopeSet::new("entry VMs", TARGET_VMS);
    for vms in [3, 6, 12, 24, 48] {
        progress("vms", vms as u32);
        let before = process_usage().resident_bytes;
        let site = LocalSite::start(settings(vms, 2)).await?;
        // Probes carry updates about the start for a while; the measurement is without them.
        tokio::time::sleep(SETTLE_TIME).await;
        let spent = SiteFigures::during(&site, time).await?;
        let resident = process_usage().resident_bytes.saturating_sub(before) as f64;
        let each = vms as f64 * spent.seconds;
        let size = vms as f64;
        set.add("vm-bytes", "control bytes/s a VM", size, spent.bytes / each);
        set.add("vm-probe-bytes", "probe bytes/s a VM", size, spent.probe_bytes / each);
        set.add("vm-messages", "control messages/s a VM", size, spent.messages / each);
        set.add("vm-cpu", "% of a core a VM", size, spent.cpu_s / each * PERCENT);
        set.add("vm-memory", "MB more than before, a VM", size, resident / size / MEGABYTE);
        set.add("vm-log-reads", "log reads/s a VM", size, spent.reads / each);
        set.add("vm-log-appends", "log appends/s in all", size, spent.appends / spent.seconds);
        site.stop().await;
    }
    Ok(set.fitted())
}

async fn servers(time: Duration) -> Result<Vec<MeasuredSlope>, SlopeFailure> {
    let mut set = SlopeSet::new("backend servers in all", TARGET_SERVERS);
    for engines in [4, 8, 16, 32, 64] {
        progress("servers", engines as u32);
        // Puts all engines into one group, since the site expects as many owners as full groups
        // have.
        let mut settings = settings(SITE_VMS, engines);
        settings.policy.group_servers = settings.policy.group_servers.max(engines as u32);
        let site = LocalSite::start(settings).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let spent = SiteFigures::during(&site, time).await?;
        let size = engines as f64;
        set.add("server-cpu", "% of a core in all", size, spent.cpu_s / spent.seconds * PERCENT);
        site.stop().await;
    }
    Ok(set.fitted())
}

/// Measures completions at several rates. Completions that are not repeatable are claimed in the
/// log.
async fn requests(
    name: &str,
    repeatable: bool,
    time: Duration,
) -> Result<Vec<MeasuredSlope>, SlopeFailure> {
    let mut set = SlopeSet::new("requests/s", TARGET_REQUESTS);
    let site = LocalSite::start(settings(SITE_VMS, 4)).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for rate in [0_u32, 25, 50, 100, 200] {
        progress(name, rate);
        let origin = Instant::now();
        let before = SiteFigures::read(&site, origin).await?;
        let done = send_completions(&site, rate, repeatable, time).await;
        let spent = SiteFigures::read(&site, origin).await? - before;
        let (size, seconds) = (f64::from(done) / spent.seconds, spent.seconds);
        let named = |what: &str| format!("{name}-{what}");
        set.add(
            &named("grant-bytes"),
            "grant bytes/s at all VMs",
            size,
            spent.grant_bytes / seconds,
        );
        let messages = spent.grant_messages / seconds;
        set.add(&named("grant-messages"), "grant messages/s at all VMs", size, messages);
        set.add(&named("cpu"), "% of a core in all", size, spent.cpu_s / seconds * PERCENT);
        set.add(&named("appends"), "log appends/s in all", size, spent.appends / seconds);
        set.add(&named("records"), "log records/s in all", size, spent.records / seconds);
    }
    site.stop().await;
    Ok(set.fitted())
}

/// Sends completions at a fixed rate for `time`, round-robin to all VMs. Returns how many
/// succeeded.
async fn send_completions(site: &LocalSite, rate: u32, repeatable: bool, time: Duration) -> u32 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static KEYS: AtomicU64 = AtomicU64::new(0);
    let clients: Vec<SiteClient> =
        site.callers().into_iter().map(|vm| SiteClient::new(vm, &credential(0))).collect();
    if rate == 0 {
        tokio::time::sleep(time).await;
        return 0;
    }
    let count = (f64::from(rate) * time.as_secs_f64()) as usize;
    let started = tokio::time::Instant::now();
    let calls = (0..count).map(|number| {
        let client = &clients[number % clients.len()];
        let due = started + Duration::from_secs_f64(number as f64 / f64::from(rate));
        // The site has two tenants; the client's tenant has the adapters with even numbers.
        let adapter = number / clients.len() * 2 % SITE_ADAPTERS;
        let key = (!repeatable).then(|| {
            format!("load-{}-{}", std::process::id(), KEYS.fetch_add(1, Ordering::Relaxed))
        });
        let request = CompletionRequest {
            model: format!("{}@1", adapter_name(adapter)),
            prompt: format!("chiller {number}"),
            max_tokens: 8,
            repeatable,
            key,
            ..Default::default()
        };
        async move {
            tokio::time::sleep_until(due).await;
            u32::from(client.complete(&request).await.is_ok())
        }
    });
    join_all(calls).await.into_iter().sum()
}

/// Measures first requests of adapters that are not loaded, on engines that ignore fencing numbers,
/// where each load needs an intent in the log.
async fn loads() -> Result<Vec<MeasuredSlope>, SlopeFailure> {
    let mut set = SlopeSet::new("loads", TARGET_LOADS_HOUR);
    let mut settings = settings(SITE_VMS, 4);
    settings.engine = EngineServerSettings { checks_fencing: false, ..settings.engine };
    settings.adapters = 256;
    let site = LocalSite::start(settings).await?;
    let mut next = 0;
    for count in [0_usize, 8, 16, 32, 64] {
        progress("loads", count as u32);
        let loaded = |site: &LocalSite| -> u64 {
            site.engines.iter().map(|engine| engine.counters().loads).sum()
        };
        let (before, held) = (SiteFigures::read(&site, Instant::now()).await?, loaded(&site));
        let client = SiteClient::new(site.callers()[0], &credential(0));
        for number in next..next + count {
            let model = format!("{}@1", adapter_name(number * 2 % 256));
            let request = CompletionRequest { model, max_tokens: 2, ..Default::default() };
            client.complete(&request).await?;
        }
        next += count;
        let spent = SiteFigures::read(&site, Instant::now()).await? - before;
        let size = (loaded(&site) - held) as f64;
        set.add("load-appends", "log appends", size, spent.appends);
    }
    site.stop().await;
    Ok(set.fitted())
}

/// Measures publications that change one adapter each.
async fn changes() -> Result<Vec<MeasuredSlope>, SlopeFailure> {
    let mut set = SlopeSet::new("changes", TARGET_CHANGES);
    let mut settings = settings(SITE_VMS, 2);
    settings.adapters = 2_000;
    let site = LocalSite::start(settings).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let client = SiteClient::new(site.operators()[0], OPERATOR_TOKEN);
    for count in [0_u64, 10, 20, 40, 80] {
        progress("changes", count as u32);
        let before = SiteFigures::read(&site, Instant::now()).await?;
        let mut slowest = Duration::ZERO;
        for _ in 0..count {
            let base = site.newest_version();
            let delta = one_delta(&site.manifest.adapters[7]);
            let body = json!({
                "base": base, "publish_id": format!("change-on-{base}"), "change": { "delta": delta },
            });
            client.json(Method::POST, "/v1/publish", Some(body)).await?;
            let accepted = Instant::now();
            let everywhere = |site: &LocalSite| site.running().all(|vm| vm.config_version() > base);
            site.wait_for(
                "a change to be in force at every VM",
                Duration::from_secs(8),
                everywhere,
            )
            .await?;
            slowest = slowest.max(accepted.elapsed());
        }
        let spent = SiteFigures::read(&site, Instant::now()).await? - before;
        let size = count as f64;
        set.add(
            "change-cpu",
            "ms of processor time a VM",
            size,
            spent.cpu_s * 1e3 / SITE_VMS as f64,
        );
        set.add("change-appends", "log appends", size, spent.appends);
        set.add("change-in-force", "ms, slowest of the point", size, slowest.as_secs_f64() * 1e3);
    }
    site.stop().await;
    Ok(set.fitted())
}

fn settings(vms: usize, engines: usize) -> SiteSettings {
    SiteSettings { vms, engines, adapters: SITE_ADAPTERS, ..Default::default() }
}

fn progress(name: &str, size: u32) {
    eprintln!("{name} {size}");
}

fn show(options: &SlopesOptions, report: &SlopesReport) -> ExitCode {
    for failure in &report.failed {
        eprintln!("not measured: {failure}");
    }
    let code = if report.failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    if let Some(directory) = &options.plots {
        for slope in &report.slopes {
            if let Err(failure) = plot::draw(directory, slope) {
                eprintln!("cannot write a plot: {failure}");
                return ExitCode::FAILURE;
            }
        }
    }
    if options.json {
        match serde_json::to_string(report) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot print the report: {error}"),
        }
        return code;
    }
    println!(
        "{:<24} {:>12} {:>12} {:>10} {:>8} {:>12}  unit",
        "slope", "base", "each", "error", "target", "projected"
    );
    for slope in &report.slopes {
        let fit = slope.fit;
        println!(
            "{:<24} {:>12.4} {:>12.6} {:>10.4} {:>8} {:>12.3}  {} by {}",
            slope.name,
            fit.base,
            fit.slope,
            fit.error,
            slope.target,
            slope.projected,
            slope.value_unit,
            slope.size_unit
        );
        let points =
            slope.points.iter().map(|point| format!("{:.4}:{:.4}", point.size, point.value));
        println!("    {}", points.collect::<Vec<_>>().join("  "));
    }
    code
}
