//! The command line shared by the stand-ins' binaries.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use coltsfoothook_settings::{CheckedSettings, load_settings};
use coltsfoothook_telemetry::{LogSettings, event, start_logs};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};

/// Options of the command line.
struct CommandOptions {
    settings: Option<PathBuf>,
    listen: Option<SocketAddr>,
    check: bool,
}

/// Settings of a stand-in, whose listen address the command line can override.
pub trait ListenSettings: Default + DeserializeOwned + CheckedSettings {
    /// Replaces the listen address.
    fn listen_on(&mut self, address: SocketAddr);
}

impl ListenSettings for crate::EngineServerSettings {
    fn listen_on(&mut self, address: SocketAddr) {
        self.listen = address;
    }
}

impl ListenSettings for crate::ServiceServerSettings {
    fn listen_on(&mut self, address: SocketAddr) {
        self.listen = address;
    }
}

impl ListenSettings for crate::PlatformServerSettings {
    fn listen_on(&mut self, address: SocketAddr) {
        self.listen = address;
    }
}

impl ListenSettings for crate::StoreServerSettings {
    fn listen_on(&mut self, address: SocketAddr) {
        self.listen = address;
    }
}

/// Runs a stand-in as a process: reads the command line and the settings, starts it, prints its
/// address as one line, and stops it gracefully on SIGTERM or SIGINT. `component` names the
/// component that it replaces, for the help text.
pub fn run_standin<Settings, Start, Starting, Stop>(
    name: &'static str,
    component: &'static str,
    start: Start,
) -> ExitCode
where
    Settings: ListenSettings,
    Start: FnOnce(Settings) -> Starting,
    Starting: Future<Output = io::Result<(SocketAddr, Stop)>>,
    Stop: Future<Output = ()>,
{
    let options = parse_options(name, component);
    let settings: Settings = match read_settings(&options) {
        Ok(settings) => settings,
        Err(message) => return fail(name, &message),
    };
    if options.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = start_logs(&LogSettings::default()) {
        return fail(name, &error.to_string());
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(name, &error.to_string()),
    };
    match runtime.block_on(serve_until_stopped(name, start(settings))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(name, &error.to_string()),
    }
}

async fn serve_until_stopped<Stop: Future<Output = ()>>(
    name: &str,
    starting: impl Future<Output = io::Result<(SocketAddr, Stop)>>,
) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let (address, stop) = starting.await?;
    println!("{name} listening on {address}");
    event!(ProcessStarted, process = name, address = address);
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    event!(ShutdownStarted, process = name);
    stop.await;
    event!(ProcessStopped, process = name);
    Ok(())
}

fn parse_options(name: &'static str, component: &'static str) -> CommandOptions {
    let settings = bpaf::long("settings")
        .short('s')
        .help("File with settings, JSON with comments")
        .argument::<PathBuf>("FILE")
        .optional();
    let listen = bpaf::long("listen")
        .short('l')
        .help("Address to listen on, overrides the settings")
        .argument::<SocketAddr>("IP:PORT")
        .optional();
    let check = bpaf::long("check-settings").help("Check the settings and exit").switch();
    let footer = format!(
        "Examples:\n  {name} --listen 127.0.0.1:7100\n  {name} --settings {name}.jsonc --check-settings"
    );
    let description = format!("Stand-in for the {component}; see docs/STANDINS.md");
    bpaf::construct!(CommandOptions { settings, listen, check })
        .to_options()
        .descr(description.as_str())
        .footer(footer.as_str())
        .version(env!("CARGO_PKG_VERSION"))
        .run()
}

fn read_settings<Settings: ListenSettings>(options: &CommandOptions) -> Result<Settings, String> {
    let mut settings = match &options.settings {
        None => Settings::default(),
        Some(path) => load_settings(path).map_err(|error| error.to_string())?,
    };
    if let Some(address) = options.listen {
        settings.listen_on(address);
    }
    Ok(settings)
}

fn fail(name: &str, message: &str) -> ExitCode {
    eprintln!("{name}: {message}");
    ExitCode::FAILURE
}
