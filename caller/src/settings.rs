//! Bounds and defaults of the callers' face.

use std::net::SocketAddr;

use coltsfoothook_decision::outcome::RequestClass;
use serde::{Deserialize, Serialize};

/// Settings of the callers' face. Every bound guards memory or time that a caller could spend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// Where to listen. Port 0 takes a free one.
    pub listen: SocketAddr,
    /// The most connections at once.
    pub connections: usize,
    /// Milliseconds for a TLS handshake.
    pub handshake_timeout_ms: u64,
    /// Milliseconds in which the next request's head must have arrived; an idle connection is
    /// closed after them.
    pub head_timeout_ms: u64,
    /// The largest head of a request in bytes, at least 8,192.
    pub head_bytes: usize,
    /// The largest request body in bytes.
    pub body_bytes: usize,
    /// Milliseconds in which a request's body must have arrived whole.
    pub body_timeout_ms: u64,
    /// The longest value in bytes of a header that this package reads, except the credential.
    pub header_bytes: usize,
    /// The longest credential in bytes.
    pub credential_bytes: usize,
    /// The longest id in bytes: request ids, idempotency keys, job ids, service names.
    pub id_bytes: usize,
    /// The longest `model` field in bytes.
    pub model_bytes: usize,
    /// The longest path with its query in bytes.
    pub path_bytes: usize,
    /// How deep a JSON body may be nested; at most 120.
    pub json_depth: usize,
    /// The most tokens that a request may ask for.
    pub max_tokens: u32,
    /// The tokens that a request which names no number is taken to generate, for planning alone.
    pub default_max_tokens: u32,
    /// The longest deadline in milliseconds that a caller may name.
    pub deadline_ms: u64,
    /// The class of requests that name none.
    pub default_class: RequestClass,
    /// Bytes of the prompt's beginning that decide its prefix-cache affinity.
    pub prefix_bytes: usize,
    /// The most models on a page of `GET /v1/models`.
    pub page_entries: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            connections: 4_096,
            handshake_timeout_ms: 5_000,
            head_timeout_ms: 30_000,
            head_bytes: 32 * 1024,
            body_bytes: 1024 * 1024,
            body_timeout_ms: 10_000,
            header_bytes: 256,
            credential_bytes: 512,
            id_bytes: 128,
            model_bytes: 256,
            path_bytes: 2_048,
            json_depth: 32,
            max_tokens: 131_072,
            default_max_tokens: 512,
            deadline_ms: 24 * 3_600 * 1_000,
            default_class: RequestClass::Scheduled,
            prefix_bytes: 512,
            page_entries: 1_000,
        }
    }
}
