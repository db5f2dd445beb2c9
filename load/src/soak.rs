//! `soak`: randomised runs of the decisions under faults.

use std::process::ExitCode;

use bpaf::Bpaf;
use coltsfoothook_load::safeguard::BrokenSafeguard;
use coltsfoothook_load::world::{SoakResult, SoakSettings, run_seed};

/// Options of `soak`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct SoakOptions {
    /// Number of seeds to run.
    #[bpaf(argument("N"), fallback(10))]
    pub(crate) seeds: u64,
    /// The first seed.
    #[bpaf(argument("S"), fallback(1))]
    pub(crate) first_seed: u64,
    /// Number of events of each seed while faults are injected.
    #[bpaf(argument("E"), fallback(30_000))]
    pub(crate) events: u64,
    /// Inject only killed and paused VMs, and these more often, so that ownership moves
    /// continually.
    pub(crate) vm_faults: bool,
    /// Disable a safeguard, to show that the checks detect it: held-unasked, claim-unread,
    /// issued-reused, intent-unread, grant-late, old-epoch-used, revoke-unasked or fence-untold.
    #[bpaf(argument("SAFEGUARD"), fallback(BrokenSafeguard::None))]
    pub(crate) broken: BrokenSafeguard,
    /// Print one JSON line.
    pub(crate) json: bool,
}

/// Sums over all seeds; the field names are JSON keys.
#[derive(Debug, Default, serde::Serialize)]
struct SoakTotals {
    seeds: u64,
    first_seed: u64,
    events: u64,
    virtual_s: u64,
    faults: u64,
    runs: u64,
    done: u64,
    not_run: u64,
    failed: u64,
    unknown: u64,
    jobs: u64,
    versions: u64,
    takeovers: u64,
    unloads: u64,
    violations: u64,
    /// Command that replays the first seed with a violation.
    replay: Option<String>,
    first_violation: Option<String>,
}

/// Runs the seeds and prints the results. The exit code is 1 if there was a violation.
pub(crate) fn run(options: &SoakOptions) -> ExitCode {
    let mut totals =
        SoakTotals { seeds: options.seeds, first_seed: options.first_seed, ..Default::default() };
    for seed in options.first_seed..options.first_seed.saturating_add(options.seeds) {
        let settings = SoakSettings {
            seed,
            events: options.events,
            vm_faults: options.vm_faults,
            broken: options.broken,
            ..Default::default()
        };
        let result = run_seed(&settings);
        totals.add(&settings, &result);
        if !options.json {
            show(seed, &result);
        }
    }
    match options.json {
        true => println!("{}", serde_json::to_string(&totals).unwrap_or_default()),
        false => println!("{totals:#?}"),
    }
    if totals.violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn show(seed: u64, result: &SoakResult) {
    let SoakResult { events, faults, jobs, versions, takeovers, .. } = result;
    println!(
        "seed {seed}: {events} events, {faults} faults, {jobs} jobs, {versions} versions, \
         {takeovers} takeovers, {} violations",
        result.violations.len(),
    );
    for violation in &result.violations {
        println!("  {} at {} us: {}", violation.rule, violation.at, violation.detail);
    }
}

impl SoakTotals {
    fn add(&mut self, settings: &SoakSettings, result: &SoakResult) {
        self.events += result.events;
        self.virtual_s += result.virtual_ms / 1_000;
        self.faults += result.faults;
        self.runs += result.runs;
        let [done, not_run, failed, unknown] = result.answers;
        self.done += done;
        self.not_run += not_run;
        self.failed += failed;
        self.unknown += unknown;
        self.jobs += result.jobs;
        self.versions += result.versions;
        self.takeovers += result.takeovers;
        self.unloads += result.unloads;
        self.violations += result.violations.len() as u64;
        let Some(first) = result.violations.first() else { return };
        if self.replay.is_none() {
            let mut flags = if settings.vm_faults { " --vm-faults" } else { "" }.to_owned();
            if settings.broken != BrokenSafeguard::None {
                flags += &format!(" --broken {}", settings.broken);
            }
            let (seed, events) = (settings.seed, settings.events);
            self.replay = Some(format!(
                "coltsfoothook-load soak --seeds 1 --first-seed {seed} --events {events}{flags}"
            ));
            self.first_violation = Some(format!("{}: {}", first.rule, first.detail));
        }
    }
}
