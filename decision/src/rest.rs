//! Rest of a backend server: the time for which it wants no request from this VM.

use std::time::Duration;

use crate::id::TimePoint;

/// How long the first request after a rest is the only one, unless it is answered sooner. If the
/// server is still full, the requests that would have come with it are spared a refusal.
const PROBE_US: u64 = 300_000;

/// The rest that a server asked for when it refused a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerRest {
    /// End of the rest; `None` if it asked for none, or has served a request since.
    until: Option<TimePoint>,
    /// Until when the first request after the rest is awaited.
    probed_until: TimePoint,
}

impl ServerRest {
    /// Records a refusal that asks for a rest. It never shortens one that was asked for before.
    pub(crate) fn ask(&mut self, rest: Duration, now: TimePoint) {
        let rest_us = rest.as_micros().try_into().unwrap_or(u64::MAX);
        self.until = self.until.max(Some(now.plus(rest_us)));
    }

    /// Records that a request is sent.
    pub(crate) fn sent(&mut self, now: TimePoint) {
        if self.until.is_some_and(|until| now >= until) {
            self.probed_until = now.plus(PROBE_US);
        }
    }

    /// Records an answer. During the rest it is one to a request that was sent before.
    pub(crate) fn served(&mut self, now: TimePoint) {
        if self.until.is_some_and(|until| now >= until) {
            *self = Self::default();
        }
    }

    /// Returns the time until the server may get a request; zero if it may get one now.
    pub(crate) fn wait(&self, now: TimePoint) -> Duration {
        let Some(until) = self.until else { return Duration::ZERO };
        Duration::from_micros(until.max(self.probed_until).since(now))
    }
}
