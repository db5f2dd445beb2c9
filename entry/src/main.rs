//! The program that runs on an entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use coltsfoothook_entry::{EntryProcess, EntrySettings};
use coltsfoothook_settings::load_settings;
use coltsfoothook_telemetry::{event, name_process, start_logs};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for unusable settings or keys and for a failed start.
const EXIT_SETTINGS: u8 = 2;

/// Runs an entry VM's part of coltsfoothook.
///
/// Example: coltsfoothook-entry --settings /etc/coltsfoothook/entry.json
///
/// SIGTERM and SIGINT start a graceful shutdown, which lets running requests end.
#[derive(Bpaf, Debug)]
#[bpaf(options, version)]
struct EntryOptions {
    /// The settings file: JSON with comments; docs/SETTINGS.md lists the keys.
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit: 0 if they are valid, 2 if not.
    check_settings: bool,
}

fn main() -> ExitCode {
    let options = entry_options().run();
    let settings = match load_settings::<EntrySettings>(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check_settings {
        println!("{}: the settings are good", options.settings.display());
        return ExitCode::SUCCESS;
    }
    name_process(settings.vm.as_str());
    if let Err(error) = start_logs(&settings.logs) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => {
            event!(ProcessFailed, error = error);
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: EntrySettings) -> ExitCode {
    let process = match EntryProcess::start(settings).await {
        Ok(process) => process,
        Err(error) => {
            event!(ProcessFailed, error = error);
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    wait_for_end().await;
    let invariants = process.shut_down().await;
    if invariants.violated() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Waits for SIGTERM or SIGINT; never returns if the handlers cannot be installed.
async fn wait_for_end() {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        std::future::pending::<()>().await;
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
