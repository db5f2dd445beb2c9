//! Checks what callers received and servers ran against the promises.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::callers::{CallEnd, CallKind, CallRecord};
use crate::repeats::most_repeats;
use crate::server::{CRASHING, CRASHING_PARTS, EVENTS, RequestArrival, RunRecord, StandinServer};
use crate::world::{
    BrittleTime, LIMIT_PER_S, REST, ServerKind, SoakStatement, SoakWorld, StatementKind,
};

/// How long a draining server may receive new requests. Operators allow two seconds; the store's answer and the
/// transit add some tens of milliseconds.
const DRAIN_TIME: Duration = Duration::from_millis(2_100);
/// How long gateways have to keep a limit, the window in which a server counts its requests, and what it may get in it
/// beyond one and a half times its limit.
const LIMIT_NOTICE: Duration = Duration::from_secs(3);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_SLACK: f64 = 5.0;
/// The time in which each gateway is refused once by a server that rests, and the most requests that one may send it
/// afterwards.
const REST_NOTICE: Duration = Duration::from_millis(1_500);
const ALLOWED_IN_REST: usize = 2;
/// The crash by which a part that crashes servers has to be known.
const PART_KNOWN_AFTER: usize = 5;
/// The time after the third crash of a request, and the most attempts of it that may reach servers afterwards.
const CRASH_NOTICE: Duration = Duration::from_secs(3);
const ALLOWED_AFTER_CRASHES: usize = 3;
/// The time after servers' first statement that they fail under what they turn away from which on few may.
const BRITTLE_NOTICE: Duration = Duration::from_secs(3);
/// The time after which a request whose caller left must not reach a server, and how many may all the same.
const LEFT_NOTICE: Duration = Duration::from_millis(500);
const ALLOWED_LEFT: usize = 3;
/// The time after the start in which a gateway may refuse a customer below its limit: until it counts as knowing all
/// others, and until its bucket, which starts overdrawn, is filled.
const LIMIT_SETTLES: Duration = Duration::from_secs(5);
/// The timeout of each route in the configuration.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);
/// The percentage of requests that must be served once all faults are over.
const RECOVERED_PERCENT: usize = 90;

/// The requests of one seed and the findings about them.
#[derive(Default)]
pub(crate) struct SoakVerdict {
    calls: Mutex<Vec<CallRecord>>,
    findings: Mutex<Vec<String>>,
    /// For each gateway and start of its process, the oldest configuration that is consistent with its answers.
    configurations: Mutex<Vec<((usize, u32), u64)>>,
}

impl SoakVerdict {
    /// Records a request and checks its answer.
    pub(crate) fn record(&self, record: CallRecord) {
        if let Some(finding) = wrong_answer(&record) {
            self.find(finding);
        }
        self.calls.lock().unwrap().push(record);
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
        let served = calls.iter().filter(|record| record.served()).count();
        let refused =
            |record: &&CallRecord| matches!(record.end, CallEnd::Answered { status: 503, .. });
        let refused = calls.iter().filter(refused).count();
        let findings = self.findings.lock().unwrap().len();
        format!("{} calls, {served} served, {refused} refused, {findings} findings", calls.len())
    }

    /// Checks the answer to a request on the route that configurations move between two services. While a process
    /// runs, it must not go back to an older configuration. `start` counts the starts of the gateway's process.
    pub(crate) fn moved(&self, gateway: usize, start: u32, record: &CallRecord, world: &SoakWorld) {
        let CallEnd::Answered { status: 200, seal, .. } = &record.end else { return };
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
        let only = world.in_force_at(record.sent);
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
                record.id
            ));
        }
    }

    /// Checks all requests and runs at the end. `steady_from` is the time from which requests must be served again.
    pub(crate) fn judge(&self, world: &SoakWorld, steady_from: Instant) {
        let calls = self.calls.lock().unwrap().clone();
        let runs = world.runs();
        for record in &calls {
            let own: Vec<&(String, RunRecord)> =
                runs.iter().filter(|(_, run)| run.id == record.id).collect();
            if record.kind.runs_once() && own.len() > 1 {
                self.find(format!("{}: {:?} ran {} times", record.id, record.kind, own.len()));
            }
            let CallEnd::Answered { status, seal, .. } = &record.end else { continue };
            if matches!(status, 503 | 429 | 408 | 421) && seal.is_empty() && !own.is_empty() {
                self.find(format!("{}: answered {status} and ran", record.id));
            }
        }
        for (server, run) in &runs {
            if !calls.iter().any(|record| record.id == run.id) {
                self.find(format!("{server} ran {} that no caller sent", run.id));
            }
        }
        self.judge_customer(
            &calls,
            if world.judges_customer { world.started } else { steady_from },
        );
        self.judge_recovery(&calls, steady_from);
        for kind in [ServerKind::Engine, ServerKind::Plain, ServerKind::Elsewhere] {
            self.judge_repeats(kind, &calls, &world.arrivals_at(kind));
        }
        self.judge_crashes(&runs);
        self.judge_parts(&runs, &world.arrivals_at(ServerKind::Engine));
        self.judge_versions(&runs, world);
        for violation in world.server_violations() {
            self.find(violation);
        }
        for gateway in &world.gateways {
            for line in gateway.violations() {
                self.find(line);
            }
        }
        for stated in world.statements() {
            self.judge_statement(&stated, world.gateways.len());
        }
        for time in world.brittle_times() {
            self.judge_brittle(&time);
        }
        if world.judges_left {
            self.judge_left(&calls, world);
        }
        if world.only_planned {
            self.judge_planned(&calls, &runs, world.has_silence);
        }
        if world.judges_drains {
            self.judge_drains(&runs, world);
        }
    }

    /// Checks that streams go on only at the software version that began them, at any gateway and whatever was done to it.
    fn judge_versions(&self, runs: &[(String, RunRecord)], world: &SoakWorld) {
        let goes_on = |(_, run): &&(String, RunRecord)| run.header("last-event-id").is_some();
        for (server, run) in runs.iter().filter(goes_on) {
            let began_by = run.header("resumes").unwrap_or(&run.id);
            let first = runs.iter().filter(|first| first.1.id == began_by && !goes_on(first));
            let began_at: Vec<&str> = first.map(|(server, _)| world.software(server)).collect();
            let version = world.software(server);
            if !began_at.contains(&version) {
                let id = &run.id;
                self.find(format!("{id} went on at {version}, {began_by} began at {began_at:?}"));
            }
        }
    }

    /// Checks that a request that crashes servers is stopped. Only seeds whose gateways neither restart nor pause have
    /// such requests.
    fn judge_crashes(&self, runs: &[(String, RunRecord)]) {
        let mut crashes: Vec<&RunRecord> =
            runs.iter().map(|(_, run)| run).filter(|run| run.path().ends_with(CRASHING)).collect();
        crashes.sort_by(|a, b| (a.path(), a.at).cmp(&(b.path(), b.at)));
        for same in crashes.chunk_by(|a, b| a.path() == b.path()) {
            let Some(third) = same.get(2).and_then(|run| run.at) else { continue };
            let late = same.iter().filter(|run| run.at > Some(third + CRASH_NOTICE));
            let mut attempts: Vec<&str> = late.map(|run| run.id.as_str()).collect();
            attempts.dedup();
            if attempts.len() > ALLOWED_AFTER_CRASHES {
                self.find(format!("{} reached servers in {attempts:?} later", same[0].path()));
            }
        }
    }

    /// Checks that requests with a part that crashes servers are stopped.
    fn judge_parts(&self, runs: &[(String, RunRecord)], arrivals: &[RequestArrival]) {
        for part in CRASHING_PARTS {
            let crashed = runs.iter().map(|(_, run)| run).filter(|run| run.id.starts_with(part));
            let mut crashes: Vec<Instant> = crashed.filter_map(|run| run.at).collect();
            crashes.sort_unstable();
            let Some(known) = crashes.get(PART_KNOWN_AFTER - 1) else { continue };
            let late = |arrival: &&RequestArrival| {
                arrival.id.starts_with(part) && arrival.at > *known + CRASH_NOTICE
            };
            let late: Vec<&str> =
                arrivals.iter().filter(late).map(|arrival| arrival.id.as_str()).collect();
            if late.len() > ALLOWED_AFTER_CRASHES {
                self.find(format!("part {part} reached servers later in {late:?}"));
            }
        }
    }

    /// Checks what a server got after it stated something about itself. Only seeds whose gateways neither restart nor
    /// pause have such statements.
    fn judge_statement(&self, stated: &SoakStatement, gateways: usize) {
        let arrivals: Vec<Instant> = stated
            .server
            .arrivals_since(stated.from)
            .into_iter()
            .filter(|at| *at < stated.until)
            .collect();
        let Some(told) = arrivals.first().copied() else { return };
        let (from, window, allowed) = match stated.kind {
            StatementKind::Limit => {
                let allowed = 1.5 * LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
                (told + LIMIT_NOTICE, LIMIT_WINDOW, allowed as usize)
            }
            StatementKind::Rest => (told + REST_NOTICE, REST, ALLOWED_IN_REST * gateways),
            StatementKind::Leaving => (told + DRAIN_TIME, stated.until - stated.from, 0),
        };
        let within = |from: Instant| {
            arrivals.iter().filter(|at| (from..from + window).contains(*at)).count()
        };
        let counted = arrivals.iter().filter(|at| **at >= from);
        let most = counted.map(|at| within(*at)).max().unwrap_or(0);
        if most > allowed {
            let (name, kind) = (&stated.server.name, stated.kind);
            self.find(format!("{name} got {most} requests after its {kind:?}, allowed {allowed}"));
        }
    }

    /// Checks that servers which state that they fail under what they turn away do so rarely, whatever is done to gateways.
    fn judge_brittle(&self, time: &BrittleTime) {
        let falls = time.servers.iter().flat_map(StandinServer::falls);
        let falls =
            falls.filter(|at| (time.from + BRITTLE_NOTICE..time.until).contains(at)).count();
        let allowed = 2 + time.servers.len() / 10;
        if falls > allowed {
            let name = &time.servers[0].name;
            self.find(format!("{name} and others fell over {falls} times, allowed {allowed}"));
        }
    }

    /// Checks that requests whose callers left do not reach servers later.
    fn judge_left(&self, calls: &[CallRecord], world: &SoakWorld) {
        let arrivals = world.arrivals_at(ServerKind::Plain);
        let is_late = |record: &&CallRecord| {
            let left = record.sent + record.took;
            let reached =
                |known: &RequestArrival| known.id == record.id && known.at > left + LEFT_NOTICE;
            matches!(record.end, CallEnd::Abandoned) && arrivals.iter().any(reached)
        };
        let late: Vec<&str> =
            calls.iter().filter(is_late).map(|record| record.id.as_str()).collect();
        if late.len() > ALLOWED_LEFT {
            self.find(format!("{late:?} reached servers after their callers had left"));
        }
    }

    /// Checks that a service gets no more repeats in any window than all gateways together may send. What a gateway
    /// did to its processes or links excuses nothing.
    fn judge_repeats(&self, kind: ServerKind, calls: &[CallRecord], arrivals: &[RequestArrival]) {
        let arrived = |record: &&CallRecord| arrivals.iter().any(|known| known.id == record.id);
        // Where the moved route led when a request was sent is not known, so it counts where it arrived.
        let counts = |record: &&CallRecord| match record.kind {
            CallKind::Safe | CallKind::Once => kind == ServerKind::Plain,
            CallKind::Stream | CallKind::Resumed => kind == ServerKind::Engine,
            CallKind::Moved => arrived(record),
        };
        let requests: Vec<Instant> =
            calls.iter().filter(counts).map(|record| record.sent).collect();
        let Some(worst) = most_repeats(&requests, arrivals) else { return };
        let (repeats, allowed) = (worst.repeats, worst.allowed);
        if repeats as f64 > allowed {
            let service = kind.service();
            self.find(format!("{service} got {repeats} repeats in a window, allowed {allowed:.1}"));
        }
    }

    /// Checks that no request of a customer far below its limit was refused for the limit, of those sent some seconds
    /// after `from`.
    fn judge_customer(&self, calls: &[CallRecord], from: Instant) {
        let refused = calls.iter().filter(|record| {
            let CallEnd::Answered { status, seal, .. } = &record.end else { return false };
            *status == 429 && seal.is_empty() && record.sent >= from + LIMIT_SETTLES
        });
        for record in refused {
            self.find(format!("{}: refused below its customer's limit", record.describe()));
        }
    }

    /// Checks that enough of the requests sent after `from`, when all faults are over, are served.
    fn judge_recovery(&self, calls: &[CallRecord], from: Instant) {
        let due =
            |record: &&CallRecord| record.sent > from && !matches!(record.end, CallEnd::Abandoned);
        let late: Vec<&CallRecord> = calls.iter().filter(due).collect();
        let served = late.iter().filter(|record| record.served()).count();
        if late.is_empty() || served * 100 < late.len() * RECOVERED_PERCENT {
            let ends: Vec<String> = late
                .iter()
                .filter(|record| !record.served())
                .map(|record| record.describe())
                .take(4)
                .collect();
            self.find(format!("after all faults {served} of {} were served: {ends:?}", late.len()));
        }
    }

    /// Checks, for seeds with planned work only, that no request that a server ran is lost.
    fn judge_planned(&self, calls: &[CallRecord], runs: &[(String, RunRecord)], has_silence: bool) {
        for record in calls {
            let cut = match &record.end {
                CallEnd::Cut => true,
                CallEnd::Answered { status, whole, .. } => !whole || matches!(status, 502 | 504),
                CallEnd::Abandoned | CallEnd::Unsent => false,
            };
            let ran = runs.iter().any(|(_, run)| run.id == record.id);
            let timed_out = has_silence && record.took >= ROUTE_TIMEOUT;
            if cut && ran && !timed_out {
                self.find(format!("cut by planned work: {}", record.describe()));
            }
        }
    }

    /// Checks that draining servers receive no new requests.
    fn judge_drains(&self, runs: &[(String, RunRecord)], world: &SoakWorld) {
        for (server, draining_since) in world.drained_servers() {
            let late = |(name, run): &&(String, RunRecord)| {
                *name == server && run.at.is_some_and(|at| at > draining_since + DRAIN_TIME)
            };
            if let Some((_, run)) = runs.iter().find(late) {
                self.find(format!("{server} ran {} too long after it began to drain", run.id));
            }
        }
    }
}

/// Returns what is wrong with an answer, without regard to other requests.
fn wrong_answer(record: &CallRecord) -> Option<String> {
    let CallEnd::Answered { status, body, whole, seal } = &record.end else { return None };
    if *status != 200 {
        let own = matches!(status, 502..=504) && seal.is_empty() && body.is_empty();
        let servers = *status == 500 && !seal.is_empty();
        let limited = *status == 429 && seal.is_empty() && record.kind == CallKind::Moved;
        return (!own && !servers && !limited)
            .then(|| format!("{}: unexpected {status}", record.id));
    }
    if seal.is_empty() {
        return Some(format!("{}: a success without seal", record.id));
    }
    if !record.kind.is_stream() {
        let right = *body == format!("ran {}", record.id);
        return (*whole && !right).then(|| format!("{}: got {body:?}", record.id));
    }
    let mut expected = String::new();
    let before = record.goes_on.as_ref().map_or(0, |stream| stream.events);
    for number in before + 1..=EVENTS {
        expected.push_str(&format!("id: {number}\ndata: {} {number}\n\n", record.id));
    }
    let right = if *whole { *body == expected } else { expected.starts_with(body.as_str()) };
    (!right).then(|| format!("{}: got {body:?}", record.id))
}
