// An audit job is accepted, its runner dies or its answers are lost, two VMs run it, its caller
// withdraws it at the last moment, and retention passes over its records. It is never lost, and it
// has one end that every reader sees, the first in offset order.

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
        let ruling = fold.fold(TimePoint(0), offset, record.clone()).expect("a new record");
        verdicts.push(ruling.verdict);
    }
    (fold, verdicts)
}

fn result(fold: &JobFold) -> Option<&str> {
    fold.row("ramsa", "j").and_then(|row| row.end()).map(|end| end.result.as_str())
}

fn alone() -> MemberTable {
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
fn same_submission_twice_is_one_job() {
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
    let unstarted = [JobRecord::Submitted(entry(0)), cancelled(), started("a")];
    assert_eq!(outcome(&unstarted), Some(RequestOutcome::NotRun));
    let begun = [JobRecord::Submitted(entry(0)), started("a"), cancelled(), finished("x", false)];
    assert_eq!(outcome(&begun), Some(RequestOutcome::Unknown));
}

// The soak found this one: retention took the first result and left the late one of a second run,
// and a VM that started then showed that one.
#[test]
fn late_result_outlives_the_first() {
    let log = [
        JobRecord::Submitted(entry(0)),
        finished("first", false),
        finished("second", false),
        finished("first", true),
        JobRecord::Submitted(entry(1)),
    ];
    let (whole, _) = fold_all(0, &log);
    let (late, _) = fold_all(2, &log[2..]);
    assert_eq!(result(&whole), Some("first"));
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
    assert_eq!(verdicts[3], JobVerdict::Buried);
    assert!(fold.rows().is_empty());
    // The VM that would have kept the job tells the log once more, for readers that start later.
    let mut runner = JobRunner::new(JobSettings::default());
    let again = fold.fold(TimePoint(0), 4, JobRecord::Submitted(entry(2))).expect("a record");
    runner.note(&again);
    fold.caught_up();
    let actions = runner.plan(TimePoint(1), &mut fold, &alone());
    assert_eq!(actions, [JobAction::Append(forgotten)]);
}

#[test]
fn runs_behind_its_own_start() {
    let (mut fold, _) = fold_all(0, &[JobRecord::Submitted(entry(0))]);
    fold.caught_up();
    let members = alone();
    let mut runner = JobRunner::new(JobSettings::default());
    let ask = runner.plan(TimePoint(1), &mut fold, &members);
    assert_eq!(ask, [JobAction::Append(started("me"))], "nothing runs before the start is read");
    assert_eq!(runner.plan(TimePoint(2), &mut fold, &members), []);
    fold.fold(TimePoint(3), 1, started("me"));
    let run = runner.plan(TimePoint(3), &mut fold, &members);
    assert_eq!(run, [JobAction::Run(entry(0))]);
    assert_eq!(runner.plan(TimePoint(4), &mut fold, &members), [], "it runs once");

    // The result waits for its record to be read back, and is written again if it is not.
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

// The soak found this one: VMs that saw no majority for longer than retention kept no jobs, and the
// log lost one that was accepted.
#[test]
fn kept_without_a_majority() {
    let mut members = alone();
    let listed = |name: &str| ListedVm {
        name: name.into(),
        place: members.own().place().clone(),
        state: ListedState::Live,
    };
    let list = MemberEvent::Listed(vec![listed("other"), listed("third")]);
    members.handle(TimePoint(0), list, &mut Pcg64::seed_from_u64(1), &mut Vec::new());
    assert!(!members.majority("r"));
    let (mut fold, _) = fold_all(0, &[JobRecord::Submitted(entry(0))]);
    fold.caught_up();
    let settings = JobSettings { rewrite_ms: 1_000, ..Default::default() };
    let mut runner = JobRunner::new(settings);
    assert_eq!(runner.plan(TimePoint(1), &mut fold, &members), [], "it may run elsewhere");
    let later = TimePoint(1_000 * MICROS_PER_MILLI);
    let kept = runner.plan(later, &mut fold, &members);
    assert_eq!(kept, [JobAction::Append(JobRecord::Submitted(entry(1)))]);
}

#[test]
fn kept_ahead_of_retention() {
    let (mut fold, _) = fold_all(0, &[JobRecord::Submitted(entry(0)), finished("x", false)]);
    fold.caught_up();
    let settings = JobSettings { rewrite_ms: 1_000, ..Default::default() };
    let mut runner = JobRunner::new(settings);
    let members = alone();
    assert_eq!(runner.plan(TimePoint(1), &mut fold, &members), []);
    let later = TimePoint(1_000 * MICROS_PER_MILLI);
    let kept = runner.plan(later, &mut fold, &members);
    let records = [finished("x", true), JobRecord::Submitted(entry(1))];
    assert_eq!(kept, records.map(JobAction::Append));
}
