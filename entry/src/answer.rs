//! Parses an engine's answer, verifies its slot and replaces the slot name by the model name that
//! the caller used.
//!
//! An engine names the slot in each part of its answer. A part that names another slot comes from
//! another adapter or another request, so every part is checked before it is forwarded.

use bytes::{Bytes, BytesMut};
use serde_json::Value;
use snafu::Snafu;

/// Maximum size of one server-sent event; a longer one is an error of the engine.
const MAX_EVENT_BYTES: usize = 1 << 20;
const DATA_PREFIX: &[u8] = b"data:";
const DONE_MARK: &[u8] = b"[DONE]";

/// Why an engine's answer cannot be forwarded.
#[derive(Debug, Snafu, PartialEq)]
pub(crate) enum AnswerError {
    /// The part names another slot than the grant.
    #[snafu(display("answer names slot {found:?}, expected {wanted:?}"))]
    WrongSlot {
        /// The granted slot.
        wanted: String,
        /// The slot that the answer names; empty if it names none.
        found: String,
    },
    /// The part cannot be parsed.
    #[snafu(display("answer is not valid: {detail}"))]
    Malformed {
        /// The parser's error or the violated bound.
        detail: String,
    },
}

/// Verifies the parts of one answer and rewrites their model and id.
pub(crate) struct AnswerFilter {
    slot: String,
    model_name: String,
    id: String,
    pending: BytesMut,
    finished: bool,
    tokens: u32,
    text: String,
}

impl AnswerFilter {
    /// Creates a filter for an answer of `slot`. The caller sees `model_name` as the model and
    /// `id` as the answer's id, which stays the same when another engine continues the answer.
    pub(crate) fn new(slot: &str, model_name: &str, id: &str) -> Self {
        Self {
            slot: slot.to_owned(),
            model_name: model_name.to_owned(),
            id: id.to_owned(),
            text: String::new(),
            pending: BytesMut::new(),
            finished: false,
            tokens: 0,
        }
    }

    /// Returns whether the end mark was read. A stream that ends without it is truncated.
    pub(crate) fn finished(&self) -> bool {
        self.finished
    }

    /// Returns the number of events with content so far, from which a stream is resumed.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the concatenated content of the events so far.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Discards an incomplete event before the stream is resumed on a new connection.
    pub(crate) fn restart_event(&mut self) {
        self.pending.clear();
    }

    /// Adds bytes of a stream and returns the rewritten events that are complete.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<Bytes, AnswerError> {
        self.pending.extend_from_slice(chunk);
        let mut out = Vec::with_capacity(chunk.len());
        while let Some(end) = self.pending.iter().position(|&byte| byte == b'\n') {
            let line = self.pending.split_to(end + 1);
            self.line(line.trim_ascii_end(), &mut out)?;
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return MalformedSnafu { detail: "event too large" }.fail();
        }
        Ok(out.into())
    }

    /// Verifies and rewrites a complete answer that is not streamed.
    pub(crate) fn whole(&mut self, body: &[u8]) -> Result<Bytes, AnswerError> {
        let mut value = parse(body)?;
        self.rename(&mut value)?;
        self.finished = true;
        self.tokens = completion_tokens(&value);
        Ok(value.to_string().into())
    }

    fn line(&mut self, line: &[u8], out: &mut Vec<u8>) -> Result<(), AnswerError> {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return Ok(());
        };
        let data = data.trim_ascii();
        out.extend_from_slice(b"data: ");
        if data == DONE_MARK {
            self.finished = true;
            out.extend_from_slice(data);
        } else {
            let mut value = parse(data)?;
            self.rename(&mut value)?;
            if let Some(text) = token_text(&value) {
                self.tokens += 1;
                self.text.push_str(text);
            }
            out.extend_from_slice(value.to_string().as_bytes());
        }
        out.extend_from_slice(b"\n\n");
        Ok(())
    }

    fn rename(&self, value: &mut Value) -> Result<(), AnswerError> {
        let found = value.get("model").and_then(Value::as_str).unwrap_or_default();
        if found != self.slot {
            return WrongSlotSnafu { wanted: &self.slot, found }.fail();
        }
        value["model"] = Value::from(self.model_name.as_str());
        value["id"] = Value::from(self.id.as_str());
        Ok(())
    }
}

fn parse(data: &[u8]) -> Result<Value, AnswerError> {
    serde_json::from_slice(data)
        .map_err(|error| MalformedSnafu { detail: error.to_string() }.build())
}

/// Returns the content of an event; the last events carry only the finish reason or usage.
fn token_text(value: &Value) -> Option<&str> {
    let paths = ["/choices/0/text", "/choices/0/delta/content"];
    let mut texts = paths.iter().filter_map(|path| value.pointer(path).and_then(Value::as_str));
    texts.find(|text| !text.is_empty())
}

fn completion_tokens(value: &Value) -> u32 {
    let tokens = value.pointer("/usage/completion_tokens").and_then(Value::as_u64);
    tokens.unwrap_or(0).try_into().unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn split_events() {
        let mut filter = AnswerFilter::new("a@1#1.1", "a@1", "r-1");
        let first = filter
            .push(b"data: {\"choices\":[{\"text\":\"x\"}],\"model\":\"a@1#1.1\"}\n\nda")
            .unwrap();
        assert_eq!(
            first,
            "data: {\"choices\":[{\"text\":\"x\"}],\"id\":\"r-1\",\"model\":\"a@1\"}\n\n"
        );
        assert!(!filter.finished());
        let last = filter.push(b"ta: [DONE]\n\n").unwrap();
        assert_eq!(last, "data: [DONE]\n\n");
        assert!(filter.finished());
        assert_eq!(filter.tokens(), 1);
    }

    #[test]
    fn crossed_answer() {
        let mut filter = AnswerFilter::new("a@1#1.1", "a@1", "r-1");
        let crossed = filter.push(b"data: {\"model\":\"b@1#1.2\"}\n\n");
        assert!(matches!(crossed, Err(AnswerError::WrongSlot { .. })));
    }
}
