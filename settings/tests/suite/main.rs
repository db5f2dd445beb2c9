//! Tests of settings, one file a feature.

mod bad_files;
mod reference_table;
mod sample;
mod secret_files;
