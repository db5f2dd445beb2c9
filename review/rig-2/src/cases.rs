//! The cases.

use std::path::Path;

use crate::world::Log;
use sent_again::Variant;

mod cut_answers;
mod deadly_request;
mod fleet;
mod sent_again;
mod torn_answers;

/// The exit codes of a case.
pub const HELD: u8 = 0;
pub const BROKEN: u8 = 1;
pub const NOT_RUN: u8 = 2;

/// Plays a case and writes its record.
pub fn play(case: &str, root: &Path, has_trouble: bool, folder: &Path) -> u8 {
    let log = Log::new();
    log.line(format!("{case}, {}", if has_trouble { "with its disruption" } else { "TROUBLE=0" }));
    let result = match case {
        "cut-answers" => cut_answers::play(root, has_trouble, &log),
        "same-text" => sent_again::play(root, has_trouble, Variant::SameText, &log),
        "slow-end" => sent_again::play(root, has_trouble, Variant::SlowEnd, &log),
        "torn-answers" => torn_answers::play(root, has_trouble, &log),
        "deadly-request" => deadly_request::play(root, has_trouble, &log),
        _ => {
            log.line("there is no such case");
            NOT_RUN
        }
    };
    log.line(match result {
        HELD => "result: the rule held",
        BROKEN => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    log.save(&folder.join("record.txt"));
    result
}
