//! Runs the model engine stand-in as a process.

use coltsfoothook_standin::{EngineServerSettings, run_standin, start_engine};

fn main() -> std::process::ExitCode {
    run_standin(
        "coltsfoothook-standin-engine",
        "model engine",
        async |settings: EngineServerSettings| {
            let handle = start_engine(settings).await?;
            Ok((handle.address(), async move { handle.shutdown().await }))
        },
    )
}
