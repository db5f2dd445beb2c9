//! All faults of a file are reported together, each with line, column, key and allowed values.

use std::path::Path;

use coltsfoothook_settings::{load_settings, parse_settings};
use expect_test::{Expect, expect};

use crate::sample::SampleSettings;

fn check(text: &str, expected: Expect) {
    let error = parse_settings::<SampleSettings>("vm.json", text).expect_err("the file is faulty");
    expected.assert_eq(&error.to_string());
}

#[test]
fn valid_file() {
    let text = r#"{
        // Line comments and trailing commas are accepted.
        "vm": "e1", /* and block comments */
        "door": { "mode": "loopback", },
    }"#;
    let settings = parse_settings::<SampleSettings>("vm.json", text).expect("the file is valid");
    assert_eq!(settings.vm.as_str(), "e1");
    assert_eq!(settings.door.body_bytes, 4096);
}

#[test]
fn syntax_errors() {
    check(
        "{\n  \"vm\": \"e1\"\n  \"least_ms\": 5\n}",
        expect!["vm.json:2:13: syntax error: Expected comma"],
    );
    check("", expect!["vm.json:1:1: the file is empty"]);
    check("{\"vm\": \"e1\"", expect!["vm.json:1:1: syntax error: Unterminated object"]);
    check(
        &"[".repeat(100_000),
        expect!["vm.json:1:513: syntax error: Maximum nesting depth exceeded"],
    );
}

#[test]
fn mistyped_key() {
    check(
        "{\n  \"vm\": \"e1\",\n  \"door\": { \"adress\": \"10.0.0.1:80\" }\n}",
        expect![
            "vm.json:3:13: door.adress: unknown key; did you mean `address`? allowed: `address`, `mode`, `body_bytes`"
        ],
    );
}

#[test]
fn reports_all_faults() {
    // Unknown keys, wrong types, invalid values and rules over several fields are reported in one run.
    check(
        r#"{
  "vm": "a b",
  "door": { "address": "localhost", "mode": "tsl", "body_bytes": 70000 },
  "peers": [{ "vm": "e2", "weight": 11.5 }, { "weight": 1 }],
  "least_ms": 500,
  "most_ms": "100",
  "colour": 1
}"#,
        expect![[r#"
            vm.json:2:3: vm: invalid name; allowed: 1 to 128 bytes, no white space, no control characters, none of @#/\"?%, not "." or ".."
            vm.json:3:13: door.address: invalid socket address syntax; allowed: an IP number and a port, such as 127.0.0.1:8080
            vm.json:3:37: door.mode: unknown value `tsl`; did you mean `tls`? allowed: `tls` or `loopback`
            vm.json:3:52: door.body_bytes: 70000 is out of range; allowed: 1 to 65536
            vm.json:4:27: peers[0].weight: 11.5 is out of range; allowed: 0 to 10
            vm.json:4:45: peers[1].vm: it must be given; allowed: name of an entry VM
            vm.json:5:3: least_ms: it is above most_ms; allowed: at most most_ms
            vm.json:6:3: most_ms: wrong type or value: string "100"; allowed: a whole number from 0 to 18446744073709551615
            vm.json:7:3: colour: unknown key; allowed: `vm`, `door`, `peers`, `key`, `least_ms`, `most_ms`"#]],
    );
}

#[test]
fn faulty_list_entries() {
    // A faulty entry must not hide the faults of later entries or shift their positions.
    check(
        r#"{ "vm": "e1", "peers": [
  { "vm": 1 },
  { "vm": "e2" },
  { "wait": 2 },
  7,
  { "vm": "e3", "weight": "x", "share": 1 },
  { "vm": "e4", "weight": 99 }
] }"#,
        expect![[r#"
            vm.json:1:15: peers: it has 5 entries; allowed: 0 to 4 entries
            vm.json:2:5: peers[0].vm: wrong type or value: integer `1`; allowed: a string
            vm.json:4:3: peers[2].vm: it must be given; allowed: name of an entry VM
            vm.json:4:5: peers[2].wait: unknown key; allowed: `vm` or `weight`
            vm.json:5:3: peers[3]: wrong type or value: integer `7`; allowed: an object
            vm.json:6:17: peers[4].weight: wrong type or value: string "x"; allowed: a number
            vm.json:6:32: peers[4].share: unknown key; allowed: `vm` or `weight`
            vm.json:7:17: peers[5].weight: 99 is out of range; allowed: 0 to 10"#]],
    );
}

#[test]
fn duplicate_key() {
    check(
        "{ \"vm\": \"e1\",\n  \"vm\": \"e2\" }",
        expect!["vm.json:2:3: vm: duplicate key, already set in line 1; allowed: each key once"],
    );
}

#[test]
fn wrong_root() {
    check(
        "[1]",
        expect![[r#"
        vm.json:1:1: vm: it must be given; allowed: name of an entry VM
        vm.json:1:2: [0]: wrong type or value: integer `1`; allowed: a string"#]],
    );
    check(
        "{\"vm\": null, \"door\": [\"10.0.0.1:80\"], \"least_ms\": -1, \"most_ms\": 1e999}",
        expect![[r#"
            vm.json:1:2: vm: wrong type or value: null; allowed: a string
            vm.json:1:39: least_ms: wrong type or value: integer `-1`; allowed: a whole number from 0 to 18446744073709551615
            vm.json:1:55: most_ms: wrong type or value: string "1e999"; allowed: a whole number from 0 to 18446744073709551615"#]],
    );
}

#[test]
fn missing_file() {
    let error = load_settings::<SampleSettings>(Path::new("no/such.json"))
        .expect_err("the file does not exist");
    let text = error.to_string();
    assert!(text.starts_with("no/such.json: cannot read the file: No such file"), "{text}");
}
