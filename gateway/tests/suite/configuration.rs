//! The configuration that tests publish.

use serde_json::{Value, json};

use crate::server::{MODEL, PLACES};

/// Returns a configuration whose `/moved/` route goes to the service `moved`.
pub(crate) fn configuration(version: u64, moved: &str) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u64, resumable: bool| {
        json!({
            "name": name, "host": "a.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 4_000, "target_latency_ms": 500, "priority": 0,
            "service": service, "max_attempts": attempts, "resumable": resumable,
            "target_gap_ms": 100,
        })
    };
    let model = json!({ "name": MODEL, "weights_mb": 10.0, "adapters": 9, "adapter_mb": 1.0 });
    let engine = json!({
        "slots": 8, "kv_capacity_tokens": 10_000, "models": [model], "weights_mb": 20.0,
        "adapter_slots": PLACES, "loads_per_s": 5.0,
    });
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", "plain", 2, false),
            route("once", "unsafe", "plain", 2, false),
            route("moved", "safe", moved, 1, false),
            route("stream", "streaming", "engines", 1, false),
            route("resumed", "streaming", "engines", 2, true),
            route("whole", "safe", "engines", 2, false),
        ],
        "services": [
            { "name": "engines", "max_connections": 50, "engine": engine },
            { "name": "plain", "max_connections": 50 },
            { "name": "elsewhere", "max_connections": 50 },
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    })
}
