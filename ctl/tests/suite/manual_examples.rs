//! The examples in docs/OPERATORS.md are valid as printed.

use std::path::PathBuf;

use coltsfoothook_ctl::{CtlExit, CtlSettings};
use coltsfoothook_settings::parse_settings;

use crate::fake::{directory, run_alone};

const MANUAL: &str = include_str!("../../../docs/OPERATORS.md");

/// Returns the text of the example called `name`.
fn example(name: &str) -> &'static str {
    let marker = format!("<!-- example: {name} -->\n```json\n");
    let (_, rest) = MANUAL.split_once(&marker).expect("the example is there");
    rest.split_once("```").expect("the example ends").0
}

/// Writes the example called `name` to a file.
fn file(name: &str) -> PathBuf {
    let path = directory("manual_examples").join(format!("{name}.json"));
    std::fs::write(&path, example(name)).expect("a file");
    path
}

#[test]
fn manifest_and_delta() {
    let (manifest, delta) = (file("manifest"), file("delta"));
    let (manifest, delta) = (manifest.display().to_string(), delta.display().to_string());
    let whole = run_alone(&["check", &manifest]);
    assert_eq!(whole.exit, CtlExit::Done, "{}", whole.err);
    let applied = run_alone(&["check", &delta, "--onto", &manifest]);
    assert_eq!(applied.exit, CtlExit::Done, "{}", applied.err);
    assert!(applied.out.contains("2 adapters") && applied.out.contains("0 schedules"));
}

#[test]
fn own_settings() {
    let settings = parse_settings::<CtlSettings>("ctl.json", example("ctl"));
    assert_eq!(settings.expect("good settings").entries.len(), 3);
}
