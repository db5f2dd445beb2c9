//! Appends to a stream of the log: many records in one append, again until it is known to be there.
//!
//! Folds take a repeated record for nothing new, so an append whose answer was lost is simply sent
//! again. The writer never reorders the records of one stream.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_platform::{LogClient, LogError};
use coltsfoothook_telemetry::{AppendResult, event};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::clock::ProcessClock;
use crate::health::LogHealth;
use crate::measure::EntryMetrics;

/// Records that wait for their append; further ones are refused.
const QUEUED_RECORDS: usize = 4_096;
/// Records and bytes of one append.
const BATCH_RECORDS: usize = 256;
const BATCH_BYTES: usize = 4 << 20;
/// How long the first record of an append waits for others. The log takes several hundred appends a
/// second from all VMs, so sharing one is worth more than these milliseconds.
const LINGER: Duration = Duration::from_millis(2);
/// The pause after a failed append, doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Why a record is not known to be in the log.
#[derive(Clone, Debug, Snafu, PartialEq)]
pub(crate) enum WriteError {
    /// It is certainly not there.
    #[snafu(display("not appended: {cause}"))]
    NotAppended {
        /// For logs and callers.
        cause: String,
    },
    /// It may be there.
    #[snafu(display("it is not known whether it was appended: {cause}"))]
    Unsure {
        /// For logs and callers.
        cause: String,
    },
}

struct WriteItem {
    data: String,
    until: Instant,
    unsure: bool,
    answer: oneshot::Sender<Result<(), WriteError>>,
}

/// Takes records for one stream.
#[derive(Clone)]
pub(crate) struct StreamWriter {
    sender: mpsc::Sender<WriteItem>,
}

/// What a writer's task needs.
pub(crate) struct WriterParts {
    pub(crate) stream: &'static str,
    pub(crate) log: Arc<dyn LogClient>,
    pub(crate) health: Arc<dyn Fn(bool) + Send + Sync>,
    pub(crate) metrics: Arc<EntryMetrics>,
}

impl StreamWriter {
    /// Starts the writer of a stream.
    pub(crate) fn start(parts: WriterParts) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUED_RECORDS);
        tokio::spawn(write_batches(parts, receiver));
        Self { sender }
    }

    /// Appends a record; tries again for `within`.
    pub(crate) async fn append(&self, data: String, within: Duration) -> Result<(), WriteError> {
        let (answer, answered) = oneshot::channel();
        let item = WriteItem { data, until: Instant::now() + within, unsure: false, answer };
        if self.sender.try_send(item).is_err() {
            let cause = "too many records wait for the log".to_owned();
            return Err(WriteError::NotAppended { cause });
        }
        answered.await.unwrap_or_else(|_| {
            Err(WriteError::Unsure { cause: "the process is shutting down".to_owned() })
        })
    }
}

async fn write_batches(parts: WriterParts, mut receiver: mpsc::Receiver<WriteItem>) {
    while let Some(first) = receiver.recv().await {
        let batch = fill_batch(first, &mut receiver).await;
        write_batch(&parts, batch).await;
    }
}

async fn fill_batch(first: WriteItem, receiver: &mut mpsc::Receiver<WriteItem>) -> Vec<WriteItem> {
    let until = Instant::now() + LINGER;
    let mut bytes = first.data.len();
    let mut batch = vec![first];
    while batch.len() < BATCH_RECORDS && bytes < BATCH_BYTES {
        let Ok(Some(item)) = timeout_at(until, receiver.recv()).await else { break };
        bytes += item.data.len();
        batch.push(item);
    }
    batch
}

async fn write_batch(parts: &WriterParts, mut batch: Vec<WriteItem>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let records: Vec<String> = batch.iter().map(|item| item.data.clone()).collect();
        let error = match parts.log.append(parts.stream, &records).await {
            Ok(_) => {
                (parts.health)(true);
                parts.metrics.appended(parts.stream, AppendResult::Done);
                answer_all(batch, &Ok(()));
                return;
            }
            Err(error) => error,
        };
        note_health(parts, &error);
        log::debug!("append to {} failed: {error}", parts.stream);
        if error == LogError::TooLarge {
            if let [_] = batch.as_slice() {
                let cause = error.to_string();
                answer_all(batch, &Err(WriteError::NotAppended { cause }));
                return;
            }
            // One of the records is too large; each goes alone, so that the others are not lost.
            for item in batch {
                Box::pin(write_batch(parts, vec![item])).await;
            }
            return;
        }
        let unsure = matches!(error, LogError::Unknown { .. } | LogError::BadAnswer { .. });
        let result = if unsure { AppendResult::Unknown } else { AppendResult::Failed };
        parts.metrics.appended(parts.stream, result);
        if unsure {
            event!(AppendUnknown, stream = parts.stream, records = batch.len(), error = error);
        }
        batch.iter_mut().for_each(|item| item.unsure |= unsure);
        batch = drop_expired(batch, &error);
        if batch.is_empty() {
            return;
        }
        let asked = match error {
            LogError::Throttled { retry_after } => retry_after,
            _ => Duration::ZERO,
        };
        sleep(pause.max(asked)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Tells whether the log takes appends, as far as `error` shows it. A lost answer shows nothing: the
/// append may well stand, and a log that loses answers and is taken to be down would have every
/// request refused that needs a claim. One that does not answer at all fails its reads too.
fn note_health(parts: &WriterParts, error: &LogError) {
    match error {
        LogError::Unavailable { .. } => (parts.health)(false),
        LogError::TooLarge | LogError::Throttled { .. } => (parts.health)(true),
        LogError::Unknown { .. }
        | LogError::BadAnswer { .. }
        | LogError::BehindRetention { .. } => {}
    }
}

/// Answers the records whose time is over, and gives back the others.
fn drop_expired(batch: Vec<WriteItem>, error: &LogError) -> Vec<WriteItem> {
    let now = Instant::now();
    let (expired, kept): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(|item| item.until <= now || item.answer.is_closed());
    for item in expired {
        let cause = error.to_string();
        let error = if item.unsure {
            WriteError::Unsure { cause }
        } else {
            WriteError::NotAppended { cause }
        };
        let _ = item.answer.send(Err(error));
    }
    kept
}

fn answer_all(batch: Vec<WriteItem>, result: &Result<(), WriteError>) {
    for item in batch {
        let _ = item.answer.send(result.clone());
    }
}

/// The callback by which a writer reports how its appends go.
pub(crate) fn report_health(
    health: Arc<LogHealth>,
    clock: ProcessClock,
) -> Arc<dyn Fn(bool) + Send + Sync> {
    Arc::new(move |good| {
        let now = clock.now();
        if good { health.append_answered(now) } else { health.append_failed(now) }
    })
}
