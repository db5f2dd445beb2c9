//! Integration tests of logs and metrics, one module per feature.

mod log_lines;
mod metric_bounds;
mod metric_page;
