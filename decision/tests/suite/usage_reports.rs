//! What counts of the totals that VMs report to each other.

use coltsfoothook_decision::customer::{FleetLimit, LimitMeasure};
use coltsfoothook_decision::id::{TimePoint, VmName};
use coltsfoothook_decision::limit::{BucketState, FleetLimiter, LimitExcess};
use coltsfoothook_decision::subject::LimitSubject;
use coltsfoothook_decision::usage::{
    ReportBasis, ReportEffect, SubjectTotal, UsageBase, UsageReport, UsageTotal,
};

const SECOND: u64 = 1_000_000;
/// The limiter started at zero; reports arrive from then on.
const NOW: TimePoint = TimePoint(60 * SECOND);
const LIMIT: FleetLimit =
    FleetLimit { per_second: 1_000.0, burst: 1_000.0, measure: LimitMeasure::Requests };

fn limiter() -> FleetLimiter {
    let mut limiter = FleetLimiter::new(LimitExcess::default(), 150_000);
    limiter.configure(TimePoint(0), vec![("c".into(), LIMIT)]);
    limiter
}

fn report(age_ms: u64, admitted: f64, base: Option<(u64, f64)>) -> UsageReport {
    let total = |admitted| UsageTotal { demand: admitted, admitted };
    let subject = LimitSubject::Customer("c".into());
    let uses = vec![SubjectTotal { subject, total: total(admitted) }];
    let base = base.map(|(age_ms, base)| UsageBase { age_ms, totals: vec![total(base)] });
    UsageReport { start_id: 1, age_ms, uses, base, partial: false }
}

/// What the bucket holds; full ones without demand have no state.
const CAPACITY: f64 = 350.0;

fn level(limiter: &mut FleetLimiter, now: TimePoint) -> f64 {
    limiter.bucket_states(now).first().map_or(CAPACITY, |state| state.level)
}

/// Applies a report and returns what became of it and how much was charged.
fn charged(
    limiter: &mut FleetLimiter,
    now: TimePoint,
    report: &UsageReport,
) -> (ReportEffect, f64) {
    let before = level(limiter, now);
    let effect = limiter.apply_member_report(now, &VmName::from("vm-1"), report);
    (effect, (before - level(limiter, now)).round())
}

/// The totals since the start of a VM that started together with this one may be part of the states that this one
/// adopted.
#[test]
fn first_without_base() {
    let mut limiter = limiter();
    let (effect, cost) = charged(&mut limiter, NOW, &report(60_000, 30_000.0, None));
    assert_eq!((effect.basis, cost), (ReportBasis::Unknown, 0.0));
    let later = NOW.plus(20_000);
    let (effect, cost) = charged(&mut limiter, later, &report(60_020, 30_020.0, None));
    assert_eq!((effect.basis, cost), (ReportBasis::Previous, 20.0));
}

/// A VM that started after this one has used nothing before.
#[test]
fn started_later() {
    let mut limiter = limiter();
    let (effect, cost) = charged(&mut limiter, NOW, &report(100, 40.0, None));
    assert_eq!((effect.basis, cost), (ReportBasis::Start, 40.0));
}

/// Only what no aggregator has published counts; the later of the own and the handed base holds.
#[test]
fn handed_base() {
    let mut limiter = limiter();
    let (effect, cost) =
        charged(&mut limiter, NOW, &report(60_000, 30_000.0, Some((150, 29_900.0))));
    assert_eq!((effect.basis, cost), (ReportBasis::Handed, 100.0));
    let later = NOW.plus(100_000);
    let (effect, cost) =
        charged(&mut limiter, later, &report(60_100, 30_150.0, Some((50, 30_100.0))));
    assert_eq!((effect.basis, cost), (ReportBasis::Previous, 50.0));
}

/// Datagrams overtake each other: an older report must not count as totals that began anew.
#[test]
fn out_of_order() {
    let mut limiter = limiter();
    charged(&mut limiter, NOW, &report(60_000, 30_000.0, None));
    charged(&mut limiter, NOW, &report(60_020, 30_020.0, None));
    let (effect, cost) = charged(&mut limiter, NOW, &report(60_010, 30_010.0, None));
    assert_eq!((effect.basis, cost), (ReportBasis::Outdated, 0.0));
    let (_, cost) = charged(&mut limiter, NOW, &report(60_030, 30_030.0, None));
    assert_eq!(cost, 10.0);
}

/// Totals that fell, and those that no limit could have admitted, are reported and not charged.
#[test]
fn implausible() {
    let mut limiter = limiter();
    charged(&mut limiter, NOW, &report(60_000, 30_000.0, None));
    let (effect, cost) = charged(&mut limiter, NOW.plus(10_000), &report(60_010, 20.0, None));
    assert_eq!((effect.rejected.len(), cost), (1, 0.0));
    let (effect, cost) = charged(&mut limiter, NOW.plus(20_000), &report(60_020, 90_000.0, None));
    assert_eq!((effect.rejected.len(), cost), (1, 0.0));
    let (effect, cost) = charged(&mut limiter, NOW.plus(30_000), &report(60_030, 90_005.0, None));
    assert_eq!((effect.rejected.len(), cost), (0, 5.0));
}

/// What an aggregator counted is part of the adopted state, also what it still had to deduct here.
#[test]
fn adopted_state() {
    let mut limiter = limiter();
    charged(&mut limiter, NOW, &report(60_000, 30_000.0, None));
    let gap = NOW.plus(3 * SECOND);
    charged(&mut limiter, gap, &report(63_000, 32_500.0, None));
    let subject = LimitSubject::Customer("c".into());
    let state = BucketState { subject, level: 200.0, demand_per_s: 700.0 };
    limiter.set_bucket_states(gap, &[state]);
    assert!(level(&mut limiter, gap.plus(50_000)) >= 250.0);
    let (effect, cost) = charged(&mut limiter, gap.plus(50_000), &report(63_050, 32_550.0, None));
    assert_eq!((effect.basis, cost), (ReportBasis::Ignored, 0.0));
}

/// An aggregator's state below what all VMs can have been admitted since the last one is reported.
#[test]
fn fallen_state() {
    let mut limiter = limiter();
    let subject = LimitSubject::Customer("c".into());
    let state = |level| BucketState { subject: subject.clone(), level, demand_per_s: 700.0 };
    assert!(limiter.set_bucket_states(NOW, &[state(200.0)]).is_empty());
    assert!(limiter.set_bucket_states(NOW.plus(150_000), &[state(-300.0)]).is_empty());
    let fallen = limiter.set_bucket_states(NOW.plus(300_000), &[state(-1_000_000.0)]);
    assert_eq!(fallen, [subject]);
}
