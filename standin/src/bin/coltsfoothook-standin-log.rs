//! Runs the stand-in for the platform's log and list of VMs as a process.

use coltsfoothook_standin::{PlatformServerSettings, run_standin, start_platform};

fn main() -> std::process::ExitCode {
    run_standin(
        "coltsfoothook-standin-log",
        "platform's log and list of VMs",
        async |settings: PlatformServerSettings| {
            let handle = start_platform(settings).await?;
            Ok((handle.address(), async move { handle.shutdown().await }))
        },
    )
}
