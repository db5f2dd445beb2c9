//! Where requests were late, refused or lost, from log files of gateways.

use std::path::PathBuf;

use serde_json::{Value, json};

use crate::error::CtlError;
use crate::logline::{LogLine, read_lines};
use crate::report::CtlReport;
use crate::table::TextTable;

/// Bounds of the groups that adapters are told in, by how often they were asked for: the hottest are few
/// and bring most requests, the coldest are asked for once or twice.
const RANKS: [(usize, &str); 4] =
    [(10, "first 10"), (50, "next 40"), (200, "next 150"), (usize::MAX, "all others")];
/// Reasons that are shown, the most frequent first.
const MOST_REASONS: usize = 12;

/// What became of a group of requests.
#[derive(Clone, Debug, Default)]
struct LossCount {
    asked: u64,
    done: u64,
    refused: u64,
    left: u64,
    late: u64,
    /// Streams that began in time and paused for too long.
    paused: u64,
    stall_ms: u64,
    held_ms: u64,
    firsts_ms: Vec<u64>,
    loads: u64,
}

impl LossCount {
    /// Counts the end of a request; one whose first piece came after `late_ms` is late.
    fn add(&mut self, line: &LogLine, late_ms: u64) {
        self.asked += 1;
        self.stall_ms += line.number("stall_ms");
        self.held_ms += line.number("held_ms");
        self.paused += u64::from(line.field("late") == Some("pause"));
        match line.field("outcome") {
            Some("done") => {
                let first_ms = line.number("first_ms");
                self.done += 1;
                self.late += u64::from(first_ms > late_ms);
                self.firsts_ms.push(first_ms);
            }
            Some("refused") => self.refused += 1,
            Some("caller_left") => self.left += 1,
            _ => {}
        }
    }

    fn failed(&self) -> u64 {
        self.asked - self.done - self.refused - self.left
    }

    fn first_ms(&self, percent: usize) -> u64 {
        let mut firsts = self.firsts_ms.clone();
        firsts.sort_unstable();
        firsts.get(firsts.len() * percent / 100).or(firsts.last()).copied().unwrap_or(0)
    }

    fn cells(&self, name: &str) -> Vec<String> {
        let figures = [
            self.asked,
            self.done,
            self.late,
            self.paused,
            self.refused,
            self.failed(),
            self.left,
            self.first_ms(50),
            self.first_ms(95),
            self.stall_ms / self.asked.max(1),
            self.held_ms / self.asked.max(1),
            self.loads,
        ];
        let cells = figures.iter().map(u64::to_string);
        std::iter::once(name.to_owned()).chain(cells).collect()
    }

    fn json(&self, name: &str) -> Value {
        json!({
            "name": name, "asked": self.asked, "done": self.done, "late": self.late, "paused": self.paused,
            "refused": self.refused, "failed": self.failed(), "left": self.left,
            "first_ms_p50": self.first_ms(50), "first_ms_p95": self.first_ms(95),
            "stall_ms_mean": self.stall_ms / self.asked.max(1),
            "held_ms_mean": self.held_ms / self.asked.max(1), "loads": self.loads,
        })
    }
}

/// Counts by a key, sorted by it.
#[derive(Debug, Default)]
struct LossGroups {
    groups: Vec<(String, LossCount)>,
}

impl LossGroups {
    fn get(&mut self, key: &str) -> &mut LossCount {
        let found = self.groups.binary_search_by(|(name, _)| name.as_str().cmp(key));
        let at = found.unwrap_or_else(|at| {
            self.groups.insert(at, (key.to_owned(), LossCount::default()));
            at
        });
        &mut self.groups[at].1
    }

    fn table(&self, head: &str) -> String {
        let mut table = TextTable::new(&[
            head, "asked", "done", "late", "paused", "refused", "failed", "left", "p50 ms",
            "p95 ms", "stall ms", "held ms", "loads",
        ]);
        self.groups.iter().for_each(|(name, count)| table.row(count.cells(name)));
        table.lines()
    }

    fn json(&self) -> Value {
        self.groups.iter().map(|(name, count)| count.json(name)).collect()
    }
}

/// Counts what became of requests by route, by how often their adapter is asked for, by time and by reason.
pub(crate) fn losses(files: &[PathBuf], late_ms: u64, every_s: u64) -> Result<CtlReport, CtlError> {
    let lines = read_lines(files)?;
    let ended: Vec<&LogLine> = lines.iter().filter(|line| line.is_any(&["request_done"])).collect();
    let (mut routes, mut times) = (LossGroups::default(), LossGroups::default());
    let mut servers = LossGroups::default();
    let every_ms = every_s.max(1) * 1_000;
    let time = |line: &LogLine| clock(line.at_ms / every_ms * every_ms);
    for line in &ended {
        routes.get(line.field("route").unwrap_or("none")).add(line, late_ms);
        times.get(&time(line)).add(line, late_ms);
        if let Some(server) = line.field("server") {
            servers.get(server).add(line, late_ms);
        }
    }
    for line in lines.iter().filter(|line| is_load(line)) {
        servers.get(line.field("server").unwrap_or_default()).loads += 1;
        times.get(&time(line)).loads += 1;
    }
    let ranks = by_rank(&lines, &ended, late_ms);
    let reasons = reasons(&ended);
    let mut shown = TextTable::new(&["outcome and reason", "requests"]);
    for (reason, count) in &reasons {
        shown.row(vec![reason.clone(), count.to_string()]);
    }
    let causes = late_causes(&ended);
    let mut late = TextTable::new(&["late because of", "requests"]);
    for (cause, count) in &causes {
        late.row(vec![cause.clone(), count.to_string()]);
    }
    let text = [
        routes.table("route"),
        ranks.table("adapters by use"),
        servers.table("server"),
        times.table("from"),
        late.lines(),
        shown.lines(),
    ];
    let json = json!({
        "late_ms": late_ms, "routes": routes.json(), "adapters": ranks.json(),
        "servers": servers.json(), "times": times.json(), "late": causes, "reasons": reasons,
    });
    Ok(CtlReport::done(text.join("\n").trim_end(), &json))
}

/// Whether a line tells of the load of an adapter that a server accepted.
fn is_load(line: &LogLine) -> bool {
    line.is_any(&["order_given"])
        && line.field("order") == Some("load")
        && line.field("outcome") == Some("accepted")
}

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
    adapters.groups.sort_by_key(|(_, count)| std::cmp::Reverse(count.asked));
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
        self.asked += other.asked;
        self.done += other.done;
        self.refused += other.refused;
        self.left += other.left;
        self.late += other.late;
        self.paused += other.paused;
        self.held_ms += other.held_ms;
        self.stall_ms += other.stall_ms;
        self.loads += other.loads;
        self.firsts_ms.extend(other.firsts_ms);
    }
}

/// What made answers late, as the gateways found.
fn late_causes(ended: &[&LogLine]) -> Vec<(String, usize)> {
    counted(ended.iter().filter_map(|line| line.field("late")).map(str::to_owned).collect())
}

fn reasons(ended: &[&LogLine]) -> Vec<(String, usize)> {
    let lost = ended.iter().filter(|line| line.field("outcome") != Some("done"));
    let named = lost.map(|line| {
        let outcome = line.field("outcome").unwrap_or("unknown");
        format!("{outcome}: {}", line.field("reason").unwrap_or("no reason"))
    });
    counted(named.collect())
}

/// How often each text comes, the most frequent first.
fn counted(mut named: Vec<String>) -> Vec<(String, usize)> {
    named.sort_unstable();
    let mut counts: Vec<(String, usize)> =
        named.chunk_by(|a, b| a == b).map(|same| (same[0].clone(), same.len())).collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(MOST_REASONS);
    counts
}

/// A time of the day.
fn clock(ms: u64) -> String {
    let seconds = ms / 1_000;
    format!("{:02}:{:02}:{:02}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
}
