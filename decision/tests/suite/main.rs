//! Tests of the decisions, one file a feature.

mod claim_once;
mod config_race;
mod control_fold;
mod group_routes;
mod job_results;
mod manifest_faults;
mod owner_faults;
mod owner_rules;
mod owner_world;
