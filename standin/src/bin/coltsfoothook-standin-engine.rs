//! The stand-in of the model engine, as a process of its own.

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
