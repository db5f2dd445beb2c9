//! Measures a routing decision: the group of an adapter, then the engine and slot at the group's
//! owner.

use coltsfoothook_decision::id::{AdapterVersion, OwnerEpoch, ServerIncarnation, TimePoint};
use coltsfoothook_decision::manifest::{
    AdapterEntry, EngineEntry, ServerEntry, ServerKind, ServingManifest, VersionEntry,
};
use coltsfoothook_decision::outcome::RequestClass;
use coltsfoothook_decision::owner::{GroupOwner, OwnerEvent, OwnerSettings, SlotQuery};
use coltsfoothook_decision::report::{EngineReport, SlotReport};
use coltsfoothook_decision::route::GroupMap;
use coltsfoothook_decision::slot::slot_name;
use coltsfoothook_decision::suspect::SuspectVerdict;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use std::hint::black_box;

const SLOTS: usize = 32;
const REGION: &str = "r";

fn version(number: usize) -> AdapterVersion {
    AdapterVersion { adapter: format!("adapter-{number:05}").into(), version: "v1".into() }
}

fn manifest(servers: usize, adapters: usize) -> ServingManifest {
    let engine = EngineEntry {
        model: "base".into(),
        adapter_slots: SLOTS as u32,
        batch_slots: 32,
        checks_fencing: true,
    };
    let server = |number: usize| ServerEntry {
        name: format!("server-{number:04}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".into(),
        region: REGION.into(),
        serves: ServerKind::Engine(engine.clone()),
    };
    let adapter = |number: usize| AdapterEntry {
        name: version(number).adapter,
        model: "base".into(),
        versions: vec![VersionEntry { version: "v1".into(), weights: String::new() }],
        default_version: None,
        tenants: Vec::new(),
    };
    ServingManifest {
        servers: (0..servers).map(server).collect(),
        adapters: (0..adapters).map(adapter).collect(),
        ..Default::default()
    }
}

/// Returns the owners of all groups, with adapters loaded until all slots are filled.
fn owners(map: &GroupMap, manifest: &ServingManifest, adapters: usize) -> Vec<GroupOwner> {
    let mut assigned = vec![Vec::new(); map.groups().len()];
    for number in 0..adapters {
        let ranked = map.route(version(number).adapter.as_str(), REGION).expect("a known adapter");
        assigned[ranked[0].index()].push(version(number));
    }
    let mut rng = Pcg64::seed_from_u64(1);
    let mut owners = Vec::new();
    for (group, assigned) in map.groups().iter().zip(assigned) {
        let topology = map.topology(group, manifest);
        let settings = OwnerSettings::default();
        let mut owner = GroupOwner::new(settings, topology, OwnerEpoch(1), TimePoint(0));
        for (server, loaded) in group.servers.iter().zip(assigned.chunks(SLOTS)) {
            let slots = loaded.iter().map(|adapter| SlotReport {
                slot: slot_name(adapter, OwnerEpoch(1), 1),
                running: 0,
            });
            let report = EngineReport {
                leaving: false,
                incarnation: ServerIncarnation(1),
                sequence: 1,
                slots: slots.collect(),
                ..Default::default()
            };
            let event = OwnerEvent::Report { server: server.clone(), report };
            owner.handle(TimePoint(1), event, &mut rng, &mut Vec::new());
        }
        owners.push(owner);
    }
    owners
}

fn route_cost(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for (servers, adapters) in [(12, 3_000), (215, 16_000), (860, 4_000), (860, 16_000)] {
        let manifest = manifest(servers, adapters);
        let map = GroupMap::new(&manifest);
        let owners = owners(&map, &manifest, adapters);
        let versions: Vec<AdapterVersion> = (0..adapters).map(version).collect();
        let query = SlotQuery {
            class: RequestClass::Urgent,
            verdict: SuspectVerdict::Clear,
            prefix: 0,
            avoid: &[],
            allowed_engines: None,
        };
        let mut next = 0;
        let id = BenchmarkId::from_parameter(format!("{servers}x{adapters}"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                // A stride that is coprime to the number of adapters visits all of them in a
                // scattered order.
                next = (next + 7_919) % adapters;
                let adapter = &versions[next];
                let ranked = map.route(adapter.adapter.as_str(), REGION).expect("known");
                let owner = &owners[ranked[0].index()];
                let number = owner.adapter_index(adapter);
                black_box(number.and_then(|number| owner.choose(TimePoint(1), number, &query)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, route_cost);
criterion_main!(benches);
