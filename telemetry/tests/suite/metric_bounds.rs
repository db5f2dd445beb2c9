//! The number of series stays bounded, whatever callers send.

use coltsfoothook_decision::invariant::{InvariantLog, InvariantName};
use coltsfoothook_decision::outcome::{RequestClass, RequestOutcome};
use coltsfoothook_telemetry::{MetricSet, MetricSettings};

fn series(text: &str) -> usize {
    text.lines().filter(|line| !line.starts_with('#')).count()
}

#[test]
fn many_tenants() {
    // Twenty thousand tenants send requests. Without a bound each would add some hundred series,
    // and the process and whoever scrapes it would run out of memory.
    let metrics = MetricSet::new(&MetricSettings { tenants: 3 });
    let mut seen = Vec::new();
    for number in 0..20_000 {
        let tenant = format!("tenant-{number}");
        let request = metrics.request(&tenant, RequestClass::ALL[number % 3]);
        request.first_token(0.1);
        request.next_token(0.01);
        request.waited(0.0, 0.2);
        request.ended(1.0);
        metrics.count_request(&tenant, RequestClass::Audit, RequestOutcome::Done);
        if number == 100 || number == 19_999 {
            seen.push(series(&metrics.text()));
        }
    }
    let text = metrics.text();
    assert_eq!(seen[0], seen[1]);
    assert!(
        text.contains(
            r#"coltsfoothook_tenant_requests_total{outcome="done",tenant="other"} 19997"#
        )
    );
    assert!(text.contains(r#"coltsfoothook_requests_running{class="audit"} 0"#));
}

#[test]
fn invariants_shown() {
    let metrics = MetricSet::new(&MetricSettings::default());
    let zero = r#"coltsfoothook_invariant_violations_total{invariant="at_most_once"} 0"#;
    assert!(metrics.text().contains(zero), "a rule that holds shows as 0");
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
fn own_figures() {
    let metrics = MetricSet::new(&MetricSettings::default());
    let text = metrics.text();
    let resident =
        text.lines().find(|line| line.starts_with("coltsfoothook_process_resident_bytes "));
    let value = resident.and_then(|line| line.split(' ').nth(1)).expect("the figure is there");
    assert!(value.parse::<u64>().expect("a number") > 100_000);
}
