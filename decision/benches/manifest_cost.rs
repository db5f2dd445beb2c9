//! Cost of a configuration change per VM, with up to 16,000 adapters and 860 servers.

use coltsfoothook_decision::check::{check_manifest, normalize};
use coltsfoothook_decision::delta::apply_delta;
use coltsfoothook_decision::manifest::{
    AdapterEntry, EngineEntry, ManifestDelta, ModelEntry, ServerEntry, ServerKind, ServingManifest,
    StoreEntry, TenantEntry, VersionEntry,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use std::net::SocketAddr;

const SERVERS: u16 = 860;

fn manifest(adapters: usize) -> ServingManifest {
    let tenant = |number: usize| TenantEntry {
        name: format!("tenant-{number}").into(),
        credentials: vec![format!("{number:064x}")],
        requests_per_s: None,
        burst: 100,
        weight: 1.0,
    };
    let version = |number: usize| VersionEntry {
        version: number.to_string().into(),
        weights: format!("s3://weights/some/where/{number}"),
    };
    let adapter = |number: usize| AdapterEntry {
        name: format!("adapter-{number:05}").into(),
        model: "base-8b".into(),
        versions: vec![version(1), version(2)],
        default_version: Some("2".into()),
        tenants: vec![format!("tenant-{}", number % 100).into()],
    };
    let server = |number: u16| ServerEntry {
        name: format!("engine-{number}").into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number)),
        domain: "embakasi".into(),
        region: "nbo".into(),
        serves: ServerKind::Engine(EngineEntry {
            model: "base-8b".into(),
            adapter_slots: 8,
            batch_slots: 32,
            checks_fencing: true,
        }),
    };
    let mut manifest = ServingManifest {
        models: vec![ModelEntry { name: "base-8b".into() }],
        adapters: (0..adapters).map(adapter).collect(),
        tenants: (0..100).map(tenant).collect(),
        servers: (0..SERVERS).map(server).collect(),
        stores: vec![StoreEntry { region: "nbo".into(), loads_per_s: 5.0, full_speed: 2 }],
        ..Default::default()
    };
    normalize(&mut manifest);
    manifest
}

fn manifest_cost(criterion: &mut Criterion) {
    for adapters in [1_000, 4_000, 16_000] {
        let base = manifest(adapters);
        assert_eq!(check_manifest(&base), []);
        let mut delta = ManifestDelta::default();
        delta.put.adapters = vec![base.adapters[adapters / 2].clone()];
        criterion.bench_with_input(BenchmarkId::new("check", adapters), &base, |bencher, base| {
            bencher.iter(|| check_manifest(black_box(base)).len());
        });
        criterion.bench_with_input(BenchmarkId::new("delta", adapters), &base, |bencher, base| {
            bencher.iter(|| apply_delta(black_box(base), &delta).map(|next| next.adapters.len()));
        });
    }
}

criterion_group!(benches, manifest_cost);
criterion_main!(benches);
