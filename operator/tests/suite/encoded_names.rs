//! A renamed field or variant would make another release or a stored record unreadable.

use std::fmt::Debug;

use coltsfoothook_decision::check::{FaultKind, ManifestFault};
use coltsfoothook_decision::id::{ConfigVersion, VmIdentity, VmIncarnation};
use coltsfoothook_decision::manifest::ServingManifest;
use coltsfoothook_decision::member::MemberState;
use coltsfoothook_decision::message::{ExplainReply, StatusReply};
use coltsfoothook_decision::outcome::RequestOutcome;
use coltsfoothook_decision::record::ConfigChange;
use coltsfoothook_operator::*;
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

fn vm() -> VmIdentity {
    VmIdentity { vm: "nbo-1".into(), incarnation: VmIncarnation(1) }
}

fn fault() -> ManifestFault {
    ManifestFault {
        path: "models[0]".into(),
        kind: FaultKind::Dangling,
        detail: "no name".into(),
        allowed: "a name".into(),
    }
}

#[test]
fn publications() {
    let change = ConfigChange::Whole(ServingManifest::default());
    let call = PublishCall { base: ConfigVersion(1), publish_id: "p-1".into(), change };
    same(
        &[call],
        expect![[
            r#"{"base":1,"publish_id":"p-1","change":{"whole":{"models":[],"adapters":[],"tenants":[],"servers":[],"services":[],"classes":[],"schedules":[],"stores":[],"policy":{"stall_weight":0.5,"group_servers":16}}}}"#
        ]],
    );
    same(
        &[
            PublishAnswer::Accepted(ConfigVersion(2)),
            PublishAnswer::Repeated(ConfigVersion(2)),
            PublishAnswer::Stale { in_force: ConfigVersion(3) },
            PublishAnswer::Rejected(vec![fault()]),
            PublishAnswer::Unknown,
            PublishAnswer::LogUnavailable,
            PublishAnswer::NotReady,
        ],
        expect![[r#"
            {"accepted":2}
            {"repeated":2}
            {"stale":{"in_force":3}}
            {"rejected":[{"path":"models[0]","kind":"dangling","detail":"no name","allowed":"a name"}]}
            "unknown"
            "log_unavailable"
            "not_ready""#]],
    );
    same(
        &[PublishedAnswer { version: ConfigVersion(2), repeated: true }],
        expect![[r#"{"version":2,"repeated":true}"#]],
    );
    let manifest = ServingManifest::default();
    same(
        &[ManifestAnswer { version: ConfigVersion(2), manifest }],
        expect![[
            r#"{"version":2,"manifest":{"models":[],"adapters":[],"tenants":[],"servers":[],"services":[],"classes":[],"schedules":[],"stores":[],"policy":{"stall_weight":0.5,"group_servers":16}}}"#
        ]],
    );
}

#[test]
fn status_and_steps() {
    let reply = StatusReply {
        vm: vm(),
        state: MemberState::Alive,
        config: ConfigVersion(2),
        streams: vec![],
        owners: vec![],
        groups: vec![],
        live: vec![],
        invariants: vec![],
    };
    let status = VmStatus { vm: "nbo-1".into(), reply: Some(reply) };
    same(
        &[FleetStatus { asked: "nbo-1".into(), vms: vec![status] }],
        expect![[
            r#"{"asked":"nbo-1","vms":[{"vm":"nbo-1","reply":{"vm":{"vm":"nbo-1","incarnation":1},"state":"alive","config":2,"streams":[],"owners":[],"groups":[],"live":[],"invariants":[]}}]}"#
        ]],
    );
    let replies = vec![ExplainReply { vm: vm(), steps: vec![] }];
    same(
        &[ExplainAnswer { replies }],
        expect![[r#"{"replies":[{"vm":{"vm":"nbo-1","incarnation":1},"steps":[]}]}"#]],
    );
    same(
        &[HealthAnswer { ready: false, reason: "starting".into() }],
        expect![[r#"{"ready":false,"reason":"starting"}"#]],
    );
}

#[test]
fn drains_and_writes() {
    same(&[DrainCall { draining: true }], expect![[r#"{"draining":true}"#]]);
    same(
        &[DrainKind::Vm, DrainKind::Server],
        expect![[r#"
        "vm"
        "server""#]],
    );
    same(&[LiftCall { fingerprint: "07".into() }], expect![[r#"{"fingerprint":"07"}"#]]);
    same(
        &[
            WriteAnswer::Written,
            WriteAnswer::Unknown,
            WriteAnswer::LogUnavailable,
            WriteAnswer::UnknownName,
        ],
        expect![[r#"
            "written"
            "unknown"
            "log_unavailable"
            "unknown_name""#]],
    );
    same(&[WrittenAnswer { written: true }], expect![[r#"{"written":true}"#]]);
}

#[test]
fn problems() {
    let document = ProblemDocument {
        kind: "kind".into(),
        title: "title".into(),
        status: 409,
        detail: "detail".into(),
        outcome: RequestOutcome::NotRun,
        reason: "stale_base".into(),
        retry_after_ms: Some(1),
        in_force: Some(ConfigVersion(2)),
        fault_count: 3,
        faults: vec![fault()],
    };
    same(
        &[document],
        expect![[
            r#"{"type":"kind","title":"title","status":409,"detail":"detail","outcome":"not_run","reason":"stale_base","retry_after_ms":1,"in_force":2,"fault_count":3,"faults":[{"path":"models[0]","kind":"dangling","detail":"no name","allowed":"a name"}]}"#
        ]],
    );
    same(
        &[
            ProblemReason::Unauthenticated,
            ProblemReason::MalformedRequest,
            ProblemReason::BodyTooLarge,
            ProblemReason::SlowSender,
            ProblemReason::UnknownPath,
            ProblemReason::MethodNotAllowed,
            ProblemReason::StaleBase,
            ProblemReason::Rejected,
            ProblemReason::LogUnavailable,
            ProblemReason::AppendUnknown,
            ProblemReason::UnknownName,
            ProblemReason::UnknownRequest,
            ProblemReason::NotReady,
            ProblemReason::Internal,
        ],
        expect![[r#"
            "unauthenticated"
            "malformed_request"
            "body_too_large"
            "slow_sender"
            "unknown_path"
            "method_not_allowed"
            "stale_base"
            "rejected"
            "log_unavailable"
            "append_unknown"
            "unknown_name"
            "unknown_request"
            "not_ready"
            "internal""#]],
    );
}
