//! Request outcomes, classes and refusal reasons.

use crate::value;

value! {
    /// Outcome of a request as stated in its final answer; docs/FAILURES.md lists it for each
    /// stage.
    #[derive(Copy, Eq)]
    pub enum RequestOutcome {
        /// It ran, and the whole answer was delivered.
        Done,
        /// It did not run, not even in part, and will not. Repeating it is safe.
        NotRun,
        /// It ran, at least in part, and ended in an error that a repetition would not avoid.
        Failed,
        /// It may have run. The system never retries it unless it is repeatable.
        Unknown,
    }

    /// Urgency of a request. The order of the variants is the order of service.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub enum RequestClass {
        /// A person is waiting: field alarms, lockout confirmations.
        Urgent,
        /// Needed by its deadline: handovers, crew summaries.
        Scheduled,
        /// May wait, but must not be lost or duplicated: audits.
        Audit,
    }

    /// Why a request was refused before it ran, with the outcome "not run".
    #[derive(Copy, Eq)]
    pub enum RefusalReason {
        /// Queues are full, or the wait would exceed the deadline.
        Overloaded,
        /// The customer is over its rate or its share.
        TenantLimit,
        /// The deadline has passed, or will pass before the request can be answered.
        DeadlinePassed,
        /// This VM has no configuration in force, or it may be stale.
        NotReady,
        /// The adapter or its version is not in the configuration in force.
        UnknownAdapter,
        /// The customer may not use the adapter or service.
        NotAllowed,
        /// All attempts to load the adapter failed.
        LoadFailed,
        /// No backend server for the model or service is up.
        NoServer,
        /// The request is condemned because it crashed backend servers.
        Condemned,
        /// The VM that received the request does not own the group; retry after reading the log.
        NotOwner,
        /// The owner of the group is unreachable, and no VM can take over now.
        OwnerUnreachable,
        /// The idempotency key was claimed by another attempt.
        AlreadyClaimed,
        /// The platform's log is unavailable and the request needs it.
        LogUnavailable,
        /// The idempotency key was used with a different body.
        KeyReused,
        /// The idempotency key is older than the window in which claims are kept.
        KeyExpired,
        /// The caller or an operator cancelled it.
        Cancelled,
        /// The VM is shutting down and accepts no new work.
        Leaving,
        /// The retry budget is exhausted.
        RetryBudget,
    }
}

impl RequestClass {
    /// All classes, in order of service.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Scheduled, Self::Audit];

    /// The class's name in settings, metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Scheduled => "scheduled",
            Self::Audit => "audit",
        }
    }
}

impl AsRef<str> for RequestClass {
    fn as_ref(&self) -> &str {
        self.as_str()
    }
}

impl RequestOutcome {
    /// The outcome's name in problem documents, metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

impl RefusalReason {
    /// The reason's name in problem documents, metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::TenantLimit => "tenant_limit",
            Self::DeadlinePassed => "deadline_passed",
            Self::NotReady => "not_ready",
            Self::UnknownAdapter => "unknown_adapter",
            Self::NotAllowed => "not_allowed",
            Self::LoadFailed => "load_failed",
            Self::NoServer => "no_server",
            Self::Condemned => "condemned",
            Self::NotOwner => "not_owner",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::AlreadyClaimed => "already_claimed",
            Self::LogUnavailable => "log_unavailable",
            Self::KeyReused => "key_reused",
            Self::KeyExpired => "key_expired",
            Self::Cancelled => "cancelled",
            Self::Leaving => "leaving",
            Self::RetryBudget => "retry_budget",
        }
    }
}
