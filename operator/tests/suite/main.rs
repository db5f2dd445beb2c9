//! Tests of the operators' face, one file a feature.

mod bad_calls;
mod encoded_names;
mod fake;
mod publish_answers;
