//! Which ends of runs count as crashes, and what they are attributed to.

use coltsfoothook_decision::crash::CrashLedger;
use coltsfoothook_decision::id::{RequestFingerprint, TimePoint, stable_hash, stable_hash_bytes};
use coltsfoothook_decision::subject::ServerStart;

const NOW: TimePoint = TimePoint(500_000_000);
const FIRST: RequestFingerprint = RequestFingerprint(1);
const SECOND: RequestFingerprint = RequestFingerprint(2);

fn start(server: &str) -> ServerStart {
    ServerStart { server: server.into(), incarnation: 7 }
}

fn later(ms: u64) -> TimePoint {
    NOW.plus(ms * 1_000)
}

/// Records a crash with these requests that is seen at once.
fn crash(ledger: &mut CrashLedger, server: &str, ms: u64, runs: &[RequestFingerprint]) {
    ledger.record_crash(&start(server), later(ms), runs, later(ms));
}

/// Guards against a crash that several VMs report and that is counted more than once.
#[test]
fn counted_once() {
    let (mut ledger, mut other) = (CrashLedger::default(), CrashLedger::default());
    crash(&mut ledger, "s1", 0, &[FIRST]);
    crash(&mut other, "s1", 0, &[FIRST]);
    for ms in [10, 400, 900] {
        ledger.apply(&other.take_report(true, later(ms)), later(ms));
    }
    assert!(!ledger.is_condemned(FIRST));
}

/// Guards against a VM whose own links are cut and that takes the servers for crashed: they answer others.
#[test]
fn answer_refutes() {
    let (mut cut, mut other) = (CrashLedger::default(), CrashLedger::default());
    for (ms, server) in [(0, "s1"), (100, "s2"), (200, "s3")] {
        crash(&mut cut, server, ms, &[FIRST]);
        other.record_answer(&start(server), later(1_000), later(1_050));
    }
    assert!(cut.is_condemned(FIRST));
    other.apply(&cut.take_report(false, later(1_100)), later(1_100));
    assert!(!other.is_condemned(FIRST));
    let change = cut.apply(&other.take_report(false, later(1_200)), later(1_200));
    assert!(!cut.is_condemned(FIRST));
    assert_eq!(change.cleared, [FIRST]);
}

/// Guards against a condemned request that is let go, since a server that restarted under its name answered before its new
/// start was known: here, and at a VM that is told of the crash and the answer later.
#[test]
fn restarted_under_name() {
    let (mut ledger, mut other) = (CrashLedger::default(), CrashLedger::default());
    crash(&mut ledger, "s1", 0, &[FIRST]);
    crash(&mut ledger, "s2", 100, &[FIRST]);
    ledger.record_answer(&start("s2"), later(800), later(850));
    assert!(!ledger.is_condemned(FIRST));
    let restarted = ServerStart { incarnation: 8, ..start("s2") };
    other.record_start(&restarted, later(1_300));
    other.apply(&ledger.take_report(true, later(1_350)), later(1_350));
    assert!(other.is_condemned(FIRST));
    let change = ledger.record_start(&restarted, later(1_400));
    assert!(ledger.is_condemned(FIRST) && change.condemned.len() == 1);
}

/// Guards against a crash that was taken back rightly, and counts again once the server restarts much later.
#[test]
fn restarted_later() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, "s1", 0, &[FIRST]);
    crash(&mut ledger, "s2", 100, &[FIRST]);
    ledger.record_answer(&start("s2"), later(800), later(850));
    ledger.record_start(&ServerStart { incarnation: 8, ..start("s2") }, later(20_000));
    assert!(!ledger.is_condemned(FIRST));
}

/// Guards against an answer to a request from before the crash that takes the crash back.
#[test]
fn late_answer() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, "s1", 0, &[FIRST]);
    crash(&mut ledger, "s2", 500, &[FIRST]);
    ledger.record_answer(&start("s2"), later(450), later(600));
    assert!(ledger.is_condemned(FIRST));
}

/// Guards against a request that is blamed for crashes under a known suspect.
#[test]
fn suspect_is_blamed() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, "s1", 0, &[FIRST]);
    crash(&mut ledger, "s2", 1_000, &[FIRST, SECOND]);
    crash(&mut ledger, "s3", 2_000, &[FIRST, SECOND]);
    assert!(ledger.is_condemned(FIRST));
    assert!(!ledger.is_condemned(SECOND));
}

/// Guards against two requests that crash servers, always run together and are never told apart.
#[test]
fn always_together() {
    let mut ledger = CrashLedger::default();
    for (ms, server) in [(0, "s1"), (1_000, "s2"), (2_000, "s3")] {
        crash(&mut ledger, server, ms, &[FIRST, SECOND]);
    }
    assert!(ledger.is_condemned(FIRST) && ledger.is_condemned(SECOND));
}

/// Guards against a condemned request that is tried by several VMs at once, or never again.
#[test]
fn tried_in_turns() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, "s1", 0, &[FIRST]);
    crash(&mut ledger, "s2", 1_000, &[FIRST]);
    let mut turns = Vec::new();
    for ms in (1_000..14_000).step_by(50) {
        for rank in 0..3 {
            if ledger.admit(FIRST, rank, 3, later(ms)).is_none() {
                turns.push((ms, rank));
            }
        }
    }
    assert_eq!(turns, [(6_000, 0), (11_000, 2)]);
}

/// Guards against requests that are taken for the same since their bodies are no text.
#[test]
fn bodies_of_bytes() {
    assert_ne!(stable_hash_bytes(&[&[0xff]]), stable_hash_bytes(&[&[0xfe]]));
    assert_eq!(stable_hash_bytes(&[b"path", b"text"]), stable_hash(&["path", "text"]));
}
