//! Tests of keys and credentials.

mod credentials;
mod key_files;
mod replaced_keys;
