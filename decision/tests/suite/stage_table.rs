// Outcomes and retries per stage: the outcome is never "not run" if any try may have run, a request
// that must run once is not retried after sending began, and retries stay within their budget if
// all calls fail.

use coltsfoothook_decision::attempt::{
    AttemptNext, AttemptState, CallStage, RetryAdvice, STAGE_RULES, stage_rule,
};
use coltsfoothook_decision::id::{MICROS_PER_MILLI, ServiceName, TimePoint};
use coltsfoothook_decision::outcome::RequestOutcome;
use coltsfoothook_decision::retry::{CallDeadline, RetryBudget, RetrySettings};

const NOW: TimePoint = TimePoint(0);

fn budget() -> RetryBudget {
    RetryBudget::new(RetrySettings::default())
}

fn service() -> ServiceName {
    ServiceName::from("engines")
}

/// Records a failure of `state` with the retries that `budget` holds.
fn fail(
    state: &mut AttemptState,
    now: TimePoint,
    stage: CallStage,
    budget: &mut RetryBudget,
) -> AttemptNext {
    let settings = budget.settings().clone();
    state.fail(now, stage, &settings, || budget.take(&service(), now).allowed)
}

fn no_deadline() -> CallDeadline {
    CallDeadline::after(NOW, None)
}

#[test]
fn each_stage_has_its_rule() {
    for (stage, rule) in CallStage::ALL.iter().zip(STAGE_RULES) {
        assert_eq!(*stage, rule.stage);
        let once = stage_rule(*stage).once;
        let not_run = once.outcome == RequestOutcome::NotRun;
        assert!(not_run || once.retry == RetryAdvice::Never, "{stage:?} might run twice");
        if not_run {
            assert_eq!(rule.repeatable.outcome, RequestOutcome::NotRun, "{stage:?}");
        }
    }
}

#[test]
fn page_shows_the_table() {
    let page = include_str!("../../../docs/FAILURES.md");
    let word = |retry| match retry {
        RetryAdvice::Never => "no",
        RetryAdvice::Again => "yes",
        RetryAdvice::Resume => "resume",
    };
    for rule in STAGE_RULES {
        let cells = [rule.repeatable, rule.once]
            .map(|decision| format!("{} | {}", decision.outcome.as_str(), word(decision.retry)));
        let line = format!("| `{}` | {} | {} |", rule.stage.as_str(), cells[0], cells[1]);
        assert!(page.contains(&line), "docs/FAILURES.md lacks {line}");
    }
}

#[test]
fn doubt_is_never_taken_back() {
    let mut state = AttemptState::new(true, no_deadline());
    let mut budget = budget();
    let first = fail(&mut state, NOW, CallStage::SentNoAnswer, &mut budget);
    assert_eq!(first, AttemptNext::Again);
    let second = fail(&mut state, NOW, CallStage::OwnerRefused, &mut budget);
    assert_eq!(second, AttemptNext::End(RequestOutcome::Unknown));
}

#[test]
fn no_try_beyond_the_deadline() {
    let deadline = CallDeadline::after(NOW, Some(100));
    let mut state = AttemptState::new(true, deadline);
    let late = TimePoint(90 * MICROS_PER_MILLI);
    let next = fail(&mut state, late, CallStage::Connecting, &mut budget());
    assert_eq!(next, AttemptNext::End(RequestOutcome::NotRun));
    assert_eq!(deadline.left_ms(late), Some(10));
    assert!(deadline.passed(TimePoint(100 * MICROS_PER_MILLI)));
}

#[test]
fn retries_do_not_amplify() {
    let mut budget = budget();
    let mut tries = 0_u32;
    for _ in 0..10_000 {
        budget.first_try(&service(), NOW);
        let mut state = AttemptState::new(true, no_deadline());
        tries += 1;
        while fail(&mut state, NOW, CallStage::SentNoAnswer, &mut budget) == AttemptNext::Again {
            tries += 1;
        }
    }
    assert!(tries <= 11_020, "{tries} tries of 10,000 requests");
}
