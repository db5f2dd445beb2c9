//! Gateways as child processes.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// The name of a gateway's VM, the addresses it listens on, and those of the store and the seed VMs.
#[derive(Clone, Debug)]
pub(crate) struct GatewayEndpoints {
    pub(crate) vm: String,
    pub(crate) requests: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) addresses: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) store: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
}

/// A gateway's process, which can be restarted after it ended. Dropping it kills the process.
pub(crate) struct GatewayChild {
    pub(crate) endpoints: GatewayEndpoints,
    /// Holds its settings file and its logs.
    folder: PathBuf,
    state: Mutex<ChildState>,
}

#[derive(Default)]
struct ChildState {
    /// `None` before the first start and after the process ended.
    child: Option<Child>,
    starts: u32,
}

impl GatewayChild {
    pub(crate) fn new(endpoints: GatewayEndpoints, folder: PathBuf) -> Self {
        Self { endpoints, folder, state: Mutex::default() }
    }

    /// Starts the process. Each start has its own log file.
    pub(crate) fn start(&self) {
        let mut state = self.state.lock().unwrap();
        let endpoints = &self.endpoints;
        let settings = json!({
            "vm": endpoints.vm, "domain": "d1", "first_start": state.starts == 0,
            "listen": {
                "requests": endpoints.requests, "ready": endpoints.ready,
                "addresses": endpoints.addresses, "peers": endpoints.peers,
            },
            "seeds": endpoints.seeds,
            "store": { "address": endpoints.store },
            "promises": { "grace_s": GRACE_S, "servers_check_fences": true },
        });
        let file = self.folder.join(format!("{}.json", endpoints.vm));
        std::fs::write(&file, settings.to_string()).expect("the settings are written");
        let log = self.folder.join(format!("{}-{}.log", endpoints.vm, state.starts));
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

    /// Returns how many times the process was started.
    pub(crate) fn starts(&self) -> u32 {
        self.state.lock().unwrap().starts
    }

    /// Sends a signal to the process, if one is running.
    pub(crate) fn signal(&self, signal: Signal) {
        let state = self.state.lock().unwrap();
        let pid = state.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // Fails if the process has just ended; the next call of `ended` reports that.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the exit status of the process once, if it has ended.
    pub(crate) fn ended(&self) -> Option<ExitStatus> {
        let mut state = self.state.lock().unwrap();
        let ended = state.child.as_mut()?.try_wait().ok()??;
        state.child = None;
        Some(ended)
    }

    /// Returns the lines of all its logs that report a broken invariant or a panic.
    pub(crate) fn violations(&self) -> Vec<String> {
        let starts = self.state.lock().unwrap().starts;
        let mut lines = Vec::new();
        for start in 0..starts {
            let name = format!("{}-{start}.log", self.endpoints.vm);
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

/// The grace time of the gateways for a shutdown, in seconds.
pub(crate) const GRACE_S: u64 = 3;
