//! Statistics of late, refused and failed requests, from log files of gateways.

use std::path::PathBuf;

use serde_json::{Value, json};

use crate::error::CtlError;
use crate::logline::{LogLine, read_lines};
use crate::report::CtlReport;
use crate::table::TextTable;

/// Groups of adapters ranked by number of requests, most requests first. Each entry has the
/// exclusive end of the group's ranks, counted from 0, and the group's label.
const RANKS: [(usize, &str); 4] =
    [(10, "first 10"), (50, "next 40"), (200, "next 150"), (usize::MAX, "all others")];
/// Maximum number of rows in the table of reasons and in the table of causes.
const MAX_ROWS: usize = 12;

/// Counts of outcomes in a group of requests.
#[derive(Clone, Debug, Default)]
struct LossCount {
    requests: u64,
    done: u64,
    refused: u64,
    /// Requests whose caller closed the connection.
    cancelled: u64,
    late: u64,
    /// Answers whose first piece met the route's target, but with a pause between two events longer
    /// than the route allows.
    paused: u64,
    /// Time that requests waited for their adapters or for a server, summed over the requests.
    stall_ms: u64,
    /// Time that requests were held back so that streams at a server do not pause, summed over the
    /// requests.
    held_ms: u64,
    /// Time to the first piece of each request that was done, unsorted.
    first_piece_ms: Vec<u64>,
    /// Adapter loads that servers accepted.
    loads: u64,
}

impl LossCount {
    /// Counts a finished request. If it was done, it is late if its first piece came after more
    /// than `late_ms`.
    fn add(&mut self, line: &LogLine, late_ms: u64) {
        self.requests += 1;
        self.stall_ms += line.number("stall_ms");
        self.held_ms += line.number("held_ms");
        self.paused += u64::from(line.field("late") == Some("pause"));
        match line.field("outcome") {
            Some("done") => {
                let first_ms = line.number("first_ms");
                self.done += 1;
                self.late += u64::from(first_ms > late_ms);
                self.first_piece_ms.push(first_ms);
            }
            Some("refused") => self.refused += 1,
            Some("caller_left") => self.cancelled += 1,
            _ => {}
        }
    }

    fn failed(&self) -> u64 {
        self.requests - self.done - self.refused - self.cancelled
    }

    /// Returns a percentile of the time to the first piece, or zero if no request was done.
    fn first_piece_percentile_ms(&self, percent: usize) -> u64 {
        let mut sorted_ms = self.first_piece_ms.clone();
        sorted_ms.sort_unstable();
        sorted_ms.get(sorted_ms.len() * percent / 100).or(sorted_ms.last()).copied().unwrap_or(0)
    }

    fn cells(&self, name: &str) -> Vec<String> {
        let counts = [
            self.requests,
            self.done,
            self.late,
            self.paused,
            self.refused,
            self.failed(),
            self.cancelled,
            self.first_piece_percentile_ms(50),
            self.first_piece_percentile_ms(95),
            self.stall_ms / self.requests.max(1),
            self.held_ms / self.requests.max(1),
            self.loads,
        ];
        let cells = counts.iter().map(u64::to_string);
        std::iter::once(name.to_owned()).chain(cells).collect()
    }

    fn json(&self, name: &str) -> Value {
        json!({
            "name": name, "asked": self.requests, "done": self.done, "late": self.late, "paused": self.paused,
            "refused": self.refused, "failed": self.failed(), "left": self.cancelled,
            "first_ms_p50": self.first_piece_percentile_ms(50),
            "first_ms_p95": self.first_piece_percentile_ms(95),
            "stall_ms_mean": self.stall_ms / self.requests.max(1),
            "held_ms_mean": self.held_ms / self.requests.max(1), "loads": self.loads,
        })
    }
}

/// Counts per key, sorted by key except in the result of [`by_rank`].
#[derive(Debug, Default)]
struct LossGroups {
    groups: Vec<(String, LossCount)>,
}

impl LossGroups {
    /// Returns the counts of a key, adding them if missing. Requires the groups to be sorted by
    /// key.
    fn get(&mut self, key: &str) -> &mut LossCount {
        let found = self.groups.binary_search_by(|(name, _)| name.as_str().cmp(key));
        let at = found.unwrap_or_else(|at| {
            self.groups.insert(at, (key.to_owned(), LossCount::default()));
            at
        });
        &mut self.groups[at].1
    }

    /// Formats the groups as a table whose first column has the given header.
    fn table(&self, header: &str) -> String {
        let mut table = TextTable::new(&[
            header, "asked", "done", "late", "paused", "refused", "failed", "left", "p50 ms",
            "p95 ms", "stall ms", "held ms", "loads",
        ]);
        self.groups.iter().for_each(|(name, count)| table.row(count.cells(name)));
        table.lines()
    }

    fn json(&self) -> Value {
        self.groups.iter().map(|(name, count)| count.json(name)).collect()
    }
}

/// Counts outcomes of requests by route, by the rank of their adapter, by server, by interval of
/// `every_s` seconds and by reason.
pub(crate) fn losses(files: &[PathBuf], late_ms: u64, every_s: u64) -> Result<CtlReport, CtlError> {
    let lines = read_lines(files)?;
    let ended: Vec<&LogLine> = lines.iter().filter(|line| line.is_any(&["request_done"])).collect();
    let (mut routes, mut times) = (LossGroups::default(), LossGroups::default());
    let mut servers = LossGroups::default();
    let every_ms = every_s.max(1) * 1_000;
    let interval_start = |line: &LogLine| time_of_day(line.at_ms / every_ms * every_ms);
    for line in &ended {
        routes.get(line.field("route").unwrap_or("none")).add(line, late_ms);
        times.get(&interval_start(line)).add(line, late_ms);
        if let Some(server) = line.field("server") {
            servers.get(server).add(line, late_ms);
        }
    }
    for line in lines.iter().filter(|line| is_load(line)) {
        servers.get(line.field("server").unwrap_or_default()).loads += 1;
        times.get(&interval_start(line)).loads += 1;
    }
    let ranks = by_rank(&lines, &ended, late_ms);
    let reasons = reasons(&ended);
    let mut reason_table = TextTable::new(&["outcome and reason", "requests"]);
    for (reason, count) in &reasons {
        reason_table.row(vec![reason.clone(), count.to_string()]);
    }
    let causes = late_causes(&ended);
    let mut cause_table = TextTable::new(&["late because of", "requests"]);
    for (cause, count) in &causes {
        cause_table.row(vec![cause.clone(), count.to_string()]);
    }
    let text = [
        routes.table("route"),
        ranks.table("adapters by use"),
        servers.table("server"),
        times.table("from"),
        cause_table.lines(),
        reason_table.lines(),
    ];
    let json = json!({
        "late_ms": late_ms, "routes": routes.json(), "adapters": ranks.json(),
        "servers": servers.json(), "times": times.json(), "late": causes, "reasons": reasons,
    });
    Ok(CtlReport::done(text.join("\n").trim_end(), &json))
}

/// Returns whether a line records an adapter load that a server accepted.
fn is_load(line: &LogLine) -> bool {
    line.is_any(&["order_given"])
        && line.field("order") == Some("load")
        && line.field("outcome") == Some("accepted")
}

/// Counts outcomes by the rank of the adapters in number of requests.
fn by_rank(lines: &[LogLine], ended: &[&LogLine], late_ms: u64) -> LossGroups {
    let mut adapters = LossGroups::default();
    for line in ended {
        if let Some(adapter) = line.field("adapter") {
            adapters.get(adapter).add(line, late_ms);
        }
    }
    for line in lines.iter().filter(|line| is_load(line)) {
        adapters.get(line.field("subject").unwrap_or_default()).loads += 1;
    }
    adapters.groups.sort_by_key(|(_, count)| std::cmp::Reverse(count.requests));
    let mut ranks: Vec<(String, LossCount)> =
        RANKS.iter().map(|(_, name)| ((*name).to_owned(), LossCount::default())).collect();
    for (rank, (_, count)) in adapters.groups.into_iter().enumerate() {
        let at = RANKS.iter().position(|(end, _)| rank < *end).unwrap_or(RANKS.len() - 1);
        ranks[at].1.merge(count);
    }
    LossGroups { groups: ranks }
}

impl LossCount {
    fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.done += other.done;
        self.refused += other.refused;
        self.cancelled += other.cancelled;
        self.late += other.late;
        self.paused += other.paused;
        self.held_ms += other.held_ms;
        self.stall_ms += other.stall_ms;
        self.loads += other.loads;
        self.first_piece_ms.extend(other.first_piece_ms);
    }
}

/// Counts the causes that the gateways logged for late answers.
fn late_causes(ended: &[&LogLine]) -> Vec<(String, usize)> {
    count_texts(ended.iter().filter_map(|line| line.field("late")).map(str::to_owned).collect())
}

/// Counts the outcomes and reasons of requests that were not done.
fn reasons(ended: &[&LogLine]) -> Vec<(String, usize)> {
    let not_done = ended.iter().filter(|line| line.field("outcome") != Some("done"));
    let named = not_done.map(|line| {
        let outcome = line.field("outcome").unwrap_or("unknown");
        format!("{outcome}: {}", line.field("reason").unwrap_or("no reason"))
    });
    count_texts(named.collect())
}

/// Counts equal texts and returns the [`MAX_ROWS`] most frequent ones, most frequent first.
fn count_texts(mut texts: Vec<String>) -> Vec<(String, usize)> {
    texts.sort_unstable();
    let mut counts: Vec<(String, usize)> =
        texts.chunk_by(|a, b| a == b).map(|same| (same[0].clone(), same.len())).collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(MAX_ROWS);
    counts
}

/// Formats milliseconds since midnight as `HH:MM:SS`.
fn time_of_day(ms: u64) -> String {
    let seconds = ms / 1_000;
    format!("{:02}:{:02}:{:02}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
}
