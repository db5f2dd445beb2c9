//! Checks what callers received and servers ran against the promises.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::callers::{CallEnd, CallNote};
use crate::server::{EVENTS, RunNote};
use crate::world::SoakWorld;

/// How long a draining server may receive new requests. Operators allow two seconds; the store's answer and the
/// transit add some tens of milliseconds.
const DRAIN_TIME: Duration = Duration::from_millis(2_100);
/// The percentage of requests that must be served once all faults are over.
const RECOVERED_PERCENT: usize = 90;

/// The requests of one seed and the findings about them.
#[derive(Default)]
pub(crate) struct SoakVerdict {
    calls: Mutex<Vec<CallNote>>,
    findings: Mutex<Vec<String>>,
    /// For each gateway and start of its process, the oldest configuration that is consistent with its answers.
    configurations: Mutex<Vec<((usize, u32), u64)>>,
}

impl SoakVerdict {
    /// Records a request and checks its answer.
    pub(crate) fn note(&self, note: CallNote) {
        if let Some(finding) = wrong_answer(&note) {
            self.find(finding);
        }
        self.calls.lock().unwrap().push(note);
    }

    pub(crate) fn find(&self, finding: String) {
        self.findings.lock().unwrap().push(finding);
    }

    /// Records a finding unless it is recorded already, for faults that many requests show.
    fn find_once(&self, finding: String) {
        let mut findings = self.findings.lock().unwrap();
        if !findings.contains(&finding) {
            findings.push(finding);
        }
    }

    pub(crate) fn findings(&self) -> Vec<String> {
        self.findings.lock().unwrap().clone()
    }

    pub(crate) fn summary(&self) -> String {
        let calls = self.calls.lock().unwrap();
        let served = calls.iter().filter(|note| note.served()).count();
        let refused = |note: &&CallNote| matches!(note.end, CallEnd::Answered { status: 503, .. });
        let refused = calls.iter().filter(refused).count();
        let findings = self.findings.lock().unwrap().len();
        format!("{} calls, {served} served, {refused} refused, {findings} findings", calls.len())
    }

    /// Checks the answer to a request on the route that configurations move between two services. While a process
    /// runs, it must not go back to an older configuration. `start` counts the starts of the gateway's process.
    pub(crate) fn moved(&self, gateway: usize, start: u32, note: &CallNote, world: &SoakWorld) {
        let CallEnd::Answered { status: 200, seal, .. } = &note.end else { return };
        let elsewhere = seal.starts_with("seal-x");
        let newest = world.published();
        let mut known = self.configurations.lock().unwrap();
        let at = match known.binary_search_by_key(&(gateway, start), |(start, _)| *start) {
            Ok(at) => at,
            Err(at) => {
                known.insert(at, ((gateway, start), 1));
                at
            }
        };
        let only = world.in_force_at(note.sent);
        if only.is_some_and(|version| version.is_multiple_of(2) != elsewhere) {
            self.find_once(format!("gateway {gateway} uses an old configuration"));
        }
        let oldest = &mut known[at].1;
        if oldest.is_multiple_of(2) != elsewhere {
            *oldest += 1;
        }
        if *oldest > newest {
            self.find(format!(
                "{}: gateway {gateway} went back to an older configuration",
                note.id
            ));
        }
    }

    /// Checks all requests and runs at the end. `steady_from` is the time from which requests must be served again.
    pub(crate) fn judge(&self, world: &SoakWorld, steady_from: Instant) {
        let calls = self.calls.lock().unwrap().clone();
        let runs = world.runs();
        for note in &calls {
            let own: Vec<&(String, RunNote)> =
                runs.iter().filter(|(_, run)| run.id == note.id).collect();
            if note.kind.runs_once() && own.len() > 1 {
                self.find(format!("{}: {:?} ran {} times", note.id, note.kind, own.len()));
            }
            let CallEnd::Answered { status, seal, .. } = &note.end else { continue };
            if matches!(status, 503 | 429 | 408 | 421) && seal.is_empty() && !own.is_empty() {
                self.find(format!("{}: answered {status} and ran", note.id));
            }
        }
        for (server, run) in &runs {
            if !calls.iter().any(|note| note.id == run.id) {
                self.find(format!("{server} ran {} that no caller sent", run.id));
            }
        }
        self.judge_recovery(&calls, steady_from);
        for violation in world.server_violations() {
            self.find(violation);
        }
        for gateway in &world.gateways {
            for line in gateway.violations() {
                self.find(line);
            }
        }
        if world.only_planned {
            self.judge_planned(&calls, &runs, world);
        }
    }

    /// Checks that enough requests are served once all faults are over.
    fn judge_recovery(&self, calls: &[CallNote], steady_from: Instant) {
        let concerned =
            |note: &&CallNote| note.sent > steady_from && !matches!(note.end, CallEnd::Abandoned);
        let late: Vec<&CallNote> = calls.iter().filter(concerned).collect();
        let served = late.iter().filter(|note| note.served()).count();
        if late.is_empty() || served * 100 < late.len() * RECOVERED_PERCENT {
            let ends: Vec<String> = late
                .iter()
                .filter(|note| !note.served())
                .map(|note| note.describe())
                .take(4)
                .collect();
            self.find(format!("after all faults {served} of {} were served: {ends:?}", late.len()));
        }
    }

    /// Checks, for seeds with planned work only, that no request that a server ran is lost and that draining servers
    /// receive no new requests.
    fn judge_planned(&self, calls: &[CallNote], runs: &[(String, RunNote)], world: &SoakWorld) {
        for note in calls {
            let cut = match &note.end {
                CallEnd::Cut => true,
                CallEnd::Answered { status, whole, .. } => !whole || matches!(status, 502 | 504),
                CallEnd::Abandoned | CallEnd::Unsent => false,
            };
            let ran = runs.iter().any(|(_, run)| run.id == note.id);
            if cut && ran {
                self.find(format!("cut by planned work: {}", note.describe()));
            }
        }
        for (server, draining_since) in world.drained_servers() {
            let late = |(name, run): &&(String, RunNote)| {
                *name == server && run.at.is_some_and(|at| at > draining_since + DRAIN_TIME)
            };
            if let Some((_, run)) = runs.iter().find(late) {
                self.find(format!("{server} ran {} too long after it began to drain", run.id));
            }
        }
    }
}

/// Returns what is wrong with an answer, without regard to other requests.
fn wrong_answer(note: &CallNote) -> Option<String> {
    let CallEnd::Answered { status, body, whole, seal } = &note.end else { return None };
    if *status != 200 {
        let own = matches!(status, 502..=504) && seal.is_empty() && body.is_empty();
        let servers = *status == 500 && !seal.is_empty();
        return (!own && !servers).then(|| format!("{}: unexpected {status}", note.id));
    }
    if seal.is_empty() {
        return Some(format!("{}: a success without seal", note.id));
    }
    if !note.kind.is_stream() {
        let right = *body == format!("ran {}", note.id);
        return (*whole && !right).then(|| format!("{}: got {body:?}", note.id));
    }
    let mut expected = String::new();
    for number in 1..=EVENTS {
        expected.push_str(&format!("id: {number}\ndata: {} {number}\n\n", note.id));
    }
    let right = if *whole { *body == expected } else { expected.starts_with(body.as_str()) };
    (!right).then(|| format!("{}: got {body:?}", note.id))
}
