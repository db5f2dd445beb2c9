//! Claims of requests that may run at most once: connects the claim table to the log and to the
//! requests that wait for a claim.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::claim::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ClaimStart, ClaimTable,
};
use coltsfoothook_decision::id::{
    CustomerName, IdempotencyKey, MICROS_PER_MILLI, RequestFingerprint, TimePoint, VmIdentity,
};
use coltsfoothook_decision::message::RevokeCall;
use coltsfoothook_decision::outcome::{RefusalReason, RequestOutcome};
use coltsfoothook_decision::record::ClaimRecord;
use coltsfoothook_telemetry::ClaimResult;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::clock::wall_ms;
use crate::core::{ClaimWaiter, EntryCore};
use crate::held::lock;

/// Maximum time until a claim is read back, unless the request has a shorter deadline.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of one append of claims; the table appends claims again that were not read back.
const APPEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request that another VM revoke its hold on a key.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest sleep of the append loop; a new claim wakes it.
const MAX_IDLE_SLEEP: Duration = Duration::from_secs(1);

/// A key whose request runs on this VM; dropping it without [`RunningKey::end`] leaves the outcome
/// unknown.
pub(crate) struct RunningKey {
    core: Arc<EntryCore>,
    tenant: CustomerName,
    key: IdempotencyKey,
    outcome: RequestOutcome,
}

impl RunningKey {
    /// Records the request's outcome, which is returned for a resend with the same key.
    pub(crate) fn end(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunningKey {
    fn drop(&mut self) {
        let mut claims = lock(&self.core.claims);
        claims.end(self.tenant.as_str(), self.key.as_str(), self.outcome);
    }
}

/// A request with an idempotency key.
pub(crate) struct KeyedRequest<'a> {
    pub(crate) tenant: &'a CustomerName,
    pub(crate) key: &'a IdempotencyKey,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) first_try: bool,
    /// Time left until the request's deadline; `None` without one.
    pub(crate) within: Option<Duration>,
}

/// Claims a key, or returns why it may not run here and its outcome so far.
pub(crate) async fn begin_key(
    core: &Arc<EntryCore>,
    request: &KeyedRequest<'_>,
) -> Result<RunningKey, ClaimAnswer> {
    let now = core.clock.now();
    let claim_request = ClaimRequest {
        tenant: request.tenant.as_str(),
        key: request.key.as_str(),
        fingerprint: request.fingerprint,
        first_try: request.first_try,
        wall_ms: wall_ms(),
        log_up: core.health.writable(now),
    };
    // The waiter is registered under the claim table's lock, so that it exists before the claim
    // can be read back.
    let (start, answered) = {
        let mut claims = lock(&core.claims);
        let start = claims.begin(now, &claim_request);
        let answered = (start == ClaimStart::Claiming).then(|| add_waiter(core, request));
        (start, answered)
    };
    let issued = answered.is_none();
    let start = match answered {
        Some(answered) => {
            core.claim_added.notify_one();
            await_claim(core, request, answered).await
        }
        None => Ok(start),
    };
    core.metrics.set.count_claim(claim_label(&start, issued));
    resolve_start(core, request, start?).await
}

/// Returns the metrics label of a claim's end. `issued` keys run without a claim in the log.
fn claim_label(start: &Result<ClaimStart, ClaimAnswer>, issued: bool) -> ClaimResult {
    match start {
        Ok(ClaimStart::Run) if issued => ClaimResult::Issued,
        Ok(ClaimStart::Run) => ClaimResult::Won,
        Ok(ClaimStart::Answer(answer)) | Err(answer)
            if answer.reason == RefusalReason::LogUnavailable =>
        {
            ClaimResult::Unavailable
        }
        _ => ClaimResult::Lost,
    }
}

fn add_waiter(core: &EntryCore, request: &KeyedRequest<'_>) -> oneshot::Receiver<ClaimOutcome> {
    let (answer, answered) = oneshot::channel();
    let waiter = ClaimWaiter { tenant: request.tenant.clone(), key: request.key.clone(), answer };
    lock(&core.claim_waiters).push(waiter);
    answered
}

/// Abandons the claim when the future is dropped because the caller disconnected, so that the
/// request does not run.
struct ClaimGuard<'a> {
    core: &'a EntryCore,
    request: &'a KeyedRequest<'a>,
    open: bool,
}

impl ClaimGuard<'_> {
    fn give_up(&mut self, reason: RefusalReason) -> ClaimAnswer {
        self.open = false;
        let (tenant, key) = (self.request.tenant.as_str(), self.request.key.as_str());
        lock(&self.core.claim_waiters)
            .retain(|waiter| waiter.tenant.as_str() != tenant || waiter.key.as_str() != key);
        lock(&self.core.claims).give_up(tenant, key, reason)
    }
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        if self.open {
            self.give_up(RefusalReason::Cancelled);
        }
    }
}

async fn await_claim(
    core: &EntryCore,
    request: &KeyedRequest<'_>,
    answered: oneshot::Receiver<ClaimOutcome>,
) -> Result<ClaimStart, ClaimAnswer> {
    let mut guard = ClaimGuard { core, request, open: true };
    let within = request.within.map_or(CLAIM_TIMEOUT, |within| within.min(CLAIM_TIMEOUT));
    match timeout(within, answered).await {
        Ok(Ok(outcome)) => {
            guard.open = false;
            Ok(outcome.start)
        }
        Ok(Err(_)) | Err(_) => Err(guard.give_up(RefusalReason::LogUnavailable)),
    }
}

async fn resolve_start(
    core: &Arc<EntryCore>,
    request: &KeyedRequest<'_>,
    start: ClaimStart,
) -> Result<RunningKey, ClaimAnswer> {
    match start {
        ClaimStart::Run => Ok(RunningKey {
            core: Arc::clone(core),
            tenant: request.tenant.clone(),
            key: request.key.clone(),
            outcome: RequestOutcome::Unknown,
        }),
        ClaimStart::RequestRevocation(holder) => Err(request_revoke(core, request, &holder).await),
        ClaimStart::Answer(answer) => Err(answer),
        ClaimStart::Claiming => Err(ClaimAnswer {
            outcome: RequestOutcome::Unknown,
            reason: RefusalReason::LogUnavailable,
        }),
    }
}

async fn request_revoke(
    core: &EntryCore,
    request: &KeyedRequest<'_>,
    holder: &VmIdentity,
) -> ClaimAnswer {
    let runs =
        lock(&core.members).row(holder.vm.as_str()).is_some_and(|row| row.identity() == holder);
    let target = core.target(holder.vm.as_str()).filter(|_| runs);
    let Some(target) = target else { return ClaimTable::answer_after_revocation(None) };
    let call = RevokeCall {
        tenant: request.tenant.clone(),
        key: request.key.clone(),
        fingerprint: request.fingerprint,
    };
    let reply = core.clients.peers.revoke(&target, call, REVOKE_TIMEOUT).await;
    ClaimTable::answer_after_revocation(reply.ok())
}

/// Folds a claim record and wakes the requests that wait for its claims.
pub(crate) fn fold_claims(core: &EntryCore, offset: u64, record: ClaimRecord) {
    let outcomes = lock(&core.claims).read_back(offset, record);
    for outcome in outcomes {
        wake_waiter(core, outcome);
    }
}

fn wake_waiter(core: &EntryCore, outcome: ClaimOutcome) {
    let waiter = {
        let mut waiters = lock(&core.claim_waiters);
        let found = waiters
            .iter()
            .position(|waiter| waiter.tenant == outcome.tenant && waiter.key == outcome.key);
        found.map(|at| waiters.swap_remove(at))
    };
    let runs = outcome.start == ClaimStart::Run;
    let (tenant, key) = (outcome.tenant.clone(), outcome.key.clone());
    let taken = waiter.is_some_and(|waiter| waiter.answer.send(outcome).is_ok());
    // The request was dropped after its claim was won and before it ran.
    if runs && !taken {
        lock(&core.claims).end(tenant.as_str(), key.as_str(), RequestOutcome::NotRun);
    }
}

/// Appends claims to the log as they fall due, in batches, until the process ends.
pub(crate) async fn append_claims(core: Arc<EntryCore>) {
    while !core.closing.is_cancelled() {
        let now = core.clock.now();
        let due = lock(&core.claims).batcher().take_due(now);
        if let Some(record) = due {
            let data = serde_json::to_string(&record).expect("records have text keys");
            let core = Arc::clone(&core);
            // Spawned so that an append that waits for a slow log does not delay the next batch.
            tokio::spawn(async move {
                let _ = core.writers.claims.append(data, APPEND_TIMEOUT).await;
            });
            continue;
        }
        let next = lock(&core.claims).batcher().next_due();
        tokio::select! {
            () = sleep(pause_until(now, next)) => {}
            () = core.claim_added.notified() => {}
            () = core.closing.cancelled() => {}
        }
    }
}

fn pause_until(now: TimePoint, next: Option<TimePoint>) -> Duration {
    let Some(next) = next else { return MAX_IDLE_SLEEP };
    let micros = next.since(now).max(MICROS_PER_MILLI / 2);
    Duration::from_micros(micros).min(MAX_IDLE_SLEEP)
}
