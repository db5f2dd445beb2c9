//! A renamed field or variant would make another release or a stored record unreadable.

use std::fmt::Debug;

use coltsfoothook_decision::id::OwnerEpoch;
use coltsfoothook_engine::{
    CacheEvent, CacheEventKind, CacheEventPage, EngineRole, KvExport, LoadOrder, RoleOrder,
    UnloadOrder,
};
use expect_test::{Expect, expect};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Each value is one line of the expected text, and read from that line again.
fn same<T: Serialize + DeserializeOwned + PartialEq + Debug>(values: &[T], expected: Expect) {
    let lines: Vec<String> =
        values.iter().map(|value| serde_json::to_string(value).unwrap()).collect();
    expected.assert_eq(&lines.join("\n"));
    for (value, line) in values.iter().zip(&lines) {
        assert_eq!(serde_json::from_str::<T>(line).unwrap(), *value, "{line}");
    }
}

#[test]
fn engine_orders() {
    let fencing = OwnerEpoch(1);
    same(
        &[LoadOrder { slot: "slot-1".into(), weights: "s3://w".into(), fencing }],
        expect![[r#"{"slot":"slot-1","weights":"s3://w","fencing":1}"#]],
    );
    same(
        &[UnloadOrder { slot: "slot-1".into(), fencing }],
        expect![[r#"{"slot":"slot-1","fencing":1}"#]],
    );
    let order = |role| RoleOrder { role, fencing };
    same(
        &[order(EngineRole::Mixed), order(EngineRole::Prefill), order(EngineRole::Decode)],
        expect![[r#"
            {"role":"mixed","fencing":1}
            {"role":"prefill","fencing":1}
            {"role":"decode","fencing":1}"#]],
    );
}

#[test]
fn engine_answers() {
    same(
        &[KvExport { weights: "s3://w".into(), prompt_hash: 1, tokens: 2 }],
        expect![[r#"{"weights":"s3://w","prompt_hash":1,"tokens":2}"#]],
    );
    let event = |kind| CacheEvent { number: 1, kind, prefix: 2 };
    let events = vec![event(CacheEventKind::Stored), event(CacheEventKind::Evicted)];
    same(
        &[CacheEventPage { events, next: 3 }],
        expect![[
            r#"{"events":[{"number":1,"kind":"stored","prefix":2},{"number":1,"kind":"evicted","prefix":2}],"next":3}"#
        ]],
    );
}
