//! A randomised soak: real gateway processes before stand-ins of the platform, with faults from outside.
//!
//! Each seed makes a small site on loopback: gateways as processes of their own, the store and the
//! servers in this process, and a proxy before the store for each VM and before each server. Faults of
//! several kinds start at random times and overlap. What callers got and what servers ran is judged
//! while the site runs and at its end; docs/FAILURES.md lists the promises.
//!
//! `cargo test -p coltsfoothook-gateway --test soak -- --seeds 50 --first 1000` plays fifty seeds. Without
//! arguments it plays the seeds that failed once and a few fixed ones, as CI does.

mod callers;
mod faults;
mod fleet;
mod proxy;
mod verdict;
mod world;

#[path = "../suite/configuration.rs"]
mod configuration;
#[path = "../suite/server.rs"]
#[allow(dead_code, reason = "the suite uses more of it")]
mod server;
#[path = "../suite/store.rs"]
#[allow(dead_code, reason = "the suite uses more of it")]
mod store;

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use crate::world::{SoakPlan, play};

/// Seeds that failed once, each with its cause.
///
/// * 5010: the check for old configurations itself. The answer to a request came as the next configuration was
///   published, and was held against that one.
const KEPT_SEEDS: &[u64] = &[5010];
/// Seeds that are always played: one of each mix of faults.
const FIXED_SEEDS: &[u64] = &[1, 2, 4, 403];

/// Plays seeds of the soak.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct SoakOptions {
    /// How many seeds to play instead of the kept ones.
    #[bpaf(argument("COUNT"))]
    seeds: Option<u64>,
    /// The first of them.
    #[bpaf(argument("SEED"), fallback(1))]
    first: u64,
    /// For how many seconds faults come.
    #[bpaf(argument("SECONDS"), fallback(6))]
    seconds: u64,
    /// Gateway processes.
    #[bpaf(argument("COUNT"), fallback(3))]
    gateways: usize,
    /// Seeds that are played at once.
    #[bpaf(argument("COUNT"), fallback(2))]
    at_once: usize,
    /// Tests that CI passes over in all test programs; none of them is here.
    #[bpaf(argument("NAME"), many)]
    skip: Vec<String>,
}

fn main() -> ExitCode {
    let options = soak_options().run();
    if !options.skip.is_empty() {
        println!("passed over elsewhere: {:?}", options.skip);
    }
    let seeds: Vec<u64> = match options.seeds {
        Some(count) => (options.first..options.first + count).collect(),
        None => KEPT_SEEDS.iter().chain(FIXED_SEEDS).copied().collect(),
    };
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let failed = runtime.block_on(play_all(&options, &seeds));
    println!("{} seeds played, {} failed: {failed:?}", seeds.len(), failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn play_all(options: &SoakOptions, seeds: &[u64]) -> Vec<u64> {
    use futures::StreamExt;
    let plays = seeds.iter().map(|seed| {
        let plan = SoakPlan {
            seed: *seed,
            gateways: options.gateways,
            faults_for: Duration::from_secs(options.seconds),
        };
        async move {
            let verdict = play(plan).await;
            println!("seed {seed}: {}", verdict.summary());
            for finding in verdict.findings() {
                println!("  {finding}");
            }
            (!verdict.findings().is_empty()).then_some(*seed)
        }
    });
    let plays = futures::stream::iter(plays).buffer_unordered(options.at_once.max(1));
    plays.filter_map(async |failed| failed).collect().await
}
