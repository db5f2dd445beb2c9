//! Prompts that are held back while an engine has much to read.
//!
//! The pattern: long prompts, about 1,200 tokens in the mean and up to 4,500, come at random to engines
//! that read 19 tokens a millisecond in pieces of 2,048 between the tokens of their other streams. Three
//! pieces in a row are a pause of 350 ms, and streams there may pause for 300.

use std::time::Duration;

use coltsfoothook_decision::backend::{BackendTable, ServerOwner};
use coltsfoothook_decision::choice::{ServerChoice, ServerNeed};
use coltsfoothook_decision::counts::LoadFigure;
use coltsfoothook_decision::holding::AdapterHolding;
use coltsfoothook_decision::id::{DomainName, ModelName, ServiceName, TimePoint};
use coltsfoothook_decision::reading::ReadingPace;
use coltsfoothook_decision::routing::{AdapterKey, BackendEntry, SharedPrompt};

use crate::fixture::engine_entry;

const GAP: Duration = Duration::from_millis(300);
const PACE: u64 = 19;

fn key(name: &str) -> AdapterKey {
    AdapterKey { model: "base".into(), adapter: name.into() }
}

/// Engines that hold `a1` with the given heat, or not at all; their pace is known.
fn engines(heats: &[Option<u32>], now: TimePoint) -> BackendTable {
    let mut table = BackendTable::default();
    for (number, heat) in heats.iter().enumerate() {
        let server = format!("s{number}");
        table.entry(BackendEntry { slots: 48, ..engine_entry(&server) }, now);
        let holding = |name: &str, heat| AdapterHolding {
            key: key(name),
            version: 1,
            heat,
            ..AdapterHolding::default()
        };
        let mut holdings = vec![holding("other", 5)];
        holdings.extend(heat.map(|heat| holding("a1", heat)));
        let owner = ServerOwner { vm: "a".into(), born: 0, fence: 1, at: now, free: 4 };
        assert!(table.list(&server, owner, 1, holdings));
    }
    table.sent("s0", 1_900, now);
    table.read("s0", 1_900, Some(1_900_000 / PACE));
    table.ended("s0", 0);
    // Its streams pause for 350 ms now and then.
    for number in 0..100 {
        let pause = if number % 4 == 0 { GAP * 7 / 6 } else { GAP / 2 };
        table.stream_ended(&"engines".into(), pause, GAP);
    }
    table
}

fn choose(
    table: &BackendTable,
    prompt: u64,
    gap: Option<Duration>,
    now: TimePoint,
) -> ServerChoice {
    let (service, model) = (ServiceName::from("engines"), ModelName::from("base"));
    let (key, domain) = (key("a1"), DomainName::from("d1"));
    let need = ServerNeed {
        service: &service,
        model: Some(&model),
        adapter: Some((&key, 1)),
        not: &[],
        domain: &domain,
        shared: SharedPrompt::default(),
        prompt,
        gap,
    };
    table.choose(&need, 1, now)
}

fn is_sent(choice: &ServerChoice, to: &str) -> bool {
    matches!(choice, ServerChoice::Send { server, .. } if server.as_str() == to)
}

/// The pace comes from prompts that are read alone. Some were kept from before and seem to be read at
/// once, others met prompts of which this VM did not know; neither moves it far.
#[test]
fn learnt_pace() {
    let mut pace = ReadingPace::default();
    assert_eq!(pace.bound(GAP), None, "nothing is held back before the pace is known");
    for number in 0..500u64 {
        let tokens = 1_000 + number % 7 * 300;
        let fair = tokens * 1_000 / PACE;
        match number % 10 {
            0 => pace.observe(tokens, fair * 3 / 4),
            1..=3 => pace.observe(tokens, fair * 2),
            _ => pace.observe(tokens, fair),
        }
    }
    pace.observe(30, 40_000);
    let in_gap = PACE * 300;
    let bound = pace.bound(GAP).unwrap();
    assert!((in_gap * 2 / 5..in_gap * 3 / 5).contains(&bound), "{bound}");
}

/// Where streams may pause for longer than three pieces take, hardly any stream is late however much is
/// read. Nothing is held back there; a few late streams for other reasons change nothing.
#[test]
fn small_pieces() {
    let mut pace = ReadingPace::default();
    for number in 0..2_000 {
        let pause = if number % 40 == 0 { GAP * 3 } else { GAP * 9 / 10 };
        pace.stream_ended(pause, GAP);
        assert!(number < 100 || !pace.holds_back(), "after {number} streams");
    }
    for _ in 0..10 {
        pace.stream_ended(GAP * 7 / 6, GAP);
    }
    assert!(pace.holds_back(), "ten late streams in a row");
}

/// One holder, and another VM has just sent it two prompts. A third would stop its streams for longer
/// than they allow: it is held until one is read, and sent then.
#[test]
fn held_back() {
    let now = TimePoint(1_000_000);
    let mut table = engines(&[Some(1), None], now);
    assert!(is_sent(&choose(&table, 1_400, Some(GAP), now), "s0"));
    let figure = |unread| LoadFigure { running: 2, unread };
    table.peer_load(&"b".into(), "s0", figure(2_800), now);
    let ServerChoice::Hold { until, .. } = choose(&table, 1_400, Some(GAP), now) else {
        panic!("it is not held back")
    };
    let wait_ms = until.since(now) / 1_000;
    assert!((20..120).contains(&wait_ms), "{wait_ms} ms");
    table.peer_load(&"b".into(), "s0", figure(1_300), now);
    assert!(is_sent(&choose(&table, 1_400, Some(GAP), now), "s0"));
}

/// Two holders, one of which has much to read: the request goes to the other at once.
#[test]
fn other_holder() {
    let now = TimePoint(1_000_000);
    let mut table = engines(&[Some(5), Some(5)], now);
    table.peer_load(&"b".into(), "s0", LoadFigure { running: 3, unread: 4_000 }, now);
    assert!(is_sent(&choose(&table, 1_400, Some(GAP), now), "s1"));
}

/// Another VM told of its prompts a second ago, as in a large fleet. The server has read them since, and
/// nothing is held back for them.
#[test]
fn old_counts() {
    let told = TimePoint(1_000_000);
    let mut table = engines(&[Some(1)], told);
    table.peer_load(&"b".into(), "s0", LoadFigure { running: 3, unread: 4_000 }, told);
    let held = |after_ms: u64| {
        let now = told.plus(after_ms * 1_000);
        matches!(choose(&table, 1_400, Some(GAP), now), ServerChoice::Hold { .. })
    };
    assert!(held(0) && held(140));
    assert!(!held(1_000));
}

/// A prompt that is longer than the bound by itself is not held for ever: it goes where nothing else is
/// to be read. And a request that was held for as long as it can bear is sent in any case.
#[test]
fn longest_prompt() {
    let now = TimePoint(1_000_000);
    let mut table = engines(&[Some(1)], now);
    assert!(is_sent(&choose(&table, 4_500, Some(GAP), now), "s0"));
    table.peer_load(&"b".into(), "s0", LoadFigure { running: 1, unread: 900 }, now);
    assert!(matches!(choose(&table, 4_500, Some(GAP), now), ServerChoice::Hold { .. }));
    assert!(is_sent(&choose(&table, 4_500, None, now), "s0"));
}

/// A popular adapter's only holder cannot keep up, and its requests are held back. A copy is asked for
/// at the server with the least demand, but not of an adapter that brings hardly anything, nor where the
/// copy would only move the load.
#[test]
fn relief_copy() {
    let now = TimePoint(1_000_000);
    let held_with = |heats: &[Option<u32>]| {
        let mut table = engines(heats, now);
        table.peer_load(&"b".into(), "s0", LoadFigure { running: 4, unread: 4_000 }, now);
        match choose(&table, 1_400, Some(GAP), now) {
            ServerChoice::Hold { copy, .. } => copy,
            other => panic!("not held: {other:?}"),
        }
    };
    assert_eq!(held_with(&[Some(20), None]), Some("s1".into()));
    assert_eq!(held_with(&[Some(0), None]), None);
}
