//! Limits and defaults of the HTTP interface for callers.

use std::net::SocketAddr;

use coltsfoothook_decision::outcome::RequestClass;
use serde::{Deserialize, Serialize};

/// Settings of the HTTP interface for callers. The limits bound the memory and time that a caller
/// can consume.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The maximum number of open connections; further ones are refused.
    pub connections: usize,
    /// The timeout of a TLS handshake in milliseconds.
    pub handshake_timeout_ms: u64,
    /// The timeout for the next request's head in milliseconds. Idle connections are closed after
    /// it.
    pub head_timeout_ms: u64,
    /// The maximum size of a request's head in bytes; values below 8,192 count as 8,192.
    pub head_bytes: usize,
    /// The maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// The timeout for a complete request body in milliseconds.
    pub body_timeout_ms: u64,
    /// The maximum length in bytes of each header value that this package reads, except the
    /// credential.
    pub header_bytes: usize,
    /// The maximum length of a credential in bytes.
    pub credential_bytes: usize,
    /// The maximum length in bytes of request ids, idempotency keys, job ids and service names.
    pub id_bytes: usize,
    /// The maximum length of the field `model` in bytes.
    pub model_bytes: usize,
    /// The maximum length of a path with its query in bytes.
    pub path_bytes: usize,
    /// The maximum nesting depth of a JSON body; values above 120 count as 120.
    pub json_depth: usize,
    /// The maximum number of tokens that a request may demand.
    pub max_tokens: u32,
    /// The number of tokens assumed, for planning only, for a request that sets no maximum.
    pub default_max_tokens: u32,
    /// The maximum deadline in milliseconds that a caller may set.
    pub deadline_ms: u64,
    /// The class of requests that name none; jobs default to `audit` instead.
    pub default_class: RequestClass,
    /// The number of bytes at the start of the prompt that determine its prefix-cache affinity.
    pub prefix_bytes: usize,
    /// The maximum number of models on a page of `GET /v1/models`; also the default.
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
