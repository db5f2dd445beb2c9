//! Command line of the demonstration: runs it and prints its report.

use std::process::ExitCode;

use bpaf::Bpaf;
use coltsfoothook_demo::{DemoOptions, DemoReport, run_demo};
use coltsfoothook_telemetry::{LogLevel, LogSettings, start_logs};

/// Demonstrates coltsfoothook: six entry VMs, twelve engines, a plain service and their callers in
/// one process, with an engine restart, a configuration change and VMs that leave.
///
/// Prints a table and exits with code 0 if every guarantee held, else 1. Takes about a minute.
///
/// Example: coltsfoothook-demo --quick --json
#[derive(Bpaf, Debug)]
#[bpaf(options, version)]
struct DemoArguments {
    /// Finish in less than twenty seconds.
    quick: bool,
    /// Also print the report as one line of JSON on standard output.
    json: bool,
    /// Write the log of all entry VMs and stand-ins to standard error.
    logs: bool,
    /// Seed of the generated traffic.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = demo_arguments().run();
    let level = if arguments.logs { LogLevel::Info } else { LogLevel::Error };
    let logs = LogSettings { level, libraries: LogLevel::Error, ..LogSettings::default() };
    if let Err(error) = start_logs(&logs) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let options = DemoOptions {
        quick: arguments.quick,
        seed: arguments.seed,
        progress: |step| eprintln!("{step}"),
    };
    let report = match run_demo(&options).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    print_table(&report);
    if arguments.json {
        println!("{}", serde_json::to_string(&report).expect("the report has string keys only"));
    }
    let broken = report.broken();
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_table(report: &DemoReport) {
    let counts = &report.counts;
    let rows: [(&str, String); 16] = [
        ("requests", counts.requests.to_string()),
        ("  done: whole answer, right adapter", counts.done.to_string()),
        ("  not run", counts.not_run.to_string()),
        ("  failed", counts.failed.to_string()),
        ("  unknown", counts.unknown.to_string()),
        ("callers' further tries", counts.retries.to_string()),
        ("first token, 95th centile", format!("{:.1} ms", report.ttft_p95_ms)),
        ("  of urgent requests", format!("{:.1} ms", report.urgent_ttft_p95_ms)),
        ("longest gap in a stream, 95th centile", format!("{:.1} ms", report.gap_p95_ms)),
        ("load stall, 95th centile at most", format!("{:.1} ms", report.stall_p95_ms)),
        ("requests in a step, mean", format!("{:.2}", report.batch_mean)),
        ("tokens", report.tokens.to_string()),
        ("adapter loads", report.loads.to_string()),
        ("configuration in force everywhere", format!("{:.1} ms", report.config_in_force_ms)),
        ("entry VMs", report.vms.to_string()),
        ("engines", report.engines.to_string()),
    ];
    for (name, value) in rows {
        println!("{name:<40} {value:>12}");
    }
    println!();
    let guarantees: [(&str, u64); 6] = [
        ("no accepted job lost", counts.lost),
        ("no ticket doubled", report.doubled),
        ("each answer from the adapter it names", counts.wrong_adapter),
        ("each answer whole", counts.cut),
        ("no adapter evicted in use", report.evicted_in_use),
        ("no invariant violated in the program", report.invariant_violations),
    ];
    for (name, broken) in guarantees {
        let verdict = if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken}") };
        println!("{name:<40} {verdict:>12}");
    }
}
