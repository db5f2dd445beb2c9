//! The reference is made from the declarations.

use coltsfoothook_settings::{reference_page, reference_rows};
use expect_test::expect;

use crate::sample::SampleSettings;

#[test]
fn every_key() {
    let rows = reference_rows::<SampleSettings>();
    expect![[r###"
        ## Sample

        | key | type | default | range | meaning |
        |---|---|---|---|---|
        | `vm` | name of an entry VM | required |  | The name of the VM, as peers know it. |
        | `door.address` | IP number and port | `"127.0.0.1:8080"` |  | Where it listens. |
        | `door.mode` | `tls` or `loopback` | `"tls"` |  | How callers reach it. |
        | `door.body_bytes` | whole number | `4096` | 1 to 65536 | The most bytes in a body. |
        | `peers` | list of: object | `[]` | 0 to 4 entries | Whom to ask first. |
        | `peers[].vm` | name of an entry VM | required |  | Its name. |
        | `peers[].weight` | number | `1` | 0 to 10 | Its share of the load. |
        | `key` | path of a file with a secret | `none` |  | The key between VMs. |
        | `least_ms` | whole number | `10` | 1 to 1000 | The shortest wait in milliseconds. |
        | `most_ms` | whole number | `100` | 1 to 1000 | The longest wait in milliseconds. |
    "###]]
    .assert_eq(&reference_page("Sample", &rows));
}
