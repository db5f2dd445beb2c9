//! Background writer of log lines that never blocks the threads that log.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use crate::logging::LogOutput;

/// Capacity of the queue in lines. While the queue is full, further lines are dropped and counted.
const QUEUE_LINES: usize = 4_096;
/// Maximum number of queued lines added to one write, which saves system calls under load.
const BATCH_LINES: usize = 256;

/// Queues lines for a thread that writes them.
///
/// Writing to a pipe blocks while its reader is stalled. Requests must not wait for that, so lines are
/// dropped while the queue is full, and the next write ends with a `lines_left_out` line that states their
/// number.
pub(crate) struct LogWriter {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the writer thread, which ends when the `LogWriter` is dropped.
    pub(crate) fn start(output: LogOutput) -> Self {
        let stream: Box<dyn Write + Send> = match output {
            LogOutput::Stderr => Box::new(std::io::stderr()),
            LogOutput::Stdout => Box::new(std::io::stdout()),
        };
        Self::with_stream(stream)
    }

    fn with_stream(stream: Box<dyn Write + Send>) -> Self {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        std::thread::spawn(move || write_all(stream, &queue, &writer_dropped));
        Self { lines, dropped }
    }

    /// Queues a line, or drops and counts it if the queue is full.
    pub(crate) fn write(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_all(mut stream: Box<dyn Write + Send>, queue: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(line) = queue.recv() {
        let mut text = line;
        text.push('\n');
        for line in queue.try_iter().take(BATCH_LINES) {
            text.push_str(&line);
            text.push('\n');
        }
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            text.push_str(&format!("level=warn event=lines_left_out count={dropped_count}\n"));
        }
        // An error here means that the log itself is unusable, so there is nowhere to report it.
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.flush();
    }
}

#[cfg(test)]
#[path = "../tests/unit/writer.rs"]
mod tests;
