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
    /// Where the first line that is not complete begins in `partial`.
    line_start: usize,
    /// Up to where that line was searched for its end, so that a long one is not searched again with each piece.
    searched: usize,
    /// The fields of the event that `partial` holds the beginning of.
    fields: EventFields,
    last_id: Option<String>,
    /// Whether an event without an id came after the last one that had one.
    is_unnumbered: bool,
    has_events: bool,
    /// How many events were complete, without blank lines and comments.
    events: u64,
}

/// What the lines of an event say so far.
#[derive(Debug, Default)]
struct EventFields {
    /// Whether there is any line but comments.
    any: bool,
    data: bool,
    id: Option<String>,
}

impl EventScan {
    /// Appends bytes and returns the events that are complete now; empty if none is. Blank lines and comments before the
    /// first event are held back until it is complete: a server that sends nothing else has not begun an answer.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Bytes {
        self.partial.extend_from_slice(&bytes);
        let mut complete = 0;
        while let Some((length, next)) = line_at(&self.partial, self.line_start, self.searched) {
            let line = &self.partial[self.line_start..self.line_start + length];
            (self.line_start, self.searched) = (next, next);
            if line.is_empty() {
                self.end_event();
                complete = next;
            } else {
                self.fields.read(line);
            }
        }
        // A carriage return at the end is looked at again with the byte behind it.
        self.searched = self.partial.len() - usize::from(self.partial.ends_with(b"\r"));
        if !self.has_events {
            return Bytes::new();
        }
        self.line_start -= complete;
        self.searched -= complete;
        self.partial.split_to(complete).freeze()
    }

    /// Applies the fields of a complete event.
    fn end_event(&mut self) {
        let fields = std::mem::take(&mut self.fields);
        self.has_events |= fields.any;
        self.events += u64::from(fields.any);
        match fields.id {
            Some(id) => {
                self.last_id = Some(id);
                self.is_unnumbered = false;
            }
            None => self.is_unnumbered |= fields.data,
        }
    }

    /// Returns whether the present server's stream has a complete event, comments apart.
    pub(crate) fn has_events(&self) -> bool {
        self.has_events
    }

    /// Returns the id of the last complete event that had one.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the id of the last event tells another server where to go on.
    pub(crate) fn is_resumable(&self) -> bool {
        !self.is_unnumbered
    }

    /// Returns how many events were complete, of all servers' answers.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Returns how many bytes of an incomplete event are buffered.
    pub(crate) fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether an event is too long to be buffered.
    pub(crate) fn is_overlong(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Begins with the answer of another server, and drops the incomplete event of the one that failed.
    pub(crate) fn start_run(&mut self) {
        self.partial.clear();
        (self.line_start, self.searched) = (0, 0);
        self.fields = EventFields::default();
        self.has_events = false;
    }

    /// Judges the end of the present server's stream: returns what follows its last event, which is comments if anything,
    /// or why the stream was broken off.
    ///
    /// An answer that states its end by closing the connection ends alike when its server crashes. One that has not
    /// even one event then cannot be told from a server that crashed before its first.
    pub(crate) fn end(&mut self, ends_with_connection: bool) -> Result<Bytes, &'static str> {
        // A carriage return at the end ends its line, as no line feed follows.
        if self.partial[self.line_start..] == *b"\r" {
            self.end_event();
            self.line_start += 1;
        }
        let line = &self.partial[self.line_start..];
        if self.fields.any || !(line.is_empty() || line.starts_with(b":")) {
            return Err("the stream ended within an event");
        }
        if ends_with_connection && !self.has_events {
            return Err("the stream ended with its connection before an event");
        }
        (self.line_start, self.searched) = (0, 0);
        Ok(self.partial.split().freeze())
    }
}

impl EventFields {
    fn read(&mut self, line: &[u8]) {
        if line.starts_with(b":") {
            return;
        }
        self.any = true;
        self.data |= line == b"data" || line.starts_with(b"data:");
        if let Some(id) = line.strip_prefix(b"id:") {
            self.id = String::from_utf8(id.trim_ascii().to_vec()).ok();
        }
    }
}

/// Returns the length of the line that begins at `start` and where the next one begins, if it is complete. It has no end
/// before `searched`. Lines end with a line feed, a carriage return or both; a carriage return at the end may be the first half of both.
fn line_at(bytes: &[u8], start: usize, searched: usize) -> Option<(usize, usize)> {
    let from = start.max(searched);
    let end = from + bytes[from..].iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let length = end - start;
    match (bytes[end], bytes.get(end + 1)) {
        (b'\n', _) => Some((length, end + 1)),
        (_, Some(b'\n')) => Some((length, end + 2)),
        (_, Some(_)) => Some((length, end + 1)),
        (_, None) => None,
    }
}
