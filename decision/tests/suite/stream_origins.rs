//! Streams that VMs begin, tell each other of and go on with, in any order of reports, losses, restarts and cuts.

use coltsfoothook_decision::id::{RequestFingerprint, TimePoint};
use coltsfoothook_decision::origin::{
    OriginTable, OriginVerdict, ReportedStream, StreamMark, StreamOrigin, merge_reports,
};
use proptest::prelude::*;

const LEFT_MS: u32 = 5_000;
const SECOND_US: u64 = 1_000_000;

fn origin(version: u8) -> StreamOrigin {
    StreamOrigin { service: "llm".into(), software: format!("v{version}").as_str().into() }
}

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint(number)
}

/// One step of a fleet.
#[derive(Clone, Debug)]
enum FleetStep {
    /// A VM begins a stream of a request at a version, as this attempt.
    Begin { vm: usize, attempt: u8, request: u64, version: u8 },
    /// What a VM has not told yet reaches some others; the rest is lost.
    Report { vm: usize, reaches: [bool; 4] },
    /// A VM answers another one that asks for an attempt.
    Answer { from: usize, to: usize, attempt: u8 },
    /// A VM starts again and has forgotten all.
    Restart { vm: usize },
    /// Time passes.
    Wait { seconds: u64 },
}

fn steps() -> impl Strategy<Value = Vec<FleetStep>> {
    let vm = || 0..4_usize;
    let attempt = || 0..12_u8;
    let step = prop_oneof![
        4 => (vm(), attempt(), 0..4_u64, 1..3_u8).prop_map(|(vm, attempt, request, version)| {
            FleetStep::Begin { vm, attempt, request, version }
        }),
        4 => (vm(), any::<[bool; 4]>()).prop_map(|(vm, reaches)| FleetStep::Report { vm, reaches }),
        4 => (vm(), vm(), attempt())
            .prop_map(|(from, to, attempt)| FleetStep::Answer { from, to, attempt }),
        1 => vm().prop_map(|vm| FleetStep::Restart { vm }),
        1 => (1..4_u64).prop_map(|seconds| FleetStep::Wait { seconds }),
    ];
    prop::collection::vec(step, 1..80)
}

/// A stream that began, as the test knows it.
struct BegunStream {
    attempt: u8,
    version: u8,
    until: TimePoint,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against a VM that takes a stream for one of another version: what it knows is true, or several streams have
    /// the id, and it knows just one of them.
    #[test]
    fn known_is_true(steps in steps()) {
        let mut vms: Vec<OriginTable> = (0..4).map(|_| OriginTable::default()).collect();
        let mut begun: Vec<BegunStream> = Vec::new();
        let mut now = TimePoint(SECOND_US);
        for step in steps {
            match step {
                FleetStep::Begin { vm, attempt, request: number, version } => {
                    vms[vm].begin(&attempt.to_string(), request(number), origin(version), LEFT_MS, now);
                    let until = now.plus(u64::from(LEFT_MS) * 1_000);
                    begun.push(BegunStream { attempt, version, until });
                }
                FleetStep::Report { vm, reaches } => {
                    let streams = vms[vm].take_unreported(now);
                    for other in (0..4).filter(|other| reaches[*other] && *other != vm) {
                        streams.iter().for_each(|(_, stream)| vms[other].learn(stream, now));
                    }
                }
                FleetStep::Answer { from, to, attempt } => {
                    let mark = StreamMark::of_attempt(&attempt.to_string());
                    if let Some(stream) = vms[from].report(mark, now) {
                        vms[to].learn(&stream, now);
                    }
                }
                FleetStep::Restart { vm } => vms[vm] = OriginTable::default(),
                FleetStep::Wait { seconds } => now = now.plus(seconds * SECOND_US),
            }
            for vm in &vms {
                for attempt in 0..12_u8 {
                    let mark = StreamMark::of_attempt(&attempt.to_string());
                    let OriginVerdict::Known(known) = vm.find(mark, now) else { continue };
                    let is_true = begun.iter().any(|stream| {
                        stream.attempt == attempt
                            && origin(stream.version) == *known
                            && stream.until > now
                    });
                    prop_assert!(is_true, "attempt {attempt} is taken for one of {known:?}");
                }
            }
        }
    }
}

/// Guards against an id of two streams for which one of the versions is picked, also after a report.
#[test]
fn two_versions() {
    let now = TimePoint(SECOND_US);
    let (mut vm, mut other) = (OriginTable::default(), OriginTable::default());
    vm.begin("a", request(1), origin(1), LEFT_MS, now);
    vm.begin("a", request(2), origin(2), LEFT_MS, now);
    let mark = StreamMark::of_attempt("a");
    assert_eq!(vm.find(mark, now), OriginVerdict::Ambiguous);
    other.learn(&vm.report(mark, now).unwrap(), now);
    assert_eq!(other.find(mark, now), OriginVerdict::Ambiguous);
    let known =
        OriginVerdict::Known(&origin(1)) == vm.find(StreamMark::of_request(request(1)), now);
    assert!(known, "each request is known by itself");
}

/// Guards against a stream that is gone on with after its caller's deadline, when its id may name another one.
#[test]
fn forgotten() {
    let now = TimePoint(SECOND_US);
    let mut vm = OriginTable::default();
    vm.begin("a", request(1), origin(1), LEFT_MS, now);
    let later = now.plus(u64::from(LEFT_MS) * 1_000);
    assert_eq!(vm.find(StreamMark::of_attempt("a"), later), OriginVerdict::Unknown);
    assert_eq!(vm.report(StreamMark::of_attempt("a"), later), None);
    vm.begin("a", request(1), origin(2), LEFT_MS, later);
    assert_eq!(vm.find(StreamMark::of_attempt("a"), later), OriginVerdict::Known(&origin(2)));
}

/// Guards against a table that grows without bound while streams begin faster than they are forgotten.
#[test]
fn bounded() {
    let now = TimePoint(SECOND_US);
    let mut vm = OriginTable::default();
    for number in 0..50_000_u64 {
        let marks = vec![StreamMark(number)];
        vm.learn(&ReportedStream { origin: Some(origin(1)), marks, left_ms: LEFT_MS }, now);
    }
    assert!(vm.len() <= 40_000);
    assert_eq!(vm.find(StreamMark(0), now), OriginVerdict::Unknown);
    assert_eq!(vm.find(StreamMark(49_999), now), OriginVerdict::Known(&origin(1)));
}

/// Guards against a VM that runs for long and knows no further version, since it has known so many.
#[test]
fn many_versions() {
    let mut vm = OriginTable::default();
    for number in 0..3_000_u64 {
        let now = TimePoint(number * 10 * SECOND_US);
        let software = format!("v{number}").as_str().into();
        let origin = StreamOrigin { service: "llm".into(), software };
        vm.begin(&number.to_string(), request(number), origin.clone(), LEFT_MS, now);
        let known = vm.find(StreamMark::of_attempt(&number.to_string()), now);
        assert_eq!(known, OriginVerdict::Known(&origin));
    }
}

/// Guards against a merged report that loses marks, mixes origins or is known for too short a time.
#[test]
fn merged_reports() {
    let report = |version, marks: std::ops::Range<u64>, left_ms| ReportedStream {
        origin: Some(origin(version)),
        marks: marks.map(|mark| StreamMark::of_attempt(&mark.to_string())).collect(),
        left_ms,
    };
    let reports = [report(2, 0..2, 10), report(1, 2..4, 30), report(2, 4..6, 20)];
    let mut merged = OriginTable::default();
    merge_reports(reports).iter().for_each(|report| merged.learn(report, TimePoint(0)));
    let now = TimePoint(15_000);
    for (mark, version) in [(0, 2), (1, 2), (2, 1), (3, 1), (4, 2), (5, 2)] {
        let mark = StreamMark::of_attempt(&mark.to_string());
        assert_eq!(merged.find(mark, now), OriginVerdict::Known(&origin(version)));
    }
}

proptest! {
    /// Guards against marks that are lost or mixed up where many are recorded at once.
    #[test]
    fn many_at_once(reports in prop::collection::vec((1..3_u8, prop::collection::vec(0..200_u64, 0..60)), 1..12)) {
        let now = TimePoint(SECOND_US);
        let mark = |number: &u64| StreamMark::of_attempt(&number.to_string());
        let (mut at_once, mut one_by_one) = (OriginTable::default(), OriginTable::default());
        for (version, numbers) in &reports {
            let marks: Vec<StreamMark> = numbers.iter().map(mark).collect();
            let report = ReportedStream { origin: Some(origin(*version)), marks, left_ms: LEFT_MS };
            at_once.learn(&report, now);
            for mark in &report.marks {
                one_by_one.learn(&ReportedStream { marks: vec![*mark], ..report.clone() }, now);
            }
        }
        prop_assert_eq!(at_once.len(), one_by_one.len());
        for number in 0..200 {
            let mark = mark(&number);
            prop_assert_eq!(at_once.find(mark, now), one_by_one.find(mark, now));
        }
    }
}
