//! Repeats of a whole fleet, whose VMs start, stop, freeze and lose contact, against the bound over all of them.

use coltsfoothook_decision::budget::{RepeatBounds, RepeatBudget};
use coltsfoothook_decision::id::{ServiceName, TimePoint};
use coltsfoothook_decision::lease::{FleetPartition, GainedSince, LeaseSettings, OrderLease};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const STEP_US: u64 = 50_000;
const SECOND_STEPS: usize = 20;
const STEPS: usize = 70 * SECOND_STEPS;
const WINDOW_STEPS: usize = 10 * SECOND_STEPS;
/// Time in steps without a renewal after which the store gives a VM's partitions to others, and between two renewals.
const LIFETIME_STEPS: usize = 3 * SECOND_STEPS;
const RENEWAL_STEPS: usize = SECOND_STEPS;
/// Time in steps for which a VM of a whole new system tells its partitions' first holder by the generation.
const FIRST_START_STEPS: usize = 8 * SECOND_STEPS;
/// The longest time in steps that a request or a repeat is on its way.
const MAX_DELAY_STEPS: usize = SECOND_STEPS / 5;
/// The most VMs that hold partitions.
const HOLDERS: usize = 24;
const PARTITIONS: usize = 48;
/// The most times that one request is sent again.
const MAX_REPEATS: usize = 2;

/// The store's group: who holds each partition, and who should.
#[derive(Default)]
struct StoreGroup {
    generation: u64,
    /// Members with the step of their last renewal.
    members: Vec<(usize, usize)>,
    holders: Vec<Option<usize>>,
    targets: Vec<Option<usize>>,
}

impl StoreGroup {
    /// Renews a member and returns the partitions that it holds.
    fn join(&mut self, vm: usize, generation: u64, step: usize) -> Vec<FleetPartition> {
        let before: Vec<usize> = self.members.iter().map(|(vm, _)| *vm).collect();
        self.members.retain(|(other, at)| *other != vm && at + LIFETIME_STEPS > step);
        self.members.push((vm, step));
        self.members.sort_unstable();
        let after: Vec<usize> = self.members.iter().map(|(vm, _)| *vm).collect();
        if before != after {
            self.deal(&after);
        }
        let mut own = Vec::new();
        for at in 0..PARTITIONS {
            let holder = &mut self.holders[at];
            let expired = holder.is_some_and(|holder| !after.contains(&holder));
            let given_up = *holder == Some(vm)
                && self.targets[at] != Some(vm)
                && generation >= self.generation;
            if expired || given_up {
                *holder = None;
            }
            if holder.is_none() && self.targets[at] == Some(vm) {
                *holder = Some(vm);
            }
            if *holder == Some(vm) && self.targets[at] == Some(vm) {
                let (topic, partition) = ((at / 12) as u32, (at % 12) as u32);
                own.push(FleetPartition { topic, partition });
            }
        }
        own
    }

    fn deal(&mut self, members: &[usize]) {
        self.generation += 1;
        self.holders.resize(PARTITIONS, None);
        self.targets = (0..PARTITIONS).map(|at| Some(members[at % members.len()])).collect();
    }

    /// Gives all partitions away at once, without asking their holders.
    fn deal_anew(&mut self) {
        self.holders.fill(None);
        let turned = self.targets.iter().cycle().skip(1).take(self.targets.len());
        self.targets = turned.copied().collect();
        self.generation += 1;
    }
}

/// Which trouble a run has, and its demand.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    vms: usize,
    slack: f64,
    /// Requests per second of the whole fleet before and after a change, and the step of the change.
    before: f64,
    after: f64,
    change: usize,
    /// The fraction of sends that fail.
    failing: f64,
    /// Restarts of single VMs per second of the whole fleet.
    restarts: f64,
    /// The step at which all VMs restart at once.
    power_lost: Option<usize>,
    /// The fraction of the VMs that never reach the store, or not until the change.
    cut: f64,
    /// The fraction that neither get requests nor renew for five seconds from the change on.
    frozen: f64,
    /// Whether demand moves to the other half of the VMs at the change.
    moves: bool,
    /// Whether the store deals all partitions anew every few seconds.
    dealt_anew: bool,
}

struct FleetVm {
    budget: RepeatBudget,
    lease: OrderLease,
    /// The step at which its process has started; it renews from then on.
    started: usize,
}

impl FleetVm {
    fn start(bounds: RepeatBounds, step: usize) -> Self {
        let lease = OrderLease::new(LeaseSettings::default());
        Self { budget: RepeatBudget::new(bounds), lease, started: step }
    }
}

/// The requests and repeats of a fleet, by step.
struct FleetCounts {
    requests: Vec<usize>,
    repeats: Vec<usize>,
}

fn time(step: usize) -> TimePoint {
    TimePoint(1_000_000_000 + step as u64 * STEP_US)
}

fn run(scenario: &Scenario) -> FleetCounts {
    let bounds = RepeatBounds { slack: scenario.slack, ..RepeatBounds::default() };
    let service = ServiceName::from("engines");
    let mut random = Pcg64::seed_from_u64(scenario.seed);
    let mut group = StoreGroup::default();
    let mut vms: Vec<FleetVm> = (0..scenario.vms).map(|_| FleetVm::start(bounds, 0)).collect();
    let mut counts = FleetCounts { requests: vec![0; STEPS], repeats: vec![0; STEPS] };
    for step in 0..STEPS {
        let now = time(step);
        if scenario.dealt_anew && step % (7 * SECOND_STEPS) == 0 && group.generation > 0 {
            group.deal_anew();
        }
        let changed = step >= scenario.change;
        let demand = if changed { scenario.after } else { scenario.before };
        let per_vm = demand / scenario.vms as f64 / SECOND_STEPS as f64;
        for (number, vm) in vms.iter_mut().enumerate() {
            let restart = scenario.restarts / scenario.vms as f64 / SECOND_STEPS as f64;
            if scenario.power_lost == Some(step) || random.random_bool(restart.min(1.0)) {
                *vm = FleetVm::start(bounds, step);
            }
            let part = (number as f64 + 0.5) / scenario.vms as f64;
            let thaws = scenario.change + 5 * SECOND_STEPS;
            if part > 1.0 - scenario.frozen && changed && step < thaws {
                continue;
            }
            let is_cut = part < scenario.cut && (number % 2 == 0 || !changed);
            let renews = (step - vm.started + number) % RENEWAL_STEPS == 0;
            if number < HOLDERS && !is_cut && renews {
                let partitions = group.join(number, vm.lease.generation(), step);
                let generation = group.generation;
                let first = vm.started == 0 && step < FIRST_START_STEPS;
                let since = if first { GainedSince::FirstStart } else { GainedSince::Unknown };
                vm.lease.renewed(now, now, generation, partitions, &since);
            }
            let busy = (part < 0.5) != changed;
            let factor = if !scenario.moves {
                1.0
            } else if busy {
                2.0
            } else {
                0.0
            };
            let expected = per_vm * factor;
            let mut requests = expected as usize;
            requests += usize::from(random.random_bool(expected.fract()));
            for _ in 0..requests {
                // The caller sent it a little earlier, and repeats arrive a little later.
                counts.requests[step.saturating_sub(random.random_range(0..=MAX_DELAY_STEPS))] += 1;
                vm.budget.record_first(&service, now);
                for _ in 0..MAX_REPEATS {
                    let share = vm.lease.settled_fraction(bounds.window_us, now);
                    let fails = random.random_bool(scenario.failing);
                    if !fails || !vm.budget.try_repeat(&service, share, now).allowed {
                        break;
                    }
                    let arrives = step + random.random_range(0..=MAX_DELAY_STEPS);
                    counts.repeats[arrives.min(STEPS - 1)] += 1;
                }
            }
        }
    }
    counts
}

impl FleetCounts {
    /// Returns the largest excess over what is allowed in any window; negative if there is none.
    fn worst_excess(&self, scenario: &Scenario) -> f64 {
        // Nothing is sent before the first step.
        let requests = |earlier: usize, from: usize| {
            let counted =
                from.saturating_sub(earlier)..(from + WINDOW_STEPS).saturating_sub(earlier);
            self.requests[counted].iter().sum::<usize>()
        };
        let excess = |from: usize| {
            let repeats: usize = self.repeats[from..from + WINDOW_STEPS].iter().sum();
            let counted =
                [0, WINDOW_STEPS / 2, WINDOW_STEPS].map(|earlier| requests(earlier, from));
            let most = counted.into_iter().max().unwrap_or(0);
            repeats as f64 - RepeatBounds::default().ratio * most as f64 - scenario.slack
        };
        (0..STEPS - WINDOW_STEPS).map(excess).fold(f64::MIN, f64::max)
    }
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let before = prop_oneof![1.0..60.0_f64, 60.0..600.0_f64];
    let demand = (before, 0.1..8.0_f64, 5 * SECOND_STEPS..60 * SECOND_STEPS);
    let trouble = (
        prop_oneof![Just(0.0), 0.1..8.0_f64],
        prop::option::of(5 * SECOND_STEPS..60 * SECOND_STEPS),
        prop_oneof![Just(0.0), Just(1.0), 0.0..1.0_f64],
        prop_oneof![Just(0.0), 0.0..1.0_f64],
        any::<bool>(),
        any::<bool>(),
    );
    let vms = prop_oneof![1..=24_usize, 24..=300_usize];
    let fleet = (any::<u64>(), vms, 5.0..120.0_f64, prop_oneof![3 => Just(1.0), 1 => 0.1..1.0_f64]);
    (fleet, demand, trouble).prop_map(|(fleet, demand, trouble)| {
        let (seed, vms, slack, failing) = fleet;
        let (before, jump, change) = demand;
        let (restarts, power_lost, cut, frozen, moves, dealt_anew) = trouble;
        let after = before * jump;
        Scenario {
            seed,
            vms,
            slack,
            before,
            after,
            change,
            failing,
            restarts,
            power_lost,
            cut,
            frozen,
            moves,
            dealt_anew,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against a bound over the fleet that rests on what a VM has heard of the others, or remembers.
    #[test]
    fn never_over(scenario in scenarios()) {
        let excess = run(&scenario).worst_excess(&scenario);
        prop_assert!(excess <= 0.0, "{excess} repeats too many");
    }
}

/// A calm fleet whose sends all fail uses most of what all VMs may repeat.
#[test]
fn calm_fleet() {
    for vms in [1, 6, 30] {
        let scenario = Scenario {
            seed: 1,
            vms,
            slack: 52.0,
            before: 240.0,
            after: 240.0,
            change: STEPS,
            failing: 1.0,
            restarts: 0.0,
            power_lost: None,
            cut: 0.0,
            frozen: 0.0,
            moves: false,
            dealt_anew: false,
        };
        let counts = run(&scenario);
        let from = 40 * SECOND_STEPS;
        let sum = |counts: &[usize]| counts[from..from + WINDOW_STEPS].iter().sum::<usize>() as f64;
        let (repeats, requests) = (sum(&counts.repeats), sum(&counts.requests));
        let allowed = 0.2 * requests + scenario.slack;
        assert!(repeats >= 0.75 * allowed, "{vms} VMs used {repeats} of {allowed}");
    }
}
