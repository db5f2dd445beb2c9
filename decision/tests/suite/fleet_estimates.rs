//! Estimates of the fleet while reports are lost, repeated and reordered, and aggregators change.

use coltsfoothook_decision::estimate::{EstimateEntry, EstimateSettings, FleetEstimates};
use coltsfoothook_decision::id::TimePoint;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const VMS: usize = 12;
const DOMAINS: usize = 3;
const KEYS: u32 = 8;
const SECOND_US: u64 = 1_000_000;

struct EstimateFleet {
    vms: Vec<FleetEstimates<u32>>,
    random: Pcg64,
    loss: f64,
}

impl EstimateFleet {
    fn new(seed: u64, loss: f64) -> Self {
        let vms = (0..VMS).map(|_| FleetEstimates::new(EstimateSettings::default())).collect();
        Self { vms, random: Pcg64::seed_from_u64(seed), loss }
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_bool(self.loss)
    }

    /// Every VM observes each key, whose value is its number times a hundred, and reports. `aggregator` is the place
    /// of the aggregator in each domain.
    fn round(&mut self, aggregator: usize, now: TimePoint) {
        for vm in 0..VMS {
            let key = self.random.random_range(0..KEYS);
            let spread = self.random.random_range(0.8..1.2);
            self.vms[vm].observe(now, &key, (key + 1) as f32 * 100.0 * spread);
        }
        let aggregators: Vec<usize> =
            (0..DOMAINS).map(|domain| domain + aggregator * DOMAINS).collect();
        for vm in (0..VMS).filter(|vm| !aggregators.contains(vm)) {
            let report = self.vms[vm].take_report();
            let copies = if self.is_lost() { 0 } else { 1 + usize::from(self.is_lost()) };
            for _ in 0..copies {
                self.vms[aggregators[vm % DOMAINS]].apply_report(now, &report, true);
            }
        }
        for &from in &aggregators {
            let (sums, update) = (self.vms[from].take_report(), self.vms[from].take_update(now));
            for &to in aggregators.iter().filter(|to| **to != from) {
                if !self.is_lost() {
                    self.vms[to].apply_report(now, &sums, false);
                }
            }
            for vm in (from % DOMAINS..VMS).step_by(DOMAINS).filter(|vm| *vm != from) {
                if !self.is_lost() {
                    self.vms[vm].adopt(now, &update);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// A change of the aggregator, or lost and repeated reports, must not move an estimate away from what is observed.
    #[test]
    fn keeps_mean(seed in any::<u64>(), loss in 0.0..0.2_f64, changes in 0..4_usize) {
        let mut fleet = EstimateFleet::new(seed, loss);
        let rounds = 160;
        for round in 0..rounds {
            let now = TimePoint(SECOND_US + round as u64 * 150_000);
            fleet.round(round * (changes + 1) / rounds, now);
        }
        let now = TimePoint(SECOND_US + rounds as u64 * 150_000);
        for vm in &fleet.vms {
            for key in 0..KEYS {
                let entry = vm.get(now, &key);
                let mean = entry.filter(|entry| entry.count > 0.5).map(|entry| entry.mean());
                let expected = (key + 1) as f32 * 100.0;
                let differs = mean.is_none_or(|mean| (mean / expected - 1.0).abs() > 0.2);
                prop_assert!(!differs, "key {key}: {mean:?} for {expected}");
            }
        }
    }
}

/// A VM that is alone knows its own observations, and they fade.
#[test]
fn lone_vm() {
    let mut vm: FleetEstimates<u32> = FleetEstimates::new(EstimateSettings::default());
    vm.observe(TimePoint(0), &1, 100.0);
    vm.observe(TimePoint(0), &1, 300.0);
    let entry = vm.get(TimePoint(5 * SECOND_US), &1).expect("it was observed");
    assert_eq!((entry.count, entry.mean()), (1.0, 200.0));
    assert_eq!(vm.all(TimePoint(60 * SECOND_US)).count(), 0);
}

/// Thousands of keys must not grow a VM's memory or its messages.
#[test]
fn bounded_size() {
    let settings = EstimateSettings { max_keys: 64, ..EstimateSettings::default() };
    let mut vm: FleetEstimates<u32> = FleetEstimates::new(settings);
    for key in 0..10_000 {
        vm.observe(TimePoint(u64::from(key)), &key, 1.0);
        vm.observe(TimePoint(u64::from(key)), &7, 1.0);
    }
    let now = TimePoint(10_000);
    assert!(vm.get(now, &7).is_some_and(|entry| entry.count > 5_000.0));
    assert!(vm.all(now).count() <= 64);
    assert_eq!((vm.take_report().len(), vm.take_update(now).len()), (12, 12));
}

/// What is no number counts nothing.
#[test]
fn unsound_entries() {
    let mut vm: FleetEstimates<u32> = FleetEstimates::new(EstimateSettings::default());
    let entry = |count, sum| EstimateEntry { key: 1, count, sum };
    let entries = [entry(f32::NAN, 1.0), entry(1.0, f32::INFINITY), entry(-1.0, 1.0)];
    vm.apply_report(TimePoint(0), &entries, true);
    vm.adopt(TimePoint(0), &entries);
    assert!(vm.get(TimePoint(0), &1).is_none() && vm.take_report().is_empty());
}

/// New keys after a long pause, when all others have faded, must neither stop a VM nor drop the heaviest key.
#[test]
fn faded_keys() {
    let settings = EstimateSettings { max_keys: 16, ..EstimateSettings::default() };
    let mut vm: FleetEstimates<u32> = FleetEstimates::new(settings);
    (0..16).for_each(|key| vm.observe(TimePoint(0), &key, 1.0));
    let later = TimePoint(60 * SECOND_US);
    (0..3).for_each(|_| vm.observe(later, &900, 1.0));
    (100..140).for_each(|key| vm.observe(later, &key, 1.0));
    assert!(vm.get(later, &900).is_some_and(|entry| entry.count == 3.0));
    assert!(vm.all(later).count() <= 16);
}
