//! The log takes a publication and its answer is lost, or the log is down.

use coltsfoothook_ctl::CtlExit;

use crate::fake::{LogFault, start};

const MANIFEST: &str = r#"{ "models": [{ "name": "base-8b" }] }"#;

fn publish(test: &str, faults: &[LogFault]) -> (CtlExit, u64, String) {
    let running = start(test);
    running.entry.state.lock().expect("a lock").faults = faults.to_vec();
    let file = running.file("manifest.json", MANIFEST);
    let ended = running.run(&["publish", &file, "--base", "0"]);
    let version = running.entry.state.lock().expect("a lock").fold.version();
    (ended.exit, version.0, ended.out + &ended.err)
}

#[test]
fn found_again() {
    // The append takes effect and its answer is lost. The program sends the same publication with
    // the same id, the fold knows it as a repeat, and one version comes of it.
    let (exit, version, text) = publish("found_again", &[LogFault::LostAnswer]);
    assert_eq!((exit, version), (CtlExit::Done, 1), "{text}");
    assert!(text.contains("was in force already, as version 1"), "{text}");
}

#[test]
fn never_known() {
    // The answer is lost and then the log is down for longer than the program tries. The later
    // refusals do not prove that the first append had no effect, so the outcome is unknown.
    let faults = [LogFault::LostAnswer, LogFault::Outage];
    let (exit, version, text) = publish("never_known", &faults);
    assert_eq!((exit, version), (CtlExit::Unknown, 1), "{text}");
}

#[test]
fn log_down() {
    // The log is down throughout, so nothing changed, and the exit code says to come back.
    let (exit, version, text) = publish("log_down", &[LogFault::Outage; 2]);
    assert_eq!((exit, version), (CtlExit::NotNow, 0), "{text}");
}
