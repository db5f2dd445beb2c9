//! Takeover of groups by this VM, and dispatch without an owner.
//!
//! An owner stays owner until a takeover is read from the log. Ownership has no lease: nothing
//! expires while the log is down, and no clocks are compared. See docs/AGREEMENT.md, "Ownership".

use crate::control::ControlFold;
use crate::id::{GroupName, MICROS_PER_MILLI, TimePoint, stable_hash};
use crate::member::{MemberState, MemberTable};
use crate::record::ControlRecord;

/// Settings of takeovers.
#[derive(Clone, Debug, PartialEq)]
pub struct TakeoverSettings {
    /// Milliseconds after the start during which nothing is taken over, because VMs from which no
    /// message was received yet would look dead. Ends early once all listed VMs are known.
    pub settle_ms: u64,
    /// Milliseconds per rank that a VM waits for the VMs ranked before it to act.
    pub rank_ms: u64,
    /// Milliseconds after which an append whose verdict was not read is repeated. Repeats are
    /// harmless: only the first in offset order counts.
    pub repeat_ms: u64,
    /// Milliseconds that a VM must have been running before it takes a group, for which it is
    /// ranked first, from a live owner that has too many. Long, so that a VM that restarts
    /// repeatedly causes no takeovers.
    pub rebalance_ms: u64,
    /// Milliseconds for which an owner must be dead before others dispatch without it; twice the
    /// failure detection time.
    pub ownerless_ms: u64,
}

impl Default for TakeoverSettings {
    fn default() -> Self {
        Self {
            settle_ms: 2_000,
            rank_ms: 700,
            repeat_ms: 1_500,
            rebalance_ms: 60_000,
            ownerless_ms: 4_000,
        }
    }
}

/// What a takeover needs to know of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct TakeoverGroup {
    /// The group's name.
    pub name: GroupName,
    /// Its region. Only VMs of the region own it, because each request needs an answer from the
    /// owner.
    pub region: String,
}

/// Detects that a plan was not evaluated for a while: the log was down, or this VM was paused.
///
/// Rank delays are counted from the end of the pause. Otherwise all delays would have expired when
/// the log becomes available again, and all VMs would write the same records at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct PauseDetector {
    last: Option<TimePoint>,
    resumed: TimePoint,
}

/// Gap between two evaluations that counts as a pause; a plan is evaluated several times a second.
const MIN_PAUSE_MS: u64 = 1_000;

impl PauseDetector {
    pub(crate) fn observe(&mut self, now: TimePoint) {
        let last = self.last.replace(now);
        if last.is_none_or(|last| now.since(last) > MIN_PAUSE_MS * MICROS_PER_MILLI) {
            self.resumed = now;
        }
    }

    /// Whether `wait_ms` have passed since `since` and since the end of the last pause.
    pub(crate) fn passed(&self, now: TimePoint, since: TimePoint, wait_ms: u64) -> bool {
        now.since(since.max(self.resumed)) >= wait_ms * MICROS_PER_MILLI
    }
}

/// Why a group is due for takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeoverReason {
    /// The owner is dead, restarted or draining, or there never was one.
    NoOwner,
    /// The owner is fine but owns at least two groups more than this VM.
    Rebalance,
}

#[derive(Clone, Debug)]
struct PendingTakeover {
    group: GroupName,
    reason: TakeoverReason,
    since: TimePoint,
    appended_at: Option<TimePoint>,
}

/// Decides which groups this VM takes over.
#[derive(Clone, Debug)]
pub struct TakeoverPlan {
    settings: TakeoverSettings,
    started: TimePoint,
    pending: Vec<PendingTakeover>,
    last_rebalance: Option<TimePoint>,
    pauses: PauseDetector,
}

impl TakeoverPlan {
    /// Creates the plan of a VM that started at `now`.
    #[must_use]
    pub fn new(settings: TakeoverSettings, now: TimePoint) -> Self {
        let pauses = PauseDetector::default();
        Self { settings, started: now, pending: Vec::new(), last_rebalance: None, pauses }
    }

    /// Returns the takeovers to append now. Called several times a second; `groups` is sorted by
    /// name.
    ///
    /// A VM that does not see a majority of its region takes nothing over. While the log is
    /// reachable from both sides of a partition, the smaller side would otherwise depose the owners
    /// of the larger one, which would take them back, repeatedly.
    pub fn plan(
        &mut self,
        now: TimePoint,
        groups: &[TakeoverGroup],
        members: &MemberTable,
        control: &ControlFold,
    ) -> Vec<ControlRecord> {
        self.pauses.observe(now);
        let waited = now.since(self.started) >= self.settings.settle_ms * MICROS_PER_MILLI;
        let settled = waited || members.all_members_seen();
        let region = members.own().place().region.as_str();
        let eligible = members.own().state() == MemberState::Alive
            && !control.is_vm_draining(members.own().name());
        if !settled || !eligible || !control.is_complete() || !members.majority(region) {
            self.pending.clear();
            return Vec::new();
        }
        let mut records = Vec::new();
        self.pending.retain(|pending| groups.iter().any(|group| group.name == pending.group));
        for group in groups.iter().filter(|group| group.region == region) {
            let reason = self.reason(now, group, groups, members, control);
            records.extend(self.propose(now, group, reason, members, control));
        }
        records
    }

    fn reason(
        &self,
        now: TimePoint,
        group: &TakeoverGroup,
        groups: &[TakeoverGroup],
        members: &MemberTable,
        control: &ControlFold,
    ) -> Option<TakeoverReason> {
        let Some(ownership) = control.owner(group.name.as_str()) else {
            return Some(TakeoverReason::NoOwner);
        };
        let owner = &ownership.owner;
        let state = members.state_of(owner.vm.as_str());
        let live = matches!(state, Some(MemberState::Alive | MemberState::Suspect));
        if !live || !members.may_be_running(owner) || control.is_vm_draining(owner.vm.as_str()) {
            return Some(TakeoverReason::NoOwner);
        }
        let own = members.own().identity();
        let long_enough = now.since(self.started) >= self.settings.rebalance_ms * MICROS_PER_MILLI;
        let interval = self.settings.rebalance_ms * MICROS_PER_MILLI / 6;
        let interval_passed = self.last_rebalance.is_none_or(|at| now.since(at) >= interval);
        if owner == own || !long_enough || !interval_passed {
            return None;
        }
        let load = |vm| count_owned(groups, control, vm);
        let uneven = load(owner) >= load(own) + 2;
        let first = rank(group.name.as_str(), members, control) == Some(0);
        (uneven && first).then_some(TakeoverReason::Rebalance)
    }

    fn propose(
        &mut self,
        now: TimePoint,
        group: &TakeoverGroup,
        reason: Option<TakeoverReason>,
        members: &MemberTable,
        control: &ControlFold,
    ) -> Option<ControlRecord> {
        let at = self.pending.binary_search_by(|pending| pending.group.cmp(&group.name));
        let Some(reason) = reason else {
            if let Ok(at) = at {
                self.pending.remove(at);
            }
            return None;
        };
        let at = at.unwrap_or_else(|at| {
            let pending = PendingTakeover {
                group: group.name.clone(),
                reason,
                since: now,
                appended_at: None,
            };
            self.pending.insert(at, pending);
            at
        });
        let rank = rank(group.name.as_str(), members, control)?;
        let pending = &mut self.pending[at];
        let rank_elapsed = self.pauses.passed(now, pending.since, rank * self.settings.rank_ms);
        let repeat = self.settings.repeat_ms * MICROS_PER_MILLI;
        let in_flight = pending.appended_at.is_some_and(|at| now.since(at) < repeat);
        if !rank_elapsed || in_flight {
            return None;
        }
        pending.appended_at = Some(now);
        if pending.reason == TakeoverReason::Rebalance {
            self.last_rebalance = Some(now);
        }
        Some(ControlRecord::Takeover {
            group: group.name.clone(),
            after: control.epoch(group.name.as_str()),
            owner: members.own().identity().clone(),
        })
    }
}

/// Counts the `groups` that this incarnation of a VM owns.
fn count_owned(
    groups: &[TakeoverGroup],
    control: &ControlFold,
    vm: &crate::id::VmIdentity,
) -> usize {
    let owners = groups.iter().filter_map(|group| control.owner(group.name.as_str()));
    owners.filter(|ownership| ownership.owner == *vm).count()
}

/// Returns this VM's rank, from 0, among the VMs that could own `group`. Rendezvous
/// hashing: a VM that is removed affects only its own groups.
fn rank(group: &str, members: &MemberTable, control: &ControlFold) -> Option<u64> {
    let own = members.own();
    let region = &own.place().region;
    let eligible = members.live().filter(|row| row.place().region == *region);
    let eligible = eligible.filter(|row| !control.is_vm_draining(row.name()));
    let own_weight = preference(group, own.name());
    let before = eligible.filter(|row| preference(group, row.name()) > own_weight).count();
    Some(before as u64)
}

/// Rendezvous hash weight of `vm` for `key`: the VM with the highest value comes first. All
/// selections among live VMs use it: owners, runners of jobs and writers of snapshots.
#[must_use]
pub fn preference<'a>(key: &str, vm: &'a str) -> (u64, &'a str) {
    (stable_hash(&[key, vm]), vm)
}

/// Returns this VM's rank, from 0, for `key` among the live VMs. Each rank waits longer than the
/// one before, so that one VM acts, and the next one does if it cannot.
#[must_use]
pub fn rank_among_live(key: &str, members: &MemberTable) -> u64 {
    let own_weight = preference(key, members.own().name());
    members.live().filter(|row| preference(key, row.name()) > own_weight).count() as u64
}

/// Whether a VM may dispatch to a loaded slot without a grant, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerlessDecision {
    /// It may: no load or eviction can be ordered now, so the slot cannot be evicted under the
    /// request.
    Allowed,
    /// The owner has not been dead for long enough and may still evict.
    OwnerMayBeAlive,
    /// The log is readable: a takeover will follow, and the new owner gives grants.
    LogUp,
    /// This VM may be the one that is cut off.
    NoMajority,
}

/// Decides whether dispatch without an owner is allowed; see docs/DESIGN.md, "No owner". `log_read`
/// states whether the log answered this VM's last read.
#[must_use]
pub fn ownerless(
    now: TimePoint,
    settings: &TakeoverSettings,
    group: &TakeoverGroup,
    log_read: bool,
    members: &MemberTable,
    control: &ControlFold,
) -> OwnerlessDecision {
    if log_read {
        return OwnerlessDecision::LogUp;
    }
    if !members.majority(&group.region) {
        return OwnerlessDecision::NoMajority;
    }
    let Some(ownership) = control.owner(group.name.as_str()) else {
        return OwnerlessDecision::Allowed;
    };
    let Some(row) = members.row(ownership.owner.vm.as_str()) else {
        return OwnerlessDecision::Allowed;
    };
    let long_enough = now.since(row.since()) >= settings.ownerless_ms * MICROS_PER_MILLI;
    let dead = row.identity() != &ownership.owner || row.state() == MemberState::Dead;
    if dead && long_enough {
        OwnerlessDecision::Allowed
    } else {
        OwnerlessDecision::OwnerMayBeAlive
    }
}
