//! Follows one request through log files of gateways.

use std::path::PathBuf;

use serde_json::json;

use crate::error::{CtlError, CtlExit};
use crate::logline::{LogLine, read_lines};
use crate::report::CtlReport;

/// How many milliseconds before its first line what led to a request's end may stand.
const BEFORE_MS: u64 = 3_000;
/// And after its last one: an entry of a server that crashed lapses after some heartbeats.
const AFTER_MS: u64 = 6_000;
/// Tells what became of a request, from log files of all VMs.
pub(crate) fn trace(id: &str, files: &[PathBuf]) -> Result<CtlReport, CtlError> {
    let lines = read_lines(files)?;
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("request_id") == Some(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let text = format!("no line names request {id}");
        let exit = CtlExit::Refused;
        return Ok(CtlReport { exit, json: json!({ "request_id": id, "lines": [] }), text });
    };
    let window = first.at_ms.saturating_sub(BEFORE_MS)..=last.at_ms + AFTER_MS;
    let related = |line: &&LogLine| window.contains(&line.at_ms) && concerns(line, &own);
    let told: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("request_id") == Some(id) || related(line)).collect();
    let cause = cause(last);
    let texts: Vec<&str> = told.iter().map(|line| line.text.as_str()).collect();
    let text = format!("{}\n{cause}", texts.join("\n"));
    let json = json!({ "request_id": id, "cause": cause, "lines": texts });
    Ok(CtlReport { exit: CtlExit::Done, json, text })
}

/// Whether a line of no request speaks of the adapter or a server of this one.
fn concerns(line: &LogLine, own: &[&LogLine]) -> bool {
    let named = |key: &str, value: Option<&str>| {
        value.is_some() && own.iter().any(|request| request.field(key) == value)
    };
    if line.is_any(&["adapter_asked", "adapter_version_named"]) {
        return named("adapter", line.field("adapter"));
    }
    if line.is_any(&["order_given"]) {
        return named("adapter", line.field("subject"));
    }
    let servers = ["server_gone", "server_draining", "server_seen", "owner_taken", "owner_lost"];
    line.is_any(&servers) && named("server", line.field("server"))
}

/// What the last line of a request says, in words.
fn cause(last: &LogLine) -> String {
    let outcome = last.field("outcome").or(last.field("event")).unwrap_or("unknown");
    let reason = last.field("reason").unwrap_or("no reason");
    let meaning = match (outcome, reason) {
        ("refused", "adapter_wait") => "no server could load its adapter in time",
        ("refused", "no_server") => "no server that could run it was known, or none had an owner",
        ("refused", "repeat_budget") => "servers refused it and the budget of repeats was used up",
        ("refused", _) => "it was not run",
        ("failed", "deadline") => "its time was over before the answer was whole",
        ("failed", _) => "its server broke off; it may have run",
        ("server_failed", _) => "its server answered with a failure of its own",
        ("caller_left", _) => "its caller closed the connection",
        ("done", _) => "it was answered; stall_ms and first_ms tell where its time went",
        _ => "it has not ended in these lines",
    };
    format!("cause: {outcome}, {reason}: {meaning}")
}
