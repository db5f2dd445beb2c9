//! Mixed load on entry VMs that run as separate processes, so that faults can be induced from
//! outside: a process killed or paused, a log stopped, an engine restarted.

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

/// How long the results of accepted jobs are waited for.
const JOBS_WITHIN: Duration = Duration::from_secs(60);
const PROGRESS: Duration = Duration::from_secs(5);

/// What to send and whereto.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct DriveOptions {
    /// An entry VM's address for callers; may be given several times.
    #[bpaf(argument("IP:PORT"), some("at least one --caller is needed"))]
    caller: Vec<SocketAddr>,
    /// Seconds of load.
    #[bpaf(argument("N"), fallback(30))]
    seconds: u64,
    /// Completions a second.
    #[bpaf(argument("N"), fallback(40.0))]
    rate: f64,
    /// Adapters in the manifest.
    #[bpaf(argument("N"), fallback(24))]
    adapters: usize,
    /// Tenants in the manifest.
    #[bpaf(argument("N"), fallback(2))]
    tenants: usize,
    /// The seed of arrivals; ids of tickets and jobs come from it, so use each once on a site.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Print one line of JSON.
    json: bool,
}

/// The site that a manifest describes.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ManifestOptions {
    /// An engine's address; may be given several times.
    #[bpaf(argument("IP:PORT"), some("at least one --engine is needed"))]
    engine: Vec<SocketAddr>,
    /// Address of a server of the plain service; may be given several times.
    #[bpaf(argument("IP:PORT"), many)]
    service: Vec<SocketAddr>,
    /// Adapters.
    #[bpaf(argument("N"), fallback(24))]
    adapters: usize,
    /// Tenants.
    #[bpaf(argument("N"), fallback(2))]
    tenants: usize,
    /// The engines ignore fencing numbers.
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

/// Sends the load; the code is not 0 if an answer was wrong, cut or lost.
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
        println!("{}", serde_json::to_string(&report).expect("a report has text keys"));
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
        let step = left.min(PROGRESS);
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
    traffic.collect_jobs(JOBS_WITHIN).await;
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
    println!("{}", serde_json::to_string_pretty(&manifest).expect("a manifest has text keys"));
    ExitCode::SUCCESS
}
