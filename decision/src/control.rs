//! Fold over the control stream: group ownership, load order intents, drains and suspects.
//!
//! The first record in offset order wins: a takeover is accepted if it names the epoch in force at
//! its offset, an intent is valid if its epoch is in force there. See docs/AGREEMENT.md,
//! "Ownership".
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
    ControlRecord, ControlSnapshot, CrashedIncarnation, GroupOwnership, GroupPartCrashes,
    OpenIntent, SuspectEntry,
};

/// Intents kept per engine. An owner sends an order right after reading the intent back and has few
/// in flight, so the orders of older intents have taken effect.
const MAX_INTENTS: usize = 16;
/// Crashed incarnations kept per server, to count each crash once.
const MAX_CRASHES: usize = 8;
/// Suspects kept; beyond that, the ones with the fewest crashes as the only suspect are dropped.
const MAX_SUSPECTS: usize = 4_096;

/// Result of folding one record.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlVerdict {
    /// The takeover is accepted; this ownership is in force.
    Owned(GroupOwnership),
    /// The takeover is rejected; this epoch is already in force.
    Superseded(OwnerEpoch),
    /// The intent is valid: its owner may send the order.
    IntentValid(OpenIntent),
    /// The intent is void because this epoch is in force. The order must never be sent.
    IntentVoid(OpenIntent, OwnerEpoch),
    /// The server's drain was started (true) or ended (false).
    ServerDrain(ServerName, bool),
    /// The VM's drain was started (true) or ended (false).
    VmDrain(VmName, bool),
    /// A crash was counted against these suspects.
    Crashed(Vec<SuspectEntry>),
    /// The request is no longer a suspect.
    Cleared(RequestFingerprint),
    /// A reader that had missed records took its state from a snapshot.
    Adopted,
    /// The record has no effect.
    Nothing,
}

/// A folded record's offset and verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlResolution {
    /// The record's offset.
    pub offset: u64,
    /// Result of folding it.
    pub verdict: ControlVerdict,
}

/// State of the control stream up to the last record read.
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

    /// The ownership of `group`; `None` if it never had an owner.
    #[must_use]
    pub fn owner(&self, group: &str) -> Option<&GroupOwnership> {
        self.find(group).ok().map(|at| &self.state.owners[at])
    }

    /// The epoch in force of `group`; 0 if it never had an owner.
    #[must_use]
    pub fn epoch(&self, group: &str) -> OwnerEpoch {
        self.owner(group).map_or(OwnerEpoch(0), |owner| owner.epoch)
    }

    /// The orders that owners of `group` may still send or have sent recently, in offset order. A
    /// new owner treats the slots named in them as unknown until the engine reports them.
    pub fn intents<'a>(&'a self, group: &'a str) -> impl Iterator<Item = &'a OpenIntent> {
        self.state.intents.iter().filter(move |intent| intent.group.as_str() == group)
    }

    /// Whether the server is being drained by an operator.
    #[must_use]
    pub fn is_server_draining(&self, server: &str) -> bool {
        let servers = &self.state.draining_servers;
        servers.binary_search_by(|name| name.as_str().cmp(server)).is_ok()
    }

    /// Whether the VM is being drained by an operator.
    #[must_use]
    pub fn is_vm_draining(&self, vm: &str) -> bool {
        self.state.draining_vms.binary_search_by(|name| name.as_str().cmp(vm)).is_ok()
    }

    /// What the last owner of a group that recorded any knew of crashes under parts of prompts.
    #[must_use]
    pub fn part_crashes(&self, group: &str) -> Option<&GroupPartCrashes> {
        let known = &self.state.part_crashes;
        let found = known.binary_search_by(|known| known.group.as_str().cmp(group));
        found.ok().map(|at| &known[at])
    }

    /// The suspects, sorted by fingerprint.
    #[must_use]
    pub fn suspects(&self) -> &[SuspectEntry] {
        &self.state.suspects
    }

    /// The next log offset to read.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.cursor.next()
    }

    /// Whether the state includes every record before [`Self::next`].
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.cursor.is_complete()
    }

    /// Results of the invariant checks.
    #[must_use]
    pub fn invariants(&self) -> &InvariantLog {
        &self.invariants
    }

    /// Folds the record at `offset`; see [`crate::config::ConfigFold::fold`].
    pub fn fold(&mut self, offset: u64, record: ControlRecord) -> Vec<ControlResolution> {
        if !self.cursor.advance(offset) {
            return vec![ControlResolution { offset, verdict: ControlVerdict::Nothing }];
        }
        if self.cursor.is_complete() {
            return vec![self.apply(offset, record)];
        }
        match record {
            ControlRecord::Snapshot(state) if self.cursor.can_continue_from(state.through) => {
                self.take_snapshot(*state);
                let mut resolutions =
                    vec![ControlResolution { offset, verdict: ControlVerdict::Adopted }];
                for (offset, record) in self.cursor.take_buffered() {
                    resolutions.push(self.apply(offset, record));
                }
                resolutions
            }
            record => {
                self.cursor.buffer(offset, record);
                Vec::new()
            }
        }
    }

    /// Goes back to `offset`, from which on the log has other records than those that were read. What
    /// was folded stays.
    pub fn rewind(&mut self, offset: u64) {
        self.cursor.rewind(offset);
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: u64) {
        let _ = self.cursor.advance(offset);
    }

    /// Sets the first offset that the log still holds; see
    /// [`crate::config::ConfigFold::retained_from`].
    pub fn retained_from(&mut self, first: u64) {
        self.cursor.retained_from(first);
    }

    /// Takes a peer's state if it includes more of the log than this fold. Returns whether it did.
    pub fn adopt(&mut self, state: ControlSnapshot) -> bool {
        let through = state.through;
        if !self.cursor.is_behind(through) {
            return false;
        }
        self.take_snapshot(state);
        self.cursor.advance_to(through);
        for (offset, record) in self.cursor.take_buffered() {
            self.apply(offset, record);
        }
        true
    }

    /// The whole state, for the log and for peers; `None` while records are missing.
    #[must_use]
    pub fn snapshot(&self) -> Option<ControlSnapshot> {
        let through = self.cursor.next();
        self.is_complete().then(|| ControlSnapshot { through, ..self.state.clone() })
    }

    fn take_snapshot(&mut self, state: ControlSnapshot) {
        for before in &self.state.owners {
            let found = state.owners.binary_search_by(|owner| owner.group.cmp(&before.group));
            let epoch = found.map_or(OwnerEpoch(0), |at| state.owners[at].epoch);
            self.invariants.check(InvariantName::OneWriter, epoch >= before.epoch, || {
                format!("group {} went from epoch {} to {epoch}", before.group, before.epoch)
            });
        }
        self.cursor.complete_with(state.through);
        self.state = state;
    }

    fn apply(&mut self, offset: u64, record: ControlRecord) -> ControlResolution {
        let verdict = match record {
            ControlRecord::Takeover { group, after, owner } => self.take_over(group, after, owner),
            ControlRecord::Intent { group, epoch, number, server, incarnation, evict, load } => {
                self.record_intent(OpenIntent {
                    group,
                    epoch,
                    number,
                    server,
                    incarnation,
                    evict,
                    load,
                })
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
            ControlRecord::PartCrashes(recorded) => {
                self.record_part_crashes(recorded);
                ControlVerdict::Nothing
            }
            ControlRecord::Snapshot(_) => ControlVerdict::Nothing,
        };
        ControlResolution { offset, verdict }
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
        // Two VMs that see the owner die may both append a takeover. The second must not depose the
        // first, which already sends orders.
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

    fn record_intent(&mut self, intent: OpenIntent) -> ControlVerdict {
        let in_force = self.epoch(intent.group.as_str());
        // An owner that was paused may write an intent after the takeover of its group. The intent
        // is void, so that an engine that does not check fencing numbers never receives the order.
        if intent.epoch != in_force || in_force == OwnerEpoch(0) {
            return ControlVerdict::IntentVoid(intent, in_force);
        }
        let intents = &mut self.state.intents;
        intents.push(intent.clone());
        let same = |other: &OpenIntent| other.server == intent.server;
        if intents.iter().filter(|other| same(other)).count() > MAX_INTENTS {
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
        let crash = CrashedIncarnation { server, incarnation };
        // The owner and the VM that ran the request may both record the crash, and an append may be
        // repeated. One crash counted twice could condemn an innocent request.
        let Err(at) = self.state.crashes.binary_search(&crash) else {
            return ControlVerdict::Nothing;
        };
        self.state.crashes.insert(at, crash.clone());
        self.drop_old_crashes(&crash);
        let alone = u32::from(suspects.len() == 1);
        let counted = suspects.iter().map(|suspect| self.count_suspect(*suspect, alone)).collect();
        self.drop_suspects();
        ControlVerdict::Crashed(counted)
    }

    /// Replaces what the owner of a group recorded before. What an earlier owner wrote late is void.
    fn record_part_crashes(&mut self, recorded: GroupPartCrashes) {
        if recorded.epoch != self.epoch(recorded.group.as_str()) {
            return;
        }
        let known = &mut self.state.part_crashes;
        let is_empty = recorded.crashes.is_empty();
        match known.binary_search_by(|known| known.group.cmp(&recorded.group)) {
            Ok(at) if is_empty => drop(known.remove(at)),
            Ok(at) => known[at] = recorded,
            Err(_) if is_empty => {}
            Err(at) => known.insert(at, recorded),
        }
    }

    /// Bounds the crashed incarnations kept per server. Incarnations are random numbers, so their
    /// age is unknown; any but the newest is dropped. An incarnation that ended long ago is no
    /// longer reported by any VM.
    fn drop_old_crashes(&mut self, newest: &CrashedIncarnation) {
        let crashes = &mut self.state.crashes;
        let same = |crash: &CrashedIncarnation| crash.server == newest.server;
        if crashes.iter().filter(|crash| same(crash)).count() > MAX_CRASHES {
            let drop = crashes.iter().position(|crash| same(crash) && crash != newest);
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
        while self.state.suspects.len() > MAX_SUSPECTS {
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
