//! Claims of requests that may run at most once: the driver of the claim table.

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

/// How long a claim waits to be read back when the request states no shorter time.
const CLAIM_WITHIN: Duration = Duration::from_secs(5);
/// How long one append of claims is offered to the log; the table offers unread claims again.
const APPEND_WITHIN: Duration = Duration::from_millis(400);
/// How long another VM has to answer whether it gives a key up.
const REVOKE_WITHIN: Duration = Duration::from_secs(2);
/// While no claim waits; a new one ends the pause.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// A key that runs here; dropping it without [`RunningKey::end`] leaves the outcome unknown.
pub(crate) struct RunningKey {
    core: Arc<EntryCore>,
    tenant: CustomerName,
    key: IdempotencyKey,
    outcome: RequestOutcome,
}

impl RunningKey {
    /// Notes what became of the request; it is what a resend will be told.
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

/// What is asked under a key.
pub(crate) struct KeyedRequest<'a> {
    pub(crate) tenant: &'a CustomerName,
    pub(crate) key: &'a IdempotencyKey,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) first_try: bool,
    pub(crate) within: Option<Duration>,
}

/// Obtains the right to run a key, or tells what became of it.
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
    // The waiter is registered under the claim table's lock, so that a claim that is read back at
    // once still finds it.
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
    settle(core, request, start?).await
}

/// What metrics call the end of a claim; `issued` keys need none.
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

/// Gives the claim up when the future is dropped: the caller went away, so nothing may run.
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
    let within = request.within.map_or(CLAIM_WITHIN, |within| within.min(CLAIM_WITHIN));
    match timeout(within, answered).await {
        Ok(Ok(outcome)) => {
            guard.open = false;
            Ok(outcome.start)
        }
        Ok(Err(_)) | Err(_) => Err(guard.give_up(RefusalReason::LogUnavailable)),
    }
}

async fn settle(
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
        ClaimStart::RequestRevocation(holder) => Err(ask_revoke(core, request, &holder).await),
        ClaimStart::Answer(answer) => Err(answer),
        ClaimStart::Claiming => Err(ClaimAnswer {
            outcome: RequestOutcome::Unknown,
            reason: RefusalReason::LogUnavailable,
        }),
    }
}

async fn ask_revoke(
    core: &EntryCore,
    request: &KeyedRequest<'_>,
    holder: &VmIdentity,
) -> ClaimAnswer {
    let runs =
        lock(&core.members).row(holder.vm.as_str()).is_some_and(|row| row.identity() == holder);
    let target = core.target(holder.vm.as_str()).filter(|_| runs);
    let Some(target) = target else { return ClaimTable::revoked(None) };
    let call = RevokeCall {
        tenant: request.tenant.clone(),
        key: request.key.clone(),
        fingerprint: request.fingerprint,
    };
    let reply = core.clients.peers.revoke(&target, call, REVOKE_WITHIN).await;
    ClaimTable::revoked(reply.ok())
}

/// Folds a claim record and wakes the requests that waited for it.
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
    // The request went away between its claim and its run: nothing ran.
    if runs && !taken {
        lock(&core.claims).end(tenant.as_str(), key.as_str(), RequestOutcome::NotRun);
    }
}

/// Appends claims as they come due, many in one record.
pub(crate) async fn append_claims(core: Arc<EntryCore>) {
    while !core.closing.is_cancelled() {
        let now = core.clock.now();
        let due = lock(&core.claims).batcher().take_due(now);
        if let Some(record) = due {
            let data = serde_json::to_string(&record).expect("records have text keys");
            let core = Arc::clone(&core);
            // An append that waits for a slow log must not hold up the next claims.
            tokio::spawn(async move {
                let _ = core.writers.claims.append(data, APPEND_WITHIN).await;
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
    let Some(next) = next else { return IDLE_PAUSE };
    let micros = next.since(now).max(MICROS_PER_MILLI / 2);
    Duration::from_micros(micros).min(IDLE_PAUSE)
}
