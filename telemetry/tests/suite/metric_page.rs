//! docs/METRICS.md matches the tables in the code. Run with `UPDATE_EXPECT=1` to regenerate it.

use coltsfoothook_telemetry::metrics_page;
use expect_test::expect_file;

#[test]
fn page_is_current() {
    expect_file!["../../../docs/METRICS.md"].assert_eq(&metrics_page());
}
