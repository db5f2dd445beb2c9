//! The page of metrics and events, made from the tables in the code.

use std::fmt::Write;

use crate::event::EventName;
use crate::family::family_rows;

/// docs/METRICS.md as it should stand.
#[must_use]
pub fn metrics_page() -> String {
    let mut page = String::from(
        "# Metrics and log events\n\n\
         Made from the tables in `telemetry/src/family.rs` and `telemetry/src/event.rs`; a test compares \
         it with them. OPERATORS.md tells what to do about them.\n\n\
         ## Metrics\n\n\
         Every process gives them in Prometheus's text format under `GET /metrics`. No label names an \
         adapter. Tenants beyond the setting `metrics.tenants` are counted together as `other`.\n\n\
         | metric | kind | labels | meaning |\n|---|---|---|---|\n",
    );
    for row in family_rows() {
        let labels: Vec<_> = row.labels.iter().map(|label| format!("`{label}`")).collect();
        // Writing into a string does not fail.
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
         A log line is one event: `ts=… level=… at=… event=…` and then further `key=value` pairs; `at` is \
         the VM or process that wrote it. A value with blanks, quotes or control characters is quoted.\n\n\
         | event | level | meaning |\n|---|---|---|\n",
    );
    for event in EventName::ALL {
        let level = event.level().as_str();
        let _ = writeln!(page, "| `{}` | {level} | {} |", event.as_str(), event.meaning());
    }
    page
}
