//! Finds where events end in a stream of bytes.

use bytes::{Bytes, BytesMut};

/// Splits a stream into whole events and remembers the last one's id.
///
/// A stream that is resumed goes on after the last whole event. If a part of the next one had been
/// passed on before, the caller would get its beginning twice, joined from two servers.
#[derive(Debug, Default)]
pub(crate) struct EventScan {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventScan {
    /// Takes bytes and gives those of the events that are whole now.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Bytes {
        self.partial.extend_from_slice(&bytes);
        let Some(end) = last_end(&self.partial) else { return Bytes::new() };
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// The id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether an event has begun and not ended.
    pub(crate) fn is_amid(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Forgets an event that its server did not end.
    pub(crate) fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Where the last whole event ends: after an empty line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn last_id(bytes: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(bytes).ok()?;
    let id = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().to_owned())
}
