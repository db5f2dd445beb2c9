//! `latency`: the latency that an entry VM adds to the time to the first token.
//!
//! Calls through the entry VM and direct calls to the same engine alternate on persistent
//! connections, with one loaded adapter. Everything runs in this process on loopback ports.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use coltsfoothook_demo::{
    CompletionRequest, LocalSite, SiteClient, SiteFailure, SiteSettings, adapter_name, credential,
};
use coltsfoothook_standin::{EngineServerSettings, read_answer};
use futures::future::join_all;
use serde::Serialize;

/// Number of pairs of calls before the measured ones.
const WARMUP_CALLS: usize = 50;
/// Tokens of a call in the paired measurement and after a start.
const SHORT_TOKENS: u32 = 2;
/// Duration of an engine step in microseconds. It is short, so that waiting for the next step does
/// not dominate the measurement.
const STEP_US: u64 = 200;
/// Time limit for the first answer of a started VM.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of `latency`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct LatencyOptions {
    /// Number of pairs of calls
    #[bpaf(argument("N"), fallback(2_000), display_fallback)]
    calls: usize,
    /// Number of concurrent streams through one entry VM
    #[bpaf(argument("N"), fallback(500), display_fallback)]
    streams: usize,
    /// Number of tokens of each stream
    #[bpaf(argument("N"), fallback(64), display_fallback)]
    tokens: u32,
    /// Number of starts of a second entry VM into the running site
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    starts: usize,
    /// Print one JSON line
    json: bool,
}

/// Result of the measurement; the field names are JSON keys.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct LatencyReport {
    calls: usize,
    direct_p50_ms: f64,
    direct_p95_ms: f64,
    through_p50_ms: f64,
    through_p95_ms: f64,
    /// Median of the differences within the pairs.
    added_p50_ms: f64,
    added_p95_ms: f64,
    streams: usize,
    streams_whole: usize,
    tokens_lost: u64,
    streams_ms: f64,
    start_to_answer_p50_ms: f64,
    start_to_answer_max_ms: f64,
}

pub(crate) fn run(options: &LatencyOptions) -> ExitCode {
    let measured = tokio::runtime::Runtime::new()
        .map_err(|error| error.to_string())
        .and_then(|runtime| runtime.block_on(measure(options)));
    let report = match measured {
        Ok(report) => report,
        Err(failure) => {
            eprintln!("{failure}");
            return ExitCode::FAILURE;
        }
    };
    if options.json {
        match serde_json::to_string(&report) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot print the report: {error}"),
        }
    } else {
        show(&report);
    }
    if report.tokens_lost == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn measure(options: &LatencyOptions) -> Result<LatencyReport, String> {
    let engine = EngineServerSettings {
        step_us: STEP_US,
        request_us: 0,
        adapter_us: 0,
        batch_slots: 1_024,
        ..Default::default()
    };
    let settings = SiteSettings { vms: 1, engines: 1, services: 0, engine, ..Default::default() };
    let mut site = LocalSite::start(settings).await.map_err(|error| error.to_string())?;
    let mut report = LatencyReport { calls: options.calls, ..Default::default() };
    pairs(&site, options.calls, &mut report).await.map_err(|error| error.to_string())?;
    streams(&site, options, &mut report).await;
    starts(&mut site, options.starts, &mut report).await?;
    site.stop().await;
    Ok(report)
}

/// Measures direct calls and calls through the entry VM in pairs.
async fn pairs(
    site: &LocalSite,
    calls: usize,
    report: &mut LatencyReport,
) -> Result<(), SiteFailure> {
    let through = SiteClient::new(site.callers()[0], &credential(0));
    let direct = SiteClient::new(site.engines[0].address(), "");
    let request = short_request(&format!("{}@1", adapter_name(0)));
    through.complete(&request).await?;
    let slots = site.engines[0].report().slots;
    let slot = slots.first().map(|slot| slot.slot.to_string()).unwrap_or_default();
    let direct_request = short_request(&slot);
    let (mut directs, mut throughs, mut added) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..calls + WARMUP_CALLS {
        // Alternates the order, so that warm caches do not favour one kind of call.
        let (one, other) = if number % 2 == 0 {
            let one = direct.complete(&direct_request).await?;
            (one, through.complete(&request).await?)
        } else {
            let other = through.complete(&request).await?;
            (direct.complete(&direct_request).await?, other)
        };
        if number >= WARMUP_CALLS {
            let (one, other) = (millis(one.first), millis(other.first));
            directs.push(one);
            throughs.push(other);
            added.push(other - one);
        }
    }
    report.direct_p50_ms = quantile(&mut directs, 0.5);
    report.direct_p95_ms = quantile(&mut directs, 0.95);
    report.through_p50_ms = quantile(&mut throughs, 0.5);
    report.through_p95_ms = quantile(&mut throughs, 0.95);
    report.added_p50_ms = quantile(&mut added, 0.5);
    report.added_p95_ms = quantile(&mut added, 0.95);
    Ok(())
}

/// Runs concurrent streams through the entry VM and counts incomplete ones and their lost tokens.
async fn streams(site: &LocalSite, options: &LatencyOptions, report: &mut LatencyReport) {
    let client = SiteClient::new(site.callers()[0], &credential(0));
    let started = Instant::now();
    let calls = (0..options.streams).map(|number| {
        let request = CompletionRequest {
            prompt: format!("stream {number}"),
            max_tokens: options.tokens,
            ..short_request(&format!("{}@1", adapter_name(0)))
        };
        let client = &client;
        async move {
            // An answer that fails or cannot be parsed counts as lost.
            let Ok(read) = client.complete(&request).await else { return 0 };
            let answer = read_answer(&read.text);
            answer.map_or(0, |_| read.text.split_whitespace().count() as u64)
        }
    });
    let tokens = join_all(calls).await;
    let expected = u64::from(options.tokens);
    report.streams = options.streams;
    report.streams_whole = tokens.iter().filter(|&&count| count == expected).count();
    report.tokens_lost = tokens.iter().map(|count| expected.saturating_sub(*count)).sum();
    report.streams_ms = millis(started.elapsed());
}

/// Starts and stops a second VM repeatedly, and measures the time from each start to its first
/// answer.
async fn starts(
    site: &mut LocalSite,
    count: usize,
    report: &mut LatencyReport,
) -> Result<(), String> {
    let mut times = Vec::new();
    site.vms.push(None);
    let at = site.vms.len() - 1;
    let request = short_request(&format!("{}@1", adapter_name(0)));
    for _ in 0..count {
        let started = Instant::now();
        site.start_vm(at).await.map_err(|error| error.to_string())?;
        let Some(address) = site.callers().last().copied() else { break };
        let client = SiteClient::new(address, &credential(0));
        while client.complete(&request).await.is_err() {
            if started.elapsed() > START_TIMEOUT {
                return Err("the started VM did not answer in time".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        times.push(millis(started.elapsed()));
        site.stop_vm(at).await;
        // Waits for longer than the lag of the VM list, so that the next start sees a list without
        // this VM.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    report.start_to_answer_p50_ms = quantile(&mut times, 0.5);
    report.start_to_answer_max_ms = quantile(&mut times, 1.0);
    Ok(())
}

fn short_request(model: &str) -> CompletionRequest {
    CompletionRequest {
        model: model.to_owned(),
        prompt: "chiller 4".to_owned(),
        max_tokens: SHORT_TOKENS,
        class: "urgent",
        ..Default::default()
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns the nearest-rank quantile; 0 if there are no values.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (fraction * values.len() as f64).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

fn show(report: &LatencyReport) {
    println!("{:<28} {:>10} {:>10}", "first token, ms", "median", "p95");
    println!("{:<28} {:>10.3} {:>10.3}", "straight", report.direct_p50_ms, report.direct_p95_ms);
    println!("{:<28} {:>10.3} {:>10.3}", "through", report.through_p50_ms, report.through_p95_ms);
    println!("{:<28} {:>10.3} {:>10.3}", "added", report.added_p50_ms, report.added_p95_ms);
    println!(
        "streams at once {}, whole {}, tokens lost {}, {:.0} ms",
        report.streams, report.streams_whole, report.tokens_lost, report.streams_ms
    );
    println!(
        "start to first answer {:.0} ms median, {:.0} ms most",
        report.start_to_answer_p50_ms, report.start_to_answer_max_ms
    );
}
