//! `latency`: what an entry VM adds to the time to the first token.
//!
//! A call through the entry VM and a call straight to the same engine alternate on kept connections,
//! with one adapter that is loaded; everything runs in this process on loopback ports.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use coltsfoothook_demo::{
    CompletionAsk, LocalSite, SiteClient, SiteFailure, SiteSettings, adapter_name, credential,
};
use coltsfoothook_standin::{EngineServerSettings, read_answer};
use futures::future::join_all;
use serde::Serialize;

/// Calls before the first one that counts.
const WARM_CALLS: usize = 50;
/// Tokens of a measured call.
const SHORT_TOKENS: u32 = 2;
/// How long a step of the engine takes, in microseconds; short, so that the wait for the next step
/// does not hide what is measured.
const STEP_US: u64 = 200;
/// How long a VM may take to its first answer before the measurement is given up.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Options of `latency`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct LatencyOptions {
    /// Pairs of calls
    #[bpaf(argument("N"), fallback(2_000), display_fallback)]
    calls: usize,
    /// Streams at once through one entry VM
    #[bpaf(argument("N"), fallback(500), display_fallback)]
    streams: usize,
    /// Tokens of each of these streams
    #[bpaf(argument("N"), fallback(64), display_fallback)]
    tokens: u32,
    /// Starts of an entry VM into the running site
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    starts: usize,
    /// Print one JSON line
    json: bool,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct LatencyReport {
    calls: usize,
    direct_p50_ms: f64,
    direct_p95_ms: f64,
    through_p50_ms: f64,
    through_p95_ms: f64,
    /// Of the differences of the pairs.
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

async fn pairs(
    site: &LocalSite,
    calls: usize,
    report: &mut LatencyReport,
) -> Result<(), SiteFailure> {
    let through = SiteClient::new(site.callers()[0], &credential(0));
    let direct = SiteClient::new(site.engines[0].address(), "");
    let ask = short_ask(&format!("{}@1", adapter_name(0)));
    through.complete(&ask).await?;
    let slots = site.engines[0].report().slots;
    let slot = slots.first().map(|slot| slot.slot.to_string()).unwrap_or_default();
    let straight = short_ask(&slot);
    let (mut directs, mut throughs, mut added) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..calls + WARM_CALLS {
        // Who is first alternates, so that neither profits from the other's warm caches.
        let (one, other) = if number % 2 == 0 {
            let one = direct.complete(&straight).await?;
            (one, through.complete(&ask).await?)
        } else {
            let other = through.complete(&ask).await?;
            (direct.complete(&straight).await?, other)
        };
        if number >= WARM_CALLS {
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

async fn streams(site: &LocalSite, options: &LatencyOptions, report: &mut LatencyReport) {
    let client = SiteClient::new(site.callers()[0], &credential(0));
    let begun = Instant::now();
    let calls = (0..options.streams).map(|number| {
        let ask = CompletionAsk {
            prompt: format!("stream {number}"),
            max_tokens: options.tokens,
            ..short_ask(&format!("{}@1", adapter_name(0)))
        };
        let client = &client;
        async move {
            // Only whole answers of this adapter's version count; what else came is lost.
            let Ok(read) = client.complete(&ask).await else { return 0 };
            let answer = read_answer(&read.text);
            answer.map_or(0, |_| read.text.split_whitespace().count() as u64)
        }
    });
    let tokens = join_all(calls).await;
    let wanted = u64::from(options.tokens);
    report.streams = options.streams;
    report.streams_whole = tokens.iter().filter(|&&count| count == wanted).count();
    report.tokens_lost = tokens.iter().map(|count| wanted.saturating_sub(*count)).sum();
    report.streams_ms = millis(begun.elapsed());
}

/// Starts a second VM again and again, and asks it until it answers.
async fn starts(
    site: &mut LocalSite,
    count: usize,
    report: &mut LatencyReport,
) -> Result<(), String> {
    let mut times = Vec::new();
    site.vms.push(None);
    let at = site.vms.len() - 1;
    let ask = short_ask(&format!("{}@1", adapter_name(0)));
    for _ in 0..count {
        let begun = Instant::now();
        site.start_vm(at).await.map_err(|error| error.to_string())?;
        let Some(address) = site.callers().last().copied() else { break };
        let client = SiteClient::new(address, &credential(0));
        while client.complete(&ask).await.is_err() {
            if begun.elapsed() > START_LIMIT {
                return Err("the VM that was started does not answer".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        times.push(millis(begun.elapsed()));
        site.stop_vm(at).await;
        // The list lags; the next life begins on a list without this one.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    report.start_to_answer_p50_ms = quantile(&mut times, 0.5);
    report.start_to_answer_max_ms = quantile(&mut times, 1.0);
    Ok(())
}

fn short_ask(model: &str) -> CompletionAsk {
    CompletionAsk {
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

/// The value that so great a part of `values` does not exceed; 0 if there is none.
fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = (part * values.len() as f64).ceil() as usize;
    values.get(place.saturating_sub(1)).copied().unwrap_or_default()
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
