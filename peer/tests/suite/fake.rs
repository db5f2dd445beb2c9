//! A fake VM, and helpers to start and call it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
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
use coltsfoothook_peer::{PeerHandler, PeerPool, PeerServer, PeerSettings, PeerTarget};
use tokio::sync::Semaphore;

/// Time limit of calls that are expected to complete.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A handler that refuses all reservations, and records reservations, withdrawals and releases.
pub(crate) struct FakeVm {
    name: &'static str,
    /// Each reservation consumes one permit, and waits until there is one.
    pub(crate) gate: Semaphore,
    /// Reservations received.
    pub(crate) reserving: AtomicUsize,
    /// Reservations whose handler ended, whether it replied or was dropped.
    pub(crate) dropped: Arc<AtomicUsize>,
    pub(crate) withdrawn: AtomicUsize,
    pub(crate) released: Mutex<Vec<ReleaseCall>>,
}

/// Increments the counter when dropped.
struct DropCount(Arc<AtomicUsize>);

impl Drop for DropCount {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl FakeVm {
    pub(crate) fn new(name: &'static str, permits: usize) -> Arc<Self> {
        Arc::new(Self {
            name,
            gate: Semaphore::new(permits),
            reserving: AtomicUsize::new(0),
            dropped: Arc::default(),
            withdrawn: AtomicUsize::new(0),
            released: Mutex::default(),
        })
    }
}

#[async_trait]
impl PeerHandler for FakeVm {
    async fn probe(&self, message: ProbeMessage) -> ProbeReply {
        let reached = message.target.is_none();
        ProbeReply {
            number: message.number,
            from: digest(self.name),
            reached,
            updates: message.updates,
        }
    }

    /// Refuses with the request's `prompt_tokens` as `retry_after_ms`, so that a reply to another
    /// call is detected.
    async fn reserve(&self, call: ReserveCall) -> ReserveReply {
        let _guard = DropCount(self.dropped.clone());
        self.reserving.fetch_add(1, Ordering::SeqCst);
        self.gate.acquire().await.expect("an open gate").forget();
        let retry_after_ms = u64::from(call.spec.prompt_tokens);
        ReserveReply::Refused(GrantRefusal { reason: RefusalReason::Overloaded, retry_after_ms })
    }

    async fn withdraw(&self, _: WithdrawCall) {
        self.withdrawn.fetch_add(1, Ordering::SeqCst);
    }

    async fn release(&self, calls: Vec<ReleaseCall>) {
        self.released.lock().expect("lock").extend(calls);
    }

    async fn held(&self, _: HeldCall) -> HeldReply {
        HeldReply { vm: identity(self.name), grants: Vec::new() }
    }

    async fn revoke(&self, _: RevokeCall) -> RevokeReply {
        RevokeReply::Revoked
    }

    async fn catch_up(&self, _: CatchUpCall) -> CatchUpReply {
        CatchUpReply { config: None, control: None }
    }

    async fn status(&self) -> StatusReply {
        StatusReply {
            vm: identity(self.name),
            state: MemberState::Alive,
            config: ConfigVersion(7),
            streams: Vec::new(),
            owners: Vec::new(),
            groups: Vec::new(),
            live: Vec::new(),
            invariants: Vec::new(),
        }
    }

    async fn explain(&self, _: ExplainCall) -> ExplainReply {
        ExplainReply { vm: identity(self.name), steps: Vec::new() }
    }
}

pub(crate) fn identity(name: &str) -> VmIdentity {
    VmIdentity { vm: name.into(), incarnation: VmIncarnation(1) }
}

pub(crate) fn digest(name: &str) -> MemberDigest {
    MemberDigest {
        vm: identity(name),
        sequence: 1,
        state: MemberState::Alive,
        place: None,
        facts: MemberFacts {
            config: ConfigVersion(7),
            control: 0,
            reads_log: true,
            weight: 100,
            usage: Vec::new(),
        },
    }
}

pub(crate) fn reserve_call(requester: &str, number: u32) -> ReserveCall {
    ReserveCall {
        requester: identity(requester),
        group: "g".into(),
        spec: RequestSpec {
            id: format!("r{number}").into(),
            tenant: "wanjiru".into(),
            adapter: AdapterVersion { adapter: "chiller".into(), version: "3".into() },
            model: "base".into(),
            class: RequestClass::Urgent,
            deadline_left_ms: Some(5_000),
            repeatable: true,
            fingerprint: RequestFingerprint(1),
            parts: Vec::new(),
            prefix: 2,
            prompt_tokens: number,
            max_tokens: 64,
            avoid: Vec::new(),
        },
    }
}

pub(crate) fn release_call(holder: &str, number: u64) -> ReleaseCall {
    ReleaseCall {
        holder: identity(holder),
        grant: GrantId { group: "g".into(), epoch: OwnerEpoch(1), number },
        end: GrantEnd::Done,
        tokens: 5,
    }
}

/// Returns the refusal's `retry_after_ms`, which identifies the call; see [`FakeVm`]'s `reserve`.
pub(crate) fn reply_tag(reply: &ReserveReply) -> u64 {
    match reply {
        ReserveReply::Refused(refusal) => refusal.retry_after_ms,
        ReserveReply::Granted(_) => panic!("the fake VM never grants"),
    }
}

/// Returns settings without TLS and with a frame limit of 64 KiB.
pub(crate) fn plain_settings() -> PeerSettings {
    PeerSettings { plaintext: true, frame_bytes: 64 * 1024, ..Default::default() }
}

/// Starts a server without TLS for `vm`, and a pool to call it.
pub(crate) fn start(vm: Arc<FakeVm>, settings: PeerSettings) -> (PeerServer, PeerPool, PeerTarget) {
    let name = vm.name;
    let server = PeerServer::start(settings.clone(), vm, None).expect("a server");
    let pool = PeerPool::new(settings, None).expect("a pool");
    let target = PeerTarget { vm: name.into(), address: server.address() };
    (server, pool, target)
}

/// Polls until the condition holds; panics after [`CALL_TIMEOUT`].
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let reached = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(CALL_TIMEOUT, reached).await.expect("the condition holds in time");
}
