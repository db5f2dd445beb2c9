//! A renamed field or variant would make another release or a stored record unreadable.

use std::fmt::Debug;

use coltsfoothook_caller::{
    CompletionKind, EntriesAnswer, EntryAddress, HealthAnswer, InterfaceReason, JobState,
    JobStatus, ModelChoice, ModelInfo, ModelPage,
};
use coltsfoothook_decision::id::AdapterVersion;
use coltsfoothook_decision::outcome::RequestOutcome;
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
fn face_answers() {
    same(
        &[HealthAnswer { ready: false, state: "starting".into() }],
        expect![[r#"{"ready":false,"state":"starting"}"#]],
    );
    let entry = EntryAddress {
        vm: "nbo-1".into(),
        address: ([10, 0, 0, 1], 80).into(),
        weight: 1,
        domain: "d1".into(),
        region: "nbo".into(),
    };
    let keys = vec!["k-1".into()];
    same(
        &[EntriesAnswer { entries: vec![entry], ttl_ms: 2, keys }],
        expect![[
            r#"{"entries":[{"vm":"nbo-1","address":"10.0.0.1:80","weight":1,"domain":"d1","region":"nbo"}],"ttl_ms":2,"keys":["k-1"]}"#
        ]],
    );
}

#[test]
fn models() {
    let adapter = AdapterVersion { adapter: "swahili".into(), version: "v2".into() };
    let models = vec![ModelInfo { adapter, default: true }];
    same(
        &[ModelPage { models, more: true }],
        expect![[
            r#"{"models":[{"adapter":{"adapter":"swahili","version":"v2"},"default":true}],"more":true}"#
        ]],
    );
    same(
        &[CompletionKind::Chat, CompletionKind::Completions],
        expect![[r#"
        "chat"
        "completions""#]],
    );
    same(
        &[ModelChoice { adapter: "swahili".into(), version: Some("v2".into()) }],
        expect![[r#"{"adapter":"swahili","version":"v2"}"#]],
    );
}

#[test]
fn job_states() {
    let job = |state| JobStatus { id: "j-1".into(), state, outcome: Some(RequestOutcome::Done) };
    same(
        &[
            job(JobState::Queued),
            job(JobState::Running),
            job(JobState::Finished),
            job(JobState::Cancelled),
        ],
        expect![[r#"
            {"id":"j-1","state":"queued","outcome":"done"}
            {"id":"j-1","state":"running","outcome":"done"}
            {"id":"j-1","state":"finished","outcome":"done"}
            {"id":"j-1","state":"cancelled","outcome":"done"}"#]],
    );
}

#[test]
fn face_reasons() {
    same(
        &[
            InterfaceReason::MalformedRequest,
            InterfaceReason::BodyTooLarge,
            InterfaceReason::HeaderTooLarge,
            InterfaceReason::SlowSender,
            InterfaceReason::Unauthenticated,
            InterfaceReason::UnknownPath,
            InterfaceReason::MethodNotAllowed,
            InterfaceReason::UnknownService,
            InterfaceReason::UnknownJob,
            InterfaceReason::JobUnfinished,
            InterfaceReason::BackendFailed,
            InterfaceReason::AnswerLost,
            InterfaceReason::DeadlineExceeded,
            InterfaceReason::Internal,
        ],
        expect![[r#"
            "malformed_request"
            "body_too_large"
            "header_too_large"
            "slow_sender"
            "unauthenticated"
            "unknown_path"
            "method_not_allowed"
            "unknown_service"
            "unknown_job"
            "job_unfinished"
            "backend_failed"
            "answer_lost"
            "deadline_exceeded"
            "internal""#]],
    );
}
