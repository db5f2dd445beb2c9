//! The record of what was sent, answered and run.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const WAIT_TIME: Duration = Duration::from_secs(10);

/// A file to which all processes of a case append lines.
#[derive(Clone)]
pub struct Record {
    pub path: String,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &str) -> Self {
        let file =
            OpenOptions::new().create(true).append(true).open(path).expect("a writable record");
        Self { path: path.to_owned(), file: Arc::new(Mutex::new(file)) }
    }

    /// Waits until a line contains `text` and returns the line; `None` after [`WAIT_TIME`].
    pub fn wait_for(&self, text: &str) -> Option<String> {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIME {
            let lines = std::fs::read_to_string(&self.path).unwrap_or_default();
            if let Some(line) = lines.lines().find(|line| line.contains(text)) {
                return Some(line.to_owned());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Appends a line with the time of day in seconds.
    pub fn line(&self, text: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = format!("{}.{:03} {text}\n", now.as_secs(), now.subsec_millis());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
