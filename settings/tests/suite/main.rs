//! Integration tests of the settings crate, one module per feature.

mod bad_files;
mod malformed_text;
mod reference_table;
mod sample;
mod secret_files;
