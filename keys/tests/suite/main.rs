//! Tests of keys, credentials and secrets.

mod credentials;
mod key_files;
mod replaced_keys;
