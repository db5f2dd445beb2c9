//! The gateway program for entry VMs of the operators' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use coltsfoothook_gateway::{GatewaySettings, run_gateway};
use coltsfoothook_settings::load_settings;
use coltsfoothook_telemetry::{event, name_process, start_logs};

/// The exit code for invalid settings, and for a process that could not start with them.
const EXIT_SETTINGS: u8 = 2;
/// The environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "COLTSFOOTHOOK_SETTINGS";

/// Forwards callers' requests to backend servers on the operators' platform.
///
/// Example: coltsfoothook-gateway --settings /etc/coltsfoothook/gateway.json
///
/// On SIGTERM the process finishes open requests within the grace time and ends.
#[derive(Bpaf, Debug)]
#[bpaf(options, version)]
struct GatewayOptions {
    /// The settings file: JSON with comments; docs/SETTINGS.md lists the keys.
    #[bpaf(argument("FILE"), env("COLTSFOOTHOOK_SETTINGS"))]
    settings: PathBuf,
    /// Check the settings and exit: 0 if they are valid, 2 if not.
    check_settings: bool,
}

fn main() -> ExitCode {
    let options = gateway_options().run();
    let settings = match load_settings::<GatewaySettings>(&options.settings) {
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
    // One thread: a VM has a fraction of one core, and more threads would only add context switches.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => {
            let ended = runtime.block_on(run_gateway(settings, &options.settings));
            // Does not wait for connections that are still open.
            runtime.shutdown_background();
            ended
        }
        Err(error) => {
            event!(ProcessFailed, error = error);
            return ExitCode::FAILURE;
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            event!(ProcessFailed, error = error, variable = SETTINGS_VARIABLE);
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}
