//! Completions at the model engine stand-in: parsing, queueing, and writing the answer.

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

/// The body of a completion, as far as the stand-in reads it.
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

/// How a run's answer is to be harmed.
#[derive(Clone, Copy)]
struct RunFault {
    cut: RunCut,
    delay: Duration,
}

/// What a request asks for.
struct RunAsk {
    id: String,
    key: String,
    model: String,
    priority: i32,
    prompt: String,
    /// What of the answer was already sent to the caller.
    sent: String,
    count: u32,
    crashes: bool,
}

/// A run that was queued, with its reader.
struct QueuedRun {
    stream: Arc<RunStream>,
    reader: watch::Receiver<RunProgress>,
    last: u32,
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
        let queued = self.ask(body, &bytes, id, key).and_then(|ask| self.queue_run(ask, chat));
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
            // The wait holds a reader, so that the run is not taken for one that nobody reads.
            let ended = run.reader.wait_for(|progress| progress.end.is_some()).await;
            ended.map_err(|_| ConnectionCut)?;
        }
        tokio::time::sleep(fault.delay).await;
        if fault.cut == RunCut::After {
            return Err(ConnectionCut);
        }
        if wants_stream {
            let from = run.stream.first;
            let cut_at = (fault.cut == RunCut::Amid).then(|| from + (run.last - from).div_ceil(2));
            return Ok(stream_reply(run.stream, run.reader, from, cut_at));
        }
        if fault.cut == RunCut::Amid {
            return Ok(reply::cut_amid(b"{\"id\":"));
        }
        whole_reply(&run.stream, *run.reader.borrow())
    }

    fn next_fault(&self) -> RunFault {
        let mut extra = self.extra();
        let delay = Duration::from_millis(extra.faults.delay_ms);
        if extra.faults.cut == RunCut::None || extra.faults.cut_next == 0 {
            return RunFault { cut: RunCut::None, delay };
        }
        extra.faults.cut_next -= 1;
        RunFault { cut: extra.faults.cut, delay }
    }

    /// Checks what a request asks, before any state is touched.
    fn ask(&self, body: RunBody, bytes: &[u8], id: String, key: String) -> Result<RunAsk, Refusal> {
        let asked = body.max_tokens.or(body.max_completion_tokens);
        let mut count = asked.unwrap_or(self.settings.default_tokens);
        if count == 0 || count > self.settings.max_tokens {
            let message = format!("max_tokens must be 1 to {}", self.settings.max_tokens);
            return Err(reply::refusal(StatusCode::BAD_REQUEST, "bad_tokens", &message));
        }
        if self.extra().role == EngineRole::Prefill {
            count = 1;
        }
        let (prompt, sent) = body.texts();
        let (model, priority) = (body.model, body.priority);
        Ok(RunAsk { crashes: self.is_marked(bytes), id, key, model, priority, prompt, sent, count })
    }

    /// Puts a run into the queue, if its slot is loaded and there is room.
    fn queue_run(&self, ask: RunAsk, chat: bool) -> Result<QueuedRun, Refusal> {
        let mut state = self.lock();
        let weights = state.weights_to_run(&ask.model)?;
        let label = weights_label(&weights);
        let (prompt, mut first) = continuation(&label, &(ask.prompt.clone() + &ask.sent));
        let cached = state.prefixes.use_prompt(&label, &ask.prompt, Instant::now());
        let prompt_tokens = token_count(&ask.prompt);
        let mut prefill_left = prompt_tokens.saturating_sub(cached).max(1);
        if let Some(tokens) = self.import_for(&ask.id, &weights, prompt)? {
            (first, prefill_left) = (tokens, 0);
        }
        let last = first.saturating_add(ask.count);
        let progress = watch::Sender::new(RunProgress { next: first, end: None });
        let reader = progress.subscribe();
        let body_hash = body_hash(&label, &ask);
        let stream = Arc::new(RunStream {
            id: if ask.id.is_empty() { state.next_id() } else { ask.id },
            slot: ask.model,
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
            last,
            priority: ask.priority,
            serial: 0,
            crashes: ask.crashes,
            key: ask.key,
            body_hash,
            unread_since: None,
        });
        Ok(QueuedRun { stream, reader, last })
    }

    fn is_marked(&self, bytes: &[u8]) -> bool {
        let extra = self.extra();
        let Some(mark) = extra.faults.crash_mark.as_deref().filter(|mark| !mark.is_empty()) else {
            return false;
        };
        bytes.windows(mark.len()).any(|window| window == mark.as_bytes())
    }

    /// The tokens that an imported KV cache already has, if it is for this prompt and adapter.
    fn import_for(&self, id: &str, weights: &str, prompt: u64) -> Result<Option<u32>, Refusal> {
        let mut extra = self.extra();
        let found = extra
            .imports
            .iter()
            .position(|(name, kv)| name == id && kv.weights == weights && kv.prompt_hash == prompt);
        match found {
            Some(at) => Ok(extra.imports.remove(at).map(|(_, kv)| kv.tokens)),
            None if extra.role == EngineRole::Decode => {
                let message = "an engine that decodes needs a KV cache";
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
        let found = self.lock().stream(id);
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
    /// The prompt, and what of its answer was already sent. In a chat the latter is a last message
    /// of the assistant.
    fn texts(&self) -> (String, String) {
        if self.messages.is_empty() {
            return (self.prompt.clone(), String::new());
        }
        let (sent, asked) = match self.messages.split_last() {
            Some((last, asked)) if last.role == "assistant" => (last.content.clone(), asked),
            _ => (String::new(), &self.messages[..]),
        };
        let contents: Vec<&str> = asked.iter().map(|message| message.content.as_str()).collect();
        (contents.join("\n"), sent)
    }
}

/// What a request asks, apart from its slot, for the count of bodies that ran twice.
fn body_hash(label: &str, ask: &RunAsk) -> String {
    let hash = stable_hash(&[label, &ask.prompt, &ask.sent, &ask.count.to_string()]);
    format!("{hash:016x}")
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// A whole answer, or a cut where the run was lost.
fn whole_reply(stream: &RunStream, progress: RunProgress) -> Result<Reply, ConnectionCut> {
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

/// The text of `finish_reason`; none for a run that was lost.
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

/// What the writer of a stream knows.
struct StreamWriter {
    stream: Arc<RunStream>,
    reader: watch::Receiver<RunProgress>,
    next: u32,
    cut_at: Option<u32>,
    ended: bool,
}

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
    /// Writes all tokens that are there and not yet written, and the end if it is there.
    async fn next_piece(&mut self) -> Result<Bytes, ConnectionCut> {
        let next = self.next;
        let news = |progress: &RunProgress| progress.next > next || progress.end.is_some();
        let progress = *self.reader.wait_for(news).await.map_err(|_| ConnectionCut)?;
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
            // What is written goes out first; the next piece is the cut.
            None if !text.is_empty() => return Ok(Bytes::from(text)),
            None => return Err(ConnectionCut),
        }
        self.ended = true;
        Ok(Bytes::from(text))
    }

    async fn cut(&mut self, text: String) -> Result<Bytes, ConnectionCut> {
        if !text.is_empty() {
            return Ok(Bytes::from(text));
        }
        // The pause lets what was written before go out.
        tokio::time::sleep(reply::CUT_PAUSE).await;
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
        // Neither writing to a string nor the event's serialization can fail.
        let json = serde_json::to_string(&event).unwrap_or_default();
        let _ = write!(out, "data: {json}\n\n");
    }
}
