//! Reading a request's body and what the system must know of a completion.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coltsfoothook_decision::id::{RequestFingerprint, stable_hash};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body::Body;
use http_body_util::BodyExt;
use serde_json::{Map, Value};

use crate::handler::{CompletionKind, ModelChoice};
use crate::problem::{CallProblem, FaceReason};
use crate::settings::CallerSettings;

/// Bytes of English text that make a token, as a rule of thumb; only planning relies on it.
const BYTES_PER_TOKEN: usize = 4;
/// How many times the bound of a body is read and thrown away for the caller to see the refusal.
const DISCARD_FACTOR: usize = 16;
/// The depth to which the JSON parser follows; a larger setting has no effect.
const PARSER_DEPTH: usize = 120;
/// Fields that tell who asks or how the answer is carried, not what is asked. A poison request must
/// be known again without them.
const CARRIAGE_FIELDS: [&str; 5] = ["metadata", "request_id", "stream", "stream_options", "user"];

/// What a completion's body says.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionBody {
    /// What `model` names.
    pub model: ModelChoice,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The most tokens to generate, or the default for planning.
    pub max_tokens: u32,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// A hash of the prompt's beginning.
    pub prefix: u64,
    /// The whole body.
    pub fields: Map<String, Value>,
}

/// Reads a body within the bounds of size and time.
///
/// A sender that trickles its body would hold memory and a connection for as long as it likes; the
/// timeout covers the whole body, so trickling a byte now and then does not extend it.
pub(crate) async fn read_body<B: Body<Data = Bytes> + Unpin>(
    headers: &HeaderMap,
    body: B,
    settings: &CallerSettings,
) -> Result<Bytes, CallProblem> {
    let limit = Duration::from_millis(settings.body_timeout_ms);
    match tokio::time::timeout(limit, collect_body(headers, body, settings)).await {
        Ok(read) => read,
        Err(_) => {
            let detail = format!("the body must arrive within {} ms", settings.body_timeout_ms);
            Err(CallProblem::not_run(FaceReason::SlowSender, detail))
        }
    }
}

async fn collect_body<B: Body<Data = Bytes> + Unpin>(
    headers: &HeaderMap,
    mut body: B,
    settings: &CallerSettings,
) -> Result<Bytes, CallProblem> {
    let most = settings.body_bytes;
    let mut whole = BytesMut::new();
    let mut fits = announced_length(headers).is_none_or(|length| length <= most);
    while fits && let Some(part) = next_part(&mut body).await? {
        fits = whole.len() + part.len() <= most;
        if fits {
            whole.extend_from_slice(&part);
        }
    }
    if !fits {
        drop(whole);
        discard_body(body, most.saturating_mul(DISCARD_FACTOR)).await;
        return Err(too_large(settings));
    }
    Ok(whole.freeze())
}

async fn next_part<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
) -> Result<Option<Bytes>, CallProblem> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| malformed("the body was cut"))?;
        if let Ok(part) = frame.into_data() {
            return Ok(Some(part));
        }
    }
    Ok(None)
}

/// Reads on without keeping anything. Closing while the caller still writes would reset the
/// connection, and it would see that instead of the answer.
async fn discard_body<B: Body<Data = Bytes> + Unpin>(mut body: B, most: usize) {
    let mut read = 0;
    while let Ok(Some(part)) = next_part(&mut body).await {
        read += part.len();
        if read > most {
            return;
        }
    }
}

fn announced_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn too_large(settings: &CallerSettings) -> CallProblem {
    let detail = format!("a body may have at most {} bytes", settings.body_bytes);
    CallProblem::not_run(FaceReason::BodyTooLarge, detail)
}

/// Parses the body of a completion. Fields that are not known here are kept for the engine.
///
/// # Errors
///
/// A problem with the outcome "not run" that names the offending field.
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
        prefix: stable_hash(&[beginning(&prompt, settings.prefix_bytes)]),
        fields,
    })
}

/// Which API a job's body is meant for.
pub(crate) fn guess_kind(body: &[u8], settings: &CallerSettings) -> CompletionKind {
    match parse_object(body, settings) {
        Ok(fields) if fields.contains_key("prompt") => CompletionKind::Completions,
        _ => CompletionKind::Chat,
    }
}

/// The hash of what a completion asks.
pub(crate) fn completion_fingerprint(
    tenant: &str,
    model: &ModelChoice,
    fields: &Map<String, Value>,
) -> RequestFingerprint {
    let asked = fields.iter().filter(|(name, _)| !CARRIAGE_FIELDS.contains(&name.as_str()));
    let mut canonical = String::new();
    write_object(asked.collect(), &mut canonical);
    let version = model.version.as_ref().map_or("", |version| version.as_str());
    RequestFingerprint(stable_hash(&[tenant, model.adapter.as_str(), version, &canonical]))
}

/// Writes JSON with sorted keys, so that the order in which a client writes fields does not matter.
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
    let depth = settings.json_depth.min(PARSER_DEPTH);
    if json_depth(body) > depth {
        return Err(malformed(format!("the body may be nested at most {depth} deep")));
    }
    match serde_json::from_slice(body) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(malformed("the body must be a JSON object")),
        Err(error) => Err(malformed(format!("the body is no JSON: {error}"))),
    }
}

/// The deepest nesting of brackets outside of strings.
fn json_depth(body: &[u8]) -> usize {
    let (mut depth, mut deepest) = (0usize, 0usize);
    let (mut in_string, mut escaped) = (false, false);
    for &byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b'}' | b']' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
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
    let broken = |part: &str| part.is_empty() || part.contains(['@', '#']) || has_control(part);
    if text.len() > settings.model_bytes || broken(adapter) || version.is_some_and(broken) {
        let most = settings.model_bytes;
        let detail = format!("the field model must be adapter@version with at most {most} bytes");
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
    let most = settings.max_tokens;
    let mut asked = None;
    for name in ["max_tokens", "max_completion_tokens"] {
        let Some(value) = fields.get(name).filter(|value| !value.is_null()) else { continue };
        let number = value.as_u64().filter(|number| (1..=u64::from(most)).contains(number));
        let number = number.and_then(|number| u32::try_from(number).ok());
        asked = Some(number.ok_or_else(|| {
            malformed(format!("the field {name} must be a whole number from 1 to {most}"))
        })?);
    }
    Ok(asked.unwrap_or(settings.default_max_tokens))
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
        _ => Err(malformed("the field prompt must be a string or a list that is not empty")),
    }
}

fn chat_prompt(fields: &Map<String, Value>) -> Result<String, CallProblem> {
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => return Err(malformed("the field messages must be a list that is not empty")),
    };
    let mut prompt = String::new();
    for message in messages {
        let Some(role) = message.get("role").and_then(Value::as_str) else {
            return Err(malformed("each of messages must be an object with a string role"));
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

fn beginning(text: &str, most: usize) -> &str {
    let mut end = most.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

fn malformed(detail: impl Into<String>) -> CallProblem {
    CallProblem::not_run(FaceReason::MalformedRequest, detail)
}
