//! Which groups this VM takes over, and when it may dispatch without an owner.
//!
//! An owner stays owner until a takeover is read from the log, so nothing lapses while the log is
//! down and no clock is compared. See docs/AGREEMENT.md, "Ownership".

use crate::control::ControlFold;
use crate::id::{GroupName, MICROS_PER_MILLI, TimePoint, stable_hash};
use crate::member::{MemberState, MemberTable};
use crate::record::ControlRecord;

/// Settings of takeovers.
#[derive(Clone, Debug, PartialEq)]
pub struct TakeoverSettings {
    /// Milliseconds after the start in which nothing is taken over, because the other VMs are not
    /// heard yet and would look dead. It ends early once all listed VMs were heard of.
    pub settle_ms: u64,
    /// Milliseconds that each later rank waits for the ranks before it to act.
    pub rank_ms: u64,
    /// Milliseconds after which an append whose verdict was not read is repeated. A repeat is
    /// harmless: only the first in offset order counts.
    pub repeat_ms: u64,
    /// Milliseconds for which a better-ranked VM must have been alive before it relieves an owner
    /// that has too many groups. Long, so that a VM that comes and goes moves nothing.
    pub relieve_ms: u64,
    /// Milliseconds for which an owner must be dead before others dispatch without it, twice the
    /// time of detection.
    pub ownerless_ms: u64,
}

impl Default for TakeoverSettings {
    fn default() -> Self {
        Self {
            settle_ms: 2_000,
            rank_ms: 700,
            repeat_ms: 1_500,
            relieve_ms: 60_000,
            ownerless_ms: 4_000,
        }
    }
}

/// A group as far as ownership is concerned.
#[derive(Clone, Debug, PartialEq)]
pub struct TakeoverGroup {
    /// The group.
    pub name: GroupName,
    /// Its region; only VMs of the region own it, because an owner is asked for each request.
    pub region: String,
}

/// Notices that a plan was not asked for a while: the log was down, or this VM stood still.
///
/// Ranks wait their turn from then on. Without it all VMs would find their turn long past when the
/// log comes back, and all would write the same records at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct PauseWatch {
    last: Option<TimePoint>,
    resumed: TimePoint,
}

/// A plan is asked several times a second, so this long without being asked is a pause.
const PLAN_PAUSE_MS: u64 = 1_000;

impl PauseWatch {
    pub(crate) fn ask(&mut self, now: TimePoint) {
        let last = self.last.replace(now);
        if last.is_none_or(|last| now.since(last) > PLAN_PAUSE_MS * MICROS_PER_MILLI) {
            self.resumed = now;
        }
    }

    /// Whether `wait_ms` have passed since `since`, or since the end of the last pause.
    pub(crate) fn passed(&self, now: TimePoint, since: TimePoint, wait_ms: u64) -> bool {
        now.since(since.max(self.resumed)) >= wait_ms * MICROS_PER_MILLI
    }
}

/// Why a group is up for takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GroupNeed {
    /// The owner is gone or leaves, or there never was one.
    Orphan,
    /// The owner is fine, but has more than its share.
    Relief,
}

#[derive(Clone, Debug)]
struct OpenNeed {
    group: GroupName,
    need: GroupNeed,
    since: TimePoint,
    asked: Option<TimePoint>,
}

/// Decides which groups this VM takes over.
#[derive(Clone, Debug)]
pub struct TakeoverPlan {
    settings: TakeoverSettings,
    started: TimePoint,
    open: Vec<OpenNeed>,
    relieved: Option<TimePoint>,
    pauses: PauseWatch,
}

impl TakeoverPlan {
    /// The plan of a VM that started at `now`.
    #[must_use]
    pub fn new(settings: TakeoverSettings, now: TimePoint) -> Self {
        let pauses = PauseWatch::default();
        Self { settings, started: now, open: Vec::new(), relieved: None, pauses }
    }

    /// The takeovers to append now; called several times a second. `groups` is sorted by name.
    ///
    /// A VM that does not see a majority of its region takes nothing over: in a partition the
    /// smaller side would otherwise depose the owners of the larger one, which would take them
    /// back, on and on, while the log is reachable from both.
    pub fn plan(
        &mut self,
        now: TimePoint,
        groups: &[TakeoverGroup],
        members: &MemberTable,
        control: &ControlFold,
    ) -> Vec<ControlRecord> {
        self.pauses.ask(now);
        let waited = now.since(self.started) >= self.settings.settle_ms * MICROS_PER_MILLI;
        let settled = waited || members.acquainted();
        let region = members.own().place().region.as_str();
        let able =
            members.own().state() == MemberState::Alive && !control.vm_drains(members.own().name());
        if !settled || !able || !control.whole() || !members.majority(region) {
            self.open.clear();
            return Vec::new();
        }
        let mut records = Vec::new();
        self.open.retain(|open| groups.iter().any(|group| group.name == open.group));
        for group in groups.iter().filter(|group| group.region == region) {
            let need = self.need(now, group, groups, members, control);
            records.extend(self.act(now, group, need, members, control));
        }
        records
    }

    fn need(
        &self,
        now: TimePoint,
        group: &TakeoverGroup,
        groups: &[TakeoverGroup],
        members: &MemberTable,
        control: &ControlFold,
    ) -> Option<GroupNeed> {
        let Some(ownership) = control.owner(group.name.as_str()) else {
            return Some(GroupNeed::Orphan);
        };
        let owner = &ownership.owner;
        let state = members.state_of(owner.vm.as_str());
        let stays = matches!(state, Some(MemberState::Alive | MemberState::Suspect));
        if !stays || !members.runs(owner) || control.vm_drains(owner.vm.as_str()) {
            return Some(GroupNeed::Orphan);
        }
        let own = members.own().identity();
        let long = now.since(self.started) >= self.settings.relieve_ms * MICROS_PER_MILLI;
        let pause = self.settings.relieve_ms * MICROS_PER_MILLI / 6;
        let rested = self.relieved.is_none_or(|at| now.since(at) >= pause);
        if owner == own || !long || !rested {
            return None;
        }
        let load = |vm| count_owned(groups, control, vm);
        let uneven = load(owner) >= load(own) + 2;
        let first = rank(group.name.as_str(), members, control) == Some(0);
        (uneven && first).then_some(GroupNeed::Relief)
    }

    fn act(
        &mut self,
        now: TimePoint,
        group: &TakeoverGroup,
        need: Option<GroupNeed>,
        members: &MemberTable,
        control: &ControlFold,
    ) -> Option<ControlRecord> {
        let at = self.open.binary_search_by(|open| open.group.cmp(&group.name));
        let Some(need) = need else {
            if let Ok(at) = at {
                self.open.remove(at);
            }
            return None;
        };
        let at = at.unwrap_or_else(|at| {
            let open = OpenNeed { group: group.name.clone(), need, since: now, asked: None };
            self.open.insert(at, open);
            at
        });
        let rank = rank(group.name.as_str(), members, control)?;
        let open = &mut self.open[at];
        let turn = self.pauses.passed(now, open.since, rank * self.settings.rank_ms);
        let repeat = self.settings.repeat_ms * MICROS_PER_MILLI;
        let waits = open.asked.is_some_and(|asked| now.since(asked) < repeat);
        if !turn || waits {
            return None;
        }
        open.asked = Some(now);
        if open.need == GroupNeed::Relief {
            self.relieved = Some(now);
        }
        Some(ControlRecord::Takeover {
            group: group.name.clone(),
            after: control.epoch(group.name.as_str()),
            owner: members.own().identity().clone(),
        })
    }
}

/// How many of `groups` the life `vm` owns.
fn count_owned(
    groups: &[TakeoverGroup],
    control: &ControlFold,
    vm: &crate::id::VmIdentity,
) -> usize {
    let owners = groups.iter().filter_map(|group| control.owner(group.name.as_str()));
    owners.filter(|ownership| ownership.owner == *vm).count()
}

/// This VM's place among the VMs that could own `group`, 0 being the first; rendezvous hashing, so
/// a VM that goes moves only its own groups.
fn rank(group: &str, members: &MemberTable, control: &ControlFold) -> Option<u64> {
    let own = members.own();
    let region = &own.place().region;
    let able = members.live().filter(|row| row.place().region == *region);
    let able = able.filter(|row| !control.vm_drains(row.name()));
    let mine = preference(group, own.name());
    let before = able.filter(|row| preference(group, row.name()) > mine).count();
    Some(before as u64)
}

/// How much `key` prefers `vm`: the VM with the highest value comes first. Every choice of one VM
/// out of the live ones is made by it: owners, runners of jobs and writers of snapshots.
#[must_use]
pub fn preference<'a>(key: &str, vm: &'a str) -> (u64, &'a str) {
    (stable_hash(&[key, vm]), vm)
}

/// This VM's place for `key` among the live VMs, 0 being the first. Each later rank waits longer,
/// so one VM acts, and another does if the first cannot.
#[must_use]
pub fn rank_among_live(key: &str, members: &MemberTable) -> u64 {
    let mine = preference(key, members.own().name());
    members.live().filter(|row| preference(key, row.name()) > mine).count() as u64
}

/// Why a VM dispatches to a loaded slot without a grant, or does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerlessRuling {
    /// It may: no order is possible now, so no slot can be evicted under the request.
    Allowed,
    /// The owner is not known to be dead for long enough; it may be evicting.
    OwnerMayLive,
    /// The log is readable: a takeover will come, and the new owner gives grants.
    LogUp,
    /// The VM may be the one that is cut off.
    NoMajority,
}

/// Rules on dispatch without an owner; see docs/DESIGN.md, "No owner". `log_read` tells whether
/// the log answered this VM's last read.
#[must_use]
pub fn ownerless(
    now: TimePoint,
    settings: &TakeoverSettings,
    group: &TakeoverGroup,
    log_read: bool,
    members: &MemberTable,
    control: &ControlFold,
) -> OwnerlessRuling {
    if log_read {
        return OwnerlessRuling::LogUp;
    }
    if !members.majority(&group.region) {
        return OwnerlessRuling::NoMajority;
    }
    let Some(ownership) = control.owner(group.name.as_str()) else {
        return OwnerlessRuling::Allowed;
    };
    let Some(row) = members.row(ownership.owner.vm.as_str()) else {
        return OwnerlessRuling::Allowed;
    };
    let long = now.since(row.since()) >= settings.ownerless_ms * MICROS_PER_MILLI;
    let gone = row.identity() != &ownership.owner || row.state() == MemberState::Dead;
    if gone && long { OwnerlessRuling::Allowed } else { OwnerlessRuling::OwnerMayLive }
}
