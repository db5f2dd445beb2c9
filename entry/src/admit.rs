//! Admission: the checks that a request passes before any part of it runs.

use std::sync::Arc;

use coltsfoothook_caller::CallProblem;
use coltsfoothook_decision::id::CustomerName;
use coltsfoothook_decision::outcome::{RefusalReason, RequestClass};

use crate::claims::{KeyedRequest, RunningKey, begin_key};
use crate::core::EntryCore;
use crate::gate::GatePass;

/// Retry delay returned by a VM that shuts down or is full; short, since another VM can take the
/// request.
const OTHER_VM_RETRY_MS: u64 = 100;
/// Retry delay returned by a VM that is not ready.
const NOT_READY_RETRY_MS: u64 = 1_000;
/// Retry delay returned when the right to run a keyed request was not obtained.
const CLAIM_RETRY_MS: u64 = 1_000;

/// Admits a request or refuses it with a reason, and counts refusals. No part of a refused request
/// has run.
pub(crate) fn admit(
    core: &Arc<EntryCore>,
    tenant: &CustomerName,
    class: RequestClass,
) -> Result<GatePass, CallProblem> {
    let admitted = check_admission(core, tenant);
    admitted.map_err(|(reason, retry_ms, detail)| {
        core.metrics.set.count_refusal(class, reason);
        CallProblem::refused(reason, retry_ms, detail)
    })
}

fn check_admission(
    core: &Arc<EntryCore>,
    tenant: &CustomerName,
) -> Result<GatePass, (RefusalReason, u64, &'static str)> {
    let pass = core.gate.enter().map_err(|reason| {
        let detail = match reason {
            RefusalReason::Leaving => "this VM shuts down",
            _ => "this VM has too many requests in progress",
        };
        (reason, OTHER_VM_RETRY_MS, detail)
    })?;
    core.ready().map_err(|why| (RefusalReason::NotReady, NOT_READY_RETRY_MS, why))?;
    core.limits.admit(core.clock.now(), tenant.as_str()).map_err(|refusal| {
        let detail = "the tenant is over its rate";
        (RefusalReason::TenantLimit, refusal.retry_after_ms, detail)
    })?;
    Ok(pass)
}

/// Claims the idempotency key of a request that must run at most once.
pub(crate) async fn claim(
    core: &Arc<EntryCore>,
    request: &KeyedRequest<'_>,
) -> Result<RunningKey, CallProblem> {
    begin_key(core, request).await.map_err(|answer| {
        let detail = "the idempotency key cannot be run here";
        let mut problem = CallProblem::refused(answer.reason, CLAIM_RETRY_MS, detail);
        problem.outcome = answer.outcome;
        problem
    })
}
