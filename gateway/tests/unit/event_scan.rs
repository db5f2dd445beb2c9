//! Streams of events in all forms that their format allows, in pieces of any size.

use bytes::Bytes;
use proptest::prelude::*;

use crate::event_scan::EventScan;

/// Pushes a stream in pieces and returns what is forwarded, and whether its end counts as one.
fn scan(text: &[u8], piece: usize, ends_with_connection: bool) -> (Vec<u8>, bool) {
    let (mut scan, mut forwarded) = (EventScan::default(), Vec::new());
    for part in text.chunks(piece) {
        forwarded.extend_from_slice(&scan.push(Bytes::copy_from_slice(part)));
    }
    let rest = scan.end(ends_with_connection);
    forwarded.extend_from_slice(rest.as_deref().unwrap_or_default());
    (forwarded, rest.is_ok())
}

/// Guards against whole streams that are taken for broken ones: other line ends, comments, nothing behind the last event.
#[test]
fn whole_forms() {
    let whole: [&[u8]; 8] = [
        b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        b"id: 1\r\ndata: a\r\n\r\n",
        b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
        b"id: 1\r\ndata: a\n\r\n",
        b": begins\n\ndata: a\n\n: ends\n",
        b"data: a\n\n: cut comm",
        b"data: a\n\n\n",
        b"data\n\n",
    ];
    for text in whole {
        for piece in 1..=text.len() {
            let (forwarded, is_whole) = scan(text, piece, true);
            assert!(is_whole && forwarded == text, "{text:?} in pieces of {piece}");
        }
    }
}

/// Guards against an empty answer that is taken for a whole stream only since its connection ended.
#[test]
fn no_event() {
    for text in [&b""[..], b": wait\n\n", b"\n\n"] {
        assert!(scan(text, 1, false).1, "{text:?}");
        assert!(!scan(text, 1, true).1, "{text:?}");
    }
}

/// Guards against blank lines and comments that pass for the beginning of an answer, and against their loss.
#[test]
fn before_first_event() {
    let mut scan = EventScan::default();
    assert_eq!(scan.push((&b"\n: wait\n\n"[..]).into()), "");
    assert_eq!(scan.events(), 0);
    assert_eq!(scan.push((&b"data: a\n\n: go"[..]).into()), "\n: wait\n\ndata: a\n\n");
    assert_eq!((scan.events(), scan.push((&b"es on\n\n"[..]).into())), (1, ": goes on\n\n".into()));
}

/// Guards against complete events that are lost, since a long one begins in the same piece.
#[test]
fn overlong_event() {
    let mut scan = EventScan::default();
    let long = [&b"id: 1\ndata: a\n\ndata: "[..], &vec![b'x'; 2 << 20]].concat();
    assert_eq!(scan.push(long.into()), &b"id: 1\ndata: a\n\n"[..]);
    assert!(scan.is_overlong() && scan.last_id() == Some("1"));
}

proptest! {
    /// Guards against a cut at any byte that counts as an end, or a part of an event that is forwarded.
    #[test]
    fn cut_anywhere(cut in 0..60_usize, piece in 1..9_usize, ends in prop::sample::select(vec!["\n", "\r", "\r\n"])) {
        let text: String = (1..5).map(|n| format!("id: {n}{ends}data: event {n}{ends}{ends}")).collect();
        let cut = cut.min(text.len());
        let (forwarded, is_whole) = scan(&text.as_bytes()[..cut], piece, true);
        let event = text.len() / 4;
        let events = cut / event;
        // Of a line feed behind a carriage return a reader has no need.
        let at_end = cut > 0 && (cut % event == 0 || (ends == "\r\n" && (cut + 1) % event == 0));
        prop_assert_eq!(is_whole, at_end, "cut at {} of events of {}", cut, event);
        if !is_whole {
            prop_assert_eq!(forwarded.len(), events * event);
        }
    }
}

/// A comment that keeps the connection alive must not be taken for the first event.
#[test]
fn comments_are_no_event() {
    let mut scan = EventScan::default();
    assert!(scan.push(Bytes::from_static(b": ping\n\n")).is_empty());
    assert!(!scan.has_events());
    let events = scan.push(Bytes::from_static(b"data: 1\n\n"));
    assert!(scan.has_events() && events.ends_with(b"data: 1\n\n"));
}
