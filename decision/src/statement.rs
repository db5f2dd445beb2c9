//! What a backend server states about itself in its responses.
//!
//! A statement belongs to one incarnation of a server and is dropped when the server restarts. The
//! VM that receives it reports it to the others. docs/LIMITS.md, "Limits of servers", says how it
//! is used.

use std::time::Duration;

use crate::backend::{BackendState, BackendTable};
use crate::id::{MICROS_PER_MILLI, ServiceName, TimePoint};
use crate::subject::ServerStart;
use crate::value;

/// Interval at which a statement that servers repeat is reported to other VMs again.
const REPORT_INTERVAL_US: u64 = 1_000_000;
/// Interval at which it is reported again that a server leaves: requests sent to it by a VM that
/// missed a report may be cut.
const LEAVING_REPORT_INTERVAL_US: u64 = 250_000;
/// How long the end of a limit is reported to other VMs. One that misses it sends the server few
/// requests, and learns of it from the answers.
const REPORT_END_US: u64 = 5_000_000;
/// How long servers of a service count as bearing few refusals after one of them last said so. All
/// may be down meanwhile, and state nothing.
const REFUSALS_TTL_US: u64 = 30_000_000;
/// Refusals per second that servers are assumed to bear of which nothing is known yet.
const UNKNOWN_REFUSALS: f64 = 1.0;
/// Maximum number of statements in one report.
const MAX_REPORTED: usize = 16;

/// A value that a response may state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedValue<T> {
    /// The response does not state it.
    #[default]
    Absent,
    /// The response states it, but not readably: nothing is known.
    Unreadable,
    /// The stated value.
    Readable(T),
}

/// What one response states about the server that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerStatement {
    /// Requests per second that the server takes from all VMs together.
    pub limit_per_s: StatedValue<f64>,
    /// Refusals per second for want of room that the server bears; with more it fails.
    pub refusals_per_s: StatedValue<f64>,
    /// Whether the server leaves. It ends some seconds later, whatever it runs.
    pub leaving: StatedValue<bool>,
    /// How long the server wants no request from the VM to which it sent the response, a refusal.
    pub rest: StatedValue<Duration>,
}

/// The limit that a server last stated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    /// Requests per second over all VMs; `None` once the server no longer states a limit.
    pub per_s: Option<f64>,
    /// When the server stated it.
    pub at: TimePoint,
}

impl StatedLimit {
    /// Returns the limit as it is reported at `now`.
    fn reported(self, now: TimePoint) -> ReportedLimit {
        let age_ms = now.since(self.at) / MICROS_PER_MILLI;
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        ReportedLimit { per_s: self.per_s, age_ms }
    }
}

value! {
    /// What a server stated, as reported to other VMs.
    pub struct ReportedStatement {
        /// The server and its incarnation.
        pub start: ServerStart,
        /// Whether it leaves.
        pub leaving: bool,
        /// Its limit; `None` if the report says nothing about it.
        pub limit: Option<ReportedLimit>,
        /// The refusals that servers of its service bear; `None` if the report says nothing about
        /// them.
        #[serde(skip)]
        pub refusals: Option<ReportedRefusals>,
    }

    /// Refusals that servers of a service bear, as one of them stated.
    #[derive(Copy)]
    pub struct ReportedRefusals {
        /// Refusals per second for want of room.
        pub per_s: f64,
        /// Milliseconds since the server stated it.
        pub age_ms: u32,
    }

    /// A limit that a server stated, as reported to other VMs.
    #[derive(Copy)]
    pub struct ReportedLimit {
        /// Requests per second over all VMs; `None` once the server no longer states a limit.
        pub per_s: Option<f64>,
        /// Milliseconds since the server stated it.
        pub age_ms: u32,
    }
}

/// The latest statements of one incarnation of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeptStatements {
    /// `None` if it never stated one.
    pub(crate) limit: Option<StatedLimit>,
    /// When the limit changed last.
    limit_changed_at: TimePoint,
    /// The limit as this VM last reported it.
    reported_limit: Option<StatedLimit>,
    /// Refusals per second that it bears, as stated to this VM; `None` if it bears as many as come.
    pub(crate) refusals_per_s: Option<f64>,
    /// When it last served a request of this VM without a word about refusals.
    silent_at: TimePoint,
    /// Whether the limit was stated to this VM.
    own_limit: bool,
    /// Whether the server stated to this VM that it leaves.
    own_leaving: bool,
    /// Whether another VM reported that it leaves.
    told_leaving: bool,
    /// When this VM last reported that it leaves.
    reported_leaving_at: Option<TimePoint>,
}

/// What a statement changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementChange {
    /// The limit of the server.
    pub limit: bool,
    /// The server leaves, which was not known.
    pub leaving: bool,
    /// Servers of its service bear few refusals, which was not known.
    pub refusals: bool,
    /// A server of its service has answered, the first since this VM started.
    pub answered: bool,
}

/// The refusals that servers of a service bear.
///
/// All servers of a service state it at the same time, so that one that has restarted, and has
/// answered nothing yet, is known to bear as few.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRefusals {
    service: ServiceName,
    /// The server that stated it last.
    start: ServerStart,
    per_s: f64,
    at: TimePoint,
    /// Whether it was stated to this VM.
    own: bool,
    /// When this VM, or another one, last reported it.
    reported_at: Option<TimePoint>,
    /// When this VM last reported it as an aggregator.
    forwarded_at: Option<TimePoint>,
}

impl ServiceRefusals {
    /// Returns the report that is due.
    fn report(&mut self, all: bool, now: TimePoint) -> Option<ReportedStatement> {
        let last = if all { &mut self.forwarded_at } else { &mut self.reported_at };
        let due = last.is_none_or(|last| self.at.since(last) >= REPORT_INTERVAL_US);
        if !due || !(all || self.own) {
            return None;
        }
        *last = Some(self.at);
        let age_ms = u32::try_from(now.since(self.at) / MICROS_PER_MILLI).unwrap_or(u32::MAX);
        let refusals = Some(ReportedRefusals { per_s: self.per_s, age_ms });
        Some(ReportedStatement { start: self.start.clone(), leaving: false, limit: None, refusals })
    }
}

impl KeptStatements {
    /// Returns whether the limit changed.
    fn set_limit(&mut self, limit: StatedLimit, own: bool) -> bool {
        let before = self.limit;
        if before.is_some_and(|before| limit.at < before.at) {
            return false;
        }
        if before.is_none() && limit.per_s.is_none() {
            return false;
        }
        self.limit = Some(limit);
        self.own_limit = own;
        let changes = before.and_then(|before| before.per_s) != limit.per_s;
        if changes {
            self.limit_changed_at = limit.at;
        }
        changes
    }

    /// Returns the limit if it should be reported now.
    fn limit_to_report(&self, now: TimePoint) -> Option<StatedLimit> {
        let limit = self.limit?;
        if limit.per_s.is_none() && now.since(self.limit_changed_at) > REPORT_END_US {
            return None;
        }
        let due = self.reported_limit.is_none_or(|reported| {
            reported.per_s != limit.per_s || limit.at.since(reported.at) >= REPORT_INTERVAL_US
        });
        due.then_some(limit)
    }

    /// Returns whether it should be reported now that the server leaves.
    fn leaving_to_report(&self, all: bool, now: TimePoint) -> bool {
        let due = |at| now.since(at) >= LEAVING_REPORT_INTERVAL_US;
        (self.own_leaving || all && self.told_leaving) && self.reported_leaving_at.is_none_or(due)
    }
}

impl BackendTable {
    /// Records what a response of a server to this VM states about the server. Responses of another
    /// incarnation are ignored. `served` is false for a refusal or failure, which may leave
    /// out what other answers state.
    pub fn apply_statement(
        &mut self,
        start: &ServerStart,
        statement: &ServerStatement,
        served: bool,
        now: TimePoint,
    ) -> StatementChange {
        if self.of_start(start).is_none() {
            return StatementChange::default();
        }
        let answered = self.record_answered(start.server.as_str());
        let refusals = match statement.refusals_per_s {
            StatedValue::Readable(per_s) => self.set_refusals(start, per_s, true, now),
            StatedValue::Absent | StatedValue::Unreadable => false,
        };
        let Some(state) = self.of_start(start) else { return StatementChange::default() };
        let leaves = statement.leaving == StatedValue::Readable(true);
        state.stated.own_leaving |= leaves;
        let per_s = match statement.limit_per_s {
            StatedValue::Readable(per_s) => Some(Some(per_s)),
            StatedValue::Absent if served => Some(None),
            StatedValue::Absent | StatedValue::Unreadable => None,
        };
        let limit = per_s.map(|per_s| StatedLimit { per_s, at: now });
        match statement.refusals_per_s {
            StatedValue::Readable(per_s) => state.stated.refusals_per_s = Some(per_s),
            StatedValue::Absent if served => {
                state.stated.refusals_per_s = None;
                state.stated.silent_at = now;
            }
            StatedValue::Absent | StatedValue::Unreadable => {}
        }
        match statement.rest {
            _ if served => state.rest.served(now),
            StatedValue::Readable(rest) => state.rest.ask(rest, now),
            StatedValue::Absent | StatedValue::Unreadable => {}
        }
        StatementChange {
            limit: limit.is_some_and(|limit| state.stated.set_limit(limit, true)),
            leaving: leaves && state.leave(),
            refusals,
            answered,
        }
    }

    /// Records that a server of a server's service has answered, this VM or another one. Returns whether
    /// that was not known.
    pub fn record_answered(&mut self, server: &str) -> bool {
        let Some(state) = self.get(server) else { return false };
        let service = state.entry.service.clone();
        let found = self.answered.binary_search(&service);
        found.is_err_and(|at| {
            self.answered.insert(at, service);
            true
        })
    }

    /// Applies what another VM reported, except for a limit of which a later statement is known.
    pub fn apply_report(&mut self, report: &ReportedStatement, now: TimePoint) -> StatementChange {
        let refusals = report.refusals.is_some_and(|refusals| {
            let age_us = u64::from(refusals.age_ms) * MICROS_PER_MILLI;
            let at = TimePoint(now.0.saturating_sub(age_us));
            self.set_refusals(&report.start, refusals.per_s, false, at)
        });
        let Some(state) = self.of_start(&report.start) else {
            return StatementChange { refusals, ..StatementChange::default() };
        };
        state.stated.told_leaving |= report.leaving;
        let limit = report.limit.map(|limit| StatedLimit {
            per_s: limit.per_s,
            at: TimePoint(now.0.saturating_sub(u64::from(limit.age_ms) * MICROS_PER_MILLI)),
        });
        StatementChange {
            limit: limit.is_some_and(|limit| state.stated.set_limit(limit, false)),
            leaving: report.leaving && state.leave(),
            refusals,
            answered: false,
        }
    }

    /// Records the refusals that servers of a server's service bear. Returns whether none were known.
    fn set_refusals(&mut self, start: &ServerStart, per_s: f64, own: bool, at: TimePoint) -> bool {
        let Some(state) = self.get(start.server.as_str()) else { return false };
        let service = state.entry.service.clone();
        let index = match self.refusals.binary_search_by(|known| known.service.cmp(&service)) {
            Ok(index) => index,
            Err(index) => {
                let start = start.clone();
                let (reported_at, forwarded_at) = ((!own).then_some(at), None);
                let known =
                    ServiceRefusals { service, start, per_s, at, own, reported_at, forwarded_at };
                self.refusals.insert(index, known);
                return true;
            }
        };
        let known = &mut self.refusals[index];
        if at < known.at {
            return false;
        }
        let is_new = at.since(known.at) >= REFUSALS_TTL_US;
        (known.start, known.per_s, known.at) = (start.clone(), per_s, at);
        known.own = own || known.own && !is_new;
        if !own {
            known.reported_at = Some(at);
        }
        is_new
    }

    /// Returns how many refusals per second a server bears; `None` if it bears as many as come. Of a
    /// server that has stated nothing since, what others of its service stated holds.
    #[must_use]
    pub fn refusals_per_s(&self, server: &str, now: TimePoint) -> Option<f64> {
        self.refusals_of(self.get(server)?, now)
    }

    /// Returns the same for a known server.
    #[must_use]
    pub fn refusals_of(&self, state: &BackendState, now: TimePoint) -> Option<f64> {
        if let Some(per_s) = state.stated.refusals_per_s {
            return Some(per_s);
        }
        let service = &state.entry.service;
        let Ok(found) = self.refusals.binary_search_by(|known| known.service.cmp(service)) else {
            return (!self.knows_service(service)).then_some(UNKNOWN_REFUSALS);
        };
        let known = &self.refusals[found];
        let holds = now.since(known.at) < REFUSALS_TTL_US && state.stated.silent_at < known.at;
        holds.then_some(known.per_s)
    }

    /// Returns whether a server of a service has answered since this VM started, or another VM told what
    /// they state. Many VMs that start at once would else each send them what comes, before the first answer.
    #[must_use]
    pub fn knows_service(&self, service: &ServiceName) -> bool {
        self.answered.binary_search(service).is_ok()
            || self.refusals.binary_search_by(|known| known.service.cmp(service)).is_ok()
    }

    fn of_start(&mut self, start: &ServerStart) -> Option<&mut BackendState> {
        let state = self.get_mut(start.server.as_str())?;
        (state.entry.incarnation == start.incarnation).then_some(state)
    }

    /// Lets all statements be reported again, for a VM that has just started and knows none.
    pub fn report_again(&mut self) {
        for state in self.servers_mut() {
            state.stated.reported_limit = None;
            state.stated.reported_leaving_at = None;
        }
        for known in &mut self.refusals {
            (known.reported_at, known.forwarded_at) = (None, None);
        }
    }

    /// Returns the statements to report to other VMs now, and marks them as reported: those to this
    /// VM, or all for an aggregator.
    pub fn statements_to_report(&mut self, all: bool, now: TimePoint) -> Vec<ReportedStatement> {
        let refusals = self.refusals.iter_mut().filter_map(|known| known.report(all, now));
        let mut reports: Vec<ReportedStatement> = refusals.take(MAX_REPORTED).collect();
        let room = MAX_REPORTED - reports.len();
        let states = self.servers_mut().iter_mut().filter_map(|state| state.report(all, now));
        reports.extend(states.take(room));
        reports
    }
}

impl BackendState {
    /// Records that it leaves. Returns whether that was not known.
    fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Returns its limit as it is reported to one VM at `now`, without marking it as reported.
    #[must_use]
    pub fn limit_report(&self, now: TimePoint) -> ReportedStatement {
        let limit = self.stated.limit.map(|limit| limit.reported(now));
        let leaving = self.stated.own_leaving;
        ReportedStatement { start: self.start(), leaving, limit, refusals: None }
    }

    fn report(&mut self, all: bool, now: TimePoint) -> Option<ReportedStatement> {
        let stated = &mut self.stated;
        let limit = stated.limit_to_report(now).filter(|_| all || stated.own_limit);
        let leaving = stated.leaving_to_report(all, now);
        if limit.is_none() && !leaving {
            return None;
        }
        if leaving {
            stated.reported_leaving_at = Some(now);
        }
        let limit = limit.map(|limit| {
            stated.reported_limit = Some(limit);
            limit.reported(now)
        });
        Some(ReportedStatement { start: self.start(), leaving, limit, refusals: None })
    }

    /// Returns its present incarnation.
    #[must_use]
    pub fn start(&self) -> ServerStart {
        ServerStart { server: self.entry.server.clone(), incarnation: self.entry.incarnation }
    }
}
