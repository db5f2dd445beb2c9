//! Servers that restart under the same name.
//!
//! A restarted server has no adapters, has accepted no orders and counts heartbeats from the start.
//! The state of the earlier incarnation must not be used: requests would be sent to adapters that
//! it lacks, orders would state a wrong count, and its heartbeats would be dropped for being lower
//! than the last one.

use std::time::Duration;

use coltsfoothook_decision::backend::{BackendTable, EntryChange, ServerOwner};
use coltsfoothook_decision::counts::LoadFigure;
use coltsfoothook_decision::holding::AdapterHolding;
use coltsfoothook_decision::id::{ConfigVersion, TimePoint};
use coltsfoothook_decision::routing::{
    AdapterKey, BackendEntry, CallerLimits, RouteTable, ServicePlan,
};

use crate::fixture::engine_entry;

const NOW: TimePoint = TimePoint(1_000_000);

fn entry(incarnation: u64, heartbeat: u64, position: u64) -> BackendEntry {
    BackendEntry { incarnation, slots: 64, heartbeat, position, ..engine_entry("s0") }
}

fn list(table: &mut BackendTable, incarnation: u64, revision: u64, adapters: &[&str]) -> bool {
    let owner = ServerOwner { vm: "a".into(), incarnation, fence: 1, at: NOW, free: 4 };
    let holding = |name: &&str| AdapterHolding {
        key: AdapterKey { model: "base".into(), adapter: (*name).into() },
        version: 1,
        usage_score: 1,
        ..AdapterHolding::default()
    };
    table.apply_list("s0", owner, revision, adapters.iter().map(holding).collect())
}

fn held(table: &BackendTable) -> Vec<&str> {
    let state = table.get("s0").unwrap();
    state.holdings().iter().map(|holding| holding.key.adapter.as_str()).collect()
}

/// An entry of a later incarnation applies although its heartbeat is lower, also if the earlier
/// incarnation was leaving. It resets the state, and late entries of the earlier incarnation are
/// ignored.
#[test]
fn later_entry() {
    let mut table = BackendTable::default();
    table.apply_entry(entry(100, 70, 1), NOW);
    assert!(list(&mut table, 100, 40, &["a1", "a2"]));
    let leaving = BackendEntry { ready: false, ..entry(100, 71, 2) };
    assert_eq!(table.apply_entry(leaving, NOW), EntryChange::Leaving);
    table.mark_unreachable("s0", NOW);
    assert_eq!(table.apply_entry(entry(200, 1, 3), NOW), EntryChange::Restarted);
    assert!(!table.get("s0").unwrap().leaving);
    assert!(!table.get("s0").unwrap().is_avoided(NOW));
    assert_eq!(held(&table), [""; 0]);
    assert!(table.is_current_incarnation("s0", 200) && !table.is_current_incarnation("s0", 100));
    let late = BackendEntry { ready: false, ..entry(100, 72, 4) };
    assert_eq!(table.apply_entry(late, NOW), EntryChange::Unchanged);
    assert!(!table.get("s0").unwrap().leaving);
    assert_eq!(table.apply_entry(entry(200, 2, 5), NOW), EntryChange::Unchanged);
}

/// Guards against a server that restarted at another software version, states no start time, and is taken for the former
/// one: its entry shows it, however low its heartbeat, but not an older entry that is read late.
#[test]
fn other_software() {
    let mut table = BackendTable::default();
    let of = |software: &str, heartbeat, position| BackendEntry {
        software: Some(software.into()),
        notice_ms: None,
        ..entry(0, heartbeat, position)
    };
    table.apply_entry(of("v1", 70, 5), NOW);
    assert!(list(&mut table, 0, 40, &["a1"]));
    assert_eq!(table.apply_entry(of("v2", 1, 4), NOW), EntryChange::Unchanged);
    assert_eq!(table.apply_entry(of("v2", 1, 6), NOW), EntryChange::Restarted);
    assert_eq!(held(&table), [""; 0]);
    assert!(table.serves(&"engines".into(), &"v2".into()));
    assert!(!table.serves(&"engines".into(), &"v1".into()));
    let unstated = BackendEntry { software: None, ..entry(0, 2, 7) };
    assert_eq!(table.apply_entry(unstated, NOW), EntryChange::Unchanged);
}

/// Guards against requests at the former start of a server, of this VM and others, that count as load of the present one
/// until their ends are seen, which may be never: requests would avoid the server, and adapters not be placed there.
#[test]
fn counts_end() {
    let mut table = BackendTable::default();
    table.apply_entry(entry(100, 70, 1), NOW);
    let figure = LoadFigure { running: 5, pending_prompt_tokens: 700 };
    for _ in 0..3 {
        table.sent("s0", 400, NOW);
    }
    table.peer_load(&"b".into(), "s0", figure, NOW);
    assert_eq!(table.get("s0").unwrap().load(NOW).running, 8);
    table.apply_entry(entry(200, 1, 2), NOW);
    assert_eq!(table.get("s0").unwrap().load(NOW), LoadFigure::default());
    table.sent("s0", 50, NOW);
    // A request to the former start ends late, and another one shows its first event.
    table.prompt_processed("s0", 100, 400, None);
    table.ended("s0", 100, 400);
    let load = LoadFigure { running: 1, pending_prompt_tokens: 50 };
    assert_eq!(table.get("s0").unwrap().load(NOW), load);
    table.ended("s0", 200, 50);
    assert_eq!(table.get("s0").unwrap().load(NOW), LoadFigure::default());
}

/// Guards against an entry under a server's name that takes the server out of its service: one of a service that no
/// configuration has. A service that a configuration has, or may have, is one that the server moved to.
#[test]
fn written_by_others() {
    let mut table = BackendTable::default();
    table.apply_entry(entry(100, 70, 1), NOW);
    let plan =
        |service: &str| ServicePlan { service: service.into(), max_connections: 1, engine: None };
    let time = Duration::from_secs(1);
    let limits = CallerLimits { head_bytes: 1, body_bytes: 1, head_time: time, idle_time: time };
    let plans = vec![plan("others")];
    let config = RouteTable::new(ConfigVersion(1), limits, Vec::new(), plans);
    let of = |service: &str| BackendEntry { service: service.into(), ..entry(200, 1, 2) };
    assert!(table.is_foreign(&of("nobody"), Some(&config)));
    assert!(!table.is_foreign(&of("nobody"), None));
    assert!(!table.is_foreign(&of("others"), Some(&config)));
    assert!(!table.is_foreign(&of("engines"), Some(&config)), "its service was removed");
    let unknown = BackendEntry { server: "s9".into(), ..of("nobody") };
    assert!(!table.is_foreign(&unknown, Some(&config)));
}

/// Guards against a start that another VM reported and that passes for one of the former software version.
#[test]
fn software_of_reported_start() {
    let mut table = BackendTable::default();
    table.apply_entry(entry(100, 70, 1), NOW);
    assert!(table.serves(&"engines".into(), &"v1".into()));
    assert!(table.start_incarnation("s0", 200, &[], NOW));
    assert!(!table.serves(&"engines".into(), &"v1".into()));
    table.apply_entry(entry(200, 1, 2), NOW);
    assert!(table.serves(&"engines".into(), &"v1".into()));
}

/// A list belongs to one incarnation. A late list of an earlier incarnation is ignored although its
/// revision is higher; a list of a later incarnation than that of the entry shows that the server
/// restarted.
#[test]
fn lists_of_incarnations() {
    let mut table = BackendTable::default();
    table.apply_entry(entry(100, 70, 1), NOW);
    assert!(list(&mut table, 100, 40, &["a1"]));
    assert!(list(&mut table, 200, 1, &["a3"]));
    assert_eq!(held(&table), ["a3"]);
    assert!(!list(&mut table, 100, 41, &["a1"]));
    assert_eq!(held(&table), ["a3"]);
    // The entry of the new incarnation is read last, and is not another restart.
    assert_eq!(table.apply_entry(entry(200, 1, 2), NOW), EntryChange::Models);
    assert!(list(&mut table, 200, 2, &["a3", "a4"]));
}

/// After the entry was removed, late heartbeats of the removed incarnation don't add the server
/// again; the first one of a later incarnation does, although it is lower.
#[test]
fn back_after_removal() {
    let mut table = BackendTable::default();
    table.apply_entry(entry(100, 70, 10), NOW);
    assert_eq!(table.remove("s0", 20), EntryChange::Removed);
    assert_eq!(table.apply_entry(entry(100, 69, 25), NOW), EntryChange::Unchanged);
    assert_eq!(table.apply_entry(entry(200, 1, 26), NOW), EntryChange::Appeared);
    assert_eq!(table.apply_entry(entry(100, 90, 27), NOW), EntryChange::Unchanged);
}

/// A report shows a later incarnation before its entry is read. Reported twice, it is one restart.
#[test]
fn known_by_report() {
    let mut table = BackendTable::default();
    table.apply_entry(entry(100, 70, 1), NOW);
    assert!(list(&mut table, 100, 40, &["a1"]));
    assert!(table.start_incarnation("s0", 200, &[], NOW));
    assert!(!table.start_incarnation("s0", 200, &[], NOW));
    assert!(!table.start_incarnation("s0", 150, &[], NOW));
    assert_eq!(held(&table), [""; 0]);
    assert!(!list(&mut table, 100, 41, &["a1"]));
}
