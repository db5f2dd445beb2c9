//! What a backend server states about itself in its responses.
//!
//! A statement belongs to one incarnation of a server and is dropped when the server restarts. The
//! VM that receives it reports it to the others. docs/LIMITS.md, "Limits of servers", says how it
//! is used.

use std::time::Duration;

use crate::backend::BackendTable;
use crate::id::{MICROS_PER_MILLI, TimePoint};
use crate::subject::ServerStart;
use crate::value;

/// Interval at which a statement that servers repeat is reported to other VMs again.
const REPORT_INTERVAL_US: u64 = 1_000_000;
/// How long the end of a limit is reported to other VMs. One that misses it sends the server few
/// requests, and learns of it from the answers.
const REPORT_END_US: u64 = 5_000_000;
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

value! {
    /// A limit that a server stated, as reported to other VMs.
    pub struct ReportedLimit {
        /// The server and its incarnation.
        pub start: ServerStart,
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
    /// Whether the limit was stated to this VM.
    own: bool,
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
        self.own = own;
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
}

impl BackendTable {
    /// Records what a response of a server to this VM states about the server. Responses of another
    /// incarnation are ignored. `served` is false for a refusal, which may leave out what answers
    /// state. Returns whether the limit changed.
    pub fn apply_statement(
        &mut self,
        start: &ServerStart,
        statement: &ServerStatement,
        served: bool,
        now: TimePoint,
    ) -> bool {
        let per_s = match statement.limit_per_s {
            StatedValue::Readable(per_s) => Some(per_s),
            StatedValue::Absent if served => None,
            StatedValue::Absent | StatedValue::Unreadable => return false,
        };
        self.set_limit(start, StatedLimit { per_s, at: now }, true)
    }

    /// Applies a limit that another VM reported, unless a later statement is known. Returns whether
    /// the limit changed.
    pub fn apply_reported_limit(&mut self, reported: &ReportedLimit, now: TimePoint) -> bool {
        let at = TimePoint(now.0.saturating_sub(u64::from(reported.age_ms) * MICROS_PER_MILLI));
        self.set_limit(&reported.start, StatedLimit { per_s: reported.per_s, at }, false)
    }

    fn set_limit(&mut self, start: &ServerStart, limit: StatedLimit, own: bool) -> bool {
        let Some(state) = self.get_mut(start.server.as_str()) else { return false };
        state.entry.incarnation == start.incarnation && state.stated.set_limit(limit, own)
    }

    /// Returns the limits to report to other VMs now, and marks them as reported: those that were
    /// stated to this VM, or all for an aggregator.
    pub fn limits_to_report(&mut self, all: bool, now: TimePoint) -> Vec<ReportedLimit> {
        let mut reported = Vec::new();
        for state in self.servers_mut() {
            if reported.len() == MAX_REPORTED {
                break;
            }
            let Some(limit) = state.stated.limit_to_report(now) else { continue };
            if !all && !state.stated.own {
                continue;
            }
            state.stated.reported_limit = Some(limit);
            let start = ServerStart {
                server: state.entry.server.clone(),
                incarnation: state.entry.incarnation,
            };
            let age_ms = now.since(limit.at) / MICROS_PER_MILLI;
            let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
            reported.push(ReportedLimit { start, per_s: limit.per_s, age_ms });
        }
        reported
    }
}
