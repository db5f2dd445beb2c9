//! The `status` command as text and as JSON.

use coltsfoothook_operator::FleetStatus;
use expect_test::expect;
use serde_json::json;

use crate::fake::start;

/// One healthy VM, one that lags with a broken rule, and one without an answer.
fn sample_status() -> FleetStatus {
    serde_json::from_value(json!({
        "asked": "vm-1",
        "vms": [
            { "vm": "vm-1", "reply": {
                "vm": { "vm": "vm-1", "incarnation": 7 }, "state": "alive", "config": 42,
                "streams": [{ "stream": "config", "next": 40, "end": 43, "silent_ms": 12 }],
                "owners": [], "live": ["vm-1", "vm-2"], "invariants": [],
                "groups": [{ "group": "nbo.base-8b.0", "epoch": 3,
                    "queues": [{ "class": "urgent", "waiting": 2 }, { "class": "audit", "waiting": 9 }],
                    "servers": [{ "server": "engine-1", "up": true, "draining": false, "running": 5,
                        "slots": [{ "adapter": { "adapter": "alarm", "version": "7" }, "in_use": 5 },
                                  { "adapter": { "adapter": "handover", "version": "1" }, "in_use": 0 }] },
                        { "server": "engine-2", "up": false, "draining": true, "running": 0, "slots": [] }] }] } },
            { "vm": "vm-2", "reply": {
                "vm": { "vm": "vm-2", "incarnation": 8 }, "state": "leaving", "config": 41,
                "streams": [], "owners": [], "groups": [], "live": ["vm-1"],
                "invariants": [{ "invariant": "at_most_once", "broken": 1 }] } },
            { "vm": "vm-3", "reply": null }
        ]
    }))
    .expect("a status")
}

#[test]
fn human_table() {
    let running = start("human_table");
    running.entry.state.lock().expect("a lock").status = Some(sample_status());
    expect![[r#"
        VM    STATE      CONFIG  LOG BEHIND  GROUPS  SEES  BROKEN RULES
        vm-1  alive      42      3           1       2     0
        vm-2  leaving    41      0           0       1     1
        vm-3  no answer

        GROUP          OWNER  EPOCH  WAITING            ENGINES UP  DRAINING  RUNNING  LOADED  IN USE
        nbo.base-8b.0  vm-1   3      urgent 2, audit 9  1/2         1         5        2       1

        ENGINE    ADAPTER     IN USE
        engine-1  alarm@7     5
        engine-1  handover@1  0

        warning: no answer from vm-3

        warning: version 42 is not in force at vm-2

        warning: rule at_most_once broken at vm-2, count 1
    "#]].assert_eq(&running.run(&["status", "--loaded"]).out);
    let json = running.run(&["status", "--json"]).out;
    let parsed: FleetStatus = serde_json::from_str(&json).expect("the status");
    assert_eq!(parsed, sample_status());
}
