//! Tests of the operators' program, one file per feature.

mod check_configuration;
mod check_offline;
mod doc_links;
mod event_names;
mod exit_codes;
mod fake;
mod loss_report;
mod lost_answer;
mod manual_examples;
mod publish_twice;
mod status_table;
mod tls_calls;
mod trace_files;
