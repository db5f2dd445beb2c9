//! docs/GATEWAY-METRICS.md is generated from the metrics.

use std::time::Duration;

use expect_test::expect_file;

use crate::metrics::{GatewayMetrics, RequestTiming};

/// Fails if a metric was added or renamed without an update of the page; `UPDATE_EXPECT=1` writes
/// it.
#[test]
fn page() {
    let metrics = GatewayMetrics::new();
    let timing = RequestTiming {
        first: Some(Duration::ZERO),
        whole: Duration::ZERO,
        stall: Duration::from_millis(1),
        pause: Duration::from_millis(400),
        late: Some("pause"),
    };
    metrics.request("ROUTE", "OUTCOME", &timing);
    metrics.customer("CUSTOMER", "OUTCOME");
    metrics.sent_bytes("KIND", 1);
    metrics.sent("RESULT");
    metrics.repeat("SERVICE", "RESULT");
    metrics.second_send("RESULT");
    metrics.store_call("CALL", "RESULT");
    metrics.server_call("CALL", "RESULT");
    metrics.statement("WHAT");
    metrics.room_refusal(true);
    metrics.permits("RESULT", 1);
    metrics.closed("REASON");
    metrics.crash_check(true);
    metrics.handed_over("RESULT");
    metrics.usage_report("BASIS");
    metrics.bucket_fell();
    metrics.broken_stream("FRAMING");
    metrics.taken_up("RESULT");
    metrics.answer_age("CALL", Duration::ZERO);
    metrics.set("WHAT", 1);
    let mut rows = Vec::new();
    let text = metrics.text();
    let mut help = "";
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("# HELP ") {
            help = rest.split_once(' ').map_or("", |(_, help)| help);
        } else if let Some(rest) = line.strip_prefix("# TYPE ") {
            let (name, kind) = rest.split_once(' ').unwrap();
            let sample = text.lines().find(|line| line.starts_with(&format!("{name}{{")));
            let sample = sample
                .or_else(|| text.lines().find(|line| line.starts_with(&format!("{name}_count{{"))));
            let labels = sample.and_then(|line| line.split(['{', '}']).nth(1)).unwrap_or("");
            let labels: Vec<String> = labels
                .split(',')
                .filter_map(|label| Some(format!("`{}`", label.split_once('=')?.0)))
                .collect();
            rows.push(format!("| `{name}` | {kind} | {} | {help} |", labels.join(", ")));
        }
    }
    let page = format!(
        "# Metrics of the gateway\n\nMade from the code by `metrics_page` in the tests of `gateway`. \
         Durations are in seconds. Routes, services\nand customers beyond the first 64 are counted as `other`.\n\n\
         | metric | kind | labels | meaning |\n|---|---|---|---|\n{}\n",
        rows.join("\n"),
    );
    expect_file!["../../../docs/GATEWAY-METRICS.md"].assert_eq(&page);
}
