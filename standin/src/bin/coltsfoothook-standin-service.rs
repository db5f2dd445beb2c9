//! Runs the plain service stand-in as a process.

use coltsfoothook_standin::{ServiceServerSettings, run_standin, start_service};

fn main() -> std::process::ExitCode {
    run_standin(
        "coltsfoothook-standin-service",
        "plain service",
        async |settings: ServiceServerSettings| {
            let handle = start_service(settings).await?;
            Ok((handle.address(), async move { handle.shutdown().await }))
        },
    )
}
