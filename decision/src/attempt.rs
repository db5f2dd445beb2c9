//! Outcome and retry rules for each stage at which a call can fail.
//!
//! The rules are a data table shared by the code, the tests and docs/FAILURES.md. They are
//! conservative: "not run" is answered only if the complete request cannot have left this VM, or if
//! the backend server itself stated that it did not run it.
//!
//! ```
//! use coltsfoothook_decision::attempt::{CallStage, RetryAdvice, stage_rule};
//! use coltsfoothook_decision::outcome::RequestOutcome;
//!
//! let rule = stage_rule(CallStage::SentNoAnswer).decision(false);
//! assert_eq!(rule.outcome, RequestOutcome::Unknown);
//! assert_eq!(rule.retry, RetryAdvice::Never);
//! ```

use crate::id::TimePoint;
use crate::outcome::RequestOutcome;
use crate::retry::{CallDeadline, RetrySettings};

/// The stages at which a call can fail, in the order in which a call passes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallStage {
    /// The customer is over its limit; nothing was sent anywhere.
    TenantLimit,
    /// The deadline passed while the request waited here or at the owner.
    WaitedTooLong,
    /// The owner of the group was unreachable or answered that it does not own the group.
    OwnerLost,
    /// The owner refused: its queues are full.
    OwnerRefused,
    /// The adapter could not be loaded anywhere.
    LoadFailed,
    /// The grant arrived too late to be used.
    GrantVoid,
    /// No connection to the backend server could be opened.
    Connecting,
    /// The connection broke before the last byte of the request was written.
    Sending,
    /// The request was written and the connection broke before the answer began.
    SentNoAnswer,
    /// The request was written and no answer began in time.
    SentTimeout,
    /// The engine does not know the slot: it restarted or the slot was never loaded.
    SlotMissing,
    /// The backend server stated that it did not begin: it is full, draining or shutting down.
    ServerRefused,
    /// The backend server answered with a 5xx status.
    ServerFailed,
    /// The backend server rejected the request with a 4xx status.
    RequestRejected,
    /// The answer belongs to another request, slot or incarnation of the server.
    AnswerMismatched,
    /// The connection broke during the answer.
    InAnswer,
    /// The answer stalled until the deadline passed.
    AnswerStalled,
    /// The answer ended without its end marker, or exceeded the size limit.
    AnswerCut,
    /// The caller disconnected.
    CallerDisconnected,
    /// This VM must stop before the answer is complete.
    VmStops,
}

impl CallStage {
    /// All stages.
    pub const ALL: [Self; 20] = [
        Self::TenantLimit,
        Self::WaitedTooLong,
        Self::OwnerLost,
        Self::OwnerRefused,
        Self::LoadFailed,
        Self::GrantVoid,
        Self::Connecting,
        Self::Sending,
        Self::SentNoAnswer,
        Self::SentTimeout,
        Self::SlotMissing,
        Self::ServerRefused,
        Self::ServerFailed,
        Self::RequestRejected,
        Self::AnswerMismatched,
        Self::InAnswer,
        Self::AnswerStalled,
        Self::AnswerCut,
        Self::CallerDisconnected,
        Self::VmStops,
    ];

    /// The stage's name in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TenantLimit => "tenant_limit",
            Self::WaitedTooLong => "waited_too_long",
            Self::OwnerLost => "owner_lost",
            Self::OwnerRefused => "owner_refused",
            Self::LoadFailed => "load_failed",
            Self::GrantVoid => "grant_void",
            Self::Connecting => "connecting",
            Self::Sending => "sending",
            Self::SentNoAnswer => "sent_no_answer",
            Self::SentTimeout => "sent_timeout",
            Self::SlotMissing => "slot_missing",
            Self::ServerRefused => "server_refused",
            Self::ServerFailed => "server_failed",
            Self::RequestRejected => "request_rejected",
            Self::AnswerMismatched => "answer_crossed",
            Self::InAnswer => "in_answer",
            Self::AnswerStalled => "answer_stalled",
            Self::AnswerCut => "answer_cut",
            Self::CallerDisconnected => "caller_gone",
            Self::VmStops => "vm_stops",
        }
    }
}

/// Whether a retry is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// No retry: it would not help, or might run the request twice.
    Never,
    /// Repeat the request, on another server if there is one.
    Again,
    /// If the caller has received nothing of the answer, repeat the request. Otherwise resume the
    /// stream at its engine, or continue elsewhere from the prompt and the tokens already sent. The
    /// caller never receives a mix of two generations.
    Resume,
}

/// Outcome and retry decision for a request that failed at a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageDecision {
    /// The outcome reported to the caller if there is no retry.
    pub outcome: RequestOutcome,
    /// Whether a retry is allowed.
    pub retry: RetryAdvice,
}

/// The decisions for one stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageRule {
    /// The stage at which the call failed.
    pub stage: CallStage,
    /// For a request that may run more than once.
    pub repeatable: StageDecision,
    /// For a request that must not run more than once.
    pub once: StageDecision,
}

impl StageRule {
    /// The decision for a repeatable request, or for one that must not run twice.
    #[must_use]
    pub fn decision(&self, repeatable: bool) -> StageDecision {
        if repeatable { self.repeatable } else { self.once }
    }
}

const fn rule(
    stage: CallStage,
    repeatable: (RequestOutcome, RetryAdvice),
    once: (RequestOutcome, RetryAdvice),
) -> StageRule {
    StageRule {
        stage,
        repeatable: StageDecision { outcome: repeatable.0, retry: repeatable.1 },
        once: StageDecision { outcome: once.0, retry: once.1 },
    }
}

use RequestOutcome::{Failed, NotRun, Unknown};
use RetryAdvice::{Again, Never, Resume};

/// One rule for each stage, in the order of [`CallStage::ALL`]. The first pair is for repeatable
/// requests, the second for others.
///
/// A request that did not leave this VM completely did not run, whether or not it is repeatable.
/// From `Sending` on, a request that must not run twice is never retried, and only a statement by
/// the server makes it "not run". `Sending` is included because a plain service may act on part of
/// a body.
pub const STAGE_RULES: [StageRule; 20] = [
    rule(CallStage::TenantLimit, (NotRun, Never), (NotRun, Never)),
    rule(CallStage::WaitedTooLong, (NotRun, Never), (NotRun, Never)),
    rule(CallStage::OwnerLost, (NotRun, Again), (NotRun, Again)),
    rule(CallStage::OwnerRefused, (NotRun, Never), (NotRun, Never)),
    rule(CallStage::LoadFailed, (NotRun, Never), (NotRun, Never)),
    rule(CallStage::GrantVoid, (NotRun, Again), (NotRun, Again)),
    rule(CallStage::Connecting, (NotRun, Again), (NotRun, Again)),
    rule(CallStage::Sending, (Unknown, Again), (Unknown, Never)),
    rule(CallStage::SentNoAnswer, (Unknown, Again), (Unknown, Never)),
    rule(CallStage::SentTimeout, (Unknown, Never), (Unknown, Never)),
    rule(CallStage::SlotMissing, (NotRun, Again), (NotRun, Again)),
    rule(CallStage::ServerRefused, (NotRun, Again), (NotRun, Again)),
    rule(CallStage::ServerFailed, (Failed, Again), (Unknown, Never)),
    rule(CallStage::RequestRejected, (Failed, Never), (Failed, Never)),
    rule(CallStage::AnswerMismatched, (Unknown, Again), (Unknown, Never)),
    rule(CallStage::InAnswer, (Unknown, Resume), (Unknown, Never)),
    rule(CallStage::AnswerStalled, (Unknown, Never), (Unknown, Never)),
    rule(CallStage::AnswerCut, (Unknown, Resume), (Unknown, Never)),
    rule(CallStage::CallerDisconnected, (Unknown, Never), (Unknown, Never)),
    rule(CallStage::VmStops, (Unknown, Never), (Unknown, Never)),
];

/// The rule of a stage.
#[must_use]
pub fn stage_rule(stage: CallStage) -> &'static StageRule {
    &STAGE_RULES[stage as usize]
}

/// Retry state of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptState {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Tries so far, including the one that just failed.
    pub tries: u32,
    /// Whether any try may have run; if so, the outcome can no longer be "not run".
    pub may_have_run: bool,
    /// Deadline for the answer.
    pub deadline: CallDeadline,
}

/// What to do after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptNext {
    /// Retry, on another server if there is one.
    Again,
    /// Resume or continue the stream.
    Resume,
    /// Answer the caller with this outcome.
    End(RequestOutcome),
}

impl AttemptState {
    /// Creates the state of a request that has not been tried yet.
    #[must_use]
    pub fn new(repeatable: bool, deadline: CallDeadline) -> Self {
        Self { repeatable, tries: 0, may_have_run: false, deadline }
    }

    /// Records a try that failed at `stage` and decides what to do next. `take` takes a retry from
    /// the budget and returns whether it held one; it is called only if nothing else forbids it.
    pub fn fail(
        &mut self,
        now: TimePoint,
        stage: CallStage,
        settings: &RetrySettings,
        take: impl FnOnce() -> bool,
    ) -> AttemptNext {
        self.tries += 1;
        let decision = stage_rule(stage).decision(self.repeatable);
        self.may_have_run |= decision.outcome != NotRun;
        let outcome = self.outcome(decision.outcome);
        let too_late = self.deadline.left_ms(now).is_some_and(|left| left < settings.min_left_ms);
        let exhausted = self.tries >= settings.max_attempts;
        if decision.retry == RetryAdvice::Never || too_late || exhausted || !take() {
            return AttemptNext::End(outcome);
        }
        match decision.retry {
            RetryAdvice::Resume => AttemptNext::Resume,
            _ => AttemptNext::Again,
        }
    }

    /// Returns the outcome of the whole request when its last try ended with `last`. A last try
    /// that did not run does not make the request "not run" if an earlier try may have run.
    #[must_use]
    pub fn outcome(&self, last: RequestOutcome) -> RequestOutcome {
        if last == NotRun && self.may_have_run { Unknown } else { last }
    }
}
