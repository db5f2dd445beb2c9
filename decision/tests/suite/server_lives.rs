//! Servers that start again under the name that they had.
//!
//! A crashed server is back within seconds under the same name and address. It holds nothing, has
//! accepted no orders, and counts its heartbeats from the start. What is known of the life before must
//! not be used for it: requests would go to adapters that it lacks, orders would state a count that it
//! never had, and its heartbeats would be dropped for being lower than the last one.

use coltsfoothook_decision::backend::{BackendTable, EntryChange, ServerOwner};
use coltsfoothook_decision::holding::AdapterHolding;
use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::routing::{AdapterKey, BackendEntry};

use crate::fixture::engine_entry;

const NOW: TimePoint = TimePoint(1_000_000);

fn entry(born: u64, heartbeat: u64, position: u64) -> BackendEntry {
    BackendEntry { born, slots: 64, heartbeat, position, ..engine_entry("s0") }
}

fn list(table: &mut BackendTable, born: u64, revision: u64, adapters: &[&str]) -> bool {
    let owner = ServerOwner { vm: "a".into(), born, fence: 1, at: NOW, free: 4 };
    let holding = |name: &&str| AdapterHolding {
        key: AdapterKey { model: "base".into(), adapter: (*name).into() },
        version: 1,
        heat: 1,
        ..AdapterHolding::default()
    };
    table.list("s0", owner, revision, adapters.iter().map(holding).collect())
}

fn held(table: &BackendTable) -> Vec<&str> {
    let state = table.get("s0").unwrap();
    state.holdings().iter().map(|holding| holding.key.adapter.as_str()).collect()
}

/// The entry of a later life is taken though its count is lower, also where the life before was leaving;
/// nothing is left of what that held, and late entries of it change nothing.
#[test]
fn later_entry() {
    let mut table = BackendTable::default();
    table.entry(entry(100, 70, 1), NOW);
    assert!(list(&mut table, 100, 40, &["a1", "a2"]));
    let leaving = BackendEntry { ready: false, ..entry(100, 71, 2) };
    assert_eq!(table.entry(leaving, NOW), EntryChange::Leaving);
    table.unreachable("s0", NOW);
    assert_eq!(table.entry(entry(200, 1, 3), NOW), EntryChange::Restarted);
    assert!(!table.get("s0").unwrap().leaving);
    assert!(!table.get("s0").unwrap().is_avoided(NOW));
    assert_eq!(held(&table), [""; 0]);
    assert!(table.is_life("s0", 200) && !table.is_life("s0", 100));
    let late = BackendEntry { ready: false, ..entry(100, 72, 4) };
    assert_eq!(table.entry(late, NOW), EntryChange::Nothing);
    assert!(!table.get("s0").unwrap().leaving);
    assert_eq!(table.entry(entry(200, 2, 5), NOW), EntryChange::Nothing);
}

/// Lists are of one life. A late one of the life before changes nothing, though its revision is higher;
/// one of a later life than the entry that was read tells that the server started again.
#[test]
fn lists_of_lives() {
    let mut table = BackendTable::default();
    table.entry(entry(100, 70, 1), NOW);
    assert!(list(&mut table, 100, 40, &["a1"]));
    assert!(list(&mut table, 200, 1, &["a3"]));
    assert_eq!(held(&table), ["a3"]);
    assert!(!list(&mut table, 100, 41, &["a1"]));
    assert_eq!(held(&table), ["a3"]);
    // Its own entry comes last, and is no further restart.
    assert_eq!(table.entry(entry(200, 1, 2), NOW), EntryChange::Models);
    assert!(list(&mut table, 200, 2, &["a3", "a4"]));
}

/// A server's entry was removed, and it is back under its name. Heartbeats of the life before that are
/// read late do not bring it back, the first one of the later life does, though its count is lower.
#[test]
fn back_after_removal() {
    let mut table = BackendTable::default();
    table.entry(entry(100, 70, 10), NOW);
    assert_eq!(table.remove("s0", 20), EntryChange::Gone);
    assert_eq!(table.entry(entry(100, 69, 25), NOW), EntryChange::Nothing);
    assert_eq!(table.entry(entry(200, 1, 26), NOW), EntryChange::Appeared);
    assert_eq!(table.entry(entry(100, 90, 27), NOW), EntryChange::Nothing);
}

/// A report tells of a later life before its entry is read. Told twice, it is one restart.
#[test]
fn told_by_report() {
    let mut table = BackendTable::default();
    table.entry(entry(100, 70, 1), NOW);
    assert!(list(&mut table, 100, 40, &["a1"]));
    assert!(table.reborn("s0", 200, &[], NOW));
    assert!(!table.reborn("s0", 200, &[], NOW));
    assert!(!table.reborn("s0", 150, &[], NOW));
    assert_eq!(held(&table), [""; 0]);
    assert!(!list(&mut table, 100, 41, &["a1"]));
}
