//! The table of reasons, and its copy in docs/CALLERS.md.

use std::fmt::Write;

use coltsfoothook_caller::{CallProblem, InterfaceReason, ProblemReason, problem_row};
use coltsfoothook_decision::outcome::{RefusalReason, RequestOutcome};
use expect_test::expect;

use crate::client::call;
use crate::fake::{FakeHandler, Script, start};

const REFUSALS: [RefusalReason; 18] = [
    RefusalReason::Overloaded,
    RefusalReason::TenantLimit,
    RefusalReason::DeadlinePassed,
    RefusalReason::NotReady,
    RefusalReason::UnknownAdapter,
    RefusalReason::NotAllowed,
    RefusalReason::LoadFailed,
    RefusalReason::NoServer,
    RefusalReason::Condemned,
    RefusalReason::NotOwner,
    RefusalReason::OwnerUnreachable,
    RefusalReason::AlreadyClaimed,
    RefusalReason::LogUnavailable,
    RefusalReason::KeyReused,
    RefusalReason::KeyExpired,
    RefusalReason::Cancelled,
    RefusalReason::Leaving,
    RefusalReason::RetryBudget,
];

const INTERFACE_REASONS: [InterfaceReason; 14] = [
    InterfaceReason::MalformedRequest,
    InterfaceReason::BodyTooLarge,
    InterfaceReason::HeaderTooLarge,
    InterfaceReason::SlowSender,
    InterfaceReason::Unauthenticated,
    InterfaceReason::UnknownPath,
    InterfaceReason::MethodNotAllowed,
    InterfaceReason::UnknownService,
    InterfaceReason::UnknownJob,
    InterfaceReason::JobUnfinished,
    InterfaceReason::BackendFailed,
    InterfaceReason::AnswerLost,
    InterfaceReason::DeadlineExceeded,
    InterfaceReason::Internal,
];

fn reasons() -> impl Iterator<Item = ProblemReason> {
    let refusals = REFUSALS.into_iter().map(ProblemReason::Refused);
    refusals.chain(INTERFACE_REASONS.into_iter().map(ProblemReason::Interface))
}

#[test]
fn table() {
    let mut table = String::new();
    for reason in reasons() {
        let row = problem_row(reason);
        let retryable = if row.retryable { "yes" } else { "no" };
        writeln!(table, "| `{}` | {} | {retryable} |", row.name, row.status.as_u16())
            .expect("write");
    }
    expect![[r#"
        | `overloaded` | 503 | yes |
        | `tenant_limit` | 429 | yes |
        | `deadline_passed` | 504 | yes |
        | `not_ready` | 503 | yes |
        | `unknown_adapter` | 404 | no |
        | `not_allowed` | 403 | no |
        | `load_failed` | 503 | yes |
        | `no_server` | 503 | yes |
        | `condemned` | 422 | no |
        | `not_owner` | 503 | yes |
        | `owner_unreachable` | 503 | yes |
        | `already_claimed` | 409 | no |
        | `log_unavailable` | 503 | yes |
        | `key_reused` | 422 | no |
        | `key_expired` | 410 | no |
        | `cancelled` | 409 | no |
        | `leaving` | 503 | yes |
        | `retry_budget` | 503 | yes |
        | `malformed_request` | 400 | no |
        | `body_too_large` | 413 | no |
        | `header_too_large` | 431 | no |
        | `slow_sender` | 408 | yes |
        | `unauthenticated` | 401 | no |
        | `unknown_path` | 404 | no |
        | `method_not_allowed` | 405 | no |
        | `unknown_service` | 404 | no |
        | `unknown_job` | 404 | no |
        | `job_unfinished` | 409 | yes |
        | `backend_failed` | 502 | no |
        | `answer_lost` | 502 | no |
        | `deadline_exceeded` | 504 | no |
        | `internal` | 500 | no |
    "#]]
    .assert_eq(&table);
    let page = include_str!("../../../docs/CALLERS.md");
    for line in table.lines() {
        assert!(page.contains(&format!("\n{line}")), "docs/CALLERS.md lacks the row {line}");
    }
}

/// Clients distinguish reasons by name, so names must be unique.
#[test]
fn names_are_unique() {
    let mut names: Vec<_> = reasons().map(|reason| problem_row(reason).name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), REFUSALS.len() + INTERFACE_REASONS.len());
}

/// `Retry-After` is rounded up to whole seconds. Rounded down, it would make clients retry too
/// early and be refused again.
#[tokio::test]
async fn refusal_has_retry_after() {
    let problem = CallProblem::refused(RefusalReason::TenantLimit, 1_200, "120 requests a second");
    let server = start(FakeHandler::answering(Script::Problem(problem)));
    let body = r#"{"model":"a@1","prompt":"x"}"#;
    let answer = call(server.address(), "POST", "/v1/completions", body).await;
    assert_eq!((answer.status, answer.header("retry-after")), (429, Some("2")));
    expect![[r#"{"type":"urn:coltsfoothook:problem:tenant_limit","title":"Tenant's limit reached","status":429,"detail":"120 requests a second","outcome":"not_run","reason":"tenant_limit","retry_after_ms":1200,"request_id":"r0"}"#]].assert_eq(&answer.text());
}

/// No time to retry is sent for reasons where a retry cannot succeed, even if the problem has one.
#[tokio::test]
async fn no_retry_after_where_not_retryable() {
    let problem = CallProblem::refused(RefusalReason::Condemned, 500, "it crashed two servers");
    let server = start(FakeHandler::answering(Script::Problem(problem)));
    let body = r#"{"model":"a@1","prompt":"x"}"#;
    let answer = call(server.address(), "POST", "/v1/completions", body).await;
    assert_eq!((answer.status, answer.header("retry-after")), (422, None));
    assert_eq!(answer.json()["retry_after_ms"], serde_json::Value::Null);
}

/// Guards against a request that runs twice: on "not run" the caller would resend it with a new
/// key, but an earlier attempt with a key that is claimed or expired may have run.
#[test]
fn claimed_may_have_run() {
    for reason in REFUSALS {
        let outcome = CallProblem::refused(reason, 0, "").outcome;
        let key_used = matches!(reason, RefusalReason::AlreadyClaimed | RefusalReason::KeyExpired);
        let expected = if key_used { RequestOutcome::Unknown } else { RequestOutcome::NotRun };
        assert_eq!(outcome, expected, "{reason:?}");
    }
}
