//! Cost of metrics: the lookup per request, the observation per token and the text export.

use coltsfoothook_decision::outcome::{RequestClass, RequestOutcome};
use coltsfoothook_telemetry::{MetricSet, MetricSettings};
use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;

fn metric_cost(criterion: &mut Criterion) {
    let settings = MetricSettings::default();
    let metrics = MetricSet::new(&settings);
    for tenant in 0..2 * settings.tenants {
        for class in RequestClass::ALL {
            let name = format!("tenant-{tenant}");
            let request = metrics.request(&name, class);
            request.first_token(0.1);
            request.next_token(0.01);
            request.waited(0.0, 0.1);
            request.ended(1.0);
            metrics.count_request(&name, class, RequestOutcome::Done);
        }
    }
    println!("text of a metric set with all series: {} bytes", metrics.text().len());
    criterion.bench_function("request", |bencher| {
        bencher.iter(|| black_box(metrics.request(black_box("tenant-7"), RequestClass::Urgent)));
    });
    let request = metrics.request("tenant-7", RequestClass::Urgent);
    criterion
        .bench_function("token", |bencher| bencher.iter(|| request.next_token(black_box(0.01))));
    criterion.bench_function("text", |bencher| bencher.iter(|| metrics.text().len()));
}

criterion_group!(benches, metric_cost);
criterion_main!(benches);
