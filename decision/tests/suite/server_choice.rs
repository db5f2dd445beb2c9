//! Choice of a request's server, and of the server for an adapter load.

use std::time::Duration;

use coltsfoothook_decision::backend::{BackendTable, EntryChange, ServerOwner};
use coltsfoothook_decision::choice::{ServerChoice, ServerRequirements};
use coltsfoothook_decision::counts::LoadFigure;
use coltsfoothook_decision::holding::AdapterHolding;
use coltsfoothook_decision::id::{DomainName, ModelName, ServerName, ServiceName, TimePoint};
use coltsfoothook_decision::routing::{AdapterKey, BackendEntry, SharedPrompt};
use coltsfoothook_decision::statement::{ServerStatement, StatedValue};
use coltsfoothook_decision::subject::ServerStart;

use crate::fixture::engine_entry;

const SECOND: u64 = 1_000_000;

fn key(name: &str) -> AdapterKey {
    AdapterKey { model: "base".into(), adapter: name.into() }
}

fn entry(server: &str, heartbeat: u64) -> BackendEntry {
    BackendEntry { slots: 64, heartbeat, position: heartbeat, ..engine_entry(server) }
}

/// Returns a table of `count` servers with one owner, each holding the adapters that `held`
/// returns.
fn table(count: usize, held: impl Fn(usize) -> Vec<&'static str>, now: TimePoint) -> BackendTable {
    let mut table = BackendTable::default();
    for number in 0..count {
        let server = format!("s{number}");
        table.apply_entry(entry(&server, 1), now);
        list(&mut table, &server, &held(number), now);
    }
    table
}

fn list(table: &mut BackendTable, server: &str, adapters: &[&str], now: TimePoint) {
    let owner = ServerOwner { vm: "a".into(), incarnation: 0, fence: 1, at: now, free: 4 };
    let holdings = adapters.iter().map(|name| holding(name, 0)).collect();
    assert!(table.apply_list(server, owner, now.0, holdings));
}

fn holding(adapter: &str, usage_score: u32) -> AdapterHolding {
    AdapterHolding { key: key(adapter), version: 1, usage_score, ..AdapterHolding::default() }
}

/// Requirements of a request for `adapter`, with the values that [`ServerRequirements`] borrows.
struct Need {
    service: ServiceName,
    model: ModelName,
    key: AdapterKey,
    domain: DomainName,
    excluded: Vec<ServerName>,
    shared: SharedPrompt,
    prompt: u64,
    gap: Option<Duration>,
}

impl Need {
    fn new(adapter: &str) -> Self {
        Self {
            service: "engines".into(),
            model: "base".into(),
            key: key(adapter),
            domain: "d1".into(),
            excluded: Vec::new(),
            shared: SharedPrompt::default(),
            prompt: 1_000,
            gap: None,
        }
    }

    fn choose(&self, table: &BackendTable, draw: u64, now: TimePoint) -> ServerChoice {
        let need = ServerRequirements {
            software: None,
            service: &self.service,
            model: Some(&self.model),
            adapter: Some((&self.key, 1)),
            excluded: &self.excluded,
            domain: &self.domain,
            shared: self.shared,
            prompt: self.prompt,
            gap: self.gap,
        };
        table.choose(&need, draw, now)
    }
}

fn sent_to(choice: &ServerChoice) -> &str {
    match choice {
        ServerChoice::Send { server, .. } => server.as_str(),
        other => panic!("not sent: {other:?}"),
    }
}

/// A request goes to a holder of its adapter, and of two holders to the less loaded one.
#[test]
fn less_loaded_holder() {
    let now = TimePoint(SECOND);
    let mut table = table(4, |number| if number < 2 { vec!["a1"] } else { vec![] }, now);
    let need = Need::new("a1");
    table.sent("s0", 5_000, now);
    assert_eq!(sent_to(&need.choose(&table, 7, now)), "s1");
    let figure = LoadFigure { running: 40, pending_prompt_tokens: 20_000 };
    table.peer_load(&"b".into(), "s1", figure, now);
    assert_eq!(sent_to(&need.choose(&table, 7, now)), "s0");
}

/// An adapter that is evicted and requested again is loaded at the server that recently held it;
/// without one, all VMs choose the same server.
#[test]
fn same_server_again() {
    let now = TimePoint(SECOND);
    let table_of = |held: bool| {
        let mut table = table(8, |_| vec![], now);
        if held {
            list(&mut table, "s5", &["a1"], now.plus(1));
            list(&mut table, "s5", &[], now.plus(2));
        }
        table
    };
    let load = |table: &BackendTable, draw| Need::new("a1").choose(table, draw, now);
    let ServerChoice::Load { server } = load(&table_of(false), 1) else { panic!("not loaded") };
    let expected = ServerChoice::Load { server };
    assert_eq!(load(&table_of(false), 99), expected);
    assert_eq!(load(&table_of(true), 1), ServerChoice::Load { server: "s5".into() });
}

/// The holder of a frequently used adapter is overloaded: requests are still sent there, and a copy
/// is loaded at the least loaded server, but no second one while the first is in flight.
#[test]
fn overloaded_copy() {
    let now = TimePoint(SECOND);
    let mut table = table(4, |number| if number == 0 { vec!["a1"] } else { vec![] }, now);
    let busy = |running| LoadFigure { running, pending_prompt_tokens: 100 * u64::from(running) };
    for (server, running) in [("s0", 60), ("s1", 20), ("s2", 20), ("s3", 5)] {
        table.peer_load(&"b".into(), server, busy(running), now);
    }
    let choice = Need::new("a1").choose(&table, 1, now);
    let copy = Some("s3".into());
    assert_eq!(choice, ServerChoice::Send { server: "s0".into(), copy });
    // One copy in flight is enough.
    let owner = ServerOwner { vm: "a".into(), incarnation: 0, fence: 1, at: now, free: 4 };
    let in_flight = AdapterHolding { usable_from: now.plus(SECOND), ..holding("a1", 0) };
    table.apply_list("s3", owner, now.0 + 1, vec![in_flight]);
    let choice = Need::new("a1").choose(&table, 1, now);
    assert_eq!(choice, ServerChoice::Send { server: "s0".into(), copy: None });
}

/// An overloaded server holds a frequently used and a rarely used adapter. Only the former is
/// copied; copies of rarely used ones would evict adapters that other requests need.
#[test]
fn rarely_used_not_copied() {
    let now = TimePoint(SECOND);
    let mut table = table(4, |_| vec![], now);
    let owner = ServerOwner { vm: "a".into(), incarnation: 0, fence: 1, at: now, free: 4 };
    let mixed = vec![holding("a1", 50), holding("a2", 1)];
    assert!(table.apply_list("s0", owner.clone(), now.0 + 1, mixed));
    for server in ["s1", "s2", "s3"] {
        assert!(table.apply_list(server, owner.clone(), now.0 + 1, vec![holding("a3", 20)]));
    }
    table.peer_load(
        &"b".into(),
        "s0",
        LoadFigure { running: 60, pending_prompt_tokens: 9_000 },
        now,
    );
    let copy = |adapter: &str| match Need::new(adapter).choose(&table, 1, now) {
        ServerChoice::Send { copy, .. } => copy.is_some(),
        other => panic!("not sent: {other:?}"),
    };
    assert!(copy("a1"));
    assert!(!copy("a2"));
}

/// The only holder of an adapter is full or failed once: requests wait for it, which takes less
/// time than a load elsewhere. After repeated failures the adapter is loaded elsewhere.
#[test]
fn full_holder() {
    let now = TimePoint(SECOND);
    let mut table = table(3, |number| if number == 0 { vec!["a1"] } else { vec![] }, now);
    let need = Need::new("a1");
    table.mark_full("s0", now);
    let ServerChoice::Wait { until } = need.choose(&table, 1, now) else { panic!("does not wait") };
    assert!(until.since(now) < SECOND / 5);
    assert_eq!(sent_to(&need.choose(&table, 1, until)), "s0");
    table.mark_unreachable("s0", now);
    assert!(matches!(need.choose(&table, 1, now), ServerChoice::Wait { .. }));
    table.mark_unreachable("s0", now);
    assert!(matches!(need.choose(&table, 1, now), ServerChoice::Load { .. }));
}

/// A quarter of all requests need one adapter, and no server is late yet. Copies are loaded until
/// each holder gets at most half of its fair share by it, with at most one in flight for two
/// holders, and all VMs choose the same server.
#[test]
fn demanded_copies() {
    let now = TimePoint(SECOND);
    let mut table = table(8, |_| vec![], now);
    let owner = ServerOwner { vm: "a".into(), incarnation: 0, fence: 1, at: now, free: 4 };
    let mut held: Vec<String> = vec!["s0".into()];
    for round in 1..=8 {
        let usage_score = 200 / held.len() as u32;
        for number in 0..8 {
            let server = format!("s{number}");
            let mut holdings = vec![holding("b", 75)];
            if held.contains(&server) {
                holdings.push(holding("a1", usage_score));
            }
            assert!(table.apply_list(&server, owner.clone(), now.0 + round, holdings));
        }
        let choice = |draw| match Need::new("a1").choose(&table, draw, now) {
            ServerChoice::Send { copy, .. } => copy,
            other => panic!("not sent: {other:?}"),
        };
        let copy = choice(1);
        assert_eq!(copy, choice(77));
        let Some(copy) = copy else { break };
        held.push(copy.as_str().to_owned());
    }
    assert_eq!(held.len(), 5, "{held:?}");
}

/// A load has not been ordered for some time. The request moves to a server that can load at once;
/// otherwise it keeps its position, unless the first server has no owner any more.
#[test]
fn keeps_position() {
    let now = TimePoint(SECOND);
    let mut table = table(2, |_| vec![], now);
    let other = ServerChoice::Load { server: "s1".into() };
    let owner = |free| ServerOwner { vm: "a".into(), incarnation: 0, fence: 1, at: now, free };
    assert_eq!(table.load_elsewhere("s0".into(), &other, now).as_str(), "s1");
    assert!(table.apply_list("s1", owner(0), now.0 + 1, vec![]));
    assert_eq!(table.load_elsewhere("s0".into(), &other, now).as_str(), "s0");
    assert_eq!(table.load_elsewhere("s0".into(), &ServerChoice::Unavailable, now).as_str(), "s0");
    let expired = now.plus(5 * SECOND);
    assert_eq!(table.load_elsewhere("s0".into(), &other, expired).as_str(), "s1");
}

/// Lists can arrive out of order. An older list of the same owner, or one of a deposed owner, is
/// ignored; it could direct requests to a server without the adapter.
#[test]
fn old_lists() {
    let now = TimePoint(SECOND);
    let mut table = table(1, |_| vec!["a1"], now);
    let holdings = vec![holding("a2", 0)];
    let owner =
        |vm: &str, fence| ServerOwner { vm: vm.into(), incarnation: 0, fence, at: now, free: 0 };
    assert!(!table.apply_list("s0", owner("a", 1), 3, holdings.clone()));
    assert!(table.apply_list("s0", owner("b", 2), 1, holdings.clone()));
    assert!(!table.apply_list("s0", owner("a", 1), u64::MAX, holdings));
    assert_eq!(sent_to(&Need::new("a2").choose(&table, 1, now)), "s0");
}

/// A server that is leaving gets no work again by a delayed heartbeat, nor after its removal by an
/// entry from a stale read.
#[test]
fn leaving_stays() {
    let now = TimePoint(SECOND);
    let mut table = table(1, |_| vec!["a1"], now);
    let leaving = BackendEntry { ready: false, ..entry("s0", 5) };
    assert_eq!(table.apply_entry(leaving, now), EntryChange::Leaving);
    assert_eq!(table.apply_entry(entry("s0", 4), now), EntryChange::Unchanged);
    assert_eq!(table.apply_entry(entry("s0", 6), now), EntryChange::Unchanged);
    assert_eq!(Need::new("a1").choose(&table, 1, now), ServerChoice::Unavailable);
    assert_eq!(table.remove("s0", 9), EntryChange::Removed);
    assert_eq!(table.apply_entry(entry("s0", 6), now), EntryChange::Unchanged);
    assert!(table.get("s0").is_none());
}

/// A VM is notified of a removal before it reads the heartbeats that precede it. These, and an old
/// heartbeat written late, don't add the server again; a new heartbeat does, since the server was
/// only cut off from the store.
#[test]
fn removed_stays() {
    let now = TimePoint(SECOND);
    let mut table = table(1, |_| vec!["a1"], now);
    assert_eq!(table.remove("s0", 20), EntryChange::Removed);
    for heartbeat in 10..20 {
        assert_eq!(table.apply_entry(entry("s0", heartbeat), now), EntryChange::Unchanged);
    }
    let late = BackendEntry { position: 25, ..entry("s0", 19) };
    assert_eq!(table.apply_entry(late, now), EntryChange::Unchanged);
    assert_eq!(table.apply_entry(entry("s0", 30), now), EntryChange::Appeared);
    assert_eq!(
        table.remove("s0", 20),
        EntryChange::Unchanged,
        "the entry is newer than this removal"
    );
}

/// An unreachable server is avoided while there is another, and used at once where it is the only
/// one that can serve.
#[test]
fn unreachable_last() {
    let now = TimePoint(SECOND);
    let mut table = table(2, |_| vec!["a1"], now);
    let need = Need::new("a1");
    table.mark_unreachable("s0", now);
    assert_eq!(sent_to(&need.choose(&table, 1, now)), "s1");
    table.mark_unreachable("s1", now);
    let only = Need { excluded: vec!["s1".into()], ..Need::new("a1") };
    assert_eq!(sent_to(&only.choose(&table, 1, now)), "s0");
}

/// A server that fails all its requests costs more than idle ones that don't, and gets no requests.
#[test]
fn failing_server() {
    let now = TimePoint(SECOND);
    let mut table = table(3, |_| vec!["a1"], now);
    for _ in 0..40 {
        table.answered("s0", false, None);
        table.answered("s1", true, None);
        table.answered("s2", true, None);
    }
    let need = Need::new("a1");
    let to_failing = (0..300).filter(|draw| sent_to(&need.choose(&table, *draw, now)) == "s0");
    assert_eq!(to_failing.count(), 0);
}

/// Requests with a long shared prefix go to the same holder at all VMs, unless waiting there costs
/// more than processing the prefix again.
#[test]
fn shared_prompts() {
    let now = TimePoint(SECOND);
    let mut table = table(4, |_| vec!["a1"], now);
    let shared = SharedPrompt { id: 77, tokens: 6_000 };
    let need = Need { shared, ..Need::new("a1") };
    let preferred = sent_to(&need.choose(&table, 1, now)).to_owned();
    for draw in 0..50 {
        assert_eq!(sent_to(&need.choose(&table, draw, now)), preferred);
    }
    table.sent(&preferred, 4_000, now);
    assert_eq!(sent_to(&need.choose(&table, 1, now)), preferred);
    table.sent(&preferred, 4_000, now);
    assert_ne!(sent_to(&need.choose(&table, 1, now)), preferred);
}

/// Guards against loads at servers that look idle because they have a limit, and are at it when the load is done.
#[test]
fn no_load_at_limit() {
    let now = TimePoint(SECOND);
    let mut table = table(4, |_| vec!["a0"], now);
    for number in 0..3 {
        let start = ServerStart { server: format!("s{number}").into(), incarnation: 0 };
        let limit_per_s = StatedValue::Readable(5.0);
        let statement = ServerStatement { limit_per_s, ..ServerStatement::default() };
        table.apply_statement(&start, &statement, true, now);
    }
    for _ in 0..40 {
        table.sent("s3", 1_000, now);
    }
    for adapter in ["a1", "a2", "a3", "a4", "a5"] {
        let choice = Need::new(adapter).choose(&table, 1, now);
        assert_eq!(choice, ServerChoice::Load { server: "s3".into() }, "{adapter}");
    }
    // With no other server, one with a limit is better than none.
    table.remove("s3", 9);
    let choice = Need::new("a1").choose(&table, 1, now);
    assert!(matches!(choice, ServerChoice::Load { .. }), "{choice:?}");
}

/// Servers with few slots, all in use: an adapter that was evicted a moment ago must return to the server that still has
/// it in its own memory. Fetched again at each server that has a free slot, rare adapters fill the weight store.
#[test]
fn returns_to_memory() {
    let seldom = ["b1", "b2", "b3"];
    let place = |table: &mut BackendTable| {
        for number in 0..6 {
            table.apply_entry(entry(&format!("s{number}"), 1), TimePoint(0));
        }
        list(table, "s4", &["a1", "b1", "b2"], TimePoint(0));
        for number in 0..6 {
            let free = u32::from(number != 4);
            let owner =
                ServerOwner { vm: "a".into(), incarnation: 0, fence: 1, at: TimePoint(0), free };
            let holdings = seldom.iter().map(|name| holding(name, 1)).collect();
            assert!(table.apply_list(&format!("s{number}"), owner, 9, holdings));
        }
    };
    let load_at = |mut table: BackendTable| {
        place(&mut table);
        match Need::new("a1").choose(&table, 1, TimePoint(1)) {
            ServerChoice::Load { server } => server.as_str().to_owned(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(load_at(BackendTable::new(true)), "s4");
    assert_ne!(load_at(BackendTable::new(false)), "s4");
}
