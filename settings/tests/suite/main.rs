//! Tests of settings, one file a feature.

mod bad_files;
mod odd_text;
mod reference_table;
mod sample;
mod secret_files;
