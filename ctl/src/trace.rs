//! Follows one request through log files of gateways.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::json;

use crate::error::{CtlError, CtlExit};
use crate::report::CtlReport;

/// How many milliseconds before its first line what led to a request's end may stand.
const BEFORE_MS: u64 = 3_000;
/// And after its last one: an entry of a server that crashed lapses after some heartbeats.
const AFTER_MS: u64 = 6_000;
/// The longest line that is read.
const MOST_LINE_BYTES: usize = 16 * 1024;

/// One line of a log.
#[derive(Clone, Debug)]
struct TraceLine {
    at_ms: u64,
    text: String,
}

impl TraceLine {
    fn read(line: &str) -> Option<Self> {
        let at_ms = millis_of_day(field(line, "ts")?)?;
        let from = line.find("ts=")?;
        Some(Self { at_ms, text: line[from..].to_owned() })
    }

    fn field(&self, key: &str) -> Option<&str> {
        field(&self.text, key)
    }

    fn is_any(&self, events: &[&str]) -> bool {
        self.field("event").is_some_and(|event| events.contains(&event))
    }
}

/// A value of a line, without quotes.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    loop {
        let at = rest.find(key)?;
        let begins = at == 0 || rest.as_bytes()[at - 1] == b' ';
        let after = &rest[at + key.len()..];
        if begins && let Some(value) = after.strip_prefix('=') {
            return Some(match value.strip_prefix('"') {
                Some(quoted) => quoted.split('"').next().unwrap_or(quoted),
                None => value.split(' ').next().unwrap_or(value),
            });
        }
        rest = after;
    }
}

/// Milliseconds of the day of a time such as `2026-01-31T08:15:02.125Z`.
fn millis_of_day(time: &str) -> Option<u64> {
    let clock = time.split_once('T')?.1.strip_suffix('Z')?;
    let mut parts = clock.split([':', '.']).map(str::parse::<u64>);
    let mut next = || parts.next()?.ok();
    let (hours, minutes, seconds, millis) = (next()?, next()?, next()?, next()?);
    Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
}

/// Tells what became of a request, from log files of all VMs.
pub(crate) fn trace(id: &str, files: &[PathBuf]) -> Result<CtlReport, CtlError> {
    let mut lines = Vec::new();
    for file in files {
        read_lines(file, &mut lines)?;
    }
    lines.sort_by_key(|line| line.at_ms);
    let own: Vec<&TraceLine> =
        lines.iter().filter(|line| line.field("request_id") == Some(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let text = format!("no line names request {id}");
        let exit = CtlExit::Refused;
        return Ok(CtlReport { exit, json: json!({ "request_id": id, "lines": [] }), text });
    };
    let window = first.at_ms.saturating_sub(BEFORE_MS)..=last.at_ms + AFTER_MS;
    let related = |line: &&TraceLine| window.contains(&line.at_ms) && concerns(line, &own);
    let told: Vec<&TraceLine> =
        lines.iter().filter(|line| line.field("request_id") == Some(id) || related(line)).collect();
    let cause = cause(last);
    let texts: Vec<&str> = told.iter().map(|line| line.text.as_str()).collect();
    let text = format!("{}\n{cause}", texts.join("\n"));
    let json = json!({ "request_id": id, "cause": cause, "lines": texts });
    Ok(CtlReport { exit: CtlExit::Done, json, text })
}

fn read_lines(file: &Path, lines: &mut Vec<TraceLine>) -> Result<(), CtlError> {
    let unreadable = |source| CtlError::Unreadable { file: file.to_owned(), source };
    let reader = BufReader::new(File::open(file).map_err(unreadable)?);
    for line in reader.split(b'\n') {
        let line = line.map_err(unreadable)?;
        let line = String::from_utf8_lossy(&line[..line.len().min(MOST_LINE_BYTES)]);
        lines.extend(TraceLine::read(&line));
    }
    Ok(())
}

/// Whether a line of no request speaks of the adapter or a server of this one.
fn concerns(line: &TraceLine, own: &[&TraceLine]) -> bool {
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
fn cause(last: &TraceLine) -> String {
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
