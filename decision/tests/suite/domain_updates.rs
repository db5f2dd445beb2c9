//! Updates from an aggregator to the VMs of its failure domain.
//!
//! In a large fleet these updates are a VM's only source for the requests of other VMs and the
//! adapters at servers. Despite lost and duplicated messages a VM's view must converge to the
//! aggregator's.

use coltsfoothook_decision::backend::{BackendTable, ServerOwner};
use coltsfoothook_decision::counts::LoadFigure;
use coltsfoothook_decision::domain_update::{ListChange, UpdateWriter, split_lists};
use coltsfoothook_decision::holding::AdapterHolding;
use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::routing::{AdapterKey, BackendEntry};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::fixture::engine_entry;

const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLI;
const START: u64 = 100 * SECOND;

fn entry(server: &str) -> BackendEntry {
    BackendEntry { incarnation: 1, ..engine_entry(server) }
}

fn table(servers: usize) -> BackendTable {
    let mut table = BackendTable::default();
    for number in 0..servers {
        table.apply_entry(entry(&format!("s{number:03}")), TimePoint(START));
    }
    table
}

fn key(name: &str) -> AdapterKey {
    AdapterKey { model: "base".into(), adapter: name.into() }
}

/// Reports the adapters of a server as its owner does.
fn report_by_owner(
    table: &mut BackendTable,
    server: &str,
    revision: u64,
    held: &[(&str, u64)],
    now: u64,
) {
    let holding = |(name, usable_from): &(&str, u64)| AdapterHolding {
        key: key(name),
        version: 1,
        usable_from: TimePoint(*usable_from),
        ..AdapterHolding::default()
    };
    let owner =
        ServerOwner { vm: "owner".into(), incarnation: 1, fence: 7, at: TimePoint(now), free: 3 };
    assert!(table.apply_list(server, owner, revision, held.iter().map(holding).collect()));
}

fn holds(table: &BackendTable, server: &str) -> Vec<String> {
    let held = table.get(server).unwrap().holdings();
    held.iter().map(|holding| holding.key.adapter.as_str().to_owned()).collect()
}

fn apply(table: &mut BackendTable, changes: &[ListChange], now: u64) {
    for change in changes {
        table.change(change.clone(), TimePoint(now));
    }
}

/// The first update has the complete list, later ones only changes. A VM that missed a change must
/// not apply the next one, which would give a list that the server never had.
#[test]
fn missed_change() {
    let (mut aggregator, mut good, mut lossy) = (table(1), table(1), table(1));
    let mut writer = UpdateWriter::default();
    report_by_owner(&mut aggregator, "s000", 1, &[("a1", 0), ("a2", 0)], START);
    let first = writer.list_changes(&aggregator, usize::MAX, TimePoint(START));
    assert_eq!(first[0].base, None);
    apply(&mut good, &first, START);
    apply(&mut lossy, &first, START);
    let later = START + 200 * MILLI;
    report_by_owner(&mut aggregator, "s000", 2, &[("a2", 0)], later);
    apply(&mut good, &writer.list_changes(&aggregator, usize::MAX, TimePoint(later)), later);
    report_by_owner(&mut aggregator, "s000", 3, &[("a2", 0), ("a3", later + 300 * MILLI)], later);
    let third = writer.list_changes(&aggregator, usize::MAX, TimePoint(later));
    assert_eq!((third[0].adapters.len(), third[0].dropped.len()), (1, 0));
    apply(&mut good, &third, later);
    apply(&mut lossy, &third, later);
    assert_eq!(holds(&good, "s000"), ["a2", "a3"]);
    assert_eq!(holds(&lossy, "s000"), ["a1", "a2"]);
    // The owner repeats its lists; the aggregator sends a complete one within some seconds.
    let mut now = later;
    while now < later + 7 * SECOND {
        now += 150 * MILLI;
        report_by_owner(&mut aggregator, "s000", 3, &[("a2", 0), ("a3", later + 300 * MILLI)], now);
        apply(&mut lossy, &writer.list_changes(&aggregator, usize::MAX, TimePoint(now)), now);
    }
    assert_eq!(holds(&lossy, "s000"), ["a2", "a3"]);
}

/// Random changes, with one update in ten lost: the view must match the aggregator's after the next
/// complete lists, and every server must have a live owner meanwhile.
#[test]
fn random_losses() {
    let mut random = Pcg64::seed_from_u64(11);
    let (mut aggregator, mut view) = (table(20), table(20));
    let mut writer = UpdateWriter::default();
    let mut lists: Vec<(u64, Vec<(String, u64)>)> = vec![(1, Vec::new()); 20];
    let mut now = START;
    for step in 0..400 {
        now += 150 * MILLI;
        for (number, (revision, held)) in lists.iter_mut().enumerate() {
            if step < 300 && random.next_u64().is_multiple_of(3) {
                *revision += 1;
                held.retain(|_| !random.next_u64().is_multiple_of(4));
                held.push((format!("a{}", random.next_u64() % 900), now + 250 * MILLI));
                held.sort();
                held.dedup_by(|a, b| a.0 == b.0);
            }
            let borrowed: Vec<(&str, u64)> = held.iter().map(|(n, at)| (n.as_str(), *at)).collect();
            report_by_owner(&mut aggregator, &format!("s{number:03}"), *revision, &borrowed, now);
        }
        let changes = writer.list_changes(&aggregator, usize::MAX, TimePoint(now));
        if !random.next_u64().is_multiple_of(10) {
            apply(&mut view, &changes, now);
        }
        for server in view.servers().iter().filter(|_| step > 30) {
            let owner = view.owner(server.name(), TimePoint(now));
            assert!(owner.is_some(), "{} has no live owner", server.name());
        }
    }
    for server in aggregator.servers() {
        assert_eq!(holds(&view, server.name()), holds(&aggregator, server.name()));
    }
}

/// Two failure domains: a VM's load figure for a server combines its own current requests with the
/// others' as reported by the aggregators, without counting its own twice.
#[test]
fn own_requests_counted_once() {
    let now = TimePoint(START);
    let (mut aggregator, mut view) = (table(1), table(1));
    view.sent("s000", 900, now);
    view.mark_loads_reported();
    aggregator.peer_load(&"vm-1".into(), "s000", view.own_load("s000"), now);
    aggregator.peer_load(
        &"vm-2".into(),
        "s000",
        LoadFigure { running: 4, pending_prompt_tokens: 100 },
        now,
    );
    let mut writer = UpdateWriter::default();
    let other: Vec<(ServerName, LoadFigure)> =
        vec![("s000".into(), LoadFigure { running: 10, pending_prompt_tokens: 2_000 })];
    writer.set_sums(&"vm-9".into(), other, now);
    let fleet = writer.fleet_loads(&aggregator.member_loads(now), now);
    assert_eq!(fleet[0].1, LoadFigure { running: 15, pending_prompt_tokens: 3_000 });
    view.fleet_load("s000", fleet[0].1, now);
    assert_eq!(
        view.get("s000").unwrap().load(now),
        LoadFigure { running: 15, pending_prompt_tokens: 3_000 }
    );
    view.sent("s000", 500, now);
    assert_eq!(
        view.get("s000").unwrap().load(now),
        LoadFigure { running: 16, pending_prompt_tokens: 3_500 }
    );
    // Expired sums of another aggregator, and an expired sum over the fleet, are not counted.
    let late = TimePoint(START + 2 * SECOND);
    assert_eq!(
        writer.fleet_loads(&aggregator.member_loads(late), late)[0].1,
        LoadFigure::default()
    );
    assert_eq!(view.get("s000").unwrap().load(late).running, 2);
}

/// At a start the lists of all 860 servers are sent. In a single message they would exceed a
/// datagram and be lost, but be recorded as sent.
#[test]
fn lists_fit_into_datagrams() {
    let now = TimePoint(START);
    let mut aggregator = table(860);
    let names: Vec<String> = (0..10).map(|number| format!("a{number}")).collect();
    let held: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 0)).collect();
    for server in 0..860 {
        report_by_owner(&mut aggregator, &format!("s{server:03}"), 1, &held, START);
    }
    let parts = split_lists(UpdateWriter::default().list_changes(&aggregator, usize::MAX, now));
    assert_eq!(parts.iter().map(Vec::len).sum::<usize>(), 860);
    for part in &parts {
        assert!(
            serde_json::to_vec(part).unwrap().len() < 60_000,
            "message too long for a datagram"
        );
    }
}

/// At a start an aggregator must not saturate its link with all lists at once, which would make it
/// appear dead.
#[test]
fn bounded_lists() {
    const MAX_ENTRIES: usize = 100;
    let mut aggregator = table(500);
    let names: Vec<String> = (0..10).map(|number| format!("a{number}")).collect();
    let held: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 0)).collect();
    for server in 0..500 {
        report_by_owner(&mut aggregator, &format!("s{server:03}"), 1, &held, START);
    }
    let (mut writer, mut listed_servers) = (UpdateWriter::default(), Vec::new());
    for round in 0..60 {
        let now = START + round * 150;
        let changes = writer.list_changes(&aggregator, MAX_ENTRIES, TimePoint(now));
        let listed: usize = changes.iter().map(|change| 1 + change.adapters.len()).sum();
        assert!(listed < MAX_ENTRIES + 20, "{listed} entries in one update");
        listed_servers.extend(changes.into_iter().map(|change| change.server));
    }
    listed_servers.sort();
    listed_servers.dedup();
    assert_eq!(listed_servers.len(), 500, "some lists were never sent");
}

/// Counts of idle servers must not be sent in every update, but the end of a server's requests must
/// be.
#[test]
fn busy_servers() {
    let figure = |running| LoadFigure { running, pending_prompt_tokens: 0 };
    let fleet = |busy: &[(usize, u32)]| {
        let load = |number: usize| {
            let found = busy.iter().find(|(server, _)| *server == number);
            let name = ServerName::from(format!("s{number:03}"));
            (name, figure(found.map_or(0, |(_, running)| *running)))
        };
        (0..300).map(load).collect::<Vec<_>>()
    };
    let mut writer = UpdateWriter::default();
    assert!(writer.loads_to_send(fleet(&[]), usize::MAX).is_empty());
    assert_eq!(writer.loads_to_send(fleet(&[(7, 1), (9, 2)]), usize::MAX).len(), 2);
    // The drop to zero is sent several times, since a message may be lost, and then no more.
    let counts: Vec<usize> =
        (0..5).map(|_| writer.loads_to_send(fleet(&[(9, 2)]), usize::MAX).len()).collect();
    assert_eq!(counts, [2, 2, 2, 1, 1]);
    let first = writer.loads_to_send(fleet(&[(9, 2), (11, 5), (12, 1)]), 2);
    assert_eq!(first[0].1, figure(5));
    assert_eq!(first.len(), 2);
}
