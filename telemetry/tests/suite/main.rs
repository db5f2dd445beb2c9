//! Tests of logs and metrics, one file a feature.

mod log_lines;
mod metric_bounds;
mod metric_page;
