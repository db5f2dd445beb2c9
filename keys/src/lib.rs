//! TLS and secrets.
