//! Writes log lines without ever holding up what logs them.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use crate::logging::LogOutput;

/// Lines that wait for a reader that stands still. Further ones are counted and left out.
const WAITING_LINES: usize = 4_096;
/// Lines that are written at once: fewer system calls under load.
const LINES_AT_ONCE: usize = 256;

/// Hands lines to a thread that writes them.
///
/// A pipe whose reader stands still blocks its writer. A request must not wait for that, so a full
/// queue leaves lines out, and the next line that is written tells how many.
pub(crate) struct LogWriter {
    lines: SyncSender<String>,
    left_out: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread.
    pub(crate) fn start(output: LogOutput) -> Self {
        let stream: Box<dyn Write + Send> = match output {
            LogOutput::Stderr => Box::new(std::io::stderr()),
            LogOutput::Stdout => Box::new(std::io::stdout()),
        };
        Self::with_stream(stream)
    }

    fn with_stream(stream: Box<dyn Write + Send>) -> Self {
        let (lines, waiting) = sync_channel(WAITING_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        std::thread::spawn(move || write_all(stream, &waiting, &counted));
        Self { lines, left_out }
    }

    /// Queues a line, or counts it as left out.
    pub(crate) fn write(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_all(mut stream: Box<dyn Write + Send>, waiting: &Receiver<String>, left_out: &AtomicU64) {
    while let Ok(line) = waiting.recv() {
        let mut text = line;
        text.push('\n');
        for line in waiting.try_iter().take(LINES_AT_ONCE) {
            text.push_str(&line);
            text.push('\n');
        }
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            text.push_str(&format!("level=warn event=lines_left_out count={missing}\n"));
        }
        // A closed stream has no reader who could be told.
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.flush();
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::{Receiver, channel};
    use std::time::Instant;

    use super::*;

    /// A stream whose reader stands still.
    struct StuckStream(Receiver<()>);

    impl Write for StuckStream {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let _ = self.0.recv();
            Ok(bytes.len())
        }

        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    /// The reader of a process's log stands still. Lines that do not fit are counted; whoever logs
    /// goes on at once, since nothing waits for the reader.
    #[test]
    fn stuck_reader() {
        let (release, stuck) = channel();
        let writer = LogWriter::with_stream(Box::new(StuckStream(stuck)));
        let begun = Instant::now();
        for _ in 0..3 * WAITING_LINES {
            writer.write("line".to_owned());
        }
        assert!(writer.left_out.load(Ordering::Relaxed) >= WAITING_LINES as u64);
        assert!(begun.elapsed().as_secs() < 60, "logging waited for the reader");
        drop(release);
    }
}
