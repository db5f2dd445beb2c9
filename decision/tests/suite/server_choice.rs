//! Which server a request goes to, and where an adapter is loaded.

use std::time::Duration;

use coltsfoothook_decision::backend::{BackendTable, EntryChange, ServerOwner};
use coltsfoothook_decision::choice::{ServerChoice, ServerNeed};
use coltsfoothook_decision::counts::LoadFigure;
use coltsfoothook_decision::holding::AdapterHolding;
use coltsfoothook_decision::id::{DomainName, ModelName, ServerName, ServiceName, TimePoint};
use coltsfoothook_decision::routing::{AdapterKey, BackendEntry, SharedPrompt};

use crate::fixture::engine_entry;

const SECOND: u64 = 1_000_000;

fn key(name: &str) -> AdapterKey {
    AdapterKey { model: "base".into(), adapter: name.into() }
}

fn entry(server: &str, heartbeat: u64) -> BackendEntry {
    BackendEntry { slots: 64, heartbeat, position: heartbeat, ..engine_entry(server) }
}

/// A table of `count` servers that one VM orders, each holding the adapters that `held` gives.
fn table(count: usize, held: impl Fn(usize) -> Vec<&'static str>, now: TimePoint) -> BackendTable {
    let mut table = BackendTable::default();
    for number in 0..count {
        let server = format!("s{number}");
        table.entry(entry(&server, 1), now);
        list(&mut table, &server, &held(number), now);
    }
    table
}

fn list(table: &mut BackendTable, server: &str, adapters: &[&str], now: TimePoint) {
    let owner = ServerOwner { vm: "a".into(), born: 0, fence: 1, at: now, free: 4 };
    let holdings = adapters.iter().map(|name| holding(name, 0)).collect();
    assert!(table.list(server, owner, now.0, holdings));
}

fn holding(adapter: &str, heat: u32) -> AdapterHolding {
    AdapterHolding { key: key(adapter), version: 1, heat, ..AdapterHolding::default() }
}

/// What a request for `adapter` needs, with the owned parts that it borrows.
struct Need {
    service: ServiceName,
    model: ModelName,
    key: AdapterKey,
    domain: DomainName,
    not: Vec<ServerName>,
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
            not: Vec::new(),
            shared: SharedPrompt::default(),
            prompt: 1_000,
            gap: None,
        }
    }

    fn choose(&self, table: &BackendTable, draw: u64, now: TimePoint) -> ServerChoice {
        let need = ServerNeed {
            service: &self.service,
            model: Some(&self.model),
            adapter: Some((&self.key, 1)),
            not: &self.not,
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

/// Requests go where their adapter is held, and to the less loaded of two holders.
#[test]
fn lighter_holder() {
    let now = TimePoint(SECOND);
    let mut table = table(4, |number| if number < 2 { vec!["a1"] } else { vec![] }, now);
    let need = Need::new("a1");
    table.sent("s0", 5_000, now);
    assert_eq!(sent_to(&need.choose(&table, 7, now)), "s1");
    let figure = LoadFigure { running: 40, unread: 20_000 };
    table.peer_load(&"b".into(), "s1", figure, now);
    assert_eq!(sent_to(&need.choose(&table, 7, now)), "s0");
}

/// An adapter that comes and goes is loaded at the same server each time, whichever VM asks: that
/// server still has it in its own memory.
#[test]
fn comes_back() {
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
    let ServerChoice::Load { server } = load(&table_of(false), 1) else { panic!("it is nowhere") };
    let again = ServerChoice::Load { server };
    assert_eq!(load(&table_of(false), 99), again);
    assert_eq!(load(&table_of(true), 1), ServerChoice::Load { server: "s5".into() });
}

/// The holder of a popular adapter has far more to do than the others: requests still go there, and a
/// copy is loaded at the server with the least to do.
#[test]
fn popular_copy() {
    let now = TimePoint(SECOND);
    let mut table = table(4, |number| if number == 0 { vec!["a1"] } else { vec![] }, now);
    let busy = |running| LoadFigure { running, unread: 100 * u64::from(running) };
    for (server, running) in [("s0", 60), ("s1", 20), ("s2", 20), ("s3", 5)] {
        table.peer_load(&"b".into(), server, busy(running), now);
    }
    let choice = Need::new("a1").choose(&table, 1, now);
    let copy = Some("s3".into());
    assert_eq!(choice, ServerChoice::Send { server: "s0".into(), copy });
    // A copy on its way is enough.
    let owner = ServerOwner { vm: "a".into(), born: 0, fence: 1, at: now, free: 4 };
    let coming = AdapterHolding { usable_from: now.plus(SECOND), ..holding("a1", 0) };
    table.list("s3", owner, now.0 + 1, vec![coming]);
    let choice = Need::new("a1").choose(&table, 1, now);
    assert_eq!(choice, ServerChoice::Send { server: "s0".into(), copy: None });
}

/// A server has far more to do than the others since it holds a popular adapter, and seldom used ones
/// beside it. Only the popular one is worth a copy: a copy of each of the others, one request at a time,
/// would fetch them all again and push out what other requests wait for.
#[test]
fn seldom_copied() {
    let now = TimePoint(SECOND);
    let mut table = table(4, |_| vec![], now);
    let owner = ServerOwner { vm: "a".into(), born: 0, fence: 1, at: now, free: 4 };
    let mixed = vec![holding("a1", 50), holding("a2", 1)];
    assert!(table.list("s0", owner.clone(), now.0 + 1, mixed));
    for server in ["s1", "s2", "s3"] {
        assert!(table.list(server, owner.clone(), now.0 + 1, vec![holding("a3", 20)]));
    }
    table.peer_load(&"b".into(), "s0", LoadFigure { running: 60, unread: 9_000 }, now);
    let copy = |adapter: &str| match Need::new(adapter).choose(&table, 1, now) {
        ServerChoice::Send { copy, .. } => copy.is_some(),
        other => panic!("not sent: {other:?}"),
    };
    assert!(copy("a1"));
    assert!(!copy("a2"));
}

/// The only holder of a seldom used adapter says that it is full. Requests wait for it a moment, which is
/// shorter than a load elsewhere; once it does not answer again and again, the adapter is loaded elsewhere.
#[test]
fn full_holder() {
    let now = TimePoint(SECOND);
    let mut table = table(3, |number| if number == 0 { vec!["a1"] } else { vec![] }, now);
    let need = Need::new("a1");
    table.full("s0", now);
    let ServerChoice::Wait { until } = need.choose(&table, 1, now) else { panic!("it waits") };
    assert!(until.since(now) < SECOND / 5);
    assert_eq!(sent_to(&need.choose(&table, 1, until)), "s0");
    table.unreachable("s0", now);
    assert!(matches!(need.choose(&table, 1, now), ServerChoice::Wait { .. }));
    table.unreachable("s0", now);
    assert!(matches!(need.choose(&table, 1, now), ServerChoice::Load { .. }));
}

/// One adapter is asked for by a quarter of all requests, and no server is late yet. Copies are loaded
/// until each holder has half of its fair share by it, one on its way at a time for every two that
/// serve; all VMs choose the same server.
#[test]
fn demanded_copies() {
    let now = TimePoint(SECOND);
    let mut table = table(8, |_| vec![], now);
    let owner = ServerOwner { vm: "a".into(), born: 0, fence: 1, at: now, free: 4 };
    let mut held: Vec<String> = vec!["s0".into()];
    for round in 1..=8 {
        let heat = 200 / held.len() as u32;
        for number in 0..8 {
            let server = format!("s{number}");
            let mut holdings = vec![holding("b", 75)];
            if held.contains(&server) {
                holdings.push(holding("a1", heat));
            }
            assert!(table.list(&server, owner.clone(), now.0 + round, holdings));
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

/// A load was not ordered for a while. Where another server could load at once the wish goes there;
/// where all places are in use it keeps its turn, unless nobody orders that server any more.
#[test]
fn keeps_turn() {
    let now = TimePoint(SECOND);
    let mut table = table(2, |_| vec![], now);
    let other = ServerChoice::Load { server: "s1".into() };
    let owner = |free| ServerOwner { vm: "a".into(), born: 0, fence: 1, at: now, free };
    assert_eq!(table.load_elsewhere("s0".into(), &other, now).as_str(), "s1");
    assert!(table.list("s1", owner(0), now.0 + 1, vec![]));
    assert_eq!(table.load_elsewhere("s0".into(), &other, now).as_str(), "s0");
    assert_eq!(table.load_elsewhere("s0".into(), &ServerChoice::Nowhere, now).as_str(), "s0");
    let silent = now.plus(5 * SECOND);
    assert_eq!(table.load_elsewhere("s0".into(), &other, silent).as_str(), "s1");
}

/// Lists can overtake each other. An older one of the same owner, or one of a deposed owner, changes
/// nothing: requests would go to a server that has dropped the adapter.
#[test]
fn old_lists() {
    let now = TimePoint(SECOND);
    let mut table = table(1, |_| vec!["a1"], now);
    let holdings = vec![holding("a2", 0)];
    let owner = |vm: &str, fence| ServerOwner { vm: vm.into(), born: 0, fence, at: now, free: 0 };
    assert!(!table.list("s0", owner("a", 1), 3, holdings.clone()));
    assert!(table.list("s0", owner("b", 2), 1, holdings.clone()));
    assert!(!table.list("s0", owner("a", 1), u64::MAX, holdings));
    assert_eq!(sent_to(&Need::new("a2").choose(&table, 1, now)), "s0");
}

/// A server said that it leaves. A heartbeat from before that comes late, and an entry from a stale
/// read comes after it was removed: neither brings it work again.
#[test]
fn leaving_stays() {
    let now = TimePoint(SECOND);
    let mut table = table(1, |_| vec!["a1"], now);
    let leaving = BackendEntry { ready: false, ..entry("s0", 5) };
    assert_eq!(table.entry(leaving, now), EntryChange::Leaving);
    assert_eq!(table.entry(entry("s0", 4), now), EntryChange::Nothing);
    assert_eq!(table.entry(entry("s0", 6), now), EntryChange::Nothing);
    assert_eq!(Need::new("a1").choose(&table, 1, now), ServerChoice::Nowhere);
    assert_eq!(table.remove("s0", 9), EntryChange::Gone);
    assert_eq!(table.entry(entry("s0", 6), now), EntryChange::Nothing);
    assert!(table.get("s0").is_none());
}

/// A VM hears from another one that a server is gone, and reads the heartbeats from before only later.
/// They do not bring the server back, and neither does an old heartbeat that was written late. A server
/// that was cut off from the store does come back, with a new one.
#[test]
fn gone_stays() {
    let now = TimePoint(SECOND);
    let mut table = table(1, |_| vec!["a1"], now);
    assert_eq!(table.remove("s0", 20), EntryChange::Gone);
    for heartbeat in 10..20 {
        assert_eq!(table.entry(entry("s0", heartbeat), now), EntryChange::Nothing);
    }
    let late = BackendEntry { position: 25, ..entry("s0", 19) };
    assert_eq!(table.entry(late, now), EntryChange::Nothing);
    assert_eq!(table.entry(entry("s0", 30), now), EntryChange::Appeared);
    assert_eq!(table.remove("s0", 20), EntryChange::Nothing, "that removal is older");
}

/// A server that cannot be reached is avoided while there is another, and used again at once where it
/// is the only one that can serve.
#[test]
fn unreachable_last() {
    let now = TimePoint(SECOND);
    let mut table = table(2, |_| vec!["a1"], now);
    let need = Need::new("a1");
    table.unreachable("s0", now);
    assert_eq!(sent_to(&need.choose(&table, 1, now)), "s1");
    table.unreachable("s1", now);
    let only = Need { not: vec!["s1".into()], ..Need::new("a1") };
    assert_eq!(sent_to(&only.choose(&table, 1, now)), "s0");
}

/// A server answers with good health and fails half of its requests. It costs more than its idle
/// neighbours and gets little.
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

/// Long reports of one client begin alike. They go to the same holder of their adapter, whichever VM
/// sends them, unless what waits there is more than what reading again costs.
#[test]
fn shared_prompts() {
    let now = TimePoint(SECOND);
    let mut table = table(4, |_| vec!["a1"], now);
    let shared = SharedPrompt { id: 77, tokens: 6_000 };
    let need = Need { shared, ..Need::new("a1") };
    let home = sent_to(&need.choose(&table, 1, now)).to_owned();
    for draw in 0..50 {
        assert_eq!(sent_to(&need.choose(&table, draw, now)), home);
    }
    table.sent(&home, 4_000, now);
    assert_eq!(sent_to(&need.choose(&table, 1, now)), home);
    table.sent(&home, 4_000, now);
    assert_ne!(sent_to(&need.choose(&table, 1, now)), home);
}
