//! Tests of the decisions, one file a feature.

mod group_routes;
mod manifest_faults;
mod owner_faults;
mod owner_rules;
mod owner_world;
