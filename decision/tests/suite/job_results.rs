// Audit jobs under crashes of the runner, lost answers, concurrent runs, late cancellation and log
// retention: an accepted job is never lost, and all readers see the same result, the first in
// offset order.

use std::net::SocketAddr;

use coltsfoothook_decision::id::{
    AdapterVersion, MICROS_PER_MILLI, TimePoint, VmIdentity, VmIncarnation,
};
use coltsfoothook_decision::job::{JobAction, JobEnd, JobFold, JobRunner, JobSettings, JobVerdict};
use coltsfoothook_decision::member::{
    ListedState, ListedVm, MemberEvent, MemberPlace, MemberSettings, MemberTable,
};
use coltsfoothook_decision::outcome::{RequestClass, RequestOutcome};
use coltsfoothook_decision::record::{JobEntry, JobRecord};
use rand::SeedableRng;
use rand_pcg::Pcg64;

fn entry(rewritten: u32) -> JobEntry {
    JobEntry {
        job: "j".into(),
        tenant: "ramsa".into(),
        adapter: AdapterVersion { adapter: "a".into(), version: "1".into() },
        class: RequestClass::Audit,
        due_ms: None,
        body: "{}".to_owned(),
        rewritten,
    }
}

fn vm(name: &str) -> VmIdentity {
    VmIdentity { vm: name.into(), incarnation: VmIncarnation(1) }
}

fn started(name: &str) -> JobRecord {
    JobRecord::Started { job: "j".into(), tenant: "ramsa".into(), runner: vm(name) }
}

fn finished(result: &str, rewritten: bool) -> JobRecord {
    let (job, tenant) = ("j".into(), "ramsa".into());
    let (outcome, result) = (RequestOutcome::Done, result.to_owned());
    JobRecord::Finished { job, tenant, outcome, result, rewritten }
}

fn cancelled() -> JobRecord {
    JobRecord::Cancelled { job: "j".into(), tenant: "ramsa".into() }
}

fn fold_all(start: u64, records: &[JobRecord]) -> (JobFold, Vec<JobVerdict>) {
    let mut fold = JobFold::default();
    let mut verdicts = Vec::new();
    for (offset, record) in (start..).zip(records) {
        let resolution =
            fold.fold(TimePoint(0), offset, record.clone()).expect("record not folded before");
        verdicts.push(resolution.verdict);
    }
    (fold, verdicts)
}

fn result(fold: &JobFold) -> Option<&str> {
    fold.row("ramsa", "j").and_then(|row| row.end()).map(|end| end.result.as_str())
}

fn single_member() -> MemberTable {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let place =
        MemberPlace { caller: address, peer: address, domain: "d".into(), region: "r".into() };
    MemberTable::new(MemberSettings::default(), vm("me"), place)
}

#[test]
fn first_result_counts() {
    let log = [
        JobRecord::Submitted(entry(0)),
        started("a"),
        started("b"),
        finished("by b", false),
        finished("by a", false),
        cancelled(),
    ];
    let (fold, verdicts) = fold_all(0, &log);
    assert_eq!(verdicts[3..], [JobVerdict::Finished, JobVerdict::TooLate, JobVerdict::TooLate]);
    assert_eq!(result(&fold), Some("by b"));
    assert_eq!(fold.invariants().violated(), 0);
}

#[test]
fn duplicate_submission() {
    let other = JobEntry { body: "other".to_owned(), ..entry(0) };
    let log = [
        JobRecord::Submitted(entry(0)),
        JobRecord::Submitted(entry(0)),
        JobRecord::Submitted(other),
    ];
    let (fold, verdicts) = fold_all(0, &log);
    assert_eq!(verdicts, [JobVerdict::Accepted, JobVerdict::Repeated, JobVerdict::Conflict]);
    assert_eq!(fold.rows().len(), 1);
}

#[test]
fn cancellation_tells_what_is_known() {
    let outcome = |log: &[JobRecord]| {
        let (fold, _) = fold_all(0, log);
        fold.row("ramsa", "j").and_then(|row| row.end()).map(|end| end.outcome)
    };
    let not_started = [JobRecord::Submitted(entry(0)), cancelled(), started("a")];
    assert_eq!(outcome(&not_started), Some(RequestOutcome::NotRun));
    let started_first =
        [JobRecord::Submitted(entry(0)), started("a"), cancelled(), finished("x", false)];
    assert_eq!(outcome(&started_first), Some(RequestOutcome::Unknown));
}

// Guards against two results: after retention dropped the first result but not that of a second
// run, a VM that starts must still report the first.
#[test]
fn late_result_outlives_the_first() {
    let log = [
        JobRecord::Submitted(entry(0)),
        finished("first", false),
        finished("second", false),
        finished("first", true),
        JobRecord::Submitted(entry(1)),
    ];
    let (complete, _) = fold_all(0, &log);
    let (late, _) = fold_all(2, &log[2..]);
    assert_eq!(result(&complete), Some("first"));
    assert_eq!(result(&late), Some("first"));
    assert_eq!(late.invariants().violated(), 0);
}

#[test]
fn forgotten_job_stays_forgotten() {
    let forgotten = JobRecord::Forgotten { job: "j".into(), tenant: "ramsa".into() };
    let log = [
        JobRecord::Submitted(entry(0)),
        finished("x", false),
        forgotten.clone(),
        JobRecord::Submitted(entry(1)),
    ];
    let (mut fold, verdicts) = fold_all(0, &log);
    assert_eq!(verdicts[3], JobVerdict::StaleRewrite);
    assert!(fold.rows().is_empty());
    // The runner appends the tombstone again, for readers that start later.
    let mut runner = JobRunner::new(JobSettings::default());
    let again = fold
        .fold(TimePoint(0), 4, JobRecord::Submitted(entry(2)))
        .expect("record not folded before");
    runner.note(&again);
    fold.set_caught_up();
    let actions = runner.plan(TimePoint(1), &mut fold, &single_member());
    assert_eq!(actions, [JobAction::Append(forgotten)]);
}

#[test]
fn runs_behind_its_own_start() {
    let (mut fold, _) = fold_all(0, &[JobRecord::Submitted(entry(0))]);
    fold.set_caught_up();
    let members = single_member();
    let mut runner = JobRunner::new(JobSettings::default());
    let request = runner.plan(TimePoint(1), &mut fold, &members);
    assert_eq!(
        request,
        [JobAction::Append(started("me"))],
        "nothing runs before the start is read back"
    );
    assert_eq!(runner.plan(TimePoint(2), &mut fold, &members), []);
    fold.fold(TimePoint(3), 1, started("me"));
    let run = runner.plan(TimePoint(3), &mut fold, &members);
    assert_eq!(run, [JobAction::Run(entry(0))]);
    assert_eq!(runner.plan(TimePoint(4), &mut fold, &members), [], "it runs once");

    // The result is appended again until its record is read back.
    let end = JobEnd { outcome: RequestOutcome::Done, result: "x".to_owned() };
    runner.finish("ramsa", "j", end);
    let append = [JobAction::Append(finished("x", false))];
    assert_eq!(runner.plan(TimePoint(5), &mut fold, &members), append);
    assert_eq!(runner.plan(TimePoint(6), &mut fold, &members), []);
    let later = TimePoint(5).plus(2_000 * MICROS_PER_MILLI);
    assert_eq!(runner.plan(later, &mut fold, &members), append);
    fold.fold(later, 2, finished("x", false));
    assert_eq!(runner.plan(later.plus(1), &mut fold, &members), []);
}

// Guards against the loss of an accepted job: without a majority for longer than the log's
// retention, VMs must still rewrite it.
#[test]
fn kept_without_a_majority() {
    let mut members = single_member();
    let listed = |name: &str| ListedVm {
        name: name.into(),
        place: members.own().place().clone(),
        state: ListedState::Live,
    };
    let list = MemberEvent::Listed(vec![listed("other"), listed("third")]);
    members.handle(TimePoint(0), list, &mut Pcg64::seed_from_u64(1), &mut Vec::new());
    assert!(!members.majority("r"));
    let (mut fold, _) = fold_all(0, &[JobRecord::Submitted(entry(0))]);
    fold.set_caught_up();
    let settings = JobSettings { rewrite_ms: 1_000, ..Default::default() };
    let mut runner = JobRunner::new(settings);
    assert_eq!(runner.plan(TimePoint(1), &mut fold, &members), [], "it may run elsewhere");
    let later = TimePoint(1_000 * MICROS_PER_MILLI);
    let rewritten = runner.plan(later, &mut fold, &members);
    assert_eq!(rewritten, [JobAction::Append(JobRecord::Submitted(entry(1)))]);
}

#[test]
fn kept_ahead_of_retention() {
    let (mut fold, _) = fold_all(0, &[JobRecord::Submitted(entry(0)), finished("x", false)]);
    fold.set_caught_up();
    let settings = JobSettings { rewrite_ms: 1_000, ..Default::default() };
    let mut runner = JobRunner::new(settings);
    let members = single_member();
    assert_eq!(runner.plan(TimePoint(1), &mut fold, &members), []);
    let later = TimePoint(1_000 * MICROS_PER_MILLI);
    let rewritten = runner.plan(later, &mut fold, &members);
    let records = [finished("x", true), JobRecord::Submitted(entry(1))];
    assert_eq!(rewritten, records.map(JobAction::Append));
}
