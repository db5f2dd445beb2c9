//! Splits a server-sent event stream at event boundaries.

use bytes::{Bytes, BytesMut};

/// Buffers a stream until events are complete and records the id of the last complete one.
///
/// A resumed stream continues after the last complete event. If part of the next event had been forwarded
/// already, the caller would receive its beginning twice, once from each server.
#[derive(Debug, Default)]
pub(crate) struct EventScan {
    /// Bytes after the last complete event.
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventScan {
    /// Appends bytes and returns the events that are complete now; empty if none is.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Bytes {
        self.partial.extend_from_slice(&bytes);
        let Some(end) = last_end(&self.partial) else { return Bytes::new() };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the id of the last complete event that had one.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    pub(crate) fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns how many bytes of an incomplete event are buffered.
    pub(crate) fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Drops the incomplete event after its server failed.
    pub(crate) fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the offset behind the last complete event. An empty line ends an event.
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
