//! Generation of docs/METRICS.md from the tables of metrics and events.

use std::fmt::Write;

use crate::event::EventName;
use crate::family::family_rows;

/// Returns the expected content of docs/METRICS.md.
#[must_use]
pub fn metrics_page() -> String {
    let mut page = String::from(
        "# Metrics and log events\n\n\
         Generated from the tables in `telemetry/src/family.rs` and `telemetry/src/event.rs`; a test compares \
         it with them. OPERATORS.md describes how to respond to them.\n\n\
         ## Metrics\n\n\
         Every process serves them in the Prometheus text format under `GET /metrics`. No label names an \
         adapter. Tenants beyond the setting `metrics.tenants` are counted together as `other`.\n\n\
         | metric | kind | labels | meaning |\n|---|---|---|---|\n",
    );
    for row in family_rows() {
        let labels: Vec<_> = row.labels.iter().map(|label| format!("`{label}`")).collect();
        // Writing to a string is infallible.
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {} |",
            row.name,
            row.kind,
            labels.join(", "),
            row.meaning
        );
    }
    page.push_str(
        "\n## Log events\n\n\
         A log line is one event: `ts=… level=… at=… event=…` followed by further `key=value` pairs; `at` is \
         the VM or process that wrote it. A value is quoted if it is empty or contains white space, quotes, \
         `=`, backslashes or control characters.\n\n\
         | event | level | meaning |\n|---|---|---|\n",
    );
    for event in EventName::ALL {
        let level = event.level().as_str();
        let _ = writeln!(page, "| `{}` | {level} | {} |", event.as_str(), event.meaning());
    }
    page
}
