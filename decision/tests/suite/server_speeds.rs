//! Load on servers of different speeds, with prompts of different lengths.

use coltsfoothook_decision::backend::BackendTable;
use coltsfoothook_decision::choice::{ServerChoice, ServerRequirements};
use coltsfoothook_decision::id::{ModelName, ServiceName, TimePoint};
use coltsfoothook_decision::routing::{BackendEntry, SharedPrompt};
use coltsfoothook_decision::speed::speed_estimates;
use coltsfoothook_decision::subject::ServerStart;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::fixture::engine_entry;

const SERVERS: usize = 8;
const SLOW_SPEED: f64 = 0.45;
const NOW: TimePoint = TimePoint(10_000_000);

fn name(number: usize) -> String {
    format!("s{number}")
}

/// Every fourth server is slow.
fn speed(number: usize) -> f64 {
    if number.is_multiple_of(4) { SLOW_SPEED } else { 1.0 }
}

fn table() -> BackendTable {
    let mut table = BackendTable::default();
    for number in 0..SERVERS {
        let entry = BackendEntry { slots: 12, incarnation: 7, ..engine_entry(&name(number)) };
        table.apply_entry(entry, NOW);
    }
    table
}

fn start(number: usize) -> ServerStart {
    ServerStart { server: name(number).as_str().into(), incarnation: 7 }
}

/// Sets the speeds from `samples` observations of each server's time between events.
fn observed(table: &mut BackendTable, samples: usize, spread: f64) {
    let (mut times, mut random) = (speed_estimates(), Pcg64::seed_from_u64(1));
    for number in 0..SERVERS {
        for _ in 0..samples {
            let noise = random.random_range(1.0 - spread..1.0 + spread);
            times.observe(NOW, &start(number), (40_000.0 / speed(number) * noise) as f32);
        }
    }
    table.set_speeds(&mut times, NOW);
}

fn choose(table: &BackendTable, prompt: u64, draw: u64) -> usize {
    let (service, model) = (ServiceName::from("engines"), ModelName::from("base"));
    let need = ServerRequirements {
        software: None,
        service: &service,
        model: Some(&model),
        adapter: None,
        excluded: &[],
        domain: &"d1".into(),
        shared: SharedPrompt::default(),
        prompt,
        gap: None,
    };
    match table.choose(&need, draw, NOW) {
        ServerChoice::Send { server, .. } => server.as_str()[1..].parse().expect("a number"),
        other => panic!("{other:?}"),
    }
}

/// Requests of a full load that all run at the same time go to servers in proportion to their speed.
#[test]
fn share_by_speed() {
    let mut table = table();
    observed(&mut table, 60, 0.3);
    let (mut random, mut counts) = (Pcg64::seed_from_u64(2), [0_usize; SERVERS]);
    for _ in 0..72 {
        let chosen = choose(&table, 600, random.random());
        table.sent(&name(chosen), 600, NOW);
        counts[chosen] += 1;
    }
    let work = |slow: bool| {
        let of = (0..SERVERS).filter(|number| (speed(*number) < 1.0) == slow);
        let (count, sum) =
            of.fold((0, 0), |(count, sum), number| (count + 1, sum + counts[number]));
        sum as f64 / f64::from(count) / if slow { SLOW_SPEED } else { 1.0 }
    };
    let ratio = work(true) / work(false);
    assert!((0.6..1.3).contains(&ratio), "{ratio:.2} of the time of fast ones, {counts:?}");
}

/// A long prompt would stop the streams of a slow server for longer than they allow.
#[test]
fn long_prompts_to_fast() {
    let mut table = table();
    observed(&mut table, 60, 0.3);
    let mut random = Pcg64::seed_from_u64(3);
    let slow = (0..200).filter(|_| speed(choose(&table, 9_000, random.random())) < 1.0).count();
    // Two slow servers are drawn together in one of 28 choices.
    assert!(slow <= 20, "{slow} of 200 at slow servers");
}

/// Servers of one speed are chosen as if no times were known.
#[test]
fn equal_speeds() {
    let mut table = table();
    let mut times = speed_estimates();
    let mut random = Pcg64::seed_from_u64(4);
    for number in 0..SERVERS {
        for _ in 0..30 {
            times.observe(NOW, &start(number), random.random_range(30_000.0..50_000.0));
        }
    }
    table.set_speeds(&mut times, NOW);
    for number in 0..SERVERS {
        let state = table.get(&name(number)).expect("it is known");
        assert_eq!(state.relative_speed(), 1.0);
    }
}

/// A server that restarted, also under its name, counts as equally fast until it was observed again.
#[test]
fn restarted_server() {
    let mut table = table();
    observed(&mut table, 30, 0.1);
    assert!(table.get("s0").is_some_and(|state| state.relative_speed() < 0.6));
    let entry = BackendEntry { slots: 12, incarnation: 8, ..engine_entry("s0") };
    table.apply_entry(entry, NOW);
    assert!(table.get("s0").is_some_and(|state| state.relative_speed() == 1.0));
}

/// A few observations of some servers say nothing about the others.
#[test]
fn too_few_observed() {
    let mut table = table();
    let mut times = speed_estimates();
    for number in 0..SERVERS {
        let samples = if number < 3 { 20 } else { 2 };
        for _ in 0..samples {
            times.observe(NOW, &start(number), (40_000.0 / speed(number)) as f32);
        }
    }
    table.set_speeds(&mut times, NOW);
    let speeds = (0..SERVERS).filter_map(|number| Some(table.get(&name(number))?.relative_speed()));
    assert!(speeds.into_iter().all(|speed| speed == 1.0));
}
