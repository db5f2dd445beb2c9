//! Tests of the decisions, one file a feature.

mod claim_once;
mod config_race;
mod control_fold;
mod group_routes;
mod job_results;
mod manifest_faults;
mod member_probes;
mod owner_faults;
mod owner_rules;
mod owner_world;
mod stage_table;
mod takeover_rank;
mod tenant_limits;
