//! What a VM knows of another one, and how news of it is taken and told.

use crate::digest::{
    ListedState, ListedVm, MemberAction, MemberChange, MemberDigest, MemberFacts, MemberPlace,
    MemberState,
};
use crate::id::{MICROS_PER_MILLI, TimePoint, VmIdentity};

/// A VM's place rides on news of it for so long.
const PLACE_NEWS_MS: u64 = 60_000;

/// What this VM knows of another, or of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRow {
    pub(crate) digest: MemberDigest,
    pub(crate) place: MemberPlace,
    pub(crate) listed: Option<ListedState>,
    pub(crate) heard: bool,
    pub(crate) since: TimePoint,
    pub(crate) born: TimePoint,
    pub(crate) urgent: bool,
    pub(crate) pushed: Option<TimePoint>,
    pub(crate) told: u32,
}

impl MemberRow {
    /// The VM and its life; the life is 0 for one that is listed and was never heard of.
    #[must_use]
    pub fn identity(&self) -> &VmIdentity {
        &self.digest.vm
    }

    /// What is told of it to others.
    #[must_use]
    pub fn digest(&self) -> &MemberDigest {
        &self.digest
    }

    /// The VM's name.
    #[must_use]
    pub fn name(&self) -> &str {
        self.digest.vm.vm.as_str()
    }

    /// Where it is.
    #[must_use]
    pub fn place(&self) -> &MemberPlace {
        &self.place
    }

    /// What it says of itself.
    #[must_use]
    pub fn facts(&self) -> &MemberFacts {
        &self.digest.facts
    }

    /// When it came into its state, by this VM's clock.
    #[must_use]
    pub fn since(&self) -> TimePoint {
        self.since
    }

    /// Its state. A VM that the platform is about to stop counts as leaving before it says so.
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
        let mut row = Self::heard(now, digest, entry.place);
        row.heard = false;
        row.listed = Some(entry.state);
        row
    }

    pub(crate) fn heard(now: TimePoint, digest: MemberDigest, place: MemberPlace) -> Self {
        let (since, born) = (now, now);
        Self {
            digest,
            place,
            listed: None,
            heard: true,
            since,
            born,
            urgent: false,
            pushed: None,
            told: 0,
        }
    }

    pub(crate) fn probed(&self) -> bool {
        self.digest.state != MemberState::Dead || !self.heard
    }

    /// A VM that died keeps its voice in the majority until the list drops it or it is forgotten;
    /// otherwise the smaller side of a partition would count itself as the whole.
    pub(crate) fn recent_death(&self) -> bool {
        self.heard && self.digest.state != MemberState::Alive
    }

    pub(crate) fn turn(
        &mut self,
        now: TimePoint,
        state: MemberState,
        actions: &mut Vec<MemberAction>,
    ) {
        let was = self.state();
        self.digest.state = state;
        self.since = now;
        self.urgent = true;
        self.pushed = None;
        self.told = 0;
        self.report(was, actions);
    }

    pub(crate) fn report(&self, was: MemberState, actions: &mut Vec<MemberAction>) {
        let state = self.state();
        if was != state {
            let vm = self.digest.vm.clone();
            actions.push(MemberAction::Changed(MemberChange { vm, was: Some(was), state }));
        }
    }

    pub(crate) fn take(
        &mut self,
        now: TimePoint,
        digest: MemberDigest,
        actions: &mut Vec<MemberAction>,
    ) {
        let was = self.state();
        let before = self.digest.vm.clone();
        let reborn = before != digest.vm;
        let turned = self.digest.state != digest.state || reborn;
        if let Some(place) = &digest.place {
            self.place = place.clone();
        }
        self.digest = digest;
        self.heard = true;
        self.urgent = turned;
        self.pushed = None;
        self.told = 0;
        if turned {
            self.since = now;
        }
        if reborn {
            self.born = now;
            // Whoever waits for the end of the earlier life, above all an owner whose grants it
            // held, hears of it even though it was never found dead.
            let earlier = MemberChange { vm: before, was: Some(was), state: MemberState::Dead };
            let (vm, state) = (self.digest.vm.clone(), self.state());
            actions.push(MemberAction::Changed(earlier));
            actions.push(MemberAction::Changed(MemberChange { vm, was: None, state }));
            return;
        }
        self.report(was, actions);
    }

    pub(crate) fn tell(&mut self, now: TimePoint) -> MemberDigest {
        self.told += 1;
        let young = now.since(self.born) < PLACE_NEWS_MS * MICROS_PER_MILLI;
        self.digest_with_place(young)
    }

    pub(crate) fn digest_with_place(&self, with_place: bool) -> MemberDigest {
        let mut digest = self.digest.clone();
        digest.place = with_place.then(|| self.place.clone());
        digest
    }
}
