//! Tests of the HTTP interface for callers against a handler with scripted answers.

mod client;
mod fake;

mod bad_input;
mod caller_disconnect;
mod encoded_names;
mod good_calls;
mod graceful_close;
mod problem_table;
mod slow_sender;
mod tls_listener;
mod truncated_stream;
