//! A caller's text cannot forge or flood log lines, and event names are distinct.

use coltsfoothook_telemetry::{EventName, LogEvent};

#[test]
fn quotes_values() {
    let server: Option<&str> = None;
    let event = LogEvent::new(EventName::RequestDone)
        .field("request_id", "r-1\nts=now level=error event=forged")
        .field("tenant", "")
        .field("adapter", "alarm@7")
        .field("note", "say \"no\"")
        .optional("server", server);
    assert_eq!(
        event.as_str(),
        r#"event=request_done request_id="r-1\nts=now level=error event=forged" tenant="" adapter=alarm@7 note="say \"no\"""#
    );
}

#[test]
fn truncates_long_value() {
    let event = LogEvent::new(EventName::CallerRefused).field("path", "é".repeat(100_000));
    assert!(event.as_str().len() < 600);
}

#[test]
fn event_names_are_distinct() {
    let mut names: Vec<_> = EventName::ALL.iter().map(|name| name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), EventName::ALL.len());
}
