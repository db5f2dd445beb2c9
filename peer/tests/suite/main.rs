//! Tests of calls between VMs, over loopback.

mod bad_peers;
mod broken_lines;
mod dropped_calls;
mod fake;
mod forged_names;
mod good_calls;
mod other_release;
