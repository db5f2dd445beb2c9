//! Fixtures shared by the tests and benchmarks of fleets.

use coltsfoothook_decision::routing::{BackendEntry, HeldModel};

/// First entry published by an engine that holds a base model and no adapters.
pub(crate) fn engine_entry(server: &str) -> BackendEntry {
    BackendEntry {
        server: server.into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "d1".into(),
        slots: 16,
        ready: true,
        incarnation: 0,
        heartbeat: 1,
        position: 1,
        models: vec![HeldModel { model: "base".into(), adapters: Vec::new() }],
        software: Some("v1".into()),
        notice_ms: None,
    }
}
