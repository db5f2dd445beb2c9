//! The stand-in of the plain service, as a process of its own.

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
