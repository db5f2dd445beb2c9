//! What became of a request, and why it was refused.

use crate::value;

value! {
    /// What the system says of a request in its final answer; see docs/FAILURES.md for each stage.
    #[derive(Copy, Eq)]
    pub enum RequestOutcome {
        /// It ran and the whole answer was given.
        Done,
        /// It did not run, not even in part, and will not. Sending it again is safe.
        NotRun,
        /// It ran, or began to, and ended in an error that repeating will not mend.
        Failed,
        /// It may have run. A request that is not repeatable is never tried again by the system.
        Unknown,
    }

    /// How urgent a request is. The order of the variants is the order of service.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub enum RequestClass {
        /// Somebody stands waiting: field alarms, lockout confirmations.
        Urgent,
        /// Must be there by its deadline: handovers, crew summaries.
        Scheduled,
        /// May wait, must never be lost or doubled: audits.
        Audit,
    }

    /// Why a request was refused before it ran; each stands for the outcome "not run".
    #[derive(Copy, Eq)]
    pub enum RefusalReason {
        /// Queues are full or the wait would outlast the deadline.
        Overloaded,
        /// The tenant is over its rate or its share.
        TenantLimit,
        /// The deadline has passed, or passes before the request could be answered.
        DeadlinePassed,
        /// No configuration in force, or it may be stale.
        NotReady,
        /// The adapter or its version is not in the configuration in force.
        UnknownAdapter,
        /// The tenant may not use the adapter or service.
        NotAllowed,
        /// Every attempt to load the adapter failed.
        LoadFailed,
        /// No backend server for the model or service is up.
        NoServer,
        /// The request is condemned: it crashed backend servers before.
        Condemned,
        /// The asked VM does not own the group; ask again after reading the log.
        NotOwner,
        /// The owner of the group cannot be reached and nobody can take over now.
        OwnerUnreachable,
        /// The id was claimed by another attempt.
        AlreadyClaimed,
        /// The platform's log is down and the request needs it.
        LogUnavailable,
        /// The idempotency key was used with another body.
        KeyReused,
        /// The idempotency key is older than the window in which claims are kept.
        KeyExpired,
        /// The caller or an operator withdrew it.
        Cancelled,
        /// The VM is shutting down and takes no new work.
        Leaving,
        /// The retry budget is spent.
        RetryBudget,
    }
}

impl RequestClass {
    /// All classes in order of service.
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
