//! Obtains a grant for a request from the owner of its adapter's group, or without an owner.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfoothook_decision::grant::{
    GrantId, GrantRefusal, PlacementReason, RequestSpec, ReserveCall, ReserveReply, SlotGrant,
};
use coltsfoothook_decision::id::{GroupName, MICROS_PER_MILLI, RequestId, TimePoint, VmIdentity};
use coltsfoothook_decision::message::WithdrawCall;
use coltsfoothook_decision::outcome::RefusalReason;
use coltsfoothook_decision::retry::CallDeadline;
use coltsfoothook_decision::takeover::{
    OwnerlessDecision, TakeoverGroup, TakeoverSettings, ownerless,
};
use coltsfoothook_peer::{PeerError, PeerTarget};
use tokio::time::sleep;

use crate::core::{EntryCore, read};
use crate::held::lock;
use crate::own::{floor, slot_adapter};

/// How long a request waits for a reachable owner. A takeover is read within 5 s while the log is
/// up.
const OWNER_TIMEOUT_MS: u64 = 8_000;
/// Interval at which the group's owner is checked again.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum wait at an owner for a request without a deadline.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Time added to the deadline for the owner's reply: the owner refuses a request at its deadline,
/// and that refusal confirms that the request did not run.
const REPLY_MARGIN: Duration = Duration::from_millis(250);
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(2);
/// First number of grants without an owner; an owner's numbers do not reach it.
const FIRST_OWNERLESS_NUMBER: u64 = 1 << 62;
/// Validity of a grant that this VM made without an owner.
const OWNERLESS_TTL_MS: u64 = 2_000;
const UNREACHABLE_RETRY_MS: u64 = 2_000;

/// A grant and the start of its validity by this VM's clock.
pub(crate) struct TimedGrant {
    pub(crate) grant: SlotGrant,
    /// When the grant was requested; its validity counts from here.
    pub(crate) start: TimePoint,
}

enum OwnerReply {
    Granted(Box<SlotGrant>),
    Refused(GrantRefusal),
    NoOwner,
}

/// Requests a grant until it is given, the owner refuses it, the deadline passes, or no owner was
/// reachable for [`OWNER_TIMEOUT_MS`].
pub(crate) async fn reserve(
    core: &Arc<EntryCore>,
    group: &GroupName,
    spec: &RequestSpec,
    deadline: CallDeadline,
) -> Result<TimedGrant, GrantRefusal> {
    let give_up = core.clock.now().plus(OWNER_TIMEOUT_MS * MICROS_PER_MILLI);
    loop {
        let now = core.clock.now();
        if deadline.passed(now) {
            return Err(refusal(RefusalReason::DeadlinePassed, 0));
        }
        let spec = RequestSpec { deadline_left_ms: deadline.left_ms(now), ..spec.clone() };
        match request_from_owner(core, group, &spec).await {
            OwnerReply::Granted(grant) => return Ok(TimedGrant { grant: *grant, start: now }),
            OwnerReply::Refused(refusal) => return Err(refusal),
            OwnerReply::NoOwner => {}
        }
        if let Some(grant) = grant_without_owner(core, group, &spec).await {
            return Ok(TimedGrant { grant, start: core.clock.now() });
        }
        if core.clock.now() >= give_up {
            return Err(refusal(RefusalReason::OwnerUnreachable, UNREACHABLE_RETRY_MS));
        }
        sleep(OWNER_POLL_INTERVAL).await;
    }
}

fn refusal(reason: RefusalReason, retry_after_ms: u64) -> GrantRefusal {
    GrantRefusal { reason, retry_after_ms }
}

async fn request_from_owner(
    core: &Arc<EntryCore>,
    group: &GroupName,
    spec: &RequestSpec,
) -> OwnerReply {
    let owner = read(&core.control).owner(group.as_str()).map(|owned| owned.owner.clone());
    let Some(owner) = owner else { return OwnerReply::NoOwner };
    let reply = if owner == core.me {
        let Some(shard) = core.shard(group.as_str()) else { return OwnerReply::NoOwner };
        shard.reserve(core, core.me.clone(), spec.clone()).await
    } else {
        let runs = lock(&core.members).may_be_running(&owner);
        let Some(target) = core.target(owner.vm.as_str()).filter(|_| runs) else {
            return OwnerReply::NoOwner;
        };
        match request_from_peer(core, target, &owner, group, spec).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("grant request to owner {} failed: {error}", owner.vm);
                return OwnerReply::NoOwner;
            }
        }
    };
    match reply {
        ReserveReply::Granted(grant) => OwnerReply::Granted(Box::new(grant)),
        ReserveReply::Refused(refusal) if refusal.reason == RefusalReason::NotOwner => {
            OwnerReply::NoOwner
        }
        ReserveReply::Refused(refusal) => OwnerReply::Refused(refusal),
    }
}

async fn request_from_peer(
    core: &Arc<EntryCore>,
    target: PeerTarget,
    owner: &VmIdentity,
    group: &GroupName,
    spec: &RequestSpec,
) -> Result<ReserveReply, PeerError> {
    let limit = spec.deadline_left_ms.map_or(MAX_WAIT, Duration::from_millis) + REPLY_MARGIN;
    let call = ReserveCall { requester: core.me.clone(), group: group.clone(), spec: spec.clone() };
    let mut guard = WithdrawGuard {
        core: Arc::clone(core),
        target: target.clone(),
        group: group.clone(),
        id: spec.id.clone(),
        open: true,
    };
    let reply = tokio::select! {
        reply = core.clients.peers.reserve(&target, call, limit) => reply,
        () = owner_changed(core, group, owner) => {
            let reason = "it no longer owns the group or is dead".to_owned();
            return Err(PeerError::Unknown { vm: target.vm.clone(), reason });
        }
    };
    guard.open = reply.as_ref().is_err_and(PeerError::may_have_run);
    reply
}

/// Returns when `owner` no longer owns the group or is considered dead.
///
/// A paused VM keeps its connections open. Without this a request would wait there until its
/// deadline although another VM has taken the group over.
async fn owner_changed(core: &EntryCore, group: &GroupName, owner: &VmIdentity) {
    loop {
        sleep(OWNER_POLL_INTERVAL).await;
        let owned = read(&core.control).owner(group.as_str()).map(|owned| owned.owner.clone());
        if owned.as_ref() != Some(owner) || !lock(&core.members).may_be_running(owner) {
            return;
        }
    }
}

/// Withdraws a request at the owner when its answer is not received, because the caller
/// disconnected or the answer was lost. Without it an unknown grant would pin its slot.
struct WithdrawGuard {
    core: Arc<EntryCore>,
    target: PeerTarget,
    group: GroupName,
    id: RequestId,
    open: bool,
}

impl Drop for WithdrawGuard {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let call = WithdrawCall {
            requester: self.core.me.clone(),
            group: self.group.clone(),
            id: self.id.clone(),
        };
        let (core, target) = (Arc::clone(&self.core), self.target.clone());
        tokio::spawn(async move {
            let _ = core.clients.peers.withdraw(&target, call, WITHDRAW_TIMEOUT).await;
        });
    }
}

/// Returns whether a grant may be used now: it has not expired by this VM's clock, and no new
/// owner has queried the grants of its epoch.
///
/// A VM that was paused finds its grant expired. Call this immediately before the request is sent;
/// only a pause after it that exceeds the owner's zombie window remains undetected.
pub(crate) fn usable(core: &EntryCore, start: TimePoint, grant: &SlotGrant) -> bool {
    let age_ms = core.clock.now().since(start) / MICROS_PER_MILLI;
    age_ms <= grant.use_within_ms && grant.id.epoch >= floor(core, grant.id.group.as_str())
}

/// Makes a grant without an owner, for the least loaded server that has the adapter loaded; see
/// docs/DESIGN.md, "No owner".
async fn grant_without_owner(
    core: &Arc<EntryCore>,
    group: &GroupName,
    spec: &RequestSpec,
) -> Option<SlotGrant> {
    if !may_grant_without_owner(core, group) {
        return None;
    }
    let epoch = read(&core.control).epoch(group.as_str());
    let view = core.view();
    let servers = view.groups.find_group(group.as_str())?.servers.clone();
    let mut best: Option<(u32, SlotGrant)> = None;
    for server in servers {
        let drains = read(&core.control).is_server_draining(server.as_str());
        let Some((entry, _)) = view.engine(server.as_str()).filter(|_| !drains) else { continue };
        let Ok(report) = core.clients.engines.report(entry.address).await else { continue };
        let slot = report
            .slots
            .iter()
            .find(|slot| slot_adapter(slot.slot.as_str()).as_ref() == Some(&spec.adapter));
        let Some(slot) = slot else { continue };
        let load = report.running + report.waiting;
        if best.as_ref().is_some_and(|(least_load, _)| *least_load <= load) {
            continue;
        }
        let number = FIRST_OWNERLESS_NUMBER + core.request_numbers.fetch_add(1, Ordering::Relaxed);
        let grant = SlotGrant {
            id: GrantId { group: group.clone(), epoch, number },
            server,
            incarnation: report.incarnation,
            slot: slot.slot.clone(),
            priority: spec.class as i32,
            use_within_ms: OWNERLESS_TTL_MS,
            stall_ms: 0,
            queue_ms: 0,
            reason: PlacementReason::WithoutOwner,
        };
        best = Some((load, grant));
    }
    // While the engines were queried the log may have recovered and a new owner may exist.
    best.map(|(_, grant)| grant).filter(|_| may_grant_without_owner(core, group))
}

fn may_grant_without_owner(core: &EntryCore, group: &GroupName) -> bool {
    let now = core.clock.now();
    let region = core.settings.region.as_str().to_owned();
    let group = TakeoverGroup { name: group.clone(), region };
    let log_read = core.health.readable(now);
    let members = lock(&core.members);
    let control = read(&core.control);
    let settings = TakeoverSettings::default();
    ownerless(now, &settings, &group, log_read, &members, &control) == OwnerlessDecision::Allowed
}
