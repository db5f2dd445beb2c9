//! Obtains a grant for a request, from the owner of its adapter's group or without one.

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

/// How long a request looks for an owner. A takeover is read within 5 s while the log is up.
const OWNER_WITHIN_MS: u64 = 8_000;
/// The pause before the owner is looked up again.
const OWNER_PAUSE: Duration = Duration::from_millis(50);
/// The longest wait at an owner for a request without a deadline.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);
/// How much longer than its deadline a question to an owner may take: the owner refuses a request
/// whose deadline passes, and its word tells that the request did not run.
const WAY_BACK: Duration = Duration::from_millis(250);
const WITHDRAW_WITHIN: Duration = Duration::from_secs(2);
/// Numbers of grants without an owner begin here, where no owner counts to.
const OWNERLESS_NUMBERS: u64 = 1 << 62;
/// The time in which a grant that this VM gave itself must be used.
const OWNERLESS_USE_MS: u64 = 2_000;
const UNREACHABLE_RETRY_MS: u64 = 2_000;

/// A grant and when it was asked for, by this VM's clock.
pub(crate) struct TimedGrant {
    pub(crate) grant: SlotGrant,
    pub(crate) asked: TimePoint,
}

enum OwnerAnswer {
    Granted(Box<SlotGrant>),
    Refused(GrantRefusal),
    NoOwner,
}

/// Asks for a grant until there is one, the owner refuses, or no owner can be found.
pub(crate) async fn reserve(
    core: &Arc<EntryCore>,
    group: &GroupName,
    spec: &RequestSpec,
    deadline: CallDeadline,
) -> Result<TimedGrant, GrantRefusal> {
    let give_up = core.clock.now().plus(OWNER_WITHIN_MS * MICROS_PER_MILLI);
    loop {
        let now = core.clock.now();
        if deadline.passed(now) {
            return Err(refusal(RefusalReason::DeadlinePassed, 0));
        }
        let spec = RequestSpec { deadline_left_ms: deadline.left_ms(now), ..spec.clone() };
        match ask_owner(core, group, &spec).await {
            OwnerAnswer::Granted(grant) => return Ok(TimedGrant { grant: *grant, asked: now }),
            OwnerAnswer::Refused(refusal) => return Err(refusal),
            OwnerAnswer::NoOwner => {}
        }
        if let Some(grant) = without_owner(core, group, &spec).await {
            return Ok(TimedGrant { grant, asked: core.clock.now() });
        }
        if core.clock.now() >= give_up {
            return Err(refusal(RefusalReason::OwnerUnreachable, UNREACHABLE_RETRY_MS));
        }
        sleep(OWNER_PAUSE).await;
    }
}

fn refusal(reason: RefusalReason, retry_after_ms: u64) -> GrantRefusal {
    GrantRefusal { reason, retry_after_ms }
}

async fn ask_owner(core: &Arc<EntryCore>, group: &GroupName, spec: &RequestSpec) -> OwnerAnswer {
    let owner = read(&core.control).owner(group.as_str()).map(|owned| owned.owner.clone());
    let Some(owner) = owner else { return OwnerAnswer::NoOwner };
    let reply = if owner == core.me {
        let Some(shard) = core.shard(group.as_str()) else { return OwnerAnswer::NoOwner };
        shard.reserve(core, core.me.clone(), spec.clone()).await
    } else {
        let runs = lock(&core.members).runs(&owner);
        let Some(target) = core.target(owner.vm.as_str()).filter(|_| runs) else {
            return OwnerAnswer::NoOwner;
        };
        match ask_peer(core, target, &owner, group, spec).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("asking {} for a grant failed: {error}", owner.vm);
                return OwnerAnswer::NoOwner;
            }
        }
    };
    match reply {
        ReserveReply::Granted(grant) => OwnerAnswer::Granted(Box::new(grant)),
        ReserveReply::Refused(refusal) if refusal.reason == RefusalReason::NotOwner => {
            OwnerAnswer::NoOwner
        }
        ReserveReply::Refused(refusal) => OwnerAnswer::Refused(refusal),
    }
}

async fn ask_peer(
    core: &Arc<EntryCore>,
    target: PeerTarget,
    owner: &VmIdentity,
    group: &GroupName,
    spec: &RequestSpec,
) -> Result<ReserveReply, PeerError> {
    let limit = spec.deadline_left_ms.map_or(LONGEST_WAIT, Duration::from_millis) + WAY_BACK;
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
        () = owner_gone(core, group, owner) => {
            let reason = "it does not own the group any more".to_owned();
            return Err(PeerError::Unknown { vm: target.vm.clone(), reason });
        }
    };
    guard.open = reply.as_ref().is_err_and(PeerError::may_have_run);
    reply
}

/// Returns when `owner` no longer owns the group or is taken to be dead.
///
/// A VM that stands still keeps its connections open: without this a request that waits there would
/// wait until its deadline, although another VM has long taken the group over.
async fn owner_gone(core: &EntryCore, group: &GroupName, owner: &VmIdentity) {
    loop {
        sleep(OWNER_PAUSE).await;
        let owned = read(&core.control).owner(group.as_str()).map(|owned| owned.owner.clone());
        if owned.as_ref() != Some(owner) || !lock(&core.members).runs(owner) {
            return;
        }
    }
}

/// Tells the owner to forget a request whose answer will not be taken: the caller went away or the
/// answer was lost. Without it a grant that nobody knows of would pin its slot.
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
            let _ = core.clients.peers.withdraw(&target, call, WITHDRAW_WITHIN).await;
        });
    }
}

/// Whether a grant may be used now: in time by this VM's own clock, and not of an epoch that a new
/// owner has asked about.
///
/// A VM that was paused finds its grant void here. The check stands immediately before the request
/// is sent; what remains is a pause in between that outlasts the owner's zombie window.
pub(crate) fn usable(core: &EntryCore, asked: TimePoint, grant: &SlotGrant) -> bool {
    let age_ms = core.clock.now().since(asked) / MICROS_PER_MILLI;
    age_ms <= grant.use_within_ms && grant.id.epoch >= floor(core, grant.id.group.as_str())
}

/// Gives this VM a grant itself, where nobody can order loads or evictions; see docs/DESIGN.md,
/// "No owner".
async fn without_owner(
    core: &Arc<EntryCore>,
    group: &GroupName,
    spec: &RequestSpec,
) -> Option<SlotGrant> {
    if !may_go_without(core, group) {
        return None;
    }
    let epoch = read(&core.control).epoch(group.as_str());
    let view = core.view();
    let servers = view.groups.find_group(group.as_str())?.servers.clone();
    let mut best: Option<(u32, SlotGrant)> = None;
    for server in servers {
        let drains = read(&core.control).server_drains(server.as_str());
        let Some((entry, _)) = view.engine(server.as_str()).filter(|_| !drains) else { continue };
        let Ok(report) = core.clients.engines.report(entry.address).await else { continue };
        let slot = report
            .slots
            .iter()
            .find(|slot| slot_adapter(slot.slot.as_str()).as_ref() == Some(&spec.adapter));
        let Some(slot) = slot else { continue };
        let load = report.running + report.waiting;
        if best.as_ref().is_some_and(|(least, _)| *least <= load) {
            continue;
        }
        let number = OWNERLESS_NUMBERS + core.request_numbers.fetch_add(1, Ordering::Relaxed);
        let grant = SlotGrant {
            id: GrantId { group: group.clone(), epoch, number },
            server,
            incarnation: report.incarnation,
            slot: slot.slot.clone(),
            priority: spec.class as i32,
            use_within_ms: OWNERLESS_USE_MS,
            stall_ms: 0,
            queue_ms: 0,
            reason: PlacementReason::WithoutOwner,
        };
        best = Some((load, grant));
    }
    // The log may have come back, and with it an owner, while the engines were asked.
    best.map(|(_, grant)| grant).filter(|_| may_go_without(core, group))
}

fn may_go_without(core: &EntryCore, group: &GroupName) -> bool {
    let now = core.clock.now();
    let region = core.settings.region.as_str().to_owned();
    let group = TakeoverGroup { name: group.clone(), region };
    let log_read = core.health.readable(now);
    let members = lock(&core.members);
    let control = read(&core.control);
    let settings = TakeoverSettings::default();
    ownerless(now, &settings, &group, log_read, &members, &control) == OwnerlessDecision::Allowed
}
