//! Runs the weight store stand-in as a process.

use coltsfoothook_standin::{StoreServerSettings, run_standin, start_store};

fn main() -> std::process::ExitCode {
    run_standin(
        "coltsfoothook-standin-store",
        "weight store",
        async |settings: StoreServerSettings| {
            let handle = start_store(settings).await?;
            Ok((handle.address(), async move { handle.shutdown().await }))
        },
    )
}
