//! Appends records to a stream of the log, in batches, with retries until the append is confirmed.
//!
//! Folds ignore duplicate records, so an append whose answer was lost is sent again. The writer
//! never reorders the records of one stream.

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

/// Maximum number of records that wait for an append; further ones are refused.
const MAX_QUEUED_RECORDS: usize = 4_096;
/// Size of one append: a batch is sent once it reaches either number of records or bytes.
const BATCH_RECORDS: usize = 256;
const BATCH_BYTES: usize = 4 << 20;
/// How long the first record of a batch waits for others. The log takes only several hundred
/// appends per second from all VMs.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Wait after a failed append: starts at the first value and doubles up to the second.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Why the append of a record is not confirmed.
#[derive(Clone, Debug, Snafu, PartialEq)]
pub(crate) enum WriteError {
    /// The record is certainly not in the log.
    #[snafu(display("not appended: {cause}"))]
    NotAppended {
        /// Shown in logs and to callers.
        cause: String,
    },
    /// The record may be in the log.
    #[snafu(display("append not confirmed: {cause}"))]
    Unconfirmed {
        /// Shown in logs and to callers.
        cause: String,
    },
}

struct WriteItem {
    data: String,
    until: Instant,
    unconfirmed: bool,
    answer: oneshot::Sender<Result<(), WriteError>>,
}

/// Queues records for one stream.
#[derive(Clone)]
pub(crate) struct StreamWriter {
    sender: mpsc::Sender<WriteItem>,
}

/// Parameters of a writer task.
pub(crate) struct WriterParts {
    pub(crate) stream: &'static str,
    pub(crate) log: Arc<dyn LogClient>,
    /// Called with whether the log takes appends.
    pub(crate) health: Arc<dyn Fn(bool) + Send + Sync>,
    pub(crate) metrics: Arc<EntryMetrics>,
}

impl StreamWriter {
    /// Starts the writer task of a stream.
    pub(crate) fn start(parts: WriterParts) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_RECORDS);
        tokio::spawn(write_batches(parts, receiver));
        Self { sender }
    }

    /// Appends a record, with retries for `time_limit`.
    pub(crate) async fn append(
        &self,
        data: String,
        time_limit: Duration,
    ) -> Result<(), WriteError> {
        let (answer, answered) = oneshot::channel();
        let item =
            WriteItem { data, until: Instant::now() + time_limit, unconfirmed: false, answer };
        if self.sender.try_send(item).is_err() {
            let cause = "too many records wait for the log".to_owned();
            return Err(WriteError::NotAppended { cause });
        }
        answered.await.unwrap_or_else(|_| {
            Err(WriteError::Unconfirmed { cause: "the process is shutting down".to_owned() })
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
    let until = Instant::now() + BATCH_DELAY;
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
    let mut pause = INITIAL_RETRY_DELAY;
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
        report_append_health(parts, &error);
        log::debug!("append to {} failed: {error}", parts.stream);
        if error == LogError::TooLarge {
            if let [_] = batch.as_slice() {
                let cause = error.to_string();
                answer_all(batch, &Err(WriteError::NotAppended { cause }));
                return;
            }
            // At least one record is too large; each is sent alone, so that the others are
            // appended.
            for item in batch {
                Box::pin(write_batch(parts, vec![item])).await;
            }
            return;
        }
        let unconfirmed = matches!(error, LogError::Unknown { .. } | LogError::BadAnswer { .. });
        let result = if unconfirmed { AppendResult::Unknown } else { AppendResult::Failed };
        parts.metrics.appended(parts.stream, result);
        if unconfirmed {
            event!(AppendUnknown, stream = parts.stream, records = batch.len(), error = error);
        }
        batch.iter_mut().for_each(|item| item.unconfirmed |= unconfirmed);
        batch = drop_expired(batch, &error);
        if batch.is_empty() {
            return;
        }
        let min_delay = match error {
            LogError::Throttled { retry_after } => retry_after,
            _ => Duration::ZERO,
        };
        sleep(pause.max(min_delay)).await;
        pause = (pause * 2).min(MAX_RETRY_DELAY);
    }
}

/// Reports whether the log takes appends, as far as `error` shows. A lost answer is not reported:
/// the append may have succeeded, and with a log considered down every request that needs a claim
/// would be refused. A log that does not answer at all fails its reads too.
fn report_append_health(parts: &WriterParts, error: &LogError) {
    match error {
        LogError::Unavailable { .. } => (parts.health)(false),
        LogError::TooLarge | LogError::Throttled { .. } => (parts.health)(true),
        LogError::Unknown { .. }
        | LogError::BadAnswer { .. }
        | LogError::BehindRetention { .. } => {}
    }
}

/// Fails the records that have expired or lost their receiver, and returns the others.
fn drop_expired(batch: Vec<WriteItem>, error: &LogError) -> Vec<WriteItem> {
    let now = Instant::now();
    let (expired, kept): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(|item| item.until <= now || item.answer.is_closed());
    for item in expired {
        let cause = error.to_string();
        let error = if item.unconfirmed {
            WriteError::Unconfirmed { cause }
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

/// Returns the callback by which a writer reports whether the log takes appends.
pub(crate) fn health_callback(
    health: Arc<LogHealth>,
    clock: ProcessClock,
) -> Arc<dyn Fn(bool) + Send + Sync> {
    Arc::new(move |good| {
        let now = clock.now();
        if good { health.append_answered(now) } else { health.append_failed(now) }
    })
}
