//! Resource usage of the process, read from `/proc`.

use std::fs;

/// Resource usage of this process. A figure that could not be read is 0.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// User and system CPU time in seconds since the process started.
    pub cpu_seconds: f64,
    /// Number of open file descriptors.
    pub open_files: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Page size assumed for `statm`; reading the actual size would need a call into the C library.
const PAGE_BYTES: u64 = 4_096;
/// Clock ticks per second (`USER_HZ`) assumed for `stat`; Linux reports 100 to user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Reads the current resource usage of this process.
#[must_use]
pub fn process_usage() -> ProcessUsage {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let open_files = fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count() as u64);
    ProcessUsage { open_files, ..parse_figures(&stat, &statm) }
}

/// Parses the contents of `/proc/self/stat` and `/proc/self/statm`; `open_files` is left at 0.
fn parse_figures(stat: &str, statm: &str) -> ProcessUsage {
    // The second field is the program name in parentheses, which may contain spaces and parentheses.
    let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let number = |index: usize| {
        let field = after_name.split_ascii_whitespace().nth(index);
        field.and_then(|text| text.parse::<u64>().ok()).unwrap_or_default()
    };
    let (user_ticks, system_ticks, threads) = (number(11), number(12), number(17));
    let resident = statm.split_ascii_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    ProcessUsage {
        resident_bytes: resident.unwrap_or_default() * PAGE_BYTES,
        cpu_seconds: (user_ticks + system_ticks) as f64 / TICKS_PER_SECOND,
        open_files: 0,
        threads,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn name_with_parentheses() {
        let stat = "7 (a) b) S 1 7 7 0 -1 0 5 0 0 0 250 50 0 0 20 0 9 0 100 1000 30";
        let figures = parse_figures(stat, "900 30 20 10 0 80 0");
        assert_eq!(figures.cpu_seconds, 3.0);
        assert_eq!(figures.threads, 9);
        assert_eq!(figures.resident_bytes, 30 * PAGE_BYTES);
        assert_eq!(parse_figures("", ""), ProcessUsage::default());
    }
}
