//! Tests of the decisions, one file a feature.

mod manifest_faults;
mod owner_faults;
mod owner_world;
