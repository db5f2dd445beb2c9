//! Every event in the table is logged by some process, so that the documented list has no dead
//! entry.

use std::fs;
use std::path::Path;

use coltsfoothook_telemetry::EventName;

/// Appends the text of all sources below `directory`, without white space.
fn sources(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, text);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            let source = fs::read_to_string(&path).expect("a source");
            text.extend(source.chars().filter(|c| !c.is_whitespace()));
        }
    }
}

#[test]
fn all_logged() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut text = String::new();
    for entry in fs::read_dir(root).expect("the workspace") {
        let source = entry.expect("an entry").path().join("src");
        if source.is_dir() {
            sources(&source, &mut text);
        }
    }
    let is_logged = |name: &EventName| {
        let (macro_use, direct) = (format!("event!({name:?}"), format!("EventName::{name:?}"));
        text.contains(&macro_use) || text.contains(&direct)
    };
    let missing: Vec<_> = EventName::ALL.iter().filter(|name| !is_logged(name)).collect();
    assert_eq!(missing, Vec::<&EventName>::new());
}
