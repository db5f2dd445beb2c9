//! Tests of loading, replacing and verifying TLS keys.

mod key_files;
mod replaced_keys;
