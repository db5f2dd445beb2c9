//! Estimates of load times, with and without other loads in flight.
//!
//! The simulated store takes 250 ms for each load while at most eight are in flight, and beyond
//! that a time proportional to their number.

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::loadtime::{LoadTimes, OrderedLoad};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const MILLI: u64 = 1_000;
const ALONE: u64 = 250 * MILLI;
const FULL_SPEED: u64 = 8;

fn takes(in_flight: u32) -> u64 {
    ALONE.max(ALONE * u64::from(in_flight) / FULL_SPEED)
}

fn ordered(times: &mut LoadTimes, others: usize) -> OrderedLoad {
    let forecast = times.forecast(others);
    times.early_check(forecast).load(TimePoint(0), false)
}

/// Waits for a load as a request does: it checks at the expected time, and after an early attempt
/// again after a quarter of the time so far. Returns the number of early attempts.
fn wait_for(times: &mut LoadTimes, others: usize) -> u32 {
    let load = ordered(times, others);
    let mut elapsed = load.check_us;
    let mut refused = 0;
    while elapsed < takes(load.in_flight) {
        times.record_too_early(load, elapsed);
        refused += 1;
        elapsed = (elapsed + (elapsed / 4).max(45 * MILLI)).max(load.expected_us);
    }
    if refused == 0 {
        times.record_hit(load);
    }
    refused
}

/// All adapters are cold and some tens of loads are in flight at all times. After a few tens of
/// loads, few requests come too early, and none waits much longer than its load takes.
#[test]
fn crowded_store() {
    let mut times = LoadTimes::default();
    for load in 0..60 {
        wait_for(&mut times, 20 + load % 40);
    }
    let refused: u32 = (0..400).map(|load| wait_for(&mut times, load % 60)).sum();
    assert!(refused <= 40, "{refused} of 400 came too early");
    for others in [0, 7, 20, 60] {
        let load = ordered(&mut times, others);
        let late = load.expected_us as f64 / takes(load.in_flight) as f64;
        assert!((0.9..1.35).contains(&late), "beside {others} others: {late}");
    }
}

/// The initial estimate for sixty servers must allow their store's 40 concurrent loads; a smaller
/// one would hold back half of them.
#[test]
fn large_fleet() {
    let mut times = LoadTimes::default();
    assert!(times.forecast(40).is_saturated());
    times.expect_fleet(60);
    assert!(!times.forecast(40).is_saturated());
    assert!(times.forecast(90).is_saturated());
}

/// The estimate decreases again after the store was slow for some time.
#[test]
fn recovers_from_slow_store() {
    let mut times = LoadTimes::default();
    for _ in 0..40 {
        let load = ordered(&mut times, 0);
        times.record_too_early(load, 900 * MILLI);
    }
    let slow = times.forecast(0).expected_us(false);
    assert!((700 * MILLI..=1_050 * MILLI).contains(&slow), "{slow}");
    for _ in 0..200 {
        let load = ordered(&mut times, 0);
        times.record_hit(load);
    }
    let quick = times.forecast(0).expected_us(false);
    assert!(quick < 250 * MILLI, "{quick}");
    let initial = LoadTimes::default().forecast(0).expected_us(true);
    assert_eq!(times.forecast(0).expected_us(true), initial);
}

/// Requests for loads that were lost with crashed servers see them last for seconds. The estimate
/// for other loads must not rise threefold by that, since their requests would wait needlessly.
#[test]
fn lost_loads() {
    let mut times = LoadTimes::default();
    for load in 0..200 {
        wait_for(&mut times, load % 60);
    }
    let before = times.forecast(40).expected_us(false);
    let lost: Vec<OrderedLoad> = (0..20).map(|others| ordered(&mut times, 30 + others)).collect();
    for late in 1..10 {
        for load in &lost {
            times.record_too_early(*load, load.expected_us + late * 100 * MILLI);
        }
    }
    let after = times.forecast(40).expected_us(false);
    assert!(after <= before * 17 / 10, "{before} to {after}");
}

/// In a fleet of 90 servers whose VMs share their estimates, a fifth of the loads come from the servers' own memory
/// without their owners' knowledge. Runs of such loads must not make the store look faster than it is: requests for
/// all other loads would come too early.
#[test]
fn unknown_memory_loads() {
    let mut random = Pcg64::seed_from_u64(1);
    let mut fleet = vec![LoadTimes::default(); 30];
    fleet.iter_mut().for_each(|times| times.expect_fleet(90));
    for load in 0..6_000 {
        let vm = load % fleet.len();
        let times = &mut fleet[vm];
        let ordered = ordered(times, 0);
        let from_memory = random.random_bool(0.2);
        if from_memory || ordered.check_us >= ALONE {
            times.record_hit(ordered);
        } else {
            times.record_too_early(ordered, ordered.check_us);
        }
        let report = times.take_report();
        for other in (0..fleet.len()).filter(|other| *other != vm) {
            fleet[other].apply_report(report);
        }
    }
    for times in &fleet {
        let expected = times.forecast(0).expected_us(false);
        assert!(expected >= ALONE * 9 / 10, "{expected}");
    }
}
