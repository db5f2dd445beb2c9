//! `compare`: the owner's placement and its baselines, on the same arrivals.
//!
//! docs/PLACEMENT.md describes the limits of the model and the meaning of the figures.

use std::ops::Range;
use std::process::ExitCode;
use std::str::FromStr;
use std::thread;

use bpaf::Bpaf;
use coltsfoothook_decision::outcome::RequestClass;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use serde::Serialize;

use crate::arrival::{Arrival, draw_arrivals};
use crate::baseline::{BaselinePlacer, BaselineRule};
use crate::model::{MICROS, ModelShape, PlaceModel, RequestPlacer};
use crate::ours::OwnerPlacer;

/// Deployment whose sizes the model takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeploymentName {
    /// Wanjiru Cooling Records, region nbo.
    Wanjiru,
    /// RAMSA, region uy-norte.
    Ramsa,
}

impl FromStr for DeploymentName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "wanjiru" => Ok(Self::Wanjiru),
            "ramsa" => Ok(Self::Ramsa),
            other => Err(format!("unknown deployment {other:?}: expected wanjiru or ramsa")),
        }
    }
}

/// Options of `compare`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CompareOptions {
    /// Deployment whose sizes to use: wanjiru or ramsa
    #[bpaf(argument("NAME"))]
    pub(crate) deployment: DeploymentName,
    /// Number of seeds to run; figures are medians over them
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    pub(crate) seeds: u64,
    /// The first seed
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub(crate) first_seed: u64,
    /// Adapter slots of each engine
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub(crate) slots: u32,
    /// Exponent of the popularity's Zipf distribution
    #[bpaf(argument("S"), fallback(1.0), display_fallback)]
    pub(crate) skew: f64,
    /// Requests per second outside bursts; by default the rate of the deployment
    #[bpaf(argument("RATE"))]
    pub(crate) rate: Option<f64>,
    /// Mean number of tokens of an answer; by default that of the deployment
    #[bpaf(argument("N"))]
    pub(crate) tokens: Option<u32>,
    /// Duration of the arrivals in seconds
    #[bpaf(argument("SECONDS"), fallback(1_800), display_fallback)]
    pub(crate) duration: u64,
    /// Fraction of the adapters whose popularity changes within an hour
    #[bpaf(argument("PART"), fallback(0.3), display_fallback)]
    pub(crate) turnover: f64,
    /// The policy's stall weight; by default that of the deployment
    #[bpaf(argument("WEIGHT"))]
    pub(crate) stall_weight: Option<f64>,
    /// Print one JSON line
    pub(crate) json: bool,
}

impl CompareOptions {
    fn shape(&self) -> ModelShape {
        let wanjiru = ModelShape {
            servers: 12,
            adapters: 3_000,
            slots: self.slots.max(1),
            batch: 32,
            step_us: 10_000,
            loads_per_s: 5.0,
            full_speed: 2,
            load_us: 400_000,
            rate: 8.0,
            burst: 1.5,
            skew: self.skew,
            turnover: self.turnover,
            handovers: 100,
            tokens: 150,
            duration_s: self.duration.max(1),
            warmup_s: self.duration / 3,
            stall_weight: 0.9,
        };
        let mut shape = match self.deployment {
            DeploymentName::Wanjiru => wanjiru,
            DeploymentName::Ramsa => ModelShape {
                servers: 9,
                step_us: 5_500,
                loads_per_s: 7.0,
                load_us: 286_000,
                rate: 12.0,
                tokens: 300,
                stall_weight: 0.2,
                ..wanjiru
            },
        };
        shape.rate = self.rate.unwrap_or(shape.rate).max(0.01);
        shape.tokens = self.tokens.unwrap_or(shape.tokens).max(8);
        shape.stall_weight = self.stall_weight.unwrap_or(shape.stall_weight);
        shape
    }
}

/// Figures of one policy; the field names are JSON keys.
#[derive(Clone, Debug, Default, Serialize)]
struct PolicyFigures {
    policy: &'static str,
    stall_p95_ms: f64,
    /// The 95th percentile without handovers, whose schedule the baselines do not use.
    unscheduled_stall_p95_ms: f64,
    stall_mean_ms: f64,
    stalled_share: f64,
    tokens_per_step: f64,
    urgent_ttft_p95_ms: f64,
    scheduled_stalled_share: f64,
    loads: f64,
    done: f64,
    given_up: f64,
    violations: f64,
}

/// The report of the comparison; the field names are JSON keys.
#[derive(Clone, Debug, Serialize)]
struct CompareReport {
    deployment: String,
    seeds: u64,
    servers: u32,
    adapters: u32,
    slots: u32,
    skew: f64,
    rate: f64,
    tokens: u32,
    stall_weight: f64,
    policies: Vec<PolicyFigures>,
    /// Ratio of the owner's p95 load stall to the lowest of random, least loaded and sticky hash;
    /// median over seeds.
    stall_ratio: f64,
    /// The stall ratio over requests that are no handovers.
    unscheduled_stall_ratio: f64,
    /// Ratio of the owner's tokens per step to the highest of those baselines; median over seeds.
    batch_ratio: f64,
    /// Ratio of the owner's urgent p95 time to first token to the lowest of those baselines; median
    /// over seeds.
    urgent_ratio: f64,
    /// Ratios to the affinity baseline, which the other ratios leave out.
    affinity_stall_ratio: f64,
    affinity_batch_ratio: f64,
}

const BASELINES: [(&str, BaselineRule); 4] = [
    ("random", BaselineRule::Random),
    ("least_loaded", BaselineRule::LeastLoaded),
    ("sticky_hash", BaselineRule::StickyHash),
    ("affinity", BaselineRule::Affinity),
];

/// Number of leading [`BASELINES`] that the ratios are computed against.
const RATIO_BASELINES: usize = 3;

/// Runs the comparison and prints it. The exit code is 1 if an owner violated an invariant.
pub(crate) fn run(options: &CompareOptions) -> ExitCode {
    let shape = options.shape();
    let seeds = options.first_seed..options.first_seed + options.seeds.max(1);
    let runs = run_seeds(&shape, seeds);
    let report = summarize(options, &shape, &runs);
    if options.json {
        match serde_json::to_string(&report) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot print the report: {error}"),
        }
    } else {
        print_table(&report);
    }
    ExitCode::from(u8::from(report.policies.iter().any(|policy| policy.violations > 0.0)))
}

/// Runs each seed in a thread of its own; each run is deterministic.
fn run_seeds(shape: &ModelShape, seeds: Range<u64>) -> Vec<Vec<PolicyFigures>> {
    thread::scope(|scope| {
        let runs: Vec<_> = seeds.map(|seed| scope.spawn(move || run_seed(shape, seed))).collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

fn run_seed(shape: &ModelShape, seed: u64) -> Vec<PolicyFigures> {
    let arrivals = draw_arrivals(shape, &mut Pcg64::seed_from_u64(seed));
    let mut model = PlaceModel::new(shape, &arrivals);
    let mut placer = OwnerPlacer::new(&model, seed);
    model.run(&mut placer);
    let mut figures = vec![measure("ours", &model, &arrivals)];
    figures[0].violations = placer.violations() as f64;
    for (name, rule) in BASELINES {
        let mut model = PlaceModel::new(shape, &arrivals);
        let mut placer: Box<dyn RequestPlacer> = Box::new(BaselinePlacer::new(rule, &model, seed));
        model.run(placer.as_mut());
        figures.push(measure(name, &model, &arrivals));
    }
    figures
}

/// Computes a policy's figures over the arrivals after the warm-up. A request that was given up
/// counts as stalled for its whole deadline, so that no policy gains by refusing.
fn measure(policy: &'static str, model: &PlaceModel, arrivals: &[Arrival]) -> PolicyFigures {
    let warmup = model.shape.warmup_s * MICROS;
    let mut stalls = Vec::new();
    let mut unscheduled = Vec::new();
    let mut urgent = Vec::new();
    let (mut handovers, mut late) = (0u32, 0u32);
    let (mut done, mut given_up) = (0u32, 0u32);
    for (arrival, result) in arrivals.iter().zip(&model.results) {
        if arrival.at < warmup {
            continue;
        }
        stalls.push(result.stall_us as f64 / 1_000.0);
        if !arrival.handover {
            unscheduled.push(result.stall_us as f64 / 1_000.0);
        }
        done += u32::from(result.done);
        given_up += u32::from(result.given_up);
        if arrival.class == RequestClass::Urgent {
            let first = result.first_us.map_or(result.stall_us, |first| first - arrival.at);
            urgent.push(first as f64 / 1_000.0);
        }
        handovers += u32::from(arrival.handover);
        late += u32::from(arrival.handover && result.stall_us > 0);
    }
    let stalled = stalls.iter().filter(|&&stall| stall > 0.0).count();
    PolicyFigures {
        policy,
        stall_mean_ms: stalls.iter().sum::<f64>() / stalls.len().max(1) as f64,
        stalled_share: stalled as f64 / stalls.len().max(1) as f64,
        stall_p95_ms: percentile(&mut stalls, 0.95),
        unscheduled_stall_p95_ms: percentile(&mut unscheduled, 0.95),
        tokens_per_step: model.tokens_per_step(),
        urgent_ttft_p95_ms: percentile(&mut urgent, 0.95),
        scheduled_stalled_share: f64::from(late) / f64::from(handovers.max(1)),
        loads: model.loads as f64,
        done: f64::from(done),
        given_up: f64::from(given_up),
        violations: 0.0,
    }
}

/// Returns the nearest-rank percentile; 0 if there are no values.
fn percentile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * fraction).ceil() as usize;
    values.get(at.saturating_sub(1)).copied().unwrap_or(0.0)
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    percentile(&mut values.collect::<Vec<f64>>(), 0.5)
}

/// Returns the ratio of two stalls. A millisecond is added to both, so that the ratio of two zeros
/// is defined.
fn stall_ratio(ours: f64, other: f64) -> f64 {
    (ours + 1.0) / (other + 1.0)
}

fn summarize(
    options: &CompareOptions,
    shape: &ModelShape,
    runs: &[Vec<PolicyFigures>],
) -> CompareReport {
    let of = |at: usize, figure: fn(&PolicyFigures) -> f64| {
        median(runs.iter().map(|run| figure(&run[at])))
    };
    let policies = (0..=BASELINES.len()).map(|at| PolicyFigures {
        policy: runs[0][at].policy,
        stall_p95_ms: of(at, |figures| figures.stall_p95_ms),
        unscheduled_stall_p95_ms: of(at, |figures| figures.unscheduled_stall_p95_ms),
        stall_mean_ms: of(at, |figures| figures.stall_mean_ms),
        stalled_share: of(at, |figures| figures.stalled_share),
        tokens_per_step: of(at, |figures| figures.tokens_per_step),
        urgent_ttft_p95_ms: of(at, |figures| figures.urgent_ttft_p95_ms),
        scheduled_stalled_share: of(at, |figures| figures.scheduled_stalled_share),
        loads: of(at, |figures| figures.loads),
        done: of(at, |figures| figures.done),
        given_up: of(at, |figures| figures.given_up),
        violations: runs.iter().map(|run| run[at].violations).sum(),
    });
    let baselines = |run: &[PolicyFigures]| run[1..=RATIO_BASELINES].to_vec();
    let best_stall = |run: &[PolicyFigures]| {
        baselines(run).iter().map(|figures| figures.stall_p95_ms).fold(f64::INFINITY, f64::min)
    };
    let best_unscheduled = |run: &[PolicyFigures]| {
        let stalls = baselines(run).into_iter().map(|figures| figures.unscheduled_stall_p95_ms);
        stalls.fold(f64::INFINITY, f64::min)
    };
    let best_batch = |run: &[PolicyFigures]| {
        baselines(run).iter().map(|figures| figures.tokens_per_step).fold(0.0, f64::max)
    };
    let best_urgent = |run: &[PolicyFigures]| {
        baselines(run)
            .iter()
            .map(|figures| figures.urgent_ttft_p95_ms)
            .fold(f64::INFINITY, f64::min)
    };
    let affinity = BASELINES.len();
    CompareReport {
        deployment: format!("{:?}", options.deployment).to_lowercase(),
        seeds: options.seeds,
        servers: shape.servers,
        adapters: shape.adapters,
        slots: shape.slots,
        skew: shape.skew,
        rate: shape.rate,
        tokens: shape.tokens,
        stall_weight: shape.stall_weight,
        policies: policies.collect(),
        stall_ratio: median(
            runs.iter().map(|run| stall_ratio(run[0].stall_p95_ms, best_stall(run))),
        ),
        unscheduled_stall_ratio: median(
            runs.iter()
                .map(|run| stall_ratio(run[0].unscheduled_stall_p95_ms, best_unscheduled(run))),
        ),
        batch_ratio: median(runs.iter().map(|run| run[0].tokens_per_step / best_batch(run))),
        urgent_ratio: median(runs.iter().map(|run| run[0].urgent_ttft_p95_ms / best_urgent(run))),
        affinity_stall_ratio: median(
            runs.iter().map(|run| stall_ratio(run[0].stall_p95_ms, run[affinity].stall_p95_ms)),
        ),
        affinity_batch_ratio: median(
            runs.iter().map(|run| run[0].tokens_per_step / run[affinity].tokens_per_step),
        ),
    }
}

fn print_table(report: &CompareReport) {
    println!(
        "{}: {} servers, {} adapters, {} slots, skew {}, {} requests/s, {} tokens, {} seeds",
        report.deployment,
        report.servers,
        report.adapters,
        report.slots,
        report.skew,
        report.rate,
        report.tokens,
        report.seeds
    );
    println!(
        "{:<13} {:>10} {:>10} {:>8} {:>10} {:>11} {:>10} {:>7} {:>7} {:>8}",
        "policy",
        "stall p95",
        "stall avg",
        "stalled",
        "tok/step",
        "urgent p95",
        "handovers",
        "loads",
        "done",
        "given up"
    );
    for policy in &report.policies {
        println!(
            "{:<13} {:>7.0} ms {:>7.0} ms {:>7.1}% {:>10.3} {:>8.0} ms {:>9.1}% {:>7} {:>7} {:>8}",
            policy.policy,
            policy.stall_p95_ms,
            policy.stall_mean_ms,
            policy.stalled_share * 100.0,
            policy.tokens_per_step,
            policy.urgent_ttft_p95_ms,
            policy.scheduled_stalled_share * 100.0,
            policy.loads,
            policy.done,
            policy.given_up
        );
    }
    println!(
        "stall_ratio {:.3} (unscheduled {:.3})  batch_ratio {:.3}  urgent_ratio {:.3}  to affinity: stall {:.3} batch {:.3}",
        report.stall_ratio,
        report.unscheduled_stall_ratio,
        report.batch_ratio,
        report.urgent_ratio,
        report.affinity_stall_ratio,
        report.affinity_batch_ratio
    );
}
