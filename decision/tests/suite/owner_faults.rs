//! An owner against fake engines with faults, from fixed seeds.

use coltsfoothook_decision::outcome::RequestClass;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::owner_world::{POISON, SECOND, World, WorldFaults};

/// Requests arrive for 30 s; the last deadline is 20 s later.
const ARRIVALS: u64 = 30 * SECOND;
const DRAINED: u64 = 60 * SECOND;

fn run(seed: u64, faults: WorldFaults) -> World {
    let mut world = World::new(seed, faults);
    world.run(ARRIVALS, DRAINED);
    world.check();
    world
}

// A caller sees only answers; nothing fails here.
// Requests for 30 adapters share 16 slots of 4 engines, of which two check fencing numbers.
// Without faults every rule holds and nearly all is done, or the faults below prove nothing.
#[test]
fn no_faults() {
    let world = run(1, WorldFaults::default());
    assert!(world.done > 1_000, "only {} done", world.done);
}

// Callers of the poison request see it fail twice and then refused; others are not blamed.
// It crashes the engine that runs it and is sent again at once through another VM, under a new id,
// before the engine's new life is known. It runs isolated, crashes a second engine, is condemned.
#[test]
fn poison_request() {
    for seed in 0..20 {
        let mut world = World::new(seed, WorldFaults { poison: true, ..Default::default() });
        world.run(5 * SECOND, 4 * SECOND);
        world.ask(3, RequestClass::Urgent, POISON);
        world.run(ARRIVALS, 15 * SECOND);
        world.ask(3, RequestClass::Urgent, POISON);
        world.run(ARRIVALS, DRAINED);
        let crashes: u32 = world.engines.iter().map(|engine| engine.crashes).sum();
        assert!(crashes <= 2, "seed {seed}: {crashes} engines fell to one request");
        world.check();
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 48,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    // A caller may see refusals, but never a wrong adapter, and always one answer.
    // Engines restart empty; loads fail, hang or end late; reports lag and overtake each other; the
    // owner is paused, another takes over, and the first wakes with orders in hand; VMs are paused
    // between grant and use. Whatever happens together, no adapter in use may be evicted.
    #[test]
    fn faults_together(
        seed in any::<u64>(),
        restarts in any::<bool>(),
        load_faults in any::<bool>(),
        lagging in any::<bool>(),
        takeover in any::<bool>(),
        pauses in any::<bool>(),
    ) {
        let faults =
            WorldFaults { restarts, load_faults, lagging, takeover, pauses, poison: false };
        let world = run(seed, faults);
        prop_assert!(world.done > 200, "only {} done", world.done);
    }
}
