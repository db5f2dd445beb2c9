//! The `check` command recognises the platform's configuration and reports its findings with their
//! codes and places. Each test is named after the mistake that it guards against.

use coltsfoothook_ctl::CtlExit;
use expect_test::expect;
use serde_json::Value;

use crate::fake::{CommandResult, directory, run_alone};

const SOUND: &str = r#"{
  "version": 7,
  "routes": [
    { "name": "chat", "host": "a.example", "path_prefix": "/chat/", "kind": "streaming", "service": "engines",
      "timeout_ms": 5000, "target_latency_ms": 500, "target_gap_ms": 300, "max_attempts": 2, "resumable": true },
    { "name": "plain", "host": "a.example", "path_prefix": "/plain/", "kind": "safe",
      "traffic_split": [{ "service": "plain", "weight": 90 }, { "service": "canary", "weight": 0 }],
      "timeout_ms": 600, "target_latency_ms": 120, "max_attempts": 1 }
  ],
  "services": [{ "name": "engines" }, { "name": "plain" }, { "name": "canary" }],
  "tenants": [
    { "name": "lilac", "api_keys": ["key-of-lilac"], "unit": "tokens", "plain_tokens": 500, "rate_per_s": 90, "burst": 500 },
    { "name": "sorrel", "api_keys": ["key-of-sorrel"] }
  ],
  "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000 }
}"#;

/// A server of `engines`, one of `plain`, and an entry that names no server.
const SERVERS: &str = r#"{
  "e-1": { "service": "engines", "address": "10.0.0.1:80", "zone": "z", "slots": 12, "state": "ready", "seq": 1 },
  "p-1": { "service": "plain", "address": "10.0.0.2:80", "zone": "z", "slots": 6, "state": "ready", "seq": 1 },
  "e-2": { "service": "engines", "slots": "?" }
}"#;

fn file(name: &str, text: &str) -> String {
    let path = directory("check_configuration").join(name);
    std::fs::write(&path, text).expect("a file");
    path.display().to_string()
}

/// Replaces `old`, which must occur, in the sound configuration.
fn mistake(old: &str, new: &str) -> String {
    assert!(SOUND.contains(old), "{old}");
    SOUND.replace(old, new)
}

/// Runs `check` on a file with `text`; the output is without the directory.
fn check(test: &str, text: &str, options: &[&str]) -> CommandResult {
    let path = file(&format!("{test}.json"), text);
    let mut result = run_alone(&[&["check", path.as_str()], options].concat());
    let prefix = format!("{}/", directory("check_configuration").display());
    result.out = result.out.replace(&prefix, "");
    result.err = result.err.replace(&prefix, "");
    assert!(!result.out.contains("key-of") && !result.err.contains("key-of"), "a key is printed");
    result
}

#[test]
fn sound_configuration() {
    let (old, servers) = (file("sound-old.json", SOUND), file("servers.json", SERVERS));
    let one_attempt = mistake(r#""max_attempts": 2"#, r#""max_attempts": 1"#);
    let result = check("sound", &one_attempt, &["--servers", &servers]);
    assert_eq!(result.exit, CtlExit::Done, "{}", result.err);
    expect![[r#"
        sound.json: no findings; version 7, 2 routes, 3 services, 2 customers
    "#]]
    .assert_eq(&result.out);
    let newer = mistake(r#""version": 7"#, r#""version": 8"#);
    let result = check("sound-json", &newer, &["--against", &old, "--json"]);
    assert_eq!(result.exit, CtlExit::Done, "{}", result.out);
    expect![[r#"
        {"against":7,"exit":0,"findings":[],"servers":null,"version":8}
    "#]]
    .assert_eq(&result.out);
}

#[test]
fn contradictory_limits() {
    let text = mistake(r#""target_latency_ms": 120"#, r#""target_latency_ms": 1200"#)
        .replace(r#""burst": 500"#, r#""burst": 499"#)
        .replace(r#""weight": 90"#, r#""weight": 0"#)
        .replace(r#""key-of-sorrel""#, r#""key-of-lilac""#);
    let result = check("limits", &text, &["--servers", &file("limits-servers.json", SERVERS)]);
    assert_eq!(result.exit, CtlExit::Refused);
    expect![[r#"
        limits.json:5:75: routes["chat"].max_attempts: it allows 2 servers, but 1 of service "engines" are known [attempts_above_servers]
        limits.json:7:7: routes["plain"].traffic_split: the weights sum to zero, so no request can be sent [no_weight]
        limits.json:8:26: routes["plain"].target_latency_ms: the target of 1200 ms is above the timeout of 600 ms [target_above_timeout]
        limits.json:12:111: tenants["lilac"].burst: the burst of 499 tokens is below the 500 that one request costs at least [burst_below_request]
        limits.json:13:25: tenants["sorrel"].api_keys: a key is also a key of customer "lilac", to whom its requests are attributed [shared_key]
    "#]].assert_eq(&result.err);
}

/// One document holds all findings, also those without a mistake.
#[test]
fn unintended_changes() {
    let text = mistake("/plain/", "/plane/").replace("\"sorrel\"", "\"sorel\"");
    let old = file("changes-old.json", SOUND);
    let result = check("changes", &text, &["--against", &old, "--json"]);
    assert_eq!(result.exit, CtlExit::Refused);
    let json: Value = serde_json::from_str(&result.out).expect("one document");
    let findings = json["findings"].as_array().expect("findings");
    let lines: Vec<String> = findings
        .iter()
        .map(|it| format!("{} {} {} {}\n", it["code"], it["difference"], it["line"], it["problem"]))
        .collect();
    expect![[r#"
        "stale_version" false 2 "version 7 is not above version 7, which is in force, so VMs ignore it"
        "changed" true 6 "it differs from the version in force in path_prefix"
        "removed" true 11 "it is in the version in force only"
        "added" true 13 "it is not in the version in force"
    "#]].assert_eq(&lines.concat());
}

#[test]
fn missing_field() {
    let result = check("missing", &mistake(r#""timeout_ms": 600, "#, ""), &[]);
    assert_eq!(result.exit, CtlExit::Refused);
    expect![[r#"
        missing.json:6:5: routes[1]: VMs cannot decode the configuration and ignore it: missing field `timeout_ms` at line 8 column 51 [undecodable]
    "#]].assert_eq(&result.err);
}

/// VMs read JSON without comments, although the check of manifests allows them.
#[test]
fn comment() {
    let result = check("comment", &mistake("\"version\"", "// new\n\"version\""), &[]);
    assert_eq!(result.exit, CtlExit::Refused);
    expect![[r#"
        comment.json:1:1: VMs cannot decode the configuration and ignore it: Syntax error at line 2 column 3 [undecodable]
    "#]].assert_eq(&result.err);
}

/// A key in the place of another value is not quoted.
#[test]
fn misplaced_key() {
    let result = check("misplaced", &mistake(r#""burst": 500"#, r#""burst": "key-of-lilac""#), &[]);
    assert_eq!(result.exit, CtlExit::Refused);
    expect![[r#"
        misplaced.json:12:111: tenants[0].burst: VMs cannot decode the configuration and ignore it: Data error at line 12 column 133 [undecodable]
    "#]].assert_eq(&result.err);
}

#[test]
fn unusable_files() {
    let manifest = file("manifest.json", "{}");
    let config = file("config.json", SOUND);
    let servers = file("no-servers.json", "[]");
    for arguments in [
        ["no/such/file.json", "--against", config.as_str()],
        [&config, "--against", "no/such/file.json"],
        [&config, "--against", &manifest],
        [&config, "--servers", &servers],
        [&config, "--onto", &manifest],
        [&manifest, "--against", &config],
    ] {
        let result = run_alone(&[&["check"], arguments.as_slice()].concat());
        assert_eq!(result.exit, CtlExit::Usage, "{arguments:?}: {}", result.err);
    }
}
