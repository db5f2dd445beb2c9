//! A fake entry VM: the operators' interface over a real configuration fold, with injectable log
//! faults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use coltsfoothook_ctl::{CtlExit, CtlStreams, run};
use coltsfoothook_decision::config::{ConfigFold, ConfigVerdict};
use coltsfoothook_decision::id::{RequestFingerprint, RequestId};
use coltsfoothook_decision::record::ConfigRecord;
use coltsfoothook_operator::{
    DrainKind, ExplainAnswer, FleetStatus, HealthAnswer, ManifestAnswer, OperatorAuth,
    OperatorHandler, OperatorServer, OperatorSettings, PublishAnswer, PublishCall, WriteAnswer,
};
use tokio::runtime::Runtime;

/// Fault of the log, injected into one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFault {
    /// The record is appended, but the answer is lost.
    LostAnswer,
    /// The record is not appended.
    Outage,
}

/// State of the fake entry VM.
#[derive(Default)]
pub struct FakeState {
    pub fold: ConfigFold,
    pub offset: u64,
    /// Faults of the next appends, in order; further appends succeed.
    pub faults: Vec<LogFault>,
    pub status: Option<FleetStatus>,
    /// Drain calls received, as `name draining`.
    pub drained: Vec<String>,
}

pub struct FakeEntry {
    pub state: Mutex<FakeState>,
}

#[async_trait]
impl OperatorHandler for FakeEntry {
    async fn manifest(&self) -> Option<ManifestAnswer> {
        let in_force = self.state.lock().expect("a lock").fold.in_force();
        Some(ManifestAnswer { version: in_force.version, manifest: in_force.manifest })
    }

    async fn publish(&self, call: PublishCall) -> PublishAnswer {
        let mut state = self.state.lock().expect("a lock");
        let fault = if state.faults.is_empty() { None } else { Some(state.faults.remove(0)) };
        if fault == Some(LogFault::Outage) {
            return PublishAnswer::LogUnavailable;
        }
        let PublishCall { base, publish_id, change } = call;
        let offset = state.offset;
        state.offset += 1;
        let resolutions =
            state.fold.fold(offset, ConfigRecord::Publish { base, publish_id, change });
        if fault == Some(LogFault::LostAnswer) {
            return PublishAnswer::Unknown;
        }
        match resolutions[0].verdict.clone() {
            ConfigVerdict::Accepted(version) => PublishAnswer::Accepted(version),
            ConfigVerdict::Repeated(version) => PublishAnswer::Repeated(version),
            ConfigVerdict::Stale { in_force, .. } => PublishAnswer::Stale { in_force },
            ConfigVerdict::Rejected(faults) => PublishAnswer::Rejected(faults),
            other => panic!("no verdict on a publication: {other:?}"),
        }
    }

    async fn status(&self) -> FleetStatus {
        let status = self.state.lock().expect("a lock").status.clone();
        status.unwrap_or_else(|| FleetStatus { asked: "vm-1".into(), vms: Vec::new() })
    }

    async fn drain(&self, _kind: DrainKind, name: &str, draining: bool) -> WriteAnswer {
        self.state.lock().expect("a lock").drained.push(format!("{name} {draining}"));
        if name == "unknown" { WriteAnswer::UnknownName } else { WriteAnswer::Written }
    }

    async fn explain(&self, _id: &RequestId) -> ExplainAnswer {
        ExplainAnswer { replies: Vec::new() }
    }

    async fn lift(&self, _fingerprint: RequestFingerprint) -> WriteAnswer {
        WriteAnswer::Written
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn health(&self) -> HealthAnswer {
        HealthAnswer { ready: true, reason: String::new() }
    }
}

struct FakeAuth;

impl OperatorAuth for FakeAuth {
    fn is_operator(&self, token: &str) -> bool {
        token == "operator-token"
    }
}

/// A running fake entry VM with a directory for the files of one test.
pub struct RunningEntry {
    _runtime: Runtime,
    _server: OperatorServer,
    address: SocketAddr,
    directory: PathBuf,
    pub entry: Arc<FakeEntry>,
}

/// Exit code and output of a command.
pub struct CommandResult {
    pub exit: CtlExit,
    pub out: String,
    pub err: String,
}

/// Creates the directory for the files of one test.
pub fn directory(test: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&directory).expect("a directory");
    directory
}

pub fn start(test: &str) -> RunningEntry {
    start_with(test, None)
}

/// Starts a fake entry VM on a free port and writes the token and settings files for it.
pub fn start_with(test: &str, tls: Option<rustls::ServerConfig>) -> RunningEntry {
    let runtime = Runtime::new().expect("a runtime");
    let entry = Arc::new(FakeEntry { state: Mutex::default() });
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = OperatorSettings { listen, ..Default::default() };
    let started = runtime.block_on(async {
        OperatorServer::start(&settings, entry.clone(), Arc::new(FakeAuth), tls)
    });
    let server = started.expect("a free port");
    let (address, directory) = (server.address(), directory(test));
    let running = RunningEntry { _runtime: runtime, _server: server, address, directory, entry };
    running.file("token", "operator-token\n");
    // Nothing listens on the first address, so every command has to fail over to the second one.
    let text = format!(
        r#"{{ "entries": ["127.0.0.1:1", "{address}"], "token_file": "{}", "attempts": 2 }}"#,
        running.path("token").display()
    );
    running.file("ctl.json", &text);
    running
}

impl RunningEntry {
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        std::fs::write(self.path(name), text).expect("a file");
        self.path(name).display().to_string()
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs a command with the settings file for this entry VM.
    pub fn run(&self, arguments: &[&str]) -> CommandResult {
        let settings = self.path("ctl.json").display().to_string();
        let mut with_settings = vec![arguments[0], "--settings", &settings];
        with_settings.extend(&arguments[1..]);
        run_alone(&with_settings)
    }
}

/// Runs a command without adding arguments.
pub fn run_alone(arguments: &[&str]) -> CommandResult {
    let mut streams = CtlStreams::default();
    let exit = run(arguments, &mut streams);
    CommandResult { exit, out: streams.out, err: streams.err }
}
