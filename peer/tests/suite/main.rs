//! Tests of calls between VMs.
