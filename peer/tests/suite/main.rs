//! Tests of calls between VMs, over loopback connections.

mod bad_peers;
mod dropped_calls;
mod failed_calls;
mod fake;
mod forged_names;
mod good_calls;
mod other_release;
