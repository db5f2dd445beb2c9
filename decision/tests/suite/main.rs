//! Tests of the decisions, one file a feature.

mod manifest_faults;
