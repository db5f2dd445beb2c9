//! What the process takes from its VM.

use std::fs;

/// Memory, processor time and open files of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessFigures {
    /// Bytes of memory that are resident.
    pub resident_bytes: u64,
    /// Seconds of processor time, in user and system mode.
    pub cpu_seconds: f64,
    /// Files and sockets that are open.
    pub open_files: u64,
    /// Threads.
    pub threads: u64,
}

/// Linux has reported these two as constants to programs for decades; other values would need a call
/// into the C library.
const PAGE_BYTES: u64 = 4_096;
const TICKS_PER_SECOND: f64 = 100.0;

/// Reads the figures of this process; those that the system does not tell are 0.
#[must_use]
pub fn process_figures() -> ProcessFigures {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let open_files = fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count() as u64);
    ProcessFigures { open_files, ..figures_of(&stat, &statm) }
}

/// Reads the contents of `/proc/self/stat` and `/proc/self/statm`.
fn figures_of(stat: &str, statm: &str) -> ProcessFigures {
    // The second field is the program's name in brackets, which may hold blanks and brackets.
    let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let number = |place: usize| {
        let field = after_name.split_ascii_whitespace().nth(place);
        field.and_then(|text| text.parse::<u64>().ok()).unwrap_or_default()
    };
    let (user_ticks, system_ticks, threads) = (number(11), number(12), number(17));
    let resident = statm.split_ascii_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    ProcessFigures {
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
    fn odd_name() {
        let stat = "7 (a) b) S 1 7 7 0 -1 0 5 0 0 0 250 50 0 0 20 0 9 0 100 1000 30";
        let figures = figures_of(stat, "900 30 20 10 0 80 0");
        assert_eq!(figures.cpu_seconds, 3.0);
        assert_eq!(figures.threads, 9);
        assert_eq!(figures.resident_bytes, 30 * PAGE_BYTES);
        assert_eq!(figures_of("", ""), ProcessFigures::default());
    }
}
