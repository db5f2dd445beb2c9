//! `coltsfoothook-load`: measures the decisions of coltsfoothook and their costs.
//!
//! Each subcommand that measures prints a table or, with `--json`, one line of JSON.

mod arrival;
mod baseline;
mod compare;
mod config;
mod decide;
mod drive;
mod fit;
mod fleet;
mod latency;
mod model;
mod ours;
mod plot;
mod sample;
mod slopes;
mod soak;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Measures coltsfoothook's decisions under load.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum LoadCommand {
    /// Compares placement with its baselines on the same arrivals.
    ///
    /// Example: coltsfoothook-load compare --deployment wanjiru --seeds 5 --json
    #[bpaf(command("compare"))]
    Compare(#[bpaf(external(compare::compare_options))] compare::CompareOptions),
    /// Measures the cost of one routing decision.
    ///
    /// Example: coltsfoothook-load decide --servers 860 --adapters 16000 --json
    #[bpaf(command("decide"))]
    Decide(#[bpaf(external(decide::decide_options))] decide::DecideOptions),
    /// Measures control costs by the size of a site, and fits lines to them.
    ///
    /// Example: coltsfoothook-load slopes --plots docs/plots --json
    #[bpaf(command("slopes"))]
    Slopes(#[bpaf(external(slopes::slopes_options))] slopes::SlopesOptions),
    /// Measures the latency that an entry VM adds to the time to the first token.
    ///
    /// Example: coltsfoothook-load latency --calls 2000 --streams 500 --json
    #[bpaf(command("latency"))]
    Latency(#[bpaf(external(latency::latency_options))] latency::LatencyOptions),
    /// Sends mixed load to entry VMs that run as separate processes, and checks every answer.
    ///
    /// Example: coltsfoothook-load drive --caller 127.0.0.1:8010 --caller 127.0.0.1:8020 --seconds 30
    #[bpaf(command("drive"))]
    Drive(#[bpaf(external(drive::drive_options))] drive::DriveOptions),
    /// Prints the manifest that `drive` expects.
    ///
    /// Example: coltsfoothook-load manifest --engine 127.0.0.1:7201 --service 127.0.0.1:7400
    #[bpaf(command("manifest"))]
    Manifest(#[bpaf(external(drive::manifest_options))] drive::ManifestOptions),
    /// Runs the decisions under random faults in virtual time and checks the system's guarantees.
    ///
    /// Example: coltsfoothook-load soak --seeds 100 --first-seed 1 --json
    #[bpaf(command("soak"))]
    Soak(#[bpaf(external(soak::soak_options))] soak::SoakOptions),
}

fn main() -> ExitCode {
    match load_command().run() {
        LoadCommand::Compare(options) => compare::run(&options),
        LoadCommand::Decide(options) => decide::run(&options),
        LoadCommand::Slopes(options) => slopes::run(&options),
        LoadCommand::Latency(options) => latency::run(&options),
        LoadCommand::Drive(options) => drive::run(&options),
        LoadCommand::Manifest(options) => drive::print_manifest(&options),
        LoadCommand::Soak(options) => soak::run(&options),
    }
}
