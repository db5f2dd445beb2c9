//! Tests of the callers' face against a handler that answers as each test asks.

mod client;
mod fake;

mod bad_input;
mod caller_gone;
mod cut_stream;
mod encoded_names;
mod good_calls;
mod graceful_close;
mod problem_table;
mod slow_sender;
mod tls_face;
