//! Reads and parses log files of gateways (logfmt).

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::error::CtlError;

/// Maximum length of a line; the rest of a longer line is ignored.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// A line of a log.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Milliseconds since midnight UTC.
    pub(crate) at_ms: u64,
    /// The line from `ts=` on.
    pub(crate) text: String,
}

impl LogLine {
    fn parse(line: &str) -> Option<Self> {
        let at_ms = millis_of_day(field(line, "ts")?)?;
        let from = line.find("ts=")?;
        Some(Self { at_ms, text: line[from..].to_owned() })
    }

    /// Returns the value of a key without its quotes, or `None` if the line lacks the key.
    pub(crate) fn field(&self, key: &str) -> Option<&str> {
        field(&self.text, key)
    }

    /// Returns the value of a key as a number, or zero if it is absent or no number.
    pub(crate) fn number(&self, key: &str) -> u64 {
        self.field(key).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the line records one of these events.
    pub(crate) fn is_any(&self, events: &[&str]) -> bool {
        self.field("event").is_some_and(|event| events.contains(&event))
    }
}

/// Returns the value of a key in a line, without its quotes.
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

/// Returns the milliseconds since midnight of a timestamp such as `2026-01-31T08:15:02.125Z`.
fn millis_of_day(time: &str) -> Option<u64> {
    let clock = time.split_once('T')?.1.strip_suffix('Z')?;
    let mut parts = clock.split([':', '.']).map(str::parse::<u64>);
    let mut next = || parts.next()?.ok();
    let (hours, minutes, seconds, millis) = (next()?, next()?, next()?, next()?);
    Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
}

/// Reads the files and returns their lines sorted by time of day; skips lines without a timestamp.
pub(crate) fn read_lines(files: &[PathBuf]) -> Result<Vec<LogLine>, CtlError> {
    let mut lines = Vec::new();
    for file in files {
        read_file(file, &mut lines)?;
    }
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

fn read_file(file: &Path, lines: &mut Vec<LogLine>) -> Result<(), CtlError> {
    let unreadable = |source| CtlError::Unreadable { file: file.to_owned(), source };
    let reader = BufReader::new(File::open(file).map_err(unreadable)?);
    for line in reader.split(b'\n') {
        let line = line.map_err(unreadable)?;
        let line = String::from_utf8_lossy(&line[..line.len().min(MAX_LINE_BYTES)]);
        lines.extend(LogLine::parse(&line));
    }
    Ok(())
}
