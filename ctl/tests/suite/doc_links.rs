//! Links between documentation pages point to existing files and headings.

use std::fs;
use std::path::{Path, PathBuf};

/// Lists the Markdown pages of the documentation and of the root.
fn pages() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut pages = vec![root.join("README.md"), root.join("CONTRIBUTING.md")];
    for entry in fs::read_dir(root.join("docs")).expect("the documentation") {
        pages.push(entry.expect("a file").path());
    }
    pages.retain(|page| page.extension().is_some_and(|kind| kind == "md") && page.exists());
    pages
}

/// Returns the targets of Markdown links outside code blocks.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let plain = text.split("```").step_by(2);
    let parts = plain.flat_map(|part| part.split("](").skip(1));
    parts.filter_map(|part| part.split(')').next())
}

/// Returns the anchor that common Markdown renderers generate for a heading.
fn anchor(heading: &str) -> String {
    let kept =
        heading.trim().chars().filter(|c| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_'));
    kept.map(|c| if c == ' ' { '-' } else { c.to_ascii_lowercase() }).collect()
}

#[test]
fn every_link() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a page");
        for link in links(&text) {
            if link.contains("://") || link.starts_with("mailto:") {
                continue;
            }
            let (file, target_anchor) = link.split_once('#').unwrap_or((link, ""));
            let target = if file.is_empty() { page.clone() } else { page.with_file_name(file) };
            let found = fs::read_to_string(&target).ok();
            let has_anchor = |text: &String| {
                let headings = text.lines().filter_map(|line| line.strip_prefix('#'));
                headings
                    .map(|line| anchor(line.trim_start_matches('#')))
                    .any(|it| it == target_anchor)
            };
            let exists = target.exists()
                && (target_anchor.is_empty() || found.as_ref().is_some_and(has_anchor));
            if !exists {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert_eq!(broken, Vec::<String>::new());
}
