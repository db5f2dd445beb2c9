//! The steps of recent requests, for `explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use coltsfoothook_decision::id::{RequestId, TimePoint};
use coltsfoothook_decision::message::{ExplainStep, StepKind};

use crate::clock::millis;
use crate::held::lock;

/// Requests that are remembered; a few kilobytes each at the most.
const KEPT_REQUESTS: usize = 2_000;
/// Steps kept of one request; retries are bounded, so this is seldom reached.
const KEPT_STEPS: usize = 48;

/// Steps of the newest requests, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RequestTraces {
    traces: Mutex<VecDeque<RequestTrace>>,
}

#[derive(Debug)]
struct RequestTrace {
    id: RequestId,
    begun: TimePoint,
    steps: Vec<ExplainStep>,
}

impl RequestTraces {
    /// Begins the trace of a request and forgets the oldest if there are too many.
    pub(crate) fn begin(&self, id: &RequestId, now: TimePoint, detail: String) {
        let step = ExplainStep { at_ms: 0, kind: StepKind::Arrived, detail };
        let trace = RequestTrace { id: id.clone(), begun: now, steps: vec![step] };
        let mut traces = lock(&self.traces);
        if traces.len() == KEPT_REQUESTS {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Adds a step; a request that was forgotten is left alone.
    pub(crate) fn step(&self, id: &RequestId, now: TimePoint, kind: StepKind, detail: String) {
        let mut traces = lock(&self.traces);
        // Live requests are young, so they stand near the end.
        let Some(trace) = traces.iter_mut().rev().find(|trace| trace.id == *id) else { return };
        if trace.steps.len() < KEPT_STEPS {
            let at_ms = millis(now.since(trace.begun));
            trace.steps.push(ExplainStep { at_ms, kind, detail });
        }
    }

    /// The steps of a request; empty if it is not remembered.
    pub(crate) fn steps(&self, id: &str) -> Vec<ExplainStep> {
        let traces = lock(&self.traces);
        let found = traces.iter().rev().find(|trace| trace.id.as_str() == id);
        found.map(|trace| trace.steps.clone()).unwrap_or_default()
    }
}
