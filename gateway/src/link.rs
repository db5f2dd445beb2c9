//! Whether the platform's store answers, by kind of call.

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
    /// For the operators' records.
    Operators,
    /// For the servers' entries.
    Servers,
    /// To the group that orders servers.
    Group,
}

impl StoreCall {
    pub(crate) const ALL: [Self; 3] = [Self::Operators, Self::Servers, Self::Group];

    /// Its name in logs and metrics.
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
    /// How long ago that was; none before the first answer.
    pub(crate) fn age(&self, call: StoreCall, now: TimePoint) -> Option<Duration> {
        self.at[call as usize].map(|at| Duration::from_micros(now.since(at)))
    }

    /// When it last answered a call of any kind; the beginning of time before the first answer.
    pub(crate) fn last(&self) -> TimePoint {
        self.at.iter().flatten().copied().max().unwrap_or_default()
    }

    fn answered(&mut self, call: StoreCall, now: TimePoint) {
        self.at[call as usize] = Some(now);
    }
}

/// Whether the store answered one task's last call, for the log.
pub(crate) struct StoreLink {
    call: StoreCall,
    down_since: Option<TimePoint>,
}

impl StoreLink {
    pub(crate) fn new(call: StoreCall) -> Self {
        Self { call, down_since: None }
    }

    /// The store answered; true if it had been away.
    pub(crate) fn good(&mut self, gateway: &Gateway) -> bool {
        gateway.metrics.store_call(self.call.name(), "ok");
        let now = clock::now();
        let mut beliefs = gateway.beliefs();
        beliefs.answers.answered(self.call, now);
        drop(beliefs);
        let Some(since) = self.down_since.take() else { return false };
        event!(LogUp, topic = self.call.name(), away_ms = now.since(since) / 1_000);
        true
    }

    /// The store did not answer, or refused the call.
    pub(crate) fn bad(&mut self, gateway: &Gateway, error: &MetadataError) {
        gateway.metrics.store_call(self.call.name(), "failed");
        if self.down_since.is_none() {
            event!(LogDown, topic = self.call.name(), cause = error);
            self.down_since = Some(clock::now());
        }
    }
}
