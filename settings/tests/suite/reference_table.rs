//! The reference table contains every declared key with type, default, range and doc comment.

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
        | `vm` | name of an entry VM | required |  | Name of the VM, as peers know it. |
        | `door.address` | IP number and port | `"127.0.0.1:8080"` |  | Address to listen on. |
        | `door.mode` | `tls` or `loopback` | `"tls"` |  | Transport for callers. |
        | `door.body_bytes` | whole number | `4096` | 1 to 65536 | Maximum size of a body in bytes. |
        | `peers` | list of: object | `[]` | 0 to 4 entries | Peers to query first. |
        | `peers[].vm` | name of an entry VM | required |  | Name of the peer's VM. |
        | `peers[].weight` | number | `1` | 0 to 10 | Relative share of the load. |
        | `key` | path of a file with a secret | `none` |  | Key for connections between VMs. |
        | `least_ms` | whole number | `10` | 1 to 1000 | Minimum wait in milliseconds. |
        | `most_ms` | whole number | `100` | 1 to 1000 | Maximum wait in milliseconds. |
    "###]]
    .assert_eq(&reference_page("Sample", &rows));
}
