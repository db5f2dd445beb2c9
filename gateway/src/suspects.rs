//! Finds out whether servers crashed, and holds back requests that crashed them or have parts that did.
//!
//! The decisions are made in [`coltsfoothook_decision::crash`].

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::crash::{CrashChange, CrashReport, QuarantinedSubject};
use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::routing::BackendEntry;
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_decision::suspect::CrashSubject;
use coltsfoothook_exchange::BodyFraming;
use coltsfoothook_telemetry::event;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::crash_records;
use crate::message::PeerMessage;
use crate::run::RequestRun;
use crate::state::{Gateway, SystemView};

/// How long after a run broke the server is checked: the other runs of a crashed server break within
/// it.
const CHECK_DELAY: Duration = Duration::from_millis(30);
/// How long the end of an answer waits to learn whether its server is down. One that crashed refuses at once.
const MAX_PROBE_TIME: Duration = Duration::from_millis(100);
/// How long after a crash runs that break are counted with it, in microseconds. Answers that were on
/// their way to a slow VM are read that late.
const SAME_CRASH_US: u64 = 1_000_000;
/// How long after a run broke at a server that accepts connections a new start of it shows that it crashed, in
/// microseconds: until the entry of the new start is read.
const SUCCESSOR_US: u64 = 3_000_000;
/// Maximum number of such servers.
const MAX_LISTENING: usize = 64;
/// Maximum number of runs that are kept until it is known whether their server crashed.
const MAX_UNCONFIRMED: usize = 256;
/// How long before a crash an answer that ended with its connection may have been cut by it, in microseconds.
const CUT_BEFORE_US: u64 = 150_000;
/// Reasons in the log and in metrics of refusals, as the request or a part of its prompt crashed servers.
const REQUEST_REASON: &str = "condemned";
const PART_REASON: &str = "part_quarantined";
/// Interval at which crashes are reported to other VMs, if there is anything to report.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Runs that broke at servers which may have crashed, by server incarnation.
#[derive(Debug, Default)]
pub(crate) struct BrokenRuns {
    servers: Vec<BrokenServer>,
    /// Servers that accepted a connection after runs broke there.
    listening: Vec<ListeningServer>,
    /// Runs whose answers ended with their connections, as they also do in a crash between two events.
    unconfirmed: Vec<UnconfirmedRun>,
}

/// A run that is complete if its server answers a later request.
#[derive(Debug)]
struct UnconfirmedRun {
    start: ServerStart,
    at: TimePoint,
    subjects: Vec<CrashSubject>,
}

/// A server at which runs broke and whose address accepts connections: it may have been restarted since.
#[derive(Debug)]
struct ListeningServer {
    start: ServerStart,
    address: SocketAddr,
    at: TimePoint,
    /// How many runs broke, and what they may have in common.
    broken: usize,
    subjects: Vec<CrashSubject>,
}

/// A server at which runs broke.
#[derive(Debug)]
struct BrokenServer {
    start: ServerStart,
    /// When the first of the runs broke.
    at: TimePoint,
    /// How many, and what they may have in common.
    broken: usize,
    subjects: Vec<CrashSubject>,
    /// Whether the check showed that the server crashed; `None` before its result.
    crashed: Option<bool>,
}

impl BrokenRuns {
    /// Adds a run. Returns the server if it is the first one there, or if the server is known to have
    /// crashed.
    fn add(
        &mut self,
        start: ServerStart,
        subjects: &[CrashSubject],
        now: TimePoint,
    ) -> Option<&mut BrokenServer> {
        self.servers.retain(|broken| now.since(broken.at) < SAME_CRASH_US);
        if let Some(at) = self.servers.iter().position(|broken| broken.start == start) {
            let broken = &mut self.servers[at];
            broken.broken += 1;
            broken.subjects.extend_from_slice(subjects);
            return (broken.crashed == Some(true)).then_some(broken);
        }
        let subjects = subjects.to_vec();
        self.servers.push(BrokenServer { start, at: now, broken: 1, subjects, crashed: None });
        self.servers.last_mut()
    }

    fn add_unconfirmed(&mut self, run: UnconfirmedRun) {
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed.push(run);
    }

    /// Returns the subjects of the runs that a server completed before `sent`, as it answered a request sent then.
    fn take_confirmed(&mut self, start: &ServerStart, sent: TimePoint) -> Vec<CrashSubject> {
        let is_confirmed = |run: &mut UnconfirmedRun| run.start == *start && run.at < sent;
        self.unconfirmed.extract_if(.., is_confirmed).flat_map(|run| run.subjects).collect()
    }

    /// Drops the unconfirmed runs at a server that crashed, and counts those that it may have cut.
    fn cut_unconfirmed(&mut self, start: &ServerStart) {
        let Some(broken) = self.servers.iter_mut().find(|broken| broken.start == *start) else {
            return;
        };
        for run in self.unconfirmed.extract_if(.., |run| run.start == *start) {
            if run.at.plus(CUT_BEFORE_US) > broken.at {
                broken.broken += 1;
                broken.subjects.extend(run.subjects);
            }
        }
    }

    fn add_listening(&mut self, server: ListeningServer, now: TimePoint) {
        self.listening.retain(|known| now.since(known.at) < SUCCESSOR_US);
        if self.listening.len() < MAX_LISTENING {
            self.listening.push(server);
        }
    }

    /// Returns the server whose runs broke before this one started in its place, if there is one.
    fn take_predecessor(
        &mut self,
        entry: &BackendEntry,
        now: TimePoint,
    ) -> Option<ListeningServer> {
        let (server, incarnation) = (&entry.server, entry.incarnation);
        let at = self.listening.iter().position(|known| {
            let same_name = known.start.server == *server;
            now.since(known.at) < SUCCESSOR_US
                && if same_name {
                    known.start.incarnation < incarnation
                } else {
                    known.address == entry.address
                }
        })?;
        Some(self.listening.swap_remove(at))
    }

    fn find(&mut self, start: &ServerStart) -> Option<&mut BrokenServer> {
        self.servers.iter_mut().find(|broken| broken.start == *start)
    }
}

/// Records that the connection of a run ended before its answer. Unless the server accepts
/// connections, it has crashed.
pub(crate) fn run_broken(run: &RequestRun) {
    let Some(server) = &run.server else { return };
    let gateway = &run.gateway;
    let now = clock::now();
    let start = ServerStart { server: server.clone(), incarnation: run.incarnation };
    let mut view = gateway.view();
    let Some(state) = view.backends.get(server.as_str()) else { return };
    let address = state.entry.address;
    let subjects = &run.request.subjects;
    let Some(broken) = view.broken.add(start.clone(), subjects, now) else { return };
    if broken.crashed == Some(true) {
        let at = broken.at;
        let change = view.crashes.record_crash(&start, at, subjects, now);
        drop(view);
        log_change(gateway, &change);
        return;
    }
    drop(view);
    tokio::spawn(check(Arc::clone(gateway), start, address));
}

/// Returns whether the server of a run refuses connections shortly after it ended the answer. One that leaves may end
/// right after a whole answer, unless the time of its notice is over: it is then gone whatever it runs.
pub(crate) async fn server_is_down(run: &RequestRun) -> bool {
    let gateway = &run.gateway;
    let address = run.server.as_ref().and_then(|server| {
        let view = gateway.view();
        let state = view.backends.get(server.as_str())?;
        let may_end_well = state.leaving && !state.notice_is_over(clock::now());
        (!may_end_well).then_some(state.entry.address)
    });
    let Some(address) = address else { return false };
    sleep(CHECK_DELAY).await;
    let connected = timeout(MAX_PROBE_TIME, gateway.client.probe(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Checks whether a server at which a run broke refuses connections, and records the crash if so.
async fn check(gateway: Arc<Gateway>, start: ServerStart, address: SocketAddr) {
    sleep(CHECK_DELAY).await;
    let connected = gateway.client.probe(address).await;
    let refused = matches!(&connected, Err(error) if error.kind() == ErrorKind::ConnectionRefused);
    let now = clock::now();
    let mut view = gateway.view();
    view.broken.cut_unconfirmed(&start);
    let Some(broken) = view.broken.find(&start) else { return };
    broken.crashed = Some(refused);
    let (at, broken, subjects) = (broken.at, broken.broken, broken.subjects.clone());
    let leaves = view.backends.get(start.server.as_str()).is_some_and(|state| state.leaving);
    let change = if refused {
        view.crashes.record_crash(&start, at, &subjects, now)
    } else {
        CrashChange::default()
    };
    if connected.is_ok() && !leaves {
        let start = start.clone();
        let listening = ListeningServer { start, address, at, broken, subjects };
        view.broken.add_listening(listening, now);
    }
    drop(view);
    event!(
        ServerChecked,
        server = start.server,
        born = start.incarnation,
        crashed = refused,
        broken = broken,
        after_ms = now.since(at) / 1_000,
    );
    gateway.metrics.crash_check(refused);
    log_change(&gateway, &change);
    report(&gateway);
}

impl SystemView {
    /// Records that a server restarted under its name, by its entry, its report, or what another VM told.
    pub(crate) fn server_restarted(&mut self, server: &ServerName, now: TimePoint) {
        let Some(state) = self.backends.get(server.as_str()) else { return };
        let (start, entry) = (state.start(), state.entry.clone());
        // Other VMs still count the requests of this VM to the former start.
        self.load_changed(server);
        log_verdicts(&self.crashes.record_start(&start, now));
        self.server_started(&entry, now);
    }

    /// Records that a server started. One at which runs broke in its place crashed, although its address accepted connections
    /// again before it was checked.
    pub(crate) fn server_started(&mut self, entry: &BackendEntry, now: TimePoint) {
        let Some(former) = self.broken.take_predecessor(entry, now) else { return };
        let change = self.crashes.record_crash(&former.start, former.at, &former.subjects, now);
        event!(
            ServerChecked,
            server = former.start.server,
            born = former.start.incarnation,
            crashed = true,
            broken = former.broken,
            after_ms = now.since(former.at) / 1_000,
        );
        log_verdicts(&change);
    }
}

/// Records that the server answered a request that was sent at `sent`.
pub(crate) fn server_answered(run: &RequestRun, sent: TimePoint) {
    let Some(server) = &run.server else { return };
    let start = ServerStart { server: server.clone(), incarnation: run.incarnation };
    let now = clock::now();
    let mut view = run.gateway.view();
    let change = view.crashes.record_answer(&start, sent, now);
    let confirmed = view.broken.take_confirmed(&start, sent);
    let completed = view.crashes.record_completion(&confirmed, now);
    drop(view);
    log_change(&run.gateway, &change);
    log_change(&run.gateway, &completed);
}

/// Records that a server ran the request to its end. Where only the connection's end shows that, a crash may have cut the
/// answer between two events, so that it counts once the server answers a later request.
pub(crate) fn run_completed(run: &RequestRun) {
    let now = clock::now();
    let mut view = run.gateway.view();
    let subjects = &run.request.subjects;
    if let Some(server) = &run.server
        && run.framing == BodyFraming::Connection
    {
        let start = ServerStart { server: server.clone(), incarnation: run.incarnation };
        let subjects = subjects.clone();
        view.broken.add_unconfirmed(UnconfirmedRun { start, at: now, subjects });
        return;
    }
    let change = view.crashes.record_completion(subjects, now);
    drop(view);
    log_change(&run.gateway, &change);
}

/// Returns why the request may not be sent, if it or a part of its prompt crashed servers. The time after which it may be
/// is then set in `run.retry_after`.
pub(crate) fn held(run: &mut RequestRun) -> Option<&'static str> {
    let gateway = Arc::clone(&run.gateway);
    let now = clock::now();
    let mut view = gateway.view();
    let quarantined = view.crashes.quarantined(&run.request.subjects);
    let subject = *quarantined.first()?;
    let vms = view.vm_count(now);
    let rank = view.roster.trial_rank(&gateway.settings.vm, subject, now);
    let until = if run.on_trial && run.sends == 0 {
        // It waited for a server since it got its turn, and another VM's trial may have begun.
        view.crashes.hold_end(&quarantined).filter(|end| *end > now)
    } else {
        view.crashes.admit(&quarantined, |_| rank, vms, now)
    };
    drop(view);
    if let Some(until) = until {
        run.retry_after = Some(Duration::from_micros(until.since(now)));
        return Some(if subject.is_part() { PART_REASON } else { REQUEST_REASON });
    }
    run.on_trial = true;
    None
}

/// Returns whether the request or a part of its prompt crashed servers. A stream that was broken off does not go on then:
/// its trial is over.
pub(crate) fn is_quarantined(run: &RequestRun) -> bool {
    !run.gateway.view().crashes.quarantined(&run.request.subjects).is_empty()
}

/// Applies what another VM reported.
pub(crate) fn apply_report(gateway: &Gateway, report: &CrashReport) {
    let mut view = gateway.view();
    let change = view.crashes.apply(report, clock::now());
    let has_news = view.crashes.take_news();
    drop(view);
    log_change(gateway, &change);
    if has_news {
        gateway.crashes_found.notify_one();
    }
}

/// Runs for ever, reporting crashes to the other VMs.
pub(crate) async fn report_crashes(gateway: Arc<Gateway>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let change = gateway.view().crashes.review(clock::now());
        log_change(&gateway, &change);
        report(&gateway);
    }
}

/// Reports what is due: to all VMs, in a large fleet to the aggregator, which passes it on, and news also to the writers of
/// the store's records.
pub(crate) fn report(gateway: &Gateway) {
    let now = clock::now();
    let mut guard = gateway.view();
    let view = &mut *guard;
    let has_news = view.crashes.take_news();
    if has_news {
        gateway.crashes_found.notify_one();
    }
    let backends = &view.backends;
    view.crashes.keep_answered(|start| {
        backends.is_current_incarnation(start.server.as_str(), start.incarnation)
    });
    let large = view.roster.is_large(now);
    let to = match view.own_aggregator(&gateway.settings, now) {
        _ if !large => view.roster.live(now),
        Some(aggregator) => {
            let writers = if has_news { crash_records::WRITERS } else { 0 };
            let mut to = view.roster.readers(writers, now);
            to.push(aggregator);
            to.sort_unstable();
            to.dedup();
            to
        }
        None => {
            let mut to = view.roster.in_domain(&gateway.settings.domain, now);
            to.extend(view.roster.aggregators(now));
            to
        }
    };
    if to.is_empty() {
        return;
    }
    let report = view.crashes.take_report(large && view.domain.role.aggregates(), now);
    drop(guard);
    if !report.is_empty() {
        gateway.peers.send(&PeerMessage::Crashes(report), &to);
    }
}

/// Logs what changed in the ledger of crashes, and sets its metrics.
pub(crate) fn log_change(gateway: &Gateway, change: &CrashChange) {
    log_verdicts(change);
    if change.changed {
        let counts = gateway.view().crashes.counts();
        gateway.metrics.set("suspects", counts.suspects);
        gateway.metrics.set("condemned_requests", counts.quarantined);
        gateway.metrics.set("suspect_parts", counts.suspect_parts);
        gateway.metrics.set("quarantined_parts", counts.quarantined_parts);
    }
}

fn log_verdicts(change: &CrashChange) {
    for QuarantinedSubject { subject, crashes, alone } in &change.quarantined {
        if subject.is_part() {
            event!(PartQuarantined, part = subject, crashes = crashes, alone = alone);
        } else {
            event!(RequestCondemned, fingerprint = subject, crashes = crashes, alone = alone);
        }
    }
    for subject in &change.cleared {
        if subject.is_part() {
            event!(PartReleased, part = subject);
        } else {
            event!(SuspicionCleared, fingerprint = subject);
        }
    }
}
