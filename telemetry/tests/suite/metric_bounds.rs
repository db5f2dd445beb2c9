//! The number of series is bounded, and counters of invariants are exported even at 0.

use coltsfoothook_decision::invariant::{InvariantLog, InvariantName};
use coltsfoothook_decision::outcome::{RequestClass, RequestOutcome};
use coltsfoothook_telemetry::{MetricSet, MetricSettings};

fn series_count(text: &str) -> usize {
    text.lines().filter(|line| !line.starts_with('#')).count()
}

#[test]
fn series_bounded_for_many_tenants() {
    // Each tenant with series of its own adds some hundred. Without the limit, 20,000 tenants would
    // exhaust the memory of the process and of its scraper.
    let metrics = MetricSet::new(&MetricSettings { tenants: 3 });
    let mut counts = Vec::new();
    for number in 0..20_000 {
        let tenant = format!("tenant-{number}");
        let request = metrics.request(&tenant, RequestClass::ALL[number % 3]);
        request.first_token(0.1);
        request.next_token(0.01);
        request.waited(0.0, 0.2);
        request.ended(1.0);
        metrics.count_request(&tenant, RequestClass::Audit, RequestOutcome::Done);
        if number == 100 || number == 19_999 {
            counts.push(series_count(&metrics.text()));
        }
    }
    let text = metrics.text();
    assert_eq!(counts[0], counts[1]);
    assert!(
        text.contains(
            r#"coltsfoothook_tenant_requests_total{outcome="done",tenant="other"} 19997"#
        )
    );
    assert!(text.contains(r#"coltsfoothook_requests_running{class="audit"} 0"#));
}

#[test]
fn invariants_exported() {
    let metrics = MetricSet::new(&MetricSettings::default());
    let zero = r#"coltsfoothook_invariant_violations_total{invariant="at_most_once"} 0"#;
    assert!(metrics.text().contains(zero), "an invariant without violations is exported as 0");
    let mut log = InvariantLog::default();
    for holds in [true, false] {
        log.check(InvariantName::AtMostOnce, holds, String::new);
        metrics.set_invariants(&log);
        metrics.set_invariants(&log);
    }
    metrics.count_invariant(InvariantName::AtMostOnce, false);
    assert_eq!(metrics.violations(), 2);
    assert!(
        metrics
            .text()
            .contains(r#"coltsfoothook_invariant_checks_total{invariant="at_most_once"} 3"#)
    );
}

#[test]
fn process_figures_exported() {
    let metrics = MetricSet::new(&MetricSettings::default());
    let text = metrics.text();
    let resident =
        text.lines().find(|line| line.starts_with("coltsfoothook_process_resident_bytes "));
    let value = resident.and_then(|line| line.split(' ').nth(1)).expect("the metric is exported");
    assert!(value.parse::<u64>().expect("a number") > 100_000);
}
