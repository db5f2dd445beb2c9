//! Ownership, orders, drains and suspects: the fold over the control stream.
//!
//! The first record in offset order wins: a takeover counts if it names the epoch in force at its
//! place, an intent if its epoch is in force there. See docs/AGREEMENT.md, "Ownership".
//!
//! ```
//! use coltsfoothook_decision::control::{ControlFold, ControlVerdict};
//! use coltsfoothook_decision::id::{OwnerEpoch, VmIdentity, VmIncarnation};
//! use coltsfoothook_decision::record::ControlRecord;
//!
//! let owner = VmIdentity { vm: "vm-1".into(), incarnation: VmIncarnation(1) };
//! let takeover = ControlRecord::Takeover { group: "nbo/0".into(), after: OwnerEpoch(0), owner };
//! let mut fold = ControlFold::default();
//! let first = fold.fold(0, takeover.clone());
//! assert!(matches!(first[0].verdict, ControlVerdict::Owned(_)));
//! let late = fold.fold(1, takeover);
//! assert!(matches!(late[0].verdict, ControlVerdict::Superseded(OwnerEpoch(1))));
//! ```

use crate::follow::StreamCursor;
use crate::id::{
    GroupName, OwnerEpoch, RequestFingerprint, ServerIncarnation, ServerName, VmIdentity, VmName,
};
use crate::invariant::{InvariantLog, InvariantName};
use crate::record::{
    ControlRecord, ControlSnapshot, CrashedLife, GroupOwnership, OpenIntent, SuspectEntry,
};

/// Open orders that are kept for each engine. An owner sends an order right after it reads the
/// intent back and has few in flight, so older ones have long had their effect.
const INTENTS_KEPT: usize = 16;
/// Ended lives that are kept for each server, to count a crash once.
const LIVES_KEPT: usize = 8;
/// Suspects that are kept; beyond it those with the fewest crashes are forgotten.
const SUSPECTS_KEPT: usize = 4_096;

/// What the fold made of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlVerdict {
    /// The takeover counts; this is the ownership in force.
    Owned(GroupOwnership),
    /// The takeover does not count: this epoch is in force already.
    Superseded(OwnerEpoch),
    /// The intent is valid: its owner may send the order.
    IntentValid(OpenIntent),
    /// The intent is void: this epoch is in force. The order must never be sent.
    IntentVoid(OpenIntent, OwnerEpoch),
    /// A server drains or no longer does.
    ServerDrain(ServerName, bool),
    /// A VM drains or no longer does.
    VmDrain(VmName, bool),
    /// A crash was counted against these suspects.
    Crashed(Vec<SuspectEntry>),
    /// The suspect is none any more.
    Cleared(RequestFingerprint),
    /// A snapshot gave a reader that had missed records its state.
    Adopted,
    /// The record changes nothing.
    Nothing,
}

/// A record's verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlRuling {
    /// The record's offset.
    pub offset: u64,
    /// What was made of it.
    pub verdict: ControlVerdict,
}

/// The state of the control stream, as far as it was read.
#[derive(Clone, Debug, Default)]
pub struct ControlFold {
    cursor: StreamCursor<ControlRecord>,
    state: ControlSnapshot,
    invariants: InvariantLog,
}

impl ControlFold {
    /// The owners in force, sorted by group.
    #[must_use]
    pub fn owners(&self) -> &[GroupOwnership] {
        &self.state.owners
    }

    /// The ownership of `group`, if it was ever taken.
    #[must_use]
    pub fn owner(&self, group: &str) -> Option<&GroupOwnership> {
        self.find(group).ok().map(|at| &self.state.owners[at])
    }

    /// The epoch in force of `group`; 0 if it was never taken.
    #[must_use]
    pub fn epoch(&self, group: &str) -> OwnerEpoch {
        self.owner(group).map_or(OwnerEpoch(0), |owner| owner.epoch)
    }

    /// The orders that owners of `group` may still send or have sent of late, in offset order. A
    /// new owner treats the slots that they name as unknown until the engine reports them.
    pub fn intents<'a>(&'a self, group: &'a str) -> impl Iterator<Item = &'a OpenIntent> {
        self.state.intents.iter().filter(move |intent| intent.group.as_str() == group)
    }

    /// Whether an operator drains the server.
    #[must_use]
    pub fn server_drains(&self, server: &str) -> bool {
        let servers = &self.state.draining_servers;
        servers.binary_search_by(|name| name.as_str().cmp(server)).is_ok()
    }

    /// Whether an operator drains the VM.
    #[must_use]
    pub fn vm_drains(&self, vm: &str) -> bool {
        self.state.draining_vms.binary_search_by(|name| name.as_str().cmp(vm)).is_ok()
    }

    /// The suspects, sorted by fingerprint.
    #[must_use]
    pub fn suspects(&self) -> &[SuspectEntry] {
        &self.state.suspects
    }

    /// The offset from which the log is to be read on.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.cursor.next()
    }

    /// Whether every record up to [`Self::next`] is reflected.
    #[must_use]
    pub fn whole(&self) -> bool {
        self.cursor.whole()
    }

    /// The checks made here.
    #[must_use]
    pub fn invariants(&self) -> &InvariantLog {
        &self.invariants
    }

    /// Folds the record at `offset`; see [`crate::config::ConfigFold::fold`].
    pub fn fold(&mut self, offset: u64, record: ControlRecord) -> Vec<ControlRuling> {
        if !self.cursor.reaches(offset) {
            return vec![ControlRuling { offset, verdict: ControlVerdict::Nothing }];
        }
        if self.cursor.whole() {
            return vec![self.apply(offset, record)];
        }
        match record {
            ControlRecord::Snapshot(state) if self.cursor.usable(state.through) => {
                self.take_snapshot(*state);
                let mut rulings = vec![ControlRuling { offset, verdict: ControlVerdict::Adopted }];
                for (offset, record) in self.cursor.release() {
                    rulings.push(self.apply(offset, record));
                }
                rulings
            }
            record => {
                self.cursor.hold(offset, record);
                Vec::new()
            }
        }
    }

    /// Passes over a record that cannot be read.
    pub fn skip(&mut self, offset: u64) {
        let _ = self.cursor.reaches(offset);
    }

    /// Tells the fold which offset the log still holds; see
    /// [`crate::config::ConfigFold::retained_from`].
    pub fn retained_from(&mut self, first: u64) {
        self.cursor.retained_from(first);
    }

    /// Takes a peer's state if it holds more of the log than this fold. Returns whether it did.
    pub fn adopt(&mut self, state: ControlSnapshot) -> bool {
        let through = state.through;
        if !self.cursor.gains(through) {
            return false;
        }
        self.take_snapshot(state);
        self.cursor.jump(through);
        for (offset, record) in self.cursor.release() {
            self.apply(offset, record);
        }
        true
    }

    /// The whole state, for the log and for peers; none while not whole.
    #[must_use]
    pub fn snapshot(&self) -> Option<ControlSnapshot> {
        let through = self.cursor.next();
        self.whole().then(|| ControlSnapshot { through, ..self.state.clone() })
    }

    fn take_snapshot(&mut self, state: ControlSnapshot) {
        for before in &self.state.owners {
            let found = state.owners.binary_search_by(|owner| owner.group.cmp(&before.group));
            let epoch = found.map_or(OwnerEpoch(0), |at| state.owners[at].epoch);
            self.invariants.check(InvariantName::OneWriter, epoch >= before.epoch, || {
                format!("group {} went from epoch {} to {epoch}", before.group, before.epoch)
            });
        }
        self.cursor.begin_at(state.through);
        self.state = state;
    }

    fn apply(&mut self, offset: u64, record: ControlRecord) -> ControlRuling {
        let verdict = match record {
            ControlRecord::Takeover { group, after, owner } => self.take_over(group, after, owner),
            ControlRecord::Intent { group, epoch, number, server, incarnation, evict, load } => {
                self.intend(OpenIntent { group, epoch, number, server, incarnation, evict, load })
            }
            ControlRecord::DrainServer { server, draining } => {
                set_name(&mut self.state.draining_servers, &server, draining);
                ControlVerdict::ServerDrain(server, draining)
            }
            ControlRecord::DrainVm { vm, draining } => {
                set_name(&mut self.state.draining_vms, &vm, draining);
                ControlVerdict::VmDrain(vm, draining)
            }
            ControlRecord::Crash { server, incarnation, suspects } => {
                self.crash(server, incarnation, &suspects)
            }
            ControlRecord::Cleared { fingerprint } => {
                self.state.suspects.retain(|suspect| suspect.fingerprint != fingerprint);
                ControlVerdict::Cleared(fingerprint)
            }
            ControlRecord::Snapshot(_) => ControlVerdict::Nothing,
        };
        ControlRuling { offset, verdict }
    }

    fn find(&self, group: &str) -> Result<usize, usize> {
        self.state.owners.binary_search_by(|owner| owner.group.as_str().cmp(group))
    }

    fn take_over(
        &mut self,
        group: GroupName,
        after: OwnerEpoch,
        owner: VmIdentity,
    ) -> ControlVerdict {
        let in_force = self.epoch(group.as_str());
        // Two VMs that saw the owner die both take over; without this the second would depose the
        // first, whose orders are under way already.
        if after != in_force {
            return ControlVerdict::Superseded(in_force);
        }
        let epoch = OwnerEpoch(in_force.0 + 1);
        let ownership = GroupOwnership { group, epoch, owner };
        match self.find(ownership.group.as_str()) {
            Ok(at) => self.state.owners[at] = ownership.clone(),
            Err(at) => self.state.owners.insert(at, ownership.clone()),
        }
        ControlVerdict::Owned(ownership)
    }

    fn intend(&mut self, intent: OpenIntent) -> ControlVerdict {
        let in_force = self.epoch(intent.group.as_str());
        // A paused owner wakes and writes an intent behind the takeover of its group: it is void,
        // so the engine, which checks nothing, never sees the order.
        if intent.epoch != in_force || in_force == OwnerEpoch(0) {
            return ControlVerdict::IntentVoid(intent, in_force);
        }
        let intents = &mut self.state.intents;
        intents.push(intent.clone());
        let same = |other: &OpenIntent| other.server == intent.server;
        if intents.iter().filter(|other| same(other)).count() > INTENTS_KEPT {
            let oldest = intents.iter().position(same).unwrap_or_default();
            intents.remove(oldest);
        }
        ControlVerdict::IntentValid(intent)
    }

    fn crash(
        &mut self,
        server: ServerName,
        incarnation: ServerIncarnation,
        suspects: &[RequestFingerprint],
    ) -> ControlVerdict {
        let life = CrashedLife { server, incarnation };
        // Owner and runner both see the crash and may both record it; a repeated append brings it
        // twice as well. Counted twice, one crash would condemn an innocent request.
        let Err(at) = self.state.crashes.binary_search(&life) else {
            return ControlVerdict::Nothing;
        };
        self.state.crashes.insert(at, life.clone());
        self.drop_lives(&life);
        let alone = u32::from(suspects.len() == 1);
        let counted = suspects.iter().map(|suspect| self.count_suspect(*suspect, alone)).collect();
        self.drop_suspects();
        ControlVerdict::Crashed(counted)
    }

    /// Lives are drawn numbers, so the oldest is not known by order; the ones before the newest
    /// addition go first, and a life that ended long ago is no longer reported by anybody.
    fn drop_lives(&mut self, newest: &CrashedLife) {
        let crashes = &mut self.state.crashes;
        let same = |life: &CrashedLife| life.server == newest.server;
        if crashes.iter().filter(|life| same(life)).count() > LIVES_KEPT {
            let drop = crashes.iter().position(|life| same(life) && life != newest);
            drop.map(|at| crashes.remove(at));
        }
    }

    fn count_suspect(&mut self, fingerprint: RequestFingerprint, alone: u32) -> SuspectEntry {
        let suspects = &mut self.state.suspects;
        let at = suspects.binary_search_by_key(&fingerprint, |suspect| suspect.fingerprint);
        let at = at.unwrap_or_else(|at| {
            suspects.insert(at, SuspectEntry { fingerprint, crashes: 0, alone: 0 });
            at
        });
        suspects[at].crashes += 1;
        suspects[at].alone += alone;
        suspects[at].clone()
    }

    fn drop_suspects(&mut self) {
        while self.state.suspects.len() > SUSPECTS_KEPT {
            let weakest = self.state.suspects.iter().enumerate();
            let weakest = weakest.min_by_key(|(_, suspect)| (suspect.alone, suspect.crashes));
            let Some((at, _)) = weakest else { return };
            self.state.suspects.remove(at);
        }
    }
}

fn set_name<N: Ord + Clone>(names: &mut Vec<N>, name: &N, present: bool) {
    match (names.binary_search(name), present) {
        (Err(at), true) => names.insert(at, name.clone()),
        (Ok(at), false) => {
            names.remove(at);
        }
        _ => {}
    }
}
