//! Record of whether the platform's store answers, by kind of call.

use std::time::Duration;

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_platform::MetadataError;
use coltsfoothook_telemetry::event;

use crate::clock;
use crate::state::Gateway;

/// A kind of call to the store. Each has its own task, and one may go unanswered while others are
/// answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// Reads of the operators' records.
    Operators,
    /// Reads of the servers' entries.
    Servers,
    /// Calls for the group that orders servers.
    Group,
}

impl StoreCall {
    pub(crate) const ALL: [Self; 3] = [Self::Operators, Self::Servers, Self::Group];

    /// Returns the name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Servers => "servers",
            Self::Group => "group",
        }
    }
}

/// When the store last answered a call of each kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTimes {
    at: [Option<TimePoint>; StoreCall::ALL.len()],
}

impl AnswerTimes {
    /// Returns the time since the last answer to a kind of call, `None` before the first.
    pub(crate) fn age(&self, call: StoreCall, now: TimePoint) -> Option<Duration> {
        self.at[call as usize].map(|at| Duration::from_micros(now.since(at)))
    }

    /// Returns the time of the last answer to a call of any kind, zero before the first.
    pub(crate) fn last(&self) -> TimePoint {
        self.at.iter().flatten().copied().max().unwrap_or_default()
    }

    fn answered(&mut self, call: StoreCall, now: TimePoint) {
        self.at[call as usize] = Some(now);
    }
}

/// Tracks whether the store answered one task's last call, and logs changes.
pub(crate) struct StoreLink {
    call: StoreCall,
    down_since: Option<TimePoint>,
    /// The era of the store in its last answer.
    era: Option<u32>,
}

impl StoreLink {
    pub(crate) fn new(call: StoreCall) -> Self {
        Self { call, down_since: None, era: None }
    }

    /// Records an answer of the store in an era. Returns whether the previous call had failed.
    pub(crate) fn record_answer(&mut self, gateway: &Gateway, era: u32) -> bool {
        gateway.metrics.store_call(self.call.name(), "ok");
        let now = clock::now();
        let mut view = gateway.view();
        view.answers.answered(self.call, now);
        view.store_era = view.store_era.max(era);
        drop(view);
        let before = self.era.replace(era);
        if let Some(before) = before.filter(|before| *before != era) {
            event!(LogRestored, topic = self.call.name(), era = era, before = before);
            // What was recorded since the copy was made is lost.
            gateway.crashes_found.notify_one();
        }
        let Some(since) = self.down_since.take() else { return false };
        event!(LogUp, topic = self.call.name(), era = era, away_ms = now.since(since) / 1_000);
        true
    }

    /// Records a call that failed or was refused.
    pub(crate) fn record_failure(&mut self, gateway: &Gateway, error: &MetadataError) {
        gateway.metrics.store_call(self.call.name(), "failed");
        if self.down_since.is_none() {
            event!(LogDown, topic = self.call.name(), cause = error);
            self.down_since = Some(clock::now());
        }
    }
}
