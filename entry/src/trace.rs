//! Traces of recent requests, for the operator call `explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use coltsfoothook_decision::id::{RequestId, TimePoint};
use coltsfoothook_decision::message::{ExplainStep, StepKind};

use crate::clock::millis;
use crate::held::lock;

/// Maximum number of requests with a trace, of a few kilobytes each.
const MAX_TRACES: usize = 2_000;
/// Maximum number of steps of one request; further ones are dropped. Retries are bounded, so this
/// is seldom reached.
const MAX_STEPS: usize = 48;

/// Traces of the newest requests, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RequestTraces {
    traces: Mutex<VecDeque<RequestTrace>>,
}

#[derive(Debug)]
struct RequestTrace {
    id: RequestId,
    started_at: TimePoint,
    steps: Vec<ExplainStep>,
}

impl RequestTraces {
    /// Begins the trace of a request and removes the oldest one if there are too many.
    pub(crate) fn begin(&self, id: &RequestId, now: TimePoint, detail: String) {
        let step = ExplainStep { at_ms: 0, kind: StepKind::Arrived, detail };
        let trace = RequestTrace { id: id.clone(), started_at: now, steps: vec![step] };
        let mut traces = lock(&self.traces);
        if traces.len() == MAX_TRACES {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Adds a step to a request's trace, if it still exists.
    pub(crate) fn step(&self, id: &RequestId, now: TimePoint, kind: StepKind, detail: String) {
        let mut traces = lock(&self.traces);
        // Searched from the end, where the requests in progress are.
        let Some(trace) = traces.iter_mut().rev().find(|trace| trace.id == *id) else { return };
        if trace.steps.len() < MAX_STEPS {
            let at_ms = millis(now.since(trace.started_at));
            trace.steps.push(ExplainStep { at_ms, kind, detail });
        }
    }

    /// Returns the steps of a request; empty if it has no trace.
    pub(crate) fn steps(&self, id: &str) -> Vec<ExplainStep> {
        let traces = lock(&self.traces);
        let found = traces.iter().rev().find(|trace| trace.id.as_str() == id);
        found.map(|trace| trace.steps.clone()).unwrap_or_default()
    }
}
