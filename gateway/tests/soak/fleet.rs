//! Gateways as processes of their own.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// Where a gateway listens and what it is told.
#[derive(Clone, Debug)]
pub(crate) struct GatewayPlace {
    pub(crate) vm: String,
    pub(crate) requests: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) addresses: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) store: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
}

/// A gateway's process, which is started anew after it ended.
pub(crate) struct GatewayChild {
    pub(crate) place: GatewayPlace,
    folder: PathBuf,
    state: Mutex<ChildState>,
}

#[derive(Default)]
struct ChildState {
    child: Option<Child>,
    starts: u32,
}

impl GatewayChild {
    pub(crate) fn new(place: GatewayPlace, folder: PathBuf) -> Self {
        Self { place, folder, state: Mutex::default() }
    }

    /// Starts the process; its log goes to a file of its own.
    pub(crate) fn start(&self) {
        let mut state = self.state.lock().unwrap();
        let place = &self.place;
        let settings = json!({
            "vm": place.vm, "domain": "d1", "first_start": state.starts == 0,
            "listen": {
                "requests": place.requests, "ready": place.ready,
                "addresses": place.addresses, "peers": place.peers,
            },
            "seeds": place.seeds,
            "store": { "address": place.store },
            "promises": { "grace_s": GRACE_S, "servers_check_fences": true },
        });
        let file = self.folder.join(format!("{}.json", place.vm));
        std::fs::write(&file, settings.to_string()).expect("the settings are written");
        let log = self.folder.join(format!("{}-{}.log", place.vm, state.starts));
        let log = File::create(log).expect("the log file is made");
        let child = Command::new(env!("CARGO_BIN_EXE_coltsfoothook-gateway"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log file is shared"))
            .stdout(log)
            .spawn()
            .expect("the gateway starts");
        state.child = Some(child);
        state.starts += 1;
    }

    /// How often the process was started.
    pub(crate) fn starts(&self) -> u32 {
        self.state.lock().unwrap().starts
    }

    /// Sends a signal to the process that this soak started.
    pub(crate) fn signal(&self, signal: Signal) {
        let state = self.state.lock().unwrap();
        let pid = state.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // It may have ended a moment ago, which the next look finds.
            let _ = kill_process(pid, signal);
        }
    }

    /// How the process ended, if it has.
    pub(crate) fn ended(&self) -> Option<ExitStatus> {
        let mut state = self.state.lock().unwrap();
        let ended = state.child.as_mut()?.try_wait().ok()??;
        state.child = None;
        Some(ended)
    }

    /// The lines of all its logs that tell of a broken promise or a panic.
    pub(crate) fn complaints(&self) -> Vec<String> {
        let starts = self.state.lock().unwrap().starts;
        let mut lines = Vec::new();
        for start in 0..starts {
            let name = format!("{}-{start}.log", self.place.vm);
            let text = std::fs::read_to_string(self.folder.join(&name)).unwrap_or_default();
            let bad = |line: &&str| line.contains("invariant_broken") || line.contains("panicked");
            lines.extend(text.lines().filter(bad).map(|line| format!("{name}: {line}")));
        }
        lines
    }
}

impl Drop for GatewayChild {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap();
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The grace time of the gateways, in seconds.
pub(crate) const GRACE_S: u64 = 3;
