//! Reads request bodies and extracts the fields of a completion that scheduling needs.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coltsfoothook_decision::id::{PartFingerprint, RequestFingerprint, stable_hash};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body::Body;
use http_body_util::BodyExt;
use serde_json::{Map, Value};

use crate::handler::{CompletionKind, ModelChoice};
use crate::problem::{CallProblem, InterfaceReason};
use crate::settings::CallerSettings;

/// Estimated bytes of English text per token; used for planning only.
const BYTES_PER_TOKEN: usize = 4;
/// Up to this multiple of `body_bytes` is read from an oversized body and discarded, so that the
/// caller finishes writing and reads the refusal.
const DISCARD_FACTOR: usize = 16;
/// The maximum nesting depth, below the limit of 128 of the JSON parser; a larger `json_depth` is
/// reduced to it.
const MAX_JSON_DEPTH: usize = 120;
/// Fields that identify the sender or the request, or select how the answer is delivered.
/// Fingerprints leave them out, so that a poison request is recognised when it is sent again with
/// other values of these fields.
const TRANSPORT_FIELDS: [&str; 5] = ["metadata", "request_id", "stream", "stream_options", "user"];

/// Maximum number of messages of a chat that crashes of engines may be attributed to.
const MAX_PARTS: usize = 64;

/// A completion's body with its fields checked.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionBody {
    /// The adapter, and the version if given, that `model` names.
    pub model: ModelChoice,
    /// Whether the caller requests a streamed answer; false if the field is absent.
    pub stream: bool,
    /// The maximum number of tokens to generate; [`CallerSettings::default_max_tokens`], assumed
    /// for planning only, if the caller gives none.
    pub max_tokens: u32,
    /// The estimated length of the prompt in tokens, at least 1.
    pub prompt_tokens: u32,
    /// A hash of the first [`CallerSettings::prefix_bytes`] bytes of the prompt.
    pub prefix: u64,
    /// Parts of the prompt that other requests may have: the messages of a chat but the last.
    pub parts: Vec<PartFingerprint>,
    /// All fields of the body as sent, including unrecognised ones.
    pub fields: Map<String, Value>,
}

/// Reads a body within the limits on size and time.
///
/// The timeout covers the whole body, not the gap between reads, so that a sender that trickles
/// bytes cannot hold memory and a connection indefinitely.
pub(crate) async fn read_body<B: Body<Data = Bytes> + Unpin>(
    headers: &HeaderMap,
    body: B,
    settings: &CallerSettings,
) -> Result<Bytes, CallProblem> {
    let timeout = Duration::from_millis(settings.body_timeout_ms);
    match tokio::time::timeout(timeout, collect_body(headers, body, settings)).await {
        Ok(read) => read,
        Err(_) => {
            let detail = format!("the body did not arrive within {} ms", settings.body_timeout_ms);
            Err(CallProblem::not_run(InterfaceReason::SlowSender, detail))
        }
    }
}

async fn collect_body<B: Body<Data = Bytes> + Unpin>(
    headers: &HeaderMap,
    mut body: B,
    settings: &CallerSettings,
) -> Result<Bytes, CallProblem> {
    let max_bytes = settings.body_bytes;
    let mut whole = BytesMut::new();
    let mut within_limit = content_length(headers).is_none_or(|length| length <= max_bytes);
    while within_limit && let Some(chunk) = next_chunk(&mut body).await? {
        within_limit = whole.len() + chunk.len() <= max_bytes;
        if within_limit {
            whole.extend_from_slice(&chunk);
        }
    }
    if !within_limit {
        drop(whole);
        discard_body(body, max_bytes.saturating_mul(DISCARD_FACTOR)).await;
        return Err(too_large(settings));
    }
    Ok(whole.freeze())
}

async fn next_chunk<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
) -> Result<Option<Bytes>, CallProblem> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| malformed("the body was truncated"))?;
        if let Ok(chunk) = frame.into_data() {
            return Ok(Some(chunk));
        }
    }
    Ok(None)
}

/// Reads and discards up to `max_bytes` of the remaining body. If the connection were closed while
/// the caller still writes, the caller would see a connection reset instead of the response.
async fn discard_body<B: Body<Data = Bytes> + Unpin>(mut body: B, max_bytes: usize) {
    let mut read = 0;
    while let Ok(Some(chunk)) = next_chunk(&mut body).await {
        read += chunk.len();
        if read > max_bytes {
            return;
        }
    }
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn too_large(settings: &CallerSettings) -> CallProblem {
    let detail = format!("a body may have at most {} bytes", settings.body_bytes);
    CallProblem::not_run(InterfaceReason::BodyTooLarge, detail)
}

/// Parses the body of a completion. Unrecognised fields are kept and passed on to the engine.
///
/// # Errors
///
/// Returns a problem with the outcome "not run"; its detail names the offending field.
pub fn parse_completion(
    kind: CompletionKind,
    body: &[u8],
    settings: &CallerSettings,
) -> Result<CompletionBody, CallProblem> {
    let fields = parse_object(body, settings)?;
    let prompt = prompt_text(kind, &fields)?;
    Ok(CompletionBody {
        model: read_model(&fields, settings)?,
        stream: read_flag(&fields, "stream")?,
        max_tokens: read_max_tokens(&fields, settings)?,
        prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
        prefix: stable_hash(&[text_prefix(&prompt, settings.prefix_bytes)]),
        parts: shared_parts(kind, &fields),
        fields,
    })
}

/// Infers the API that a job's body is written for: completions if the body has the field `prompt`,
/// otherwise chat.
pub(crate) fn infer_kind(body: &[u8], settings: &CallerSettings) -> CompletionKind {
    match parse_object(body, settings) {
        Ok(fields) if fields.contains_key("prompt") => CompletionKind::Completions,
        _ => CompletionKind::Chat,
    }
}

/// Hashes a completion's customer, model and fields, without [`TRANSPORT_FIELDS`].
pub(crate) fn completion_fingerprint(
    tenant: &str,
    model: &ModelChoice,
    fields: &Map<String, Value>,
) -> RequestFingerprint {
    let hashed = fields.iter().filter(|(name, _)| !TRANSPORT_FIELDS.contains(&name.as_str()));
    let mut canonical = String::new();
    write_object(hashed.collect(), &mut canonical);
    let version = model.version.as_ref().map_or("", |version| version.as_str());
    RequestFingerprint(stable_hash(&[tenant, model.adapter.as_str(), version, &canonical]))
}

/// Writes JSON with sorted keys, so that the fingerprint does not depend on the order of fields.
fn write_canonical(value: &Value, out: &mut String) {
    match value {
        Value::Object(fields) => write_object(fields.iter().collect(), out),
        Value::Array(items) => {
            out.push('[');
            for item in items {
                write_canonical(item, out);
                out.push(',');
            }
            out.push(']');
        }
        scalar => out.push_str(&scalar.to_string()),
    }
}

fn write_object(mut fields: Vec<(&String, &Value)>, out: &mut String) {
    fields.sort_unstable_by_key(|(name, _)| *name);
    out.push('{');
    for (name, value) in fields {
        out.push_str(&Value::from(name.as_str()).to_string());
        out.push(':');
        write_canonical(value, out);
        out.push(',');
    }
    out.push('}');
}

fn parse_object(body: &[u8], settings: &CallerSettings) -> Result<Map<String, Value>, CallProblem> {
    let depth = settings.json_depth.min(MAX_JSON_DEPTH);
    if json_depth(body) > depth {
        return Err(malformed(format!("the body may be nested at most {depth} deep")));
    }
    match serde_json::from_slice(body) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(malformed("the body must be a JSON object")),
        Err(error) => Err(malformed(format!("the body is not valid JSON: {error}"))),
    }
}

/// Returns the maximum nesting depth of brackets outside strings.
fn json_depth(body: &[u8]) -> usize {
    let (mut depth, mut max_depth) = (0usize, 0usize);
    let (mut in_string, mut escaped) = (false, false);
    for &byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => {
                depth += 1;
                max_depth = max_depth.max(depth);
            }
            b'}' | b']' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    max_depth
}

fn read_model(
    fields: &Map<String, Value>,
    settings: &CallerSettings,
) -> Result<ModelChoice, CallProblem> {
    let Some(model) = fields.get("model") else {
        return Err(malformed("the field model is missing; it names adapter@version"));
    };
    let Some(text) = model.as_str() else {
        return Err(malformed("the field model must be a string"));
    };
    let (adapter, version) = match text.split_once('@') {
        Some((adapter, version)) => (adapter, Some(version)),
        None => (text, None),
    };
    let is_malformed =
        |part: &str| part.is_empty() || part.contains(['@', '#']) || has_control(part);
    if text.len() > settings.model_bytes
        || is_malformed(adapter)
        || version.is_some_and(is_malformed)
    {
        let max_bytes = settings.model_bytes;
        let detail =
            format!("the field model must be adapter@version with at most {max_bytes} bytes");
        return Err(malformed(detail));
    }
    Ok(ModelChoice { adapter: adapter.into(), version: version.map(Into::into) })
}

fn has_control(text: &str) -> bool {
    text.chars().any(char::is_control)
}

fn read_flag(fields: &Map<String, Value>, name: &str) -> Result<bool, CallProblem> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(malformed(format!("the field {name} must be true or false"))),
    }
}

fn read_max_tokens(
    fields: &Map<String, Value>,
    settings: &CallerSettings,
) -> Result<u32, CallProblem> {
    let max_tokens = settings.max_tokens;
    let mut requested = None;
    for name in ["max_tokens", "max_completion_tokens"] {
        let Some(value) = fields.get(name).filter(|value| !value.is_null()) else { continue };
        let number = value.as_u64().filter(|number| (1..=u64::from(max_tokens)).contains(number));
        let number = number.and_then(|number| u32::try_from(number).ok());
        requested = Some(number.ok_or_else(|| {
            malformed(format!("the field {name} must be a whole number from 1 to {max_tokens}"))
        })?);
    }
    Ok(requested.unwrap_or(settings.default_max_tokens))
}

fn prompt_text(kind: CompletionKind, fields: &Map<String, Value>) -> Result<String, CallProblem> {
    match kind {
        CompletionKind::Completions => plain_prompt(fields),
        CompletionKind::Chat => chat_prompt(fields),
    }
}

fn plain_prompt(fields: &Map<String, Value>) -> Result<String, CallProblem> {
    match fields.get("prompt") {
        Some(Value::String(text)) => Ok(text.clone()),
        Some(Value::Array(parts)) if !parts.is_empty() => {
            Ok(Value::from(parts.clone()).to_string())
        }
        _ => Err(malformed("the field prompt must be a string or a non-empty list")),
    }
}

fn chat_prompt(fields: &Map<String, Value>) -> Result<String, CallProblem> {
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => return Err(malformed("the field messages must be a non-empty list")),
    };
    let mut prompt = String::new();
    for message in messages {
        let Some(role) = message.get("role").and_then(Value::as_str) else {
            return Err(malformed("each entry of messages must be an object with a string role"));
        };
        prompt.push_str(role);
        prompt.push('\n');
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(Value::Array(parts)) => prompt.push_str(&Value::from(parts.clone()).to_string()),
            None | Some(Value::Null) => {}
            Some(_) => return Err(malformed("content must be a string or a list of parts")),
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Returns the messages of a chat but the last, which is the request's own. A plain prompt has no visible parts.
fn shared_parts(kind: CompletionKind, fields: &Map<String, Value>) -> Vec<PartFingerprint> {
    let messages = match (kind, fields.get("messages")) {
        (CompletionKind::Chat, Some(Value::Array(messages))) => messages.as_slice(),
        _ => &[],
    };
    let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let fingerprint = |message: &Value| {
        let mut canonical = String::new();
        write_canonical(message, &mut canonical);
        PartFingerprint(stable_hash(&["message", &canonical]))
    };
    shared.iter().take(MAX_PARTS).map(fingerprint).collect()
}

/// Returns at most `max_bytes` from the start of `text`, cut at a character boundary.
fn text_prefix(text: &str, max_bytes: usize) -> &str {
    let mut end = max_bytes.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

fn malformed(detail: impl Into<String>) -> CallProblem {
    CallProblem::not_run(InterfaceReason::MalformedRequest, detail)
}
