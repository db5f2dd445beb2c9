//! Splits a server-sent event stream at event boundaries.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event, in bytes. A server that sends a longer one breaks its stream off: the event is buffered
/// until it is complete.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers a stream until events are complete and records the id of the last complete one.
///
/// Only complete events are forwarded. If part of the next event had been forwarded already, the caller would receive
/// its beginning twice once another server resumes the stream, and could take a stream that was cut inside an event
/// for one that ended.
#[derive(Debug, Default)]
pub(crate) struct EventScan {
    /// Bytes after the last complete event.
    partial: BytesMut,
    last_id: Option<String>,
    /// Whether an event without an id came after the last one that had one.
    is_unnumbered: bool,
    has_events: bool,
}

impl EventScan {
    /// Appends bytes and returns the events that are complete now; empty if none is.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Bytes {
        self.partial.extend_from_slice(&bytes);
        let Some(end) = last_end(&self.partial) else { return Bytes::new() };
        let complete = self.partial.split_to(end).freeze();
        self.has_events = true;
        for event in events(&complete) {
            match id_of(event) {
                Some(id) => {
                    self.last_id = Some(id);
                    self.is_unnumbered = false;
                }
                None => self.is_unnumbered |= has_data(event),
            }
        }
        complete
    }

    /// Returns the id of the last complete event that had one.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the id of the last event tells another server where to go on.
    pub(crate) fn is_resumable(&self) -> bool {
        !self.is_unnumbered
    }

    /// Returns how many bytes of an incomplete event are buffered.
    pub(crate) fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether an event is longer than any server's.
    pub(crate) fn is_overlong(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Begins with the answer of another server, and drops the incomplete event of the one that failed.
    pub(crate) fn start_run(&mut self) {
        self.partial.clear();
        self.has_events = false;
    }

    /// Returns why the present server's stream, which has ended, was broken off, if it was.
    ///
    /// An answer that states its end by closing the connection ends alike when its server crashes. One that has not
    /// even one event then cannot be told from a server that crashed before its first.
    pub(crate) fn break_cause(&self, ends_with_connection: bool) -> Option<&'static str> {
        if !self.partial.is_empty() {
            return Some("the stream ended within an event");
        }
        (ends_with_connection && !self.has_events)
            .then_some("the stream ended with its connection before an event")
    }
}

/// Returns the offset behind the last complete event. An empty line ends an event.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

/// Splits complete events.
fn events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let end = first_end(rest)?;
        let (event, later) = rest.split_at(end);
        rest = later;
        Some(event)
    })
}

/// Returns the offset behind the first complete event.
fn first_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let dos = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.into_iter().chain(dos).min()
}

fn id_of(event: &[u8]) -> Option<String> {
    let line =
        event.split(|byte| *byte == b'\n').rev().find_map(|line| line.strip_prefix(b"id:"))?;
    String::from_utf8(line.trim_ascii().to_vec()).ok()
}

fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}
