//! docs/METRICS.md is the page that the code gives; `UPDATE_EXPECT=1` writes it anew.

use coltsfoothook_telemetry::metrics_page;
use expect_test::expect_file;

#[test]
fn page_in_step() {
    expect_file!["../../../docs/METRICS.md"].assert_eq(&metrics_page());
}
