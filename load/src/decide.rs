//! `decide`: the cost of one routing decision.
//!
//! A decision maps the adapter to a group and chooses an engine and slot there. The measurement
//! does not include building the grant from that choice.

use std::process::ExitCode;
use std::time::Instant;

use bpaf::Bpaf;
use coltsfoothook_decision::id::{AdapterVersion, TimePoint};
use coltsfoothook_decision::outcome::RequestClass;
use coltsfoothook_decision::owner::SlotQuery;
use coltsfoothook_decision::suspect::SuspectVerdict;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use serde::Serialize;

use crate::fleet::{REGION, RouteFleet};

/// Options of `decide`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct DecideOptions {
    /// Backend servers
    #[bpaf(argument("N"), fallback(860), display_fallback)]
    pub(crate) servers: u32,
    /// Adapters
    #[bpaf(argument("N"), fallback(16_000), display_fallback)]
    pub(crate) adapters: u32,
    /// Number of decisions measured at each size
    #[bpaf(argument("N"), fallback(200_000), display_fallback)]
    pub(crate) decisions: u32,
    /// Print one JSON line
    pub(crate) json: bool,
}

/// Cost at one size.
#[derive(Clone, Copy, Debug, Serialize)]
struct DecideFigures {
    servers: u32,
    adapters: u32,
    groups: usize,
    median_ns: u64,
    p99_ns: u64,
    /// Fraction of the decisions that found a slot; the others would wait for a load.
    placed: f64,
}

#[derive(Clone, Debug, Serialize)]
struct DecideReport {
    median_ns: u64,
    p99_ns: u64,
    /// Always `None`: counting allocations needs an allocator written with `unsafe`, which the
    /// project forbids. See docs/PLACEMENT.md.
    allocations: Option<u32>,
    /// Median cost of reading the clock, which is contained in the other figures.
    clock_ns: u64,
    sizes: Vec<DecideFigures>,
}

pub(crate) fn run(options: &DecideOptions) -> ExitCode {
    let (servers, adapters) = (options.servers.max(4), options.adapters.max(16));
    let sizes = [
        (servers / 4, adapters),
        (servers / 2, adapters),
        (servers, adapters / 16),
        (servers, adapters / 4),
        (servers, adapters),
    ];
    let sizes = sizes.map(|(servers, adapters)| measure(servers, adapters, options.decisions));
    let largest = sizes[sizes.len() - 1];
    let report = DecideReport {
        median_ns: largest.median_ns,
        p99_ns: largest.p99_ns,
        allocations: None,
        clock_ns: clock_cost(),
        sizes: sizes.to_vec(),
    };
    if options.json {
        match serde_json::to_string(&report) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot print the report: {error}"),
        }
        return ExitCode::SUCCESS;
    }
    println!(
        "{:>8} {:>9} {:>7} {:>10} {:>8} {:>7}",
        "servers", "adapters", "groups", "median", "p99", "placed"
    );
    for size in &report.sizes {
        println!(
            "{:>8} {:>9} {:>7} {:>7} ns {:>5} ns {:>6.1}%",
            size.servers,
            size.adapters,
            size.groups,
            size.median_ns,
            size.p99_ns,
            size.placed * 100.0
        );
    }
    println!("allocations not counted  clock {} ns", report.clock_ns);
    ExitCode::SUCCESS
}

fn measure(servers: u32, adapters: u32, decisions: u32) -> DecideFigures {
    let fleet = RouteFleet::new(servers, adapters);
    let versions: Vec<AdapterVersion> = (0..adapters).map(RouteFleet::adapter).collect();
    let mut rng = Pcg64::seed_from_u64(1);
    let mut histogram = new_histogram();
    let mut placed = 0u32;
    for _ in 0..decisions {
        let adapter = &versions[rng.random_range(0..versions.len())];
        let started = Instant::now();
        let choice = decide(&fleet, adapter);
        let elapsed = started.elapsed();
        placed += u32::from(choice);
        histogram.saturating_record(elapsed.as_nanos() as u64);
    }
    DecideFigures {
        servers,
        adapters,
        groups: fleet.map.groups().len(),
        median_ns: histogram.value_at_quantile(0.5),
        p99_ns: histogram.value_at_quantile(0.99),
        placed: f64::from(placed) / f64::from(decisions.max(1)),
    }
}

/// Makes one decision: the entry VM's choice of group, then the owner's choice of engine and slot.
/// Returns whether a slot was found.
fn decide(fleet: &RouteFleet, adapter: &AdapterVersion) -> bool {
    let Ok(groups) = fleet.map.route(adapter.adapter.as_str(), REGION) else { return false };
    let owner = &fleet.owners[groups[0].index()];
    let Some(number) = owner.adapter_index(adapter) else { return false };
    let query = SlotQuery {
        class: RequestClass::Urgent,
        verdict: SuspectVerdict::Clear,
        prefix: 0,
        avoid: &[],
        allowed_engines: None,
    };
    std::hint::black_box(owner.choose(TimePoint(1), number, &query)).is_some()
}

fn clock_cost() -> u64 {
    let mut histogram = new_histogram();
    for _ in 0..10_000 {
        let started = Instant::now();
        histogram.saturating_record(started.elapsed().as_nanos() as u64);
    }
    histogram.value_at_quantile(0.5)
}

/// Upper bound of the histogram, in nanoseconds; longer decisions are recorded as this.
const MAX_NS: u64 = 1_000_000_000;

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_NS, 3).expect("the bounds are constant and valid")
}
