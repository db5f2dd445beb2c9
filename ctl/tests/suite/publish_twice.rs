//! Concurrent and repeated publications.

use coltsfoothook_ctl::CtlExit;

use crate::fake::start;

const FIRST: &str = r#"{ "models": [{ "name": "base-8b" }] }"#;
const SECOND: &str = r#"{ "models": [{ "name": "base-8b" }, { "name": "base-70b" }] }"#;

#[test]
fn repeated_publication() {
    // A pipeline is restarted after its publication succeeded and publishes the same change again.
    // The command reports the version in force and makes no second one.
    let running = start("repeated_publication");
    let file = running.file("manifest.json", FIRST);
    let first = running.run(&["publish", &file, "--base", "0"]);
    assert_eq!(
        (first.exit, first.out.as_str()),
        (CtlExit::Done, "the change is in force as version 1\n")
    );
    running.file("manifest.json", &format!("// another comment\n{FIRST}"));
    let again = running.run(&["publish", &file, "--base", "0"]);
    assert_eq!(again.out, "the change was in force already, as version 1\n");
    assert_eq!(running.entry.state.lock().expect("a lock").fold.version().0, 1);
}

#[test]
fn race_lost() {
    // Two operators build on version 0. The second publication to reach the log is refused with the
    // version in force, so it cannot silently overwrite the first one.
    let running = start("race_lost");
    let first = running.file("first.json", FIRST);
    let second = running.file("second.json", SECOND);
    assert_eq!(running.run(&["publish", &first, "--base", "0"]).exit, CtlExit::Done);
    let lost = running.run(&["publish", &second, "--base", "0"]);
    assert_eq!(lost.exit, CtlExit::StaleBase);
    assert!(lost.err.contains("version 1 is in force and this change builds on 0"), "{}", lost.err);
    let shown = running.run(&["diff", &second]);
    assert_eq!(shown.out, "changes against version 1: 1\n+ models[\"base-70b\"]\n");
    assert_eq!(running.run(&["publish", &second, "--base", "1"]).exit, CtlExit::Done);
}

#[test]
fn diff_as_delta() {
    // The delta that `diff --json` prints can be published and yields the new manifest.
    let running = start("diff_as_delta");
    let old = r#"{ "models": [{ "name": "a" }, { "name": "b" }],
        "stores": [{ "region": "nbo", "loads_per_s": 5, "full_speed": 2 }] }"#;
    let new = r#"{ "models": [{ "name": "b" }, { "name": "c" }], "policy": { "stall_weight": 1 },
        "stores": [{ "region": "nbo", "loads_per_s": 7, "full_speed": 2 }] }"#;
    let (old, new) = (running.file("old.json", old), running.file("new.json", new));
    assert_eq!(running.run(&["publish", &old, "--base", "0"]).exit, CtlExit::Done);
    let shown = running.run(&["diff", &new]);
    assert_eq!(
        shown.out,
        "changes against version 1: 4\n- models[\"a\"]\n+ models[\"c\"]\n~ stores[\"nbo\"]: \
         loads_per_s\n~ policy: stall_weight\n"
    );
    let shown: serde_json::Value =
        serde_json::from_str(&running.run(&["diff", &new, "--json"]).out).expect("an object");
    let delta = running.file("delta.json", &shown["delta"].to_string());
    let published = running.run(&["publish", "--delta", &delta, "--base", "1", "--json"]);
    assert_eq!(published.exit, CtlExit::Done, "{}", published.out);
    assert_eq!(running.run(&["diff", &new]).out, "changes against version 2: 0\n");
}
