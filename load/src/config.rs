//! Costs of configurations and of owners by size, measured without a site.

use std::hint::black_box;
use std::time::{Duration, Instant};

use coltsfoothook_decision::config::ConfigFold;
use coltsfoothook_decision::delta::apply_delta;
use coltsfoothook_decision::id::{ConfigVersion, ServerIncarnation, TimePoint};
use coltsfoothook_decision::manifest::{
    AdapterEntry, ManifestDelta, ServingManifest, VersionEntry,
};
use coltsfoothook_decision::manifest::{ModelEntry, StoreEntry, TenantEntry};
use coltsfoothook_decision::owner::OwnerEvent;
use coltsfoothook_decision::record::{ConfigChange, ConfigRecord};
use coltsfoothook_decision::report::EngineReport;
use coltsfoothook_telemetry::process_usage;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

use crate::fleet::{RouteFleet, manifest};

/// Number of manifest copies held at once to measure memory, which averages out allocation
/// granularity.
const COPIES: u32 = 6;
/// Number of times the delta is applied.
const DELTAS: u32 = 20;
/// Number of rounds of engine reports.
const ROUNDS: u64 = 200;
/// Port of the first server; each further one has the next port, since addresses must be unique.
const BASE_PORT: u16 = 1_000;
/// Microseconds per second.
const MICROS: f64 = 1e6;

/// Costs of a configuration of one size.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigCost {
    /// Memory of one manifest.
    pub(crate) resident_bytes: f64,
    /// Time to apply a delta of one adapter, in microseconds.
    pub(crate) delta_us: f64,
    /// Length of the snapshot record as JSON.
    pub(crate) snapshot_bytes: f64,
    /// Length of the delta's record as JSON.
    pub(crate) delta_bytes: f64,
}

/// Measures a configuration with `servers` servers and `adapters` adapters of two versions each.
pub(crate) fn config_cost(servers: u32, adapters: u32) -> ConfigCost {
    let mut base = manifest(servers, adapters);
    for adapter in &mut base.adapters {
        let name = adapter.name.clone();
        let version = |text: &str| VersionEntry {
            version: text.into(),
            weights: format!("store://weights/{name}/{text}"),
        };
        adapter.versions = vec![version("v1"), version("v2")];
        adapter.default_version = Some("v2".into());
        adapter.tenants = vec!["tenant-00000".into()];
    }
    base.models =
        (0..4).map(|number| ModelEntry { name: format!("model-{number}").into() }).collect();
    base.tenants = vec![TenantEntry {
        name: "tenant-00000".into(),
        credentials: vec!["0".repeat(64)],
        requests_per_s: None,
        burst: 100,
        weight: 1.0,
    }];
    base.stores = (0..2)
        .map(|number| StoreEntry {
            region: format!("region-{number}").into(),
            loads_per_s: 5.0,
            full_speed: 2,
        })
        .collect();
    for (number, server) in base.servers.iter_mut().enumerate() {
        server.address.set_port(BASE_PORT + number as u16);
        server.domain = format!("{}-{}", server.region, server.domain).as_str().into();
    }
    coltsfoothook_decision::check::normalize(&mut base);
    // The fold would refuse an invalid manifest, and the measurements would be meaningless.
    assert_eq!(coltsfoothook_decision::check::check_manifest(&base).len(), 0);
    let before = process_usage().resident_bytes;
    let copies: Vec<ServingManifest> = (0..COPIES).map(|_| base.clone()).collect();
    let resident = process_usage().resident_bytes.saturating_sub(before);
    drop(black_box(copies));
    let delta = one_delta(&base.adapters[base.adapters.len() / 2]);
    let started = Instant::now();
    for _ in 0..DELTAS {
        black_box(apply_delta(black_box(&base), &delta).is_ok());
    }
    let delta_us = started.elapsed().as_secs_f64() * MICROS / f64::from(DELTAS);
    let publish = |change| ConfigRecord::Publish {
        base: ConfigVersion(0),
        publish_id: "publish-00000".to_owned(),
        change,
    };
    let mut fold = ConfigFold::default();
    let delta_bytes = bytes_of(&publish(ConfigChange::Delta(delta)));
    fold.fold(0, publish(ConfigChange::Whole(base)));
    let snapshot_bytes = fold.snapshot().as_ref().map_or(0.0, bytes_of);
    ConfigCost {
        resident_bytes: resident as f64 / f64::from(COPIES),
        delta_us,
        snapshot_bytes,
        delta_bytes,
    }
}

/// Returns a delta that replaces one adapter.
pub(crate) fn one_delta(adapter: &AdapterEntry) -> ManifestDelta {
    let mut delta = ManifestDelta::default();
    delta.put.adapters = vec![adapter.clone()];
    delta
}

fn bytes_of(record: &ConfigRecord) -> f64 {
    serde_json::to_vec(record).map_or(0.0, |text| text.len() as f64)
}

/// Cost of owning engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerCost {
    /// Microseconds to handle one report of every server and one tick of every owner.
    pub(crate) round_us: f64,
}

/// Measures the owners of all groups of `servers` servers with loaded slots.
pub(crate) fn owner_cost(servers: u32, adapters: u32) -> OwnerCost {
    let mut fleet = RouteFleet::new(servers, adapters);
    let mut rng = Pcg64::seed_from_u64(1);
    let mut actions = Vec::new();
    let groups: Vec<_> = fleet.map.groups().iter().map(|group| group.servers.clone()).collect();
    let mut spent = Duration::ZERO;
    for round in 2..ROUNDS + 2 {
        let now = TimePoint(round * 250);
        for (at, servers) in groups.iter().enumerate() {
            for server in servers {
                let report = EngineReport {
                    leaving: false,
                    incarnation: ServerIncarnation(1),
                    sequence: round,
                    running: 0,
                    waiting: 0,
                    slots: fleet.reported(at, server),
                };
                let event = OwnerEvent::Report { server: server.clone(), report };
                let started = Instant::now();
                fleet.owners[at].handle(now, event, &mut rng, &mut actions);
                spent += started.elapsed();
                actions.clear();
            }
            let started = Instant::now();
            fleet.owners[at].handle(now, OwnerEvent::Tick, &mut rng, &mut actions);
            spent += started.elapsed();
            actions.clear();
        }
    }
    OwnerCost { round_us: spent.as_secs_f64() * MICROS / ROUNDS as f64 }
}
