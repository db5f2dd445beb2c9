//! Every method works, and concurrent calls on one connection receive their own replies.

use std::sync::Arc;

use coltsfoothook_decision::id::{ConfigVersion, OwnerEpoch, RequestFingerprint};
use coltsfoothook_decision::member::ProbeMessage;
use coltsfoothook_decision::message::{
    CatchUpCall, ExplainCall, HeldCall, RevokeCall, RevokeReply, WithdrawCall,
};
use coltsfoothook_peer::{PeerPool, PeerServer, PeerSettings};
use coltsfoothook_telemetry::TrafficKind;

use crate::fake::{
    CALL_TIMEOUT, FakeVm, digest, identity, plain_settings, release_call, reply_tag, reserve_call,
    start,
};

#[tokio::test]
async fn every_method() {
    let vm = FakeVm::new("b", 1);
    let (server, pool, target) = start(vm.clone(), plain_settings());
    let updates = vec![digest("c")];
    let probe =
        ProbeMessage { number: 9, from: digest("a"), target: None, updates: updates.clone() };
    let reply = pool.probe(&target, probe, CALL_TIMEOUT).await.expect("an answer");
    assert_eq!((reply.number, reply.reached, reply.updates), (9, true, updates));
    let reply =
        pool.reserve(&target, reserve_call("a", 41), CALL_TIMEOUT).await.expect("an answer");
    assert_eq!(reply_tag(&reply), 41);
    let id = "r41".into();
    let withdraw = WithdrawCall { requester: identity("a"), group: "g".into(), id };
    pool.withdraw(&target, withdraw, CALL_TIMEOUT).await.expect("an answer");
    let releases = vec![release_call("a", 1), release_call("a", 2)];
    pool.release(&target, releases.clone(), CALL_TIMEOUT).await.expect("an answer");
    assert_eq!(*vm.released.lock().expect("lock"), releases);
    let held = HeldCall { group: "g".into(), epoch: OwnerEpoch(3), requester: identity("a") };
    assert!(pool.held(&target, held, CALL_TIMEOUT).await.expect("an answer").grants.is_empty());
    let fingerprint = RequestFingerprint(1);
    let revoke = RevokeCall { tenant: "t".into(), key: "k".into(), fingerprint };
    assert_eq!(
        pool.revoke(&target, revoke, CALL_TIMEOUT).await.expect("an answer"),
        RevokeReply::Revoked
    );
    let catch_up = CatchUpCall { config: ConfigVersion(1), control_through: 0 };
    assert!(
        pool.catch_up(&target, catch_up, CALL_TIMEOUT).await.expect("an answer").config.is_none()
    );
    assert_eq!(
        pool.status(&target, CALL_TIMEOUT).await.expect("an answer").config,
        ConfigVersion(7)
    );
    let explain = ExplainCall { id: "r1".into() };
    assert!(
        pool.explain(&target, explain, CALL_TIMEOUT).await.expect("an answer").steps.is_empty()
    );
    assert_eq!(server.counters().broken_frames(), 0);
}

/// Many calls share one connection, and each receives its own reply.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_at_once() {
    let vm = FakeVm::new("b", 0);
    let (_server, pool, target) = start(vm.clone(), plain_settings());
    let pool = Arc::new(pool);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..500 {
        let (pool, target) = (pool.clone(), target.clone());
        calls.spawn(async move {
            let reply = pool.reserve(&target, reserve_call("a", number), CALL_TIMEOUT).await;
            (u64::from(number), reply_tag(&reply.expect("an answer")))
        });
    }
    vm.gate.add_permits(500);
    while let Some(done) = calls.join_next().await {
        let (sent, received) = done.expect("a call");
        assert_eq!(sent, received, "the reply belongs to another call");
    }
}

/// Control traffic has a budget, so the frames of a probe and a reservation, each with its reply,
/// are counted once by traffic kind, and taking a count resets it.
#[tokio::test]
async fn traffic_by_kind() {
    let (_server, pool, target) = start(FakeVm::new("b", 1), plain_settings());
    let probe = ProbeMessage { number: 9, from: digest("a"), target: None, updates: Vec::new() };
    pool.probe(&target, probe, CALL_TIMEOUT).await.expect("an answer");
    pool.reserve(&target, reserve_call("a", 1), CALL_TIMEOUT).await.expect("an answer");
    let counters = pool.counters();
    let probes = counters.take_traffic(TrafficKind::Probe);
    let grants = counters.take_traffic(TrafficKind::Grant);
    assert_eq!((probes.messages, grants.messages), (2, 2));
    let total = counters.sent_bytes() + counters.received_bytes();
    assert_eq!(probes.bytes + grants.bytes, total);
    assert_eq!(counters.take_traffic(TrafficKind::Grant).messages, 0);
}

/// Without TLS configuration, a server or pool is created only if the settings permit plaintext.
#[tokio::test]
async fn plaintext_requires_setting() {
    let settings = PeerSettings::default();
    assert!(PeerServer::start(settings.clone(), FakeVm::new("b", 0), None).is_err());
    assert!(PeerPool::new(settings, None).is_err());
}
