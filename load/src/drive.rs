//! `drive`: mixed load on entry VMs that run as separate processes, so that faults can be injected
//! from outside, such as a killed or paused process, a stopped log or a restarted engine.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use coltsfoothook_demo::{
    SiteSettings, SiteTraffic, TrafficCounts, TrafficSettings, site_manifest,
};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

/// Time limit for fetching the results of accepted jobs.
const JOB_RESULT_TIMEOUT: Duration = Duration::from_secs(60);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Options of `drive`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct DriveOptions {
    /// Caller address of an entry VM; may be given several times.
    #[bpaf(argument("IP:PORT"), some("at least one --caller is needed"))]
    caller: Vec<SocketAddr>,
    /// Duration of the load in seconds.
    #[bpaf(argument("N"), fallback(30))]
    seconds: u64,
    /// Completions per second.
    #[bpaf(argument("N"), fallback(40.0))]
    rate: f64,
    /// Number of adapters in the manifest.
    #[bpaf(argument("N"), fallback(24))]
    adapters: usize,
    /// Number of tenants in the manifest.
    #[bpaf(argument("N"), fallback(2))]
    tenants: usize,
    /// Seed of the arrivals. Ticket and job ids contain it, so use each seed only once on a site.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Print one line of JSON.
    json: bool,
}

/// Options of `manifest`: the site to describe.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ManifestOptions {
    /// Address of an engine; may be given several times.
    #[bpaf(argument("IP:PORT"), some("at least one --engine is needed"))]
    engine: Vec<SocketAddr>,
    /// Address of a server of the plain service; may be given several times.
    #[bpaf(argument("IP:PORT"), many)]
    service: Vec<SocketAddr>,
    /// Number of adapters.
    #[bpaf(argument("N"), fallback(24))]
    adapters: usize,
    /// Number of tenants.
    #[bpaf(argument("N"), fallback(2))]
    tenants: usize,
    /// State that the engines ignore fencing numbers.
    ignore_fencing: bool,
}

#[derive(Serialize)]
struct DriveReport {
    #[serde(flatten)]
    counts: TrafficCounts,
    ttft_p95_ms: f64,
    urgent_ttft_p95_ms: f64,
    gap_p95_ms: f64,
}

/// Sends the load and prints the report. The exit code is 1 if an answer was wrong, incomplete or
/// lost.
pub(crate) fn run(options: &DriveOptions) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let report = runtime.block_on(drive(options));
    if options.json {
        println!("{}", serde_json::to_string(&report).expect("the report has string keys only"));
    } else {
        println!("{:#?}", report.counts);
        println!("first token, 95th centile {:.1} ms", report.ttft_p95_ms);
        println!("  of urgent requests {:.1} ms", report.urgent_ttft_p95_ms);
        println!("longest gap, 95th centile {:.1} ms", report.gap_p95_ms);
    }
    let TrafficCounts { wrong_adapter, cut, lost, .. } = report.counts;
    if wrong_adapter + cut + lost == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn drive(options: &DriveOptions) -> DriveReport {
    let settings = TrafficSettings {
        completions_per_s: options.rate,
        adapters: options.adapters,
        tenants: options.tenants,
        seed: options.seed,
        ..Default::default()
    };
    let traffic = SiteTraffic::new(settings, options.caller.clone());
    let stop = CancellationToken::new();
    let running = tokio::spawn({
        let (traffic, stop) = (Arc::clone(&traffic), stop.clone());
        async move { traffic.run(stop).await }
    });
    let mut left = Duration::from_secs(options.seconds);
    while !left.is_zero() {
        let step = left.min(PROGRESS_INTERVAL);
        tokio::time::sleep(step).await;
        left -= step;
        let counts = traffic.counts();
        eprintln!(
            "{} requests, {} done, {} not run, {} unknown",
            counts.requests, counts.done, counts.not_run, counts.unknown
        );
    }
    stop.cancel();
    let _ = running.await;
    traffic.collect_jobs(JOB_RESULT_TIMEOUT).await;
    let (ttft_p95_ms, urgent_ttft_p95_ms) = traffic.first_p95_ms();
    let gap_p95_ms = traffic.gap_p95_ms();
    DriveReport { counts: traffic.counts(), ttft_p95_ms, urgent_ttft_p95_ms, gap_p95_ms }
}

/// Prints the manifest of a site at the given addresses.
pub(crate) fn print_manifest(options: &ManifestOptions) -> ExitCode {
    let mut settings =
        SiteSettings { adapters: options.adapters, tenants: options.tenants, ..Default::default() };
    settings.engine.checks_fencing = !options.ignore_fencing;
    let manifest = site_manifest(&settings, &options.engine, &options.service);
    println!(
        "{}",
        serde_json::to_string_pretty(&manifest).expect("the manifest has string keys only")
    );
    ExitCode::SUCCESS
}
