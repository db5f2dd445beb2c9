//! A VM's view of one member: its state, and the updates about it that are received and sent.

use crate::digest::{
    ListedState, ListedVm, MemberAction, MemberChange, MemberDigest, MemberFacts, MemberPlace,
    MemberState,
};
use crate::id::{MICROS_PER_MILLI, TimePoint, VmIdentity};

/// Milliseconds for which updates about a new incarnation include its place.
const ADDRESSES_INCLUDED_MS: u64 = 60_000;

/// View of another VM, or of this VM itself.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRow {
    pub(crate) digest: MemberDigest,
    pub(crate) place: MemberPlace,
    pub(crate) listed: Option<ListedState>,
    /// Whether an update about it was received; false while it is known from the list alone.
    pub(crate) received: bool,
    /// When it entered its state, by this VM's clock.
    pub(crate) since: TimePoint,
    /// When its incarnation became known, by this VM's clock.
    pub(crate) incarnation_since: TimePoint,
    /// Whether the last update changed its state; such updates are sent first.
    pub(crate) urgent: bool,
    /// When it was last sent ahead of the probe interval; `None` if not since the last update.
    pub(crate) pushed_at: Option<TimePoint>,
    /// Number of messages in which the last update was sent.
    pub(crate) times_sent: u32,
}

impl MemberRow {
    /// The VM and its incarnation; 0 for a VM that is listed and from which nothing was received
    /// yet.
    #[must_use]
    pub fn identity(&self) -> &VmIdentity {
        &self.digest.vm
    }

    /// The update about it that is sent to others.
    #[must_use]
    pub fn digest(&self) -> &MemberDigest {
        &self.digest
    }

    /// The VM's name.
    #[must_use]
    pub fn name(&self) -> &str {
        self.digest.vm.vm.as_str()
    }

    /// Its addresses, failure domain and region, fixed for an incarnation.
    #[must_use]
    pub fn place(&self) -> &MemberPlace {
        &self.place
    }

    /// What it reports about itself.
    #[must_use]
    pub fn facts(&self) -> &MemberFacts {
        &self.digest.facts
    }

    /// When it entered its state, by this VM's clock.
    #[must_use]
    pub fn since(&self) -> TimePoint {
        self.since
    }

    /// Its state. A VM that the platform is about to stop counts as leaving before it reports so.
    #[must_use]
    pub fn state(&self) -> MemberState {
        match (self.digest.state, self.listed) {
            (MemberState::Alive, Some(ListedState::Leaving)) => MemberState::Leaving,
            (state, _) => state,
        }
    }

    pub(crate) fn answers(&self) -> bool {
        matches!(self.digest.state, MemberState::Alive | MemberState::Leaving)
    }
}

impl MemberRow {
    pub(crate) fn listed(now: TimePoint, entry: ListedVm) -> Self {
        let digest = MemberDigest {
            vm: VmIdentity { vm: entry.name, incarnation: crate::id::VmIncarnation(0) },
            sequence: 0,
            state: MemberState::Dead,
            place: None,
            facts: MemberFacts::default(),
        };
        let mut row = Self::from_digest(now, digest, entry.place);
        row.received = false;
        row.listed = Some(entry.state);
        row
    }

    pub(crate) fn from_digest(now: TimePoint, digest: MemberDigest, place: MemberPlace) -> Self {
        let (since, incarnation_since) = (now, now);
        Self {
            digest,
            place,
            listed: None,
            received: true,
            since,
            incarnation_since,
            urgent: false,
            pushed_at: None,
            times_sent: 0,
        }
    }

    pub(crate) fn probed(&self) -> bool {
        self.digest.state != MemberState::Dead || !self.received
    }

    /// Whether a VM that is not alive still counts towards the majority: until the platform's list
    /// drops it or it is forgotten. Otherwise the smaller side of a partition would count itself as
    /// the whole.
    pub(crate) fn counts_for_majority(&self) -> bool {
        self.received && self.digest.state != MemberState::Alive
    }

    pub(crate) fn set_state(
        &mut self,
        now: TimePoint,
        state: MemberState,
        actions: &mut Vec<MemberAction>,
    ) {
        let was = self.state();
        self.digest.state = state;
        self.since = now;
        self.urgent = true;
        self.pushed_at = None;
        self.times_sent = 0;
        self.emit_change(was, actions);
    }

    pub(crate) fn emit_change(&self, was: MemberState, actions: &mut Vec<MemberAction>) {
        let state = self.state();
        if was != state {
            let vm = self.digest.vm.clone();
            actions.push(MemberAction::Changed(MemberChange { vm, was: Some(was), state }));
        }
    }

    pub(crate) fn merge(
        &mut self,
        now: TimePoint,
        digest: MemberDigest,
        actions: &mut Vec<MemberAction>,
    ) {
        let was = self.state();
        let before = self.digest.vm.clone();
        let restarted = before != digest.vm;
        let state_changed = self.digest.state != digest.state || restarted;
        if let Some(place) = &digest.place {
            self.place = place.clone();
        }
        self.digest = digest;
        self.received = true;
        self.urgent = state_changed;
        self.pushed_at = None;
        self.times_sent = 0;
        if state_changed {
            self.since = now;
        }
        if restarted {
            self.incarnation_since = now;
            // Reports the earlier incarnation as dead even if it was never detected as dead: an
            // owner whose grants it held waits for its end.
            let earlier = MemberChange { vm: before, was: Some(was), state: MemberState::Dead };
            let (vm, state) = (self.digest.vm.clone(), self.state());
            actions.push(MemberAction::Changed(earlier));
            actions.push(MemberAction::Changed(MemberChange { vm, was: None, state }));
            return;
        }
        self.emit_change(was, actions);
    }

    pub(crate) fn digest_to_send(&mut self, now: TimePoint) -> MemberDigest {
        self.times_sent += 1;
        let recent = now.since(self.incarnation_since) < ADDRESSES_INCLUDED_MS * MICROS_PER_MILLI;
        self.digest_with_place(recent)
    }

    pub(crate) fn digest_with_place(&self, with_place: bool) -> MemberDigest {
        let mut digest = self.digest.clone();
        digest.place = with_place.then(|| self.place.clone());
        digest
    }
}
