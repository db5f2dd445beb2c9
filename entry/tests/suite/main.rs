//! Tests of the entry process, one file per feature. They run whole sites on loopback ports.

mod bench;

mod caller_gone;
mod claimed_once;
mod config_race;
mod encoded_names;
mod engine_restart;
mod graceful_stop;
mod job_results;
mod log_copies;
mod log_outage;
mod owner_dies;
mod poison_request;
mod retry_budget;
mod roles_apart;
mod server_drain;
mod server_limits;
mod server_statements;
mod settings_page;
mod unframed_engines;
mod whole_path;
