//! Completion endpoints of the model engine stand-in: parsing, queueing and writing answers.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use coltsfoothook_decision::id::stable_hash;
use coltsfoothook_engine::{EngineRole, REQUEST_ID_HEADER};
use futures::{Stream, stream};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::answer::{answer_text, continuation, weights_label};
use crate::batch::{BatchRun, RunEnd, RunProgress, RunStream};
use crate::engine::{EngineServer, RunCut};
use crate::orders::no_stream;
use crate::prefix::token_count;
use crate::reply::{self, ConnectionCut, Refusal, Reply};

const KEY_HEADER: &str = "idempotency-key";
const EVENT_STREAM: &str = "text/event-stream";

/// The fields of a completion request that the stand-in reads.
#[derive(Deserialize)]
struct RunBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i32,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: String,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Serialize)]
struct Choice {
    index: u32,
    #[serde(flatten)]
    content: ChoiceContent,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum ChoiceContent {
    Text(String),
    Message(ChatText),
    Delta(ChatText),
}

#[derive(Serialize)]
struct ChatText {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct TokenUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

/// Faults of a run: where its connection is cut, and the delay of its answer.
#[derive(Clone, Copy)]
struct RunFault {
    cut: RunCut,
    delay: Duration,
}

/// A parsed and checked request.
struct RunRequest {
    id: String,
    key: String,
    model: String,
    priority: i32,
    prompt: String,
    /// The part of the answer that was already sent to the caller.
    sent: String,
    /// The number of tokens to generate.
    count: u32,
    /// Whether the body contains the crash mark.
    crashes: bool,
}

/// A queued run with its reader.
struct QueuedRun {
    stream: Arc<RunStream>,
    reader: watch::Receiver<RunProgress>,
    /// One more than the number of the last token.
    end_token: u32,
}

impl EngineServer {
    pub(crate) async fn handle_run(
        &self,
        request: Request<Incoming>,
        chat: bool,
    ) -> Result<Reply, ConnectionCut> {
        let fault = self.next_fault();
        if fault.cut == RunCut::Before {
            return Err(ConnectionCut);
        }
        let id = reply::header_text(&request, REQUEST_ID_HEADER.as_str());
        let key = reply::header_text(&request, KEY_HEADER);
        let bytes = match reply::read_body(request, self.settings.max_body_bytes).await {
            Ok(bytes) => bytes,
            Err(refusal) => return Ok(refusal.into()),
        };
        let body: RunBody = match reply::parse_json(&bytes) {
            Ok(body) => body,
            Err(refusal) => return Ok(refusal.into()),
        };
        let wants_stream = body.stream;
        let queued = self
            .check_request(body, &bytes, id, key)
            .and_then(|request| self.queue_run(request, chat));
        let run = match queued {
            Ok(run) => run,
            Err(refusal) => return Ok(refusal.into()),
        };
        self.wake.notify_one();
        self.answer_run(run, wants_stream, fault).await
    }

    async fn answer_run(
        &self,
        mut run: QueuedRun,
        wants_stream: bool,
        fault: RunFault,
    ) -> Result<Reply, ConnectionCut> {
        if !wants_stream || fault.cut == RunCut::After {
            // The reader is held while waiting, so that the run does not count as unread.
            let ended = run.reader.wait_for(|progress| progress.end.is_some()).await;
            ended.map_err(|_| ConnectionCut)?;
        }
        tokio::time::sleep(fault.delay).await;
        if fault.cut == RunCut::After {
            return Err(ConnectionCut);
        }
        if wants_stream {
            let from = run.stream.first;
            let cut_at =
                (fault.cut == RunCut::Amid).then(|| from + (run.end_token - from).div_ceil(2));
            return Ok(stream_reply(run.stream, run.reader, from, cut_at));
        }
        if fault.cut == RunCut::Amid {
            return Ok(reply::truncated(b"{\"id\":"));
        }
        buffered_reply(&run.stream, *run.reader.borrow())
    }

    /// Consumes the fault for the next run.
    fn next_fault(&self) -> RunFault {
        let mut endpoint_state = self.endpoint_state();
        let delay = Duration::from_millis(endpoint_state.faults.delay_ms);
        if endpoint_state.faults.cut == RunCut::None || endpoint_state.faults.cut_next == 0 {
            return RunFault { cut: RunCut::None, delay };
        }
        endpoint_state.faults.cut_next -= 1;
        RunFault { cut: endpoint_state.faults.cut, delay }
    }

    /// Checks a request's number of tokens and extracts what a run needs; changes no state.
    fn check_request(
        &self,
        body: RunBody,
        bytes: &[u8],
        id: String,
        key: String,
    ) -> Result<RunRequest, Refusal> {
        let requested = body.max_tokens.or(body.max_completion_tokens);
        let mut count = requested.unwrap_or(self.settings.default_tokens);
        if count == 0 || count > self.settings.max_tokens {
            let message = format!("max_tokens must be 1 to {}", self.settings.max_tokens);
            return Err(reply::refusal(StatusCode::BAD_REQUEST, "bad_tokens", &message));
        }
        if self.endpoint_state().role == EngineRole::Prefill {
            count = 1;
        }
        let (prompt, sent) = body.texts();
        let (model, priority) = (body.model, body.priority);
        Ok(RunRequest {
            crashes: self.has_crash_mark(bytes),
            id,
            key,
            model,
            priority,
            prompt,
            sent,
            count,
        })
    }

    /// Queues a run, if its slot is loaded and the queue is not full.
    fn queue_run(&self, request: RunRequest, chat: bool) -> Result<QueuedRun, Refusal> {
        let mut state = self.lock();
        let weights = state.weights_to_run(&request.model)?;
        let label = weights_label(&weights);
        let (prompt, mut first) = continuation(&label, &(request.prompt.clone() + &request.sent));
        let cached = state.prefixes.use_prompt(&label, &request.prompt, Instant::now());
        let prompt_tokens = token_count(&request.prompt);
        let mut prefill_left = prompt_tokens.saturating_sub(cached).max(1);
        if let Some(tokens) = self.import_for(&request.id, &weights, prompt)? {
            (first, prefill_left) = (tokens, 0);
        }
        let end_token = first.saturating_add(request.count);
        let progress = watch::Sender::new(RunProgress { next: first, end: None });
        let reader = progress.subscribe();
        let body_hash = body_hash(&label, &request);
        let stream = Arc::new(RunStream {
            id: if request.id.is_empty() { state.next_id() } else { request.id },
            slot: request.model,
            weights,
            label,
            prompt,
            prompt_tokens,
            first,
            chat,
            created: unix_seconds(),
            progress,
        });
        state.enqueue(BatchRun {
            stream: stream.clone(),
            prefill_left,
            end_token,
            priority: request.priority,
            serial: 0,
            crashes: request.crashes,
            key: request.key,
            body_hash,
            unread_since: None,
        });
        Ok(QueuedRun { stream, reader, end_token })
    }

    /// Returns whether a body contains the crash mark.
    fn has_crash_mark(&self, bytes: &[u8]) -> bool {
        let endpoint_state = self.endpoint_state();
        let Some(mark) =
            endpoint_state.faults.crash_mark.as_deref().filter(|mark| !mark.is_empty())
        else {
            return false;
        };
        bytes.windows(mark.len()).any(|window| window == mark.as_bytes())
    }

    /// Takes the KV cache imported for this request, adapter and prompt, and returns how many
    /// tokens it has. A decode engine refuses a request without one.
    fn import_for(&self, id: &str, weights: &str, prompt: u64) -> Result<Option<u32>, Refusal> {
        let mut endpoint_state = self.endpoint_state();
        let found = endpoint_state
            .imports
            .iter()
            .position(|(name, kv)| name == id && kv.weights == weights && kv.prompt_hash == prompt);
        match found {
            Some(at) => Ok(endpoint_state.imports.remove(at).map(|(_, kv)| kv.tokens)),
            None if endpoint_state.role == EngineRole::Decode => {
                let message = "a decode engine needs an imported KV cache";
                Err(reply::refusal(StatusCode::CONFLICT, "kv_missing", message))
            }
            None => Ok(None),
        }
    }

    pub(crate) fn handle_resume(
        &self,
        request: &Request<Incoming>,
        id: &str,
    ) -> Result<Reply, Refusal> {
        let from = reply::query_number(request, "from", 0)?;
        let mut batch = self.lock();
        batch.counters.resumes += 1;
        let found = batch.stream(id);
        drop(batch);
        let stream = found.ok_or_else(no_stream)?;
        let from = u32::try_from(from).unwrap_or(u32::MAX);
        let reader = stream.progress.subscribe();
        if from < stream.first || from > reader.borrow().next {
            let status = StatusCode::RANGE_NOT_SATISFIABLE;
            return Err(reply::refusal(status, "no_token", "the stream has no such token"));
        }
        Ok(stream_reply(stream, reader, from, None))
    }

    pub(crate) fn handle_cancel(&self, id: &str) -> Result<Reply, Refusal> {
        if self.lock().cancel(id) {
            return Ok(reply::ok(&"cancelled"));
        }
        Err(no_stream())
    }
}

impl RunBody {
    /// Returns the prompt and the part of its answer that was already sent. In a chat the latter is
    /// a trailing message of the assistant; in a plain completion it is part of the prompt.
    fn texts(&self) -> (String, String) {
        if self.messages.is_empty() {
            return (self.prompt.clone(), String::new());
        }
        let (sent, prior) = match self.messages.split_last() {
            Some((last, prior)) if last.role == "assistant" => (last.content.clone(), prior),
            _ => (String::new(), &self.messages[..]),
        };
        let contents: Vec<&str> = prior.iter().map(|message| message.content.as_str()).collect();
        (contents.join("\n"), sent)
    }
}

/// Hashes a request without its slot and id, to count bodies that ran more than once.
fn body_hash(label: &str, request: &RunRequest) -> String {
    let hash = stable_hash(&[label, &request.prompt, &request.sent, &request.count.to_string()]);
    format!("{hash:016x}")
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Makes the answer of an ended run that is not streamed; cuts the connection if the run was lost.
fn buffered_reply(stream: &RunStream, progress: RunProgress) -> Result<Reply, ConnectionCut> {
    let finish = finish_reason(progress.end).ok_or(ConnectionCut)?;
    let text = answer_text(&stream.label, stream.prompt, stream.first, progress.next);
    let content = if stream.chat {
        ChoiceContent::Message(ChatText { role: "assistant", content: text })
    } else {
        ChoiceContent::Text(text)
    };
    let usage = Some(stream.usage(progress.next));
    let object = if stream.chat { "chat.completion" } else { "text_completion" };
    Ok(reply::ok(&stream.completion(object, content, Some(finish), usage)))
}

/// Returns the text of `finish_reason`, or `None` for a run that was lost or has not ended.
fn finish_reason(end: Option<RunEnd>) -> Option<&'static str> {
    match end {
        Some(RunEnd::Done) => Some("length"),
        Some(RunEnd::Cancelled) => Some("abort"),
        Some(RunEnd::Lost) | None => None,
    }
}

fn stream_reply(
    stream: Arc<RunStream>,
    reader: watch::Receiver<RunProgress>,
    from: u32,
    cut_at: Option<u32>,
) -> Reply {
    reply::streamed(EVENT_STREAM, token_events(stream, reader, from, cut_at))
}

/// State of the writer of a stream.
struct StreamWriter {
    stream: Arc<RunStream>,
    reader: watch::Receiver<RunProgress>,
    /// The number of the next token to write.
    next: u32,
    /// The number of the token before which the stream is cut.
    cut_at: Option<u32>,
    ended: bool,
}

/// Streams the tokens of a run from number `from` on as server-sent events.
fn token_events(
    run: Arc<RunStream>,
    reader: watch::Receiver<RunProgress>,
    from: u32,
    cut_at: Option<u32>,
) -> impl Stream<Item = Result<Bytes, ConnectionCut>> + Send + 'static {
    let writer = StreamWriter { stream: run, reader, next: from, cut_at, ended: false };
    stream::unfold(writer, |mut writer| async move {
        if writer.ended {
            return None;
        }
        let piece = writer.next_piece().await;
        writer.ended |= piece.is_err();
        Some((piece, writer))
    })
}

impl StreamWriter {
    /// Waits for new tokens or the end of the run, and returns the events of all new tokens.
    async fn next_piece(&mut self) -> Result<Bytes, ConnectionCut> {
        let next = self.next;
        let has_update = |progress: &RunProgress| progress.next > next || progress.end.is_some();
        let progress = *self.reader.wait_for(has_update).await.map_err(|_| ConnectionCut)?;
        let mut text = String::new();
        while self.next < progress.next {
            if self.cut_at.is_some_and(|at| self.next >= at) {
                return self.cut(text).await;
            }
            self.stream.write_token(&mut text, self.next);
            self.next += 1;
        }
        let Some(end) = progress.end else {
            return Ok(Bytes::from(text));
        };
        match finish_reason(Some(end)) {
            Some(finish) => self.stream.write_end(&mut text, finish, progress.next),
            // The written text is sent first; the next call cuts the stream.
            None if !text.is_empty() => return Ok(Bytes::from(text)),
            None => return Err(ConnectionCut),
        }
        self.ended = true;
        Ok(Bytes::from(text))
    }

    /// Sends `text` if there is any, else cuts the stream.
    async fn cut(&mut self, text: String) -> Result<Bytes, ConnectionCut> {
        if !text.is_empty() {
            return Ok(Bytes::from(text));
        }
        // The delay lets earlier pieces be sent before the cut.
        tokio::time::sleep(reply::CUT_DELAY).await;
        Err(ConnectionCut)
    }
}

impl RunStream {
    fn usage(&self, next: u32) -> TokenUsage {
        let completion_tokens = next - self.first;
        TokenUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens,
            total_tokens: self.prompt_tokens.saturating_add(completion_tokens),
        }
    }

    fn completion(
        &self,
        object: &'static str,
        content: ChoiceContent,
        finish_reason: Option<&'static str>,
        usage: Option<TokenUsage>,
    ) -> Completion<'_> {
        let choices = [Choice { index: 0, content, finish_reason }];
        let (id, created, model) = (self.id.as_str(), self.created, self.slot.as_str());
        Completion { id, object, created, model, choices, usage }
    }

    fn write_token(&self, out: &mut String, number: u32) {
        let text = answer_text(&self.label, self.prompt, number, number + 1);
        self.write_event(out, text, None, None);
    }

    fn write_end(&self, out: &mut String, finish: &'static str, next: u32) {
        self.write_event(out, String::new(), Some(finish), Some(self.usage(next)));
        out.push_str("data: [DONE]\n\n");
    }

    fn write_event(
        &self,
        out: &mut String,
        text: String,
        finish: Option<&'static str>,
        usage: Option<TokenUsage>,
    ) {
        let (object, content) = if self.chat {
            let delta = ChatText { role: "assistant", content: text };
            ("chat.completion.chunk", ChoiceContent::Delta(delta))
        } else {
            ("text_completion", ChoiceContent::Text(text))
        };
        let event = self.completion(object, content, finish, usage);
        // Neither the event's serialization nor writing to a string can fail.
        let json = serde_json::to_string(&event).unwrap_or_default();
        let _ = write!(out, "data: {json}\n\n");
    }
}
