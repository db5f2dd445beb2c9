//! Malformed text never makes the parser panic, and each fault's position lies inside the text.

use coltsfoothook_settings::{SettingsDocument, SettingsError, parse_settings};
use proptest::prelude::*;

use crate::sample::SampleSettings;

const VALID_FILE: &str = r#"{ "vm": "e1", "door": { "address": "10.0.0.1:80", "body_bytes": 7 },
  "peers": [{ "vm": "e2", "weight": 0.5 }, { "vm": "é3" }], // a comment
  "least_ms": 5, "most_ms": 10, "key": "/k" }"#;

/// Generates tokens and characters that are likely to break a parser.
fn malformed_piece() -> impl Strategy<Value = String> {
    let tokens =
        ["{", "}", "[", "]", ",", ":", "\"", "\\", "//", "/*", "\n", "null", "1e999", "\u{0}"];
    prop_oneof![
        prop::sample::select(tokens.to_vec()).prop_map(str::to_owned),
        any::<char>().prop_map(String::from)
    ]
}

/// Generates a valid file in which one to three spans are replaced.
fn malformed_file() -> impl Strategy<Value = String> {
    let edits = prop::collection::vec((0..VALID_FILE.len(), 0..6_usize, malformed_piece()), 1..4);
    edits.prop_map(|edits| {
        let mut text: Vec<char> = VALID_FILE.chars().collect();
        for (at, length, piece) in edits {
            let at = at.min(text.len());
            let end = (at + length).min(text.len());
            text.splice(at..end, piece.chars());
        }
        text.into_iter().collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn never_panics(text in malformed_file()) {
        if let Err(SettingsError::Faulty { faults, .. }) = parse_settings::<SampleSettings>("f", &text) {
            prop_assert!(!faults.is_empty());
            for fault in faults {
                let line = text.split('\n').nth(fault.place.line - 1);
                let line = line.expect("the line is in the text");
                prop_assert!(fault.place.column <= line.chars().count() + 1, "{fault}");
            }
        }
    }

    #[test]
    fn locate_any_path(path in ".{0,40}") {
        let document = SettingsDocument::parse(VALID_FILE).expect("the file is valid");
        prop_assert!(document.locate(&path).line >= 1);
    }
}
