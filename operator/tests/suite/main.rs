//! Tests of the HTTP interface for operators against a handler with scripted answers.

mod bad_calls;
mod encoded_names;
mod fake;
mod publish_answers;
