//! A renamed field or variant would make another release or a stored record unreadable.

use std::io;
use std::time::Instant;

use coltsfoothook_decision::grant::{
    GrantEnd, GrantId, GrantRefusal, ReleaseCall, RequestSpec, ReserveCall, ReserveReply,
};
use coltsfoothook_decision::id::{
    AdapterVersion, ConfigVersion, OwnerEpoch, RequestFingerprint, VmIdentity, VmIncarnation,
};
use coltsfoothook_decision::member::{
    MemberDigest, MemberFacts, MemberState, ProbeMessage, ProbeReply,
};
use coltsfoothook_decision::message::{
    CatchUpCall, CatchUpReply, ExplainCall, ExplainReply, HeldCall, HeldReply, RevokeCall,
    RevokeReply, StatusReply, WithdrawCall,
};
use coltsfoothook_decision::outcome::{RefusalReason, RequestClass};
use expect_test::{Expect, expect};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tarpc::{ClientMessage, Request, Response, ServerError, context, trace};

use crate::service::{FaultReason, PeerFault, VmPeerRequest, VmPeerResponse};
use crate::wire::{ClientCodec, FrameCodec, ServerCodec};

/// Each message is one line of the expected text, and stays the same when it is read and written.
fn same<T: Serialize + DeserializeOwned>(messages: &[T], expected: Expect) -> Vec<Value> {
    let write = |message: &T| serde_json::to_string(message).unwrap();
    let lines: Vec<String> = messages.iter().map(write).collect();
    expected.assert_eq(&lines.join("\n"));
    for line in &lines {
        assert_eq!(write(&serde_json::from_str(line).unwrap()), *line);
    }
    lines.iter().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// A frame's head, and the message if one follows.
fn parts(frame: &[u8]) -> (Value, Option<Value>) {
    let mut parser = rmp_serde::Deserializer::new(frame);
    let head = Value::deserialize(&mut parser).unwrap();
    let rest = parser.into_inner();
    (head, (!rest.is_empty()).then(|| rmp_serde::from_slice(rest).unwrap()))
}

fn answer_parts(message: Result<VmPeerResponse, ServerError>) -> (Value, Option<Value>) {
    parts(&ServerCodec::encode(Response { request_id: 4, message }).unwrap())
}

fn vm() -> VmIdentity {
    VmIdentity { vm: "a".into(), incarnation: VmIncarnation(1) }
}

fn digest() -> MemberDigest {
    let facts = MemberFacts::default();
    MemberDigest { vm: vm(), sequence: 2, state: MemberState::Alive, place: None, facts }
}

fn spec() -> RequestSpec {
    RequestSpec {
        id: "r".into(),
        tenant: "t".into(),
        adapter: AdapterVersion { adapter: "b".into(), version: "v".into() },
        model: "m".into(),
        class: RequestClass::Urgent,
        deadline_left_ms: Some(1),
        repeatable: true,
        fingerprint: RequestFingerprint(2),
        parts: Vec::new(),
        prefix: 3,
        prompt_tokens: 4,
        max_tokens: 5,
        avoid: vec!["s".into()],
    }
}

fn release() -> ReleaseCall {
    let grant = GrantId { group: "g".into(), epoch: OwnerEpoch(1), number: 2 };
    ReleaseCall { holder: vm(), grant, end: GrantEnd::Done, tokens: 3 }
}

fn status() -> StatusReply {
    StatusReply {
        vm: vm(),
        state: MemberState::Alive,
        config: ConfigVersion(1),
        streams: vec![],
        owners: vec![],
        groups: vec![],
        live: vec![],
        invariants: vec![],
    }
}

fn fault(reason: FaultReason) -> PeerFault {
    PeerFault { reason, detail: "d".into() }
}

fn calls() -> Vec<VmPeerRequest> {
    use VmPeerRequest as Call;
    let message = ProbeMessage { number: 1, from: digest(), target: None, updates: vec![] };
    let fingerprint = RequestFingerprint(2);
    vec![
        Call::Probe { message },
        Call::Reserve { call: ReserveCall { requester: vm(), group: "g".into(), spec: spec() } },
        Call::Withdraw {
            call: WithdrawCall { requester: vm(), group: "g".into(), id: "r".into() },
        },
        Call::Release { calls: vec![release()] },
        Call::Held { call: HeldCall { group: "g".into(), epoch: OwnerEpoch(1), requester: vm() } },
        Call::Revoke { call: RevokeCall { tenant: "t".into(), key: "k".into(), fingerprint } },
        Call::CatchUp { call: CatchUpCall { config: ConfigVersion(1), control_through: 2 } },
        Call::Status {},
        Call::Explain { call: ExplainCall { id: "r".into() } },
        Call::Unsupported { detail: "d".into() },
    ]
}

fn answers() -> Vec<VmPeerResponse> {
    use VmPeerResponse as Answer;
    let probe = ProbeReply { number: 1, from: digest(), reached: true, updates: vec![] };
    let refusal = GrantRefusal { reason: RefusalReason::NoServer, retry_after_ms: 1 };
    vec![
        Answer::Probe(Ok(probe)),
        Answer::Reserve(Ok(ReserveReply::Refused(refusal))),
        Answer::Withdraw(Ok(())),
        Answer::Release(Ok(())),
        Answer::Held(Ok(HeldReply { vm: vm(), grants: vec![] })),
        Answer::Revoke(Ok(RevokeReply::Revoked)),
        Answer::CatchUp(Ok(CatchUpReply { config: None, control: None })),
        Answer::Status(Ok(status())),
        Answer::Explain(Ok(ExplainReply { vm: vm(), steps: vec![] })),
        Answer::Unsupported(Err(fault(FaultReason::Unsupported))),
    ]
}

#[test]
fn call_names() {
    let lines = same(
        &calls(),
        expect![[r#"
        {"Probe":{"message":{"number":1,"from":{"vm":{"vm":"a","incarnation":1},"sequence":2,"state":"alive","facts":{"config":0,"control":0,"reads_log":false,"weight":0,"usage":[]}},"news":[]}}}
        {"Reserve":{"call":{"asker":{"vm":"a","incarnation":1},"group":"g","spec":{"id":"r","tenant":"t","adapter":{"adapter":"b","version":"v"},"model":"m","class":"urgent","deadline_left_ms":1,"repeatable":true,"fingerprint":2,"prefix":3,"prompt_tokens":4,"max_tokens":5,"avoid":["s"]}}}}
        {"Withdraw":{"call":{"asker":{"vm":"a","incarnation":1},"group":"g","id":"r"}}}
        {"Release":{"calls":[{"holder":{"vm":"a","incarnation":1},"grant":{"group":"g","epoch":1,"number":2},"end":"done","tokens":3}]}}
        {"Held":{"call":{"group":"g","epoch":1,"asker":{"vm":"a","incarnation":1}}}}
        {"Revoke":{"call":{"tenant":"t","key":"k","fingerprint":2}}}
        {"CatchUp":{"call":{"config":1,"control_through":2}}}
        {"Status":{}}
        {"Explain":{"call":{"id":"r"}}}
        {"Unsupported":{"detail":"d"}}"#]],
    );
    for (message, line) in calls().into_iter().zip(lines) {
        let mut context = context::current();
        context.deadline = Instant::now();
        let request = Request { context, id: 4, message };
        let frame = ClientCodec::encode(ClientMessage::Request(request)).unwrap();
        assert_eq!(parts(&frame), (json!({"id": 4, "kind": "call", "left_ms": 0}), Some(line)));
    }
}

#[test]
fn answer_names() {
    let lines = same(
        &answers(),
        expect![[r#"
        {"Probe":{"Ok":{"number":1,"from":{"vm":{"vm":"a","incarnation":1},"sequence":2,"state":"alive","facts":{"config":0,"control":0,"reads_log":false,"weight":0,"usage":[]}},"reached":true,"news":[]}}}
        {"Reserve":{"Ok":{"refused":{"reason":"no_server","retry_after_ms":1}}}}
        {"Withdraw":{"Ok":null}}
        {"Release":{"Ok":null}}
        {"Held":{"Ok":{"vm":{"vm":"a","incarnation":1},"grants":[]}}}
        {"Revoke":{"Ok":"revoked"}}
        {"CatchUp":{"Ok":{"config":null,"control":null}}}
        {"Status":{"Ok":{"vm":{"vm":"a","incarnation":1},"state":"alive","config":1,"streams":[],"owners":[],"groups":[],"live":[],"invariants":[]}}}
        {"Explain":{"Ok":{"vm":{"vm":"a","incarnation":1},"steps":[]}}}
        {"Unsupported":{"Err":{"reason":"unsupported","detail":"d"}}}"#]],
    );
    for (message, line) in answers().into_iter().zip(lines) {
        let expected = (json!({"id": 4, "kind": "answer"}), Some(line));
        assert_eq!(answer_parts(Ok(message)), expected);
    }
}

#[test]
fn faults() {
    same(
        &[
            fault(FaultReason::ForgedName),
            fault(FaultReason::Unsupported),
            fault(FaultReason::Busy),
        ],
        expect![[r#"
            {"reason":"forged_name","detail":"d"}
            {"reason":"unsupported","detail":"d"}
            {"reason":"busy","detail":"d"}"#]],
    );
}

#[test]
fn bare_frames() {
    let trace_context = trace::Context::default();
    let cancel = ClientMessage::Cancel { trace_context, request_id: 4 };
    let frame = ClientCodec::encode(cancel).unwrap();
    assert_eq!(parts(&frame), (json!({"id": 4, "kind": "cancel"}), None));
    let busy = ServerError::new(io::ErrorKind::WouldBlock, String::new());
    assert_eq!(answer_parts(Err(busy)), (json!({"id": 4, "kind": "busy"}), None));
    let error = ServerError::new(io::ErrorKind::Other, "d".to_owned());
    let expected = json!({"id": 4, "kind": "error", "error": "d"});
    assert_eq!(answer_parts(Err(error)), (expected, None));
}
