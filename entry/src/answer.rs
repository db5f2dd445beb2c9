//! Reads an engine's answer, proves which adapter gave it and shows the caller the name it used.
//!
//! An engine names the slot that ran in each part of its answer. A part that names another slot is
//! the answer of another adapter or of another request; passing it on would give a caller a wrong
//! answer that looks right. Every part is therefore checked before it is passed on.

use bytes::{Bytes, BytesMut};
use serde_json::Value;
use snafu::Snafu;

/// The most bytes of one server-sent event; an engine that sends more is faulty.
const MAX_EVENT_BYTES: usize = 1 << 20;
const DATA_PREFIX: &[u8] = b"data:";
const DONE_MARK: &[u8] = b"[DONE]";

/// Why an engine's answer cannot be passed on.
#[derive(Debug, Snafu, PartialEq)]
pub(crate) enum AnswerError {
    /// The part names another slot than the grant did.
    #[snafu(display("answer names {found:?} where {wanted:?} was asked"))]
    WrongSlot {
        /// The granted slot.
        wanted: String,
        /// What the answer names.
        found: String,
    },
    /// The part cannot be read.
    #[snafu(display("answer is not valid: {detail}"))]
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

/// Checks and renames the parts of one answer.
pub(crate) struct AnswerFilter {
    slot: String,
    shown: String,
    id: String,
    pending: BytesMut,
    finished: bool,
    tokens: u32,
    text: String,
}

impl AnswerFilter {
    /// A filter for an answer of `slot` that shows the caller `shown` as the model and `id` as the
    /// answer's id, which stays the same when the answer is continued by another engine.
    pub(crate) fn new(slot: &str, shown: &str, id: &str) -> Self {
        Self {
            slot: slot.to_owned(),
            shown: shown.to_owned(),
            id: id.to_owned(),
            text: String::new(),
            pending: BytesMut::new(),
            finished: false,
            tokens: 0,
        }
    }

    /// Whether the end mark was read. A stream without it was cut.
    pub(crate) fn finished(&self) -> bool {
        self.finished
    }

    /// Events with content so far, which is also the place from which a stream is resumed.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The text of the events so far.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Forgets a half-read event, before the stream is resumed on a new connection.
    pub(crate) fn restart_event(&mut self) {
        self.pending.clear();
    }

    /// Takes bytes of a stream and gives back the events that are complete.
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

    /// Checks and renames a whole, unstreamed answer.
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
        value["model"] = Value::from(self.shown.as_str());
        value["id"] = Value::from(self.id.as_str());
        Ok(())
    }
}

fn parse(data: &[u8]) -> Result<Value, AnswerError> {
    serde_json::from_slice(data)
        .map_err(|error| MalformedSnafu { detail: error.to_string() }.build())
}

/// The token of an event; the last events carry the reason of the end or figures alone.
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
