//! Each kind of outcome has its own exit code.

use coltsfoothook_ctl::{CtlExit, CtlStreams, run};

use crate::fake::{run_alone, start};

#[test]
fn without_connection() {
    let help = run_alone(&["--help"]);
    assert_eq!(help.exit, CtlExit::Done);
    assert!(help.out.contains("Examples:") && help.out.contains("5 stale base"), "{}", help.out);
    assert!(run_alone(&["--version"]).out.contains(env!("CARGO_PKG_VERSION")));
    assert_eq!(run_alone(&["frobnicate"]).exit, CtlExit::Usage);
    assert_eq!(run_alone(&["status"]).exit, CtlExit::Usage);
    let mut streams =
        CtlStreams { read_input: Some(|| Ok("abc\n".to_owned())), ..Default::default() };
    assert_eq!(run(&["hash-credential"], &mut streams), CtlExit::Done);
    // The test vector for "abc" from the SHA-256 standard.
    assert_eq!(streams.out, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n");
}

#[test]
fn refused_calls() {
    let running = start("refused_calls");
    let token = running.file("wrong", "tenant-credential");
    let entry = running.address().to_string();
    let unauthorized = run_alone(&["status", "--entry", &entry, "--token-file", &token]);
    assert_eq!(unauthorized.exit, CtlExit::Unauthenticated);
    assert!(!unauthorized.err.contains("tenant-credential"));
    let unreachable = run_alone(&["status", "--entry", "127.0.0.1:1", "--token-file", &token]);
    assert_eq!(unreachable.exit, CtlExit::NotReached);
    let unencrypted = run_alone(&["status", "--entry", "10.0.0.1:8081", "--token-file", &token]);
    assert_eq!(unencrypted.exit, CtlExit::Usage, "no token over the network in the clear");
    assert_eq!(running.run(&["drain", "server", "engine-1"]).exit, CtlExit::Done);
    assert_eq!(running.run(&["drain", "--undo", "vm", "vm-2"]).exit, CtlExit::Done);
    assert_eq!(running.run(&["drain", "server", "unknown"]).exit, CtlExit::Refused);
    assert_eq!(running.run(&["explain", "r-1"]).exit, CtlExit::Refused);
    assert_eq!(running.run(&["lift", "00ff"]).exit, CtlExit::Done);
    let state = running.entry.state.lock().expect("a lock");
    assert_eq!(state.drained, ["engine-1 true", "vm-2 false", "unknown true"]);
}

#[test]
fn rejected_change() {
    // Faults that the server finds in a delta are reported with their lines and columns in the
    // file.
    let running = start("rejected_change");
    let delta = "{\n  \"put\": {\n    \"adapters\": [\n      { \"name\": \"alarm\", \"model\": \"no\", \"versions\": [], \"tenants\": [] }\n    ]\n  }\n}";
    let file = running.file("delta.json", delta);
    let result = running.run(&["publish", "--delta", &file, "--base", "0"]);
    assert_eq!(result.exit, CtlExit::Refused);
    assert!(
        result.err.contains("delta.json:4:26: adapters[\"alarm\"].model: there is no model \"no\""),
        "{}",
        result.err
    );
}
