//! Tests of the decisions, one file a feature.

mod claim_once;
mod config_race;
mod control_fold;
mod domain_news;
mod fixture;
mod group_routes;
mod job_results;
mod load_recovery;
mod load_times;
mod manifest_faults;
mod member_probes;
mod order_book;
mod order_tenure;
mod owner_faults;
mod owner_rules;
mod owner_world;
mod reading_pace;
mod record_questions;
mod repeat_budget;
mod route_table;
mod server_choice;
mod server_lives;
mod stage_table;
mod takeover_rank;
mod tenant_limits;
mod topic_coverage;
