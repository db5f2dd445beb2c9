//! Holding back prompts while an engine has many prompt tokens to process.
//!
//! The simulated load is long prompts, with a mean of about 1,200 tokens and up to 4,500, at
//! engines that process 19 tokens per millisecond in pieces of 2,048 between the tokens of their
//! other streams. Three pieces in a row are a pause of 350 ms, while streams may pause for 300 ms.

use std::time::Duration;

use coltsfoothook_decision::backend::{BackendTable, ServerOwner};
use coltsfoothook_decision::choice::{ServerChoice, ServerRequirements};
use coltsfoothook_decision::counts::LoadFigure;
use coltsfoothook_decision::holding::AdapterHolding;
use coltsfoothook_decision::id::{DomainName, ModelName, ServiceName, TimePoint};
use coltsfoothook_decision::prefill::PrefillRate;
use coltsfoothook_decision::routing::{AdapterKey, BackendEntry, SharedPrompt};

use crate::fixture::engine_entry;

const GAP: Duration = Duration::from_millis(300);
const TOKENS_PER_MS: u64 = 19;

fn key(name: &str) -> AdapterKey {
    AdapterKey { model: "base".into(), adapter: name.into() }
}

/// Returns a table of engines that hold `a1` with the given usage score, or not at all. Their rate
/// is known, and a quarter of the streams pause too long.
fn engines(scores: &[Option<u32>], now: TimePoint) -> BackendTable {
    let mut table = BackendTable::default();
    for (number, score) in scores.iter().enumerate() {
        let server = format!("s{number}");
        table.apply_entry(BackendEntry { slots: 48, ..engine_entry(&server) }, now);
        let holding = |name: &str, usage_score| AdapterHolding {
            key: key(name),
            version: 1,
            usage_score,
            ..AdapterHolding::default()
        };
        let mut holdings = vec![holding("other", 5)];
        holdings.extend(score.map(|score| holding("a1", score)));
        let owner = ServerOwner { vm: "a".into(), incarnation: 0, fence: 1, at: now, free: 4 };
        assert!(table.apply_list(&server, owner, 1, holdings));
    }
    table.sent("s0", 1_900, now);
    table.prompt_processed("s0", 0, 1_900, Some(1_900_000 / TOKENS_PER_MS));
    table.ended("s0", 0, 0);
    // Every fourth stream pauses for 350 ms.
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
    let requirements = ServerRequirements {
        service: &service,
        model: Some(&model),
        adapter: Some((&key, 1)),
        software: None,
        excluded: &[],
        domain: &domain,
        shared: SharedPrompt::default(),
        prompt,
        gap,
    };
    table.choose(&requirements, 1, now)
}

fn is_sent(choice: &ServerChoice, to: &str) -> bool {
    matches!(choice, ServerChoice::Send { server, .. } if server.as_str() == to)
}

/// The rate is estimated from prompts that are processed alone. Cached prompts, which seem faster,
/// and prompts processed together with unknown ones of other VMs hardly change it.
#[test]
fn estimated_rate() {
    let mut rate = PrefillRate::default();
    assert_eq!(rate.bound(GAP), None, "nothing is held back before the rate is known");
    for number in 0..500u64 {
        let tokens = 1_000 + number % 7 * 300;
        let alone_us = tokens * 1_000 / TOKENS_PER_MS;
        match number % 10 {
            0 => rate.observe(tokens, alone_us * 3 / 4),
            1..=3 => rate.observe(tokens, alone_us * 2),
            _ => rate.observe(tokens, alone_us),
        }
    }
    rate.observe(30, 40_000);
    let in_gap = TOKENS_PER_MS * 300;
    let bound = rate.bound(GAP).unwrap();
    assert!((in_gap * 2 / 5..in_gap * 3 / 5).contains(&bound), "{bound}");
}

/// Where nearly all streams are on time, nothing is held back, and a few late streams don't change
/// that. Ten late streams in a row do.
#[test]
fn small_pieces() {
    let mut rate = PrefillRate::default();
    for number in 0..2_000 {
        let pause = if number % 40 == 0 { GAP * 3 } else { GAP * 9 / 10 };
        rate.stream_ended(pause, GAP);
        assert!(number < 100 || !rate.holds_back(), "after {number} streams");
    }
    for _ in 0..10 {
        rate.stream_ended(GAP * 7 / 6, GAP);
    }
    assert!(rate.holds_back(), "ten late streams in a row");
}

/// A third prompt at the only holder would interrupt its streams for too long; it is held back
/// until one of the others has been processed.
#[test]
fn held_back() {
    let now = TimePoint(1_000_000);
    let mut table = engines(&[Some(1), None], now);
    assert!(is_sent(&choose(&table, 1_400, Some(GAP), now), "s0"));
    let figure = |pending_prompt_tokens| LoadFigure { running: 2, pending_prompt_tokens };
    table.peer_load(&"b".into(), "s0", figure(2_800), now);
    let ServerChoice::Hold { until, .. } = choose(&table, 1_400, Some(GAP), now) else {
        panic!("it is not held back")
    };
    let wait_ms = until.since(now) / 1_000;
    assert!((20..120).contains(&wait_ms), "{wait_ms} ms");
    table.peer_load(&"b".into(), "s0", figure(1_300), now);
    assert!(is_sent(&choose(&table, 1_400, Some(GAP), now), "s0"));
}

/// Of two holders, the one with few prompt tokens to process gets the request at once.
#[test]
fn other_holder() {
    let now = TimePoint(1_000_000);
    let mut table = engines(&[Some(5), Some(5)], now);
    table.peer_load(
        &"b".into(),
        "s0",
        LoadFigure { running: 3, pending_prompt_tokens: 4_000 },
        now,
    );
    assert!(is_sent(&choose(&table, 1_400, Some(GAP), now), "s1"));
}

/// Prompts that another VM reported a second ago have been processed by now; nothing is held back
/// for them.
#[test]
fn old_counts() {
    let reported = TimePoint(1_000_000);
    let mut table = engines(&[Some(1)], reported);
    table.peer_load(
        &"b".into(),
        "s0",
        LoadFigure { running: 3, pending_prompt_tokens: 4_000 },
        reported,
    );
    let held = |after_ms: u64| {
        let now = reported.plus(after_ms * 1_000);
        matches!(choose(&table, 1_400, Some(GAP), now), ServerChoice::Hold { .. })
    };
    assert!(held(0) && held(140));
    assert!(!held(1_000));
}

/// A prompt longer than the bound is not held for ever: it goes to an engine with no other prompt.
/// Without an allowed pause it is sent in any case.
#[test]
fn longest_prompt() {
    let now = TimePoint(1_000_000);
    let mut table = engines(&[Some(1)], now);
    assert!(is_sent(&choose(&table, 4_500, Some(GAP), now), "s0"));
    table.peer_load(&"b".into(), "s0", LoadFigure { running: 1, pending_prompt_tokens: 900 }, now);
    assert!(matches!(choose(&table, 4_500, Some(GAP), now), ServerChoice::Hold { .. }));
    assert!(is_sent(&choose(&table, 4_500, None, now), "s0"));
}

/// The only holder of a frequently used adapter is overloaded, and a request is held back. A copy
/// is requested at the server with the least demand, but not of a rarely used adapter.
#[test]
fn overload_copy() {
    let now = TimePoint(1_000_000);
    let held_with = |scores: &[Option<u32>]| {
        let mut table = engines(scores, now);
        table.peer_load(
            &"b".into(),
            "s0",
            LoadFigure { running: 4, pending_prompt_tokens: 4_000 },
            now,
        );
        match choose(&table, 1_400, Some(GAP), now) {
            ServerChoice::Hold { copy, .. } => copy,
            other => panic!("not held: {other:?}"),
        }
    };
    assert_eq!(held_with(&[Some(20), None]), Some("s1".into()));
    assert_eq!(held_with(&[Some(0), None]), None);
}
