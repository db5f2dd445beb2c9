//! The `check` command reports all faults of a manifest, each with its line and column.

use std::fmt::Write;

use coltsfoothook_ctl::CtlExit;
use expect_test::expect;

use crate::fake::{directory, run_alone};

/// Runs `check` on a file with `text`; returns the exit code and the output without the directory.
fn check(test: &str, text: &str) -> (CtlExit, String) {
    let directory = directory("check_offline");
    let path = directory.join(format!("{test}.json"));
    std::fs::write(&path, text).expect("a file");
    let result = run_alone(&["check", &path.display().to_string()]);
    let output = (result.out + &result.err).replace(&format!("{}/", directory.display()), "");
    (result.exit, output)
}

#[test]
fn syntax_faults() {
    let (exit, output) = check(
        "shape",
        "{\n  \"models\": [{ \"name\": \"m\" }],\n  // a typo, a wrong type and a missing key\n  \"adaptors\": [],\n  \
         \"servers\": [{ \"name\": \"e\", \"address\": 80 }],\n  \"tenants\": [{ \"name\": \"t\" }]\n}",
    );
    assert_eq!(exit, CtlExit::Refused);
    expect![[r#"
        shape.json:4:3: adaptors: unknown key; did you mean `adapters`? allowed: `models`, `adapters`, `tenants`, `servers`, `services`, `classes`, `schedules`, `stores`, `policy`
        shape.json:5:30: servers[0].address: wrong type or value: integer `80`; allowed: an IP number and a port, such as 127.0.0.1:8080
        shape.json:6:15: tenants[0].credentials: it must be given
    "#]].assert_eq(&output);
}

#[test]
fn semantic_faults() {
    let (exit, output) = check(
        "sense",
        r#"{
  "models": [{ "name": "m" }],
  "tenants": [{ "name": "t", "credentials": ["abc"], "weight": 1000 }],
  "adapters": [
    { "name": "a", "model": "m", "tenants": ["t"], "versions": [{ "version": "1", "weights": "w" }] },
    { "name": "a", "model": "gone", "tenants": ["t", "u"], "versions": [{ "version": "1", "weights": "" }],
      "default_version": "2" }
  ],
  "schedules": [{ "name": "s", "adapter": "a", "version": "3", "due_s": 86400 }]
}"#,
    );
    assert_eq!(exit, CtlExit::Refused);
    expect![[r#"
        sense.json:3:46: tenants["t"].credentials[0]: it is not the SHA-256 hash of a credential; allowed: 64 hexadecimal digits
        sense.json:3:54: tenants["t"].weight: 1000 is out of range; allowed: 0.01 to 100
        sense.json:6:5: adapters["a"]: "a" stands more than once; allowed: once
        sense.json:6:20: adapters["a"].model: there is no model "gone"; allowed: the name of a model in the manifest
        sense.json:6:54: adapters["a"].tenants["u"]: there is no tenant "u"; allowed: the name of a tenant in the manifest
        sense.json:6:91: adapters["a"].versions["1"].weights: the path of the weights is ""; allowed: 1 to 1024 bytes without control characters
        sense.json:7:7: adapters["a"].default_version: the adapter has no version "2"; allowed: one of the adapter's versions
        sense.json:9:48: schedules["s"].version: adapter "a" has no version "3"; allowed: one of the adapter's versions
        sense.json:9:64: schedules["s"].due_s: 86400 is out of range; allowed: 0 to 86399
    "#]].assert_eq(&output);
}

/// A fault in a large manifest is located correctly, and the manifest passes once it is fixed.
#[test]
fn many_adapters() {
    let mut text = String::from("{ \"models\": [{ \"name\": \"m\" }], \"adapters\": [\n");
    for number in 0..16_000 {
        let weights = format!("s3://weights/{number}");
        let version = if number == 15_000 { "" } else { "1" };
        writeln!(
            text,
            r#"{{ "name": "a{number}", "model": "m", "tenants": [], "versions": [{{ "version": "{version}", "weights": "{weights}" }}] }},"#
        )
        .expect("text");
    }
    text.push_str("] }");
    let (exit, output) = check("many", &text);
    assert_eq!(exit, CtlExit::Refused);
    expect![[r#"
        many.json:15002:65: adapters["a15000"].versions[0].version: the name "" is not allowed; allowed: 1 to 128 bytes, no white space, no control characters, none of @#/\"?%, not "." or ".."
    "#]].assert_eq(&output);
    let (exit, output) = check("whole", &text.replace(r#""version": """#, r#""version": "1""#));
    assert_eq!(exit, CtlExit::Done, "{output}");
    assert!(output.contains("16000 adapters with 16000 versions"), "{output}");
}
