//! Publications whose answer is lost, or that meet an outage of the log.

use coltsfoothook_ctl::CtlExit;

use crate::fake::{LogFault, start};

const MANIFEST: &str = r#"{ "models": [{ "name": "base-8b" }] }"#;

/// Publishes a manifest while the log has `faults`; returns the exit code, the version in force and
/// the output.
fn publish(test: &str, faults: &[LogFault]) -> (CtlExit, u64, String) {
    let running = start(test);
    running.entry.state.lock().expect("a lock").faults = faults.to_vec();
    let file = running.file("manifest.json", MANIFEST);
    let result = running.run(&["publish", &file, "--base", "0"]);
    let version = running.entry.state.lock().expect("a lock").fold.version();
    (result.exit, version.0, result.out + &result.err)
}

#[test]
fn lost_answer_repeated() {
    // The append takes effect but its answer is lost. The retry has the same publication id, so the
    // fold recognises it as a repeat and makes no second version.
    let (exit, version, text) = publish("lost_answer_repeated", &[LogFault::LostAnswer]);
    assert_eq!((exit, version), (CtlExit::Done, 1), "{text}");
    assert!(text.contains("was in force already, as version 1"), "{text}");
}

#[test]
fn outcome_unknown() {
    // The answer is lost, then the log is down for the remaining attempts. The later refusals do
    // not prove that the first append had no effect, so the outcome is unknown.
    let faults = [LogFault::LostAnswer, LogFault::Outage];
    let (exit, version, text) = publish("outcome_unknown", &faults);
    assert_eq!((exit, version), (CtlExit::Unknown, 1), "{text}");
}

#[test]
fn log_down() {
    // The log is down for all attempts: nothing changed, and the exit code says to retry later.
    let (exit, version, text) = publish("log_down", &[LogFault::Outage; 2]);
    assert_eq!((exit, version), (CtlExit::Unavailable, 0), "{text}");
}
