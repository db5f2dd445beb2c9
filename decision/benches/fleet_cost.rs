//! Cost of choosing a server and of processing updates at a VM of a large fleet.
//!
//! Sizes are the engine counts of fleets of 61, 195 and 360 VMs, with ten adapters in the slots of
//! each engine. Benchmarks cover an adapter that one engine holds and one that none holds.
//! docs/FLEETS.md has the figures.

use std::hint::black_box;

use coltsfoothook_decision::backend::{BackendTable, ServerOwner};
use coltsfoothook_decision::choice::ServerRequirements;
use coltsfoothook_decision::counts::LoadFigure;
use coltsfoothook_decision::domain_update::UpdateWriter;
use coltsfoothook_decision::holding::AdapterHolding;
use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::routing::{AdapterKey, BackendEntry, SharedPrompt};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

#[path = "../tests/suite/fixture.rs"]
mod fixture;

use fixture::engine_entry;

const SIZES: [usize; 3] = [60, 124, 860];
const SLOTS: usize = 10;
const NOW: TimePoint = TimePoint(1_000_000_000);

fn key(number: usize) -> AdapterKey {
    AdapterKey { model: "base".into(), adapter: format!("a{number}").as_str().into() }
}

fn name(server: usize) -> String {
    format!("i-{server:08x}")
}

fn list(table: &mut BackendTable, server: usize, first: usize, revision: u64) {
    let holding = |number| AdapterHolding { key: key(number), version: 1, ..Default::default() };
    let holdings = (first..first + SLOTS).map(holding).collect();
    let owner = ServerOwner { vm: "vm-1".into(), incarnation: 1, fence: 1, at: NOW, free: 2 };
    table.apply_list(&name(server), owner, revision, holdings);
}

fn fleet(servers: usize) -> BackendTable {
    let mut table = BackendTable::default();
    for server in 0..servers {
        table.apply_entry(BackendEntry { incarnation: 1, ..engine_entry(&name(server)) }, NOW);
        list(&mut table, server, server * SLOTS, 1);
        let figure = LoadFigure { running: (server % 12) as u32, pending_prompt_tokens: 700 };
        table.fleet_load(&name(server), figure, NOW);
    }
    table
}

fn choices(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("choice");
    for servers in SIZES {
        let table = fleet(servers);
        let (service, model, domain) = ("engines".into(), "base".into(), "d1".into());
        for (case, wanted) in [("held", key(5)), ("cold", key(9_999_999))] {
            let requirements = ServerRequirements {
                service: &service,
                model: Some(&model),
                adapter: Some((&wanted, 1)),
                software: None,
                excluded: &[],
                domain: &domain,
                shared: SharedPrompt::default(),
                prompt: 646,
                gap: None,
            };
            group.bench_function(BenchmarkId::new(case, servers), |bench| {
                bench.iter(|| black_box(table.choose(&requirements, 12_345, NOW)));
            });
        }
    }
    group.finish();
}

/// Writing an aggregator's update with one changed list in ten, and applying its counts at a VM.
fn updates(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("news");
    for servers in SIZES {
        let mut table = fleet(servers);
        let mut writer = UpdateWriter::default();
        writer.list_changes(&table, usize::MAX, NOW);
        let later = NOW.plus(150_000);
        let mut revision = 1;
        group.bench_function(BenchmarkId::new("written", servers), |bench| {
            bench.iter(|| {
                revision += 1;
                for server in (0..servers).step_by(10) {
                    list(&mut table, server, server * SLOTS + revision as usize % 2, revision);
                }
                let domain = table.member_loads(later);
                (writer.fleet_loads(&domain, later), writer.list_changes(&table, usize::MAX, later))
            });
        });
        let view = fleet(servers);
        let loads = view.member_loads(NOW);
        let mut view = view;
        group.bench_function(BenchmarkId::new("taken", servers), |bench| {
            bench.iter(|| {
                for (server, figure) in &loads {
                    view.fleet_load(server.as_str(), *figure, NOW);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choices, updates);
criterion_main!(benches);
