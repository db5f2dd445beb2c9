//! SWIM-style membership of entry VMs: random probes with piggybacked digests.
//!
//! Each VM probes one other VM per period, and indirectly through helper VMs if the direct probe is
//! not answered. Digests are piggybacked on probes and replies, so the cost per VM does not grow
//! with the fleet. A VM that does not answer is suspected, and is declared dead unless it refutes
//! the suspicion in time. All times are on the VM's own monotonic clock, so clock skew and clock
//! jumps have no effect. See docs/AGREEMENT.md, "Membership".
//!
//! ```
//! use coltsfoothook_decision::id::{TimePoint, VmIdentity, VmIncarnation};
//! use coltsfoothook_decision::member::{MemberEvent, MemberPlace, MemberSettings, MemberTable};
//! use rand::SeedableRng;
//!
//! let place = MemberPlace {
//!     caller: "127.0.0.1:8000".parse().unwrap(),
//!     peer: "127.0.0.1:9000".parse().unwrap(),
//!     domain: "embakasi".into(),
//!     region: "nbo".into(),
//! };
//! let vm = VmIdentity { vm: "vm-1".into(), incarnation: VmIncarnation(7) };
//! let mut table = MemberTable::new(MemberSettings::default(), vm, place);
//! let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
//! let mut actions = Vec::new();
//! table.handle(TimePoint(0), MemberEvent::Tick, &mut rng, &mut actions);
//! assert!(actions.is_empty(), "a VM that knows no other VM sends no probes");
//! ```

use rand::{Rng, RngExt};

pub use crate::digest::{
    CustomerUsage, ListedState, ListedVm, MemberAction, MemberChange, MemberDigest, MemberEvent,
    MemberFacts, MemberPlace, MemberState, ProbeMessage, ProbeReply,
};
use crate::id::{MICROS_PER_MILLI, TimePoint, VmIdentity, VmName};
pub use crate::row::MemberRow;

/// Settings of the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSettings {
    /// Milliseconds between probes. A probe without an answer fails after this time.
    pub period_ms: u64,
    /// Milliseconds after which an unanswered probe is retried through helper VMs. Well above the
    /// round trip between failure domains, which is a few milliseconds.
    pub indirect_ms: u64,
    /// Number of helper VMs that an unanswered probe is retried through.
    pub helpers: usize,
    /// Milliseconds in which a suspected VM must refute the suspicion. Together with the probe and
    /// its period this bounds the detection of a dead VM to under 3 s.
    pub suspicion_ms: u64,
    /// Maximum number of digests on a probe or its reply.
    pub digests: usize,
    /// Maximum number of digests on the reply to a VM that has just started.
    pub join_digests: usize,
    /// Minimum milliseconds between two updates of a VM's own facts. In large fleets the interval
    /// is [`SPREAD_PER_VM_MS`] per known VM.
    pub spread_ms: u64,
    /// Maximum number of other VMs in the table; updates about further VMs are dropped.
    pub members: usize,
    /// Milliseconds after which a dead VM that is not listed is removed from the table. Must be
    /// longer than the zombie window of docs/DESIGN.md, "When a slot may be evicted".
    pub forget_ms: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            period_ms: 300,
            indirect_ms: 120,
            helpers: 2,
            suspicion_ms: 1_200,
            digests: 6,
            join_digests: 64,
            spread_ms: 1_000,
            members: 4_096,
            forget_ms: 180_000,
        }
    }
}

/// Milliseconds that each known VM adds to the interval between updates of a VM's own facts. This
/// bounds the digests that a VM receives in a large fleet: near 4 KB/s with 360 VMs, each of which
/// updates its facts every 9 s.
pub const SPREAD_PER_VM_MS: u64 = 25;
/// Maximum number of customers whose usage a VM includes in its digest.
pub const MAX_SPREAD_CUSTOMERS: usize = 8;
/// Interval in periods at which a dead VM is probed, so that the two sides of a healed partition
/// find each other again.
const DEAD_PROBE_INTERVAL: u64 = 5;
/// Times that an update is sent, per binary logarithm of the number of VMs.
const SPREAD_ROUNDS: u32 = 3;
/// Minimum milliseconds between two pushes of urgent updates. If a large part of the fleet fails,
/// this limits a VM to some twenty extra small messages per second for a few seconds.
const PUSH_INTERVAL_MS: u64 = 100;
/// Periods between two ticks beyond which this VM itself is assumed to have been suspended.
const MAX_TICK_GAP_PERIODS: u64 = 3;

/// A probe without an answer yet.
#[derive(Clone, Debug, PartialEq)]
struct OpenProbe {
    number: u64,
    target: VmName,
    sent: TimePoint,
    purpose: ProbePurpose,
}

#[derive(Clone, Debug, PartialEq)]
enum ProbePurpose {
    /// A probe that this VM sent to learn whether the target answers; `indirect` is set once
    /// helpers were requested to probe it too.
    Own { indirect: bool },
    /// A request to a helper; its positive answer completes the own probe with this number.
    Helper { own: u64 },
    /// A probe on behalf of another VM, which is answered through `call` with the number
    /// `requested` of its request.
    Relayed { call: u64, requested: u64 },
}

/// Membership view of one entry VM.
#[derive(Clone, Debug)]
pub struct MemberTable {
    settings: MemberSettings,
    own: MemberRow,
    rows: Vec<MemberRow>,
    probes: Vec<OpenProbe>,
    /// VMs still to be probed in this round, the next one last.
    round: Vec<VmName>,
    /// Number of probe periods since the start.
    periods: u64,
    next_number: u64,
    next_period: TimePoint,
    last_tick: Option<TimePoint>,
    /// Own facts that the next update will contain.
    pending: Option<MemberFacts>,
    next_spread: TimePoint,
    next_push: TimePoint,
}

impl MemberTable {
    /// Creates the table of a VM that has just started and knows no other VM.
    #[must_use]
    pub fn new(settings: MemberSettings, vm: VmIdentity, place: MemberPlace) -> Self {
        let digest = MemberDigest {
            vm,
            sequence: 1,
            state: MemberState::Alive,
            place: Some(place.clone()),
            facts: MemberFacts::default(),
        };
        let own = MemberRow {
            digest,
            place,
            listed: None,
            received: true,
            since: TimePoint(0),
            incarnation_since: TimePoint(0),
            urgent: true,
            pushed_at: None,
            times_sent: 0,
        };
        Self {
            settings,
            own,
            rows: Vec::new(),
            probes: Vec::new(),
            round: Vec::new(),
            periods: 0,
            next_number: 1,
            next_period: TimePoint(0),
            last_tick: None,
            pending: None,
            next_spread: TimePoint(0),
            next_push: TimePoint(0),
        }
    }

    /// Handles `event` and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: TimePoint,
        event: MemberEvent,
        rng: &mut dyn Rng,
        actions: &mut Vec<MemberAction>,
    ) {
        match event {
            MemberEvent::Tick => self.tick(now, rng, actions),
            MemberEvent::Listed(list) => self.apply_list(now, list, actions),
            MemberEvent::Facts(facts) => self.set_facts(now, facts),
            MemberEvent::Probe { call, message } => {
                self.handle_probe(now, call, message, rng, actions)
            }
            MemberEvent::Reply(reply) => self.handle_reply(now, reply, actions),
            MemberEvent::ProbeTimeout { number } => self.handle_timeout(now, number, rng, actions),
            MemberEvent::Leave => self.leave(now, rng, actions),
        }
        self.push_urgent(now, rng, actions);
    }

    /// Returns when the next [`MemberEvent::Tick`] is due.
    #[must_use]
    pub fn next_due(&self) -> TimePoint {
        let indirect_after = self.settings.indirect_ms * MICROS_PER_MILLI;
        let probes = self.probes.iter().map(|probe| probe.sent.plus(indirect_after));
        probes.chain([self.next_period]).min().unwrap_or(self.next_period)
    }

    /// Returns this VM's own row.
    #[must_use]
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// Returns the rows of all other known VMs, sorted by name.
    #[must_use]
    pub fn others(&self) -> &[MemberRow] {
        &self.rows
    }

    /// Returns the VMs that take new work, including this one unless it is leaving. Suspected VMs
    /// are left out: a false suspicion keeps callers away only until it is refuted, and a true one
    /// keeps them away before the VM is declared dead.
    pub fn live(&self) -> impl Iterator<Item = &MemberRow> {
        let all = std::iter::once(&self.own).chain(&self.rows);
        all.filter(|row| row.state() == MemberState::Alive)
    }

    /// Returns whether the platform's list was read and a digest was received from every VM in the
    /// table. Until then a VM that does not answer cannot be distinguished from one that was not
    /// probed yet.
    #[must_use]
    pub fn all_members_seen(&self) -> bool {
        self.own.listed.is_some() && self.rows.iter().all(|row| row.received)
    }

    /// Returns the row of `vm`, or `None` if it is unknown.
    #[must_use]
    pub fn row(&self, vm: &str) -> Option<&MemberRow> {
        if self.own.name() == vm {
            return Some(&self.own);
        }
        self.find(vm).ok().map(|at| &self.rows[at])
    }

    /// Returns the state of `vm`, or `None` if it is unknown.
    #[must_use]
    pub fn state_of(&self, vm: &str) -> Option<MemberState> {
        self.row(vm).map(MemberRow::state)
    }

    /// Returns whether this incarnation of a VM may still run: no other incarnation of the VM is
    /// known to have replaced it, and it is not dead. A suspected VM counts as running.
    #[must_use]
    pub fn may_be_running(&self, vm: &VmIdentity) -> bool {
        let row = self.row(vm.vm.as_str());
        row.is_some_and(|row| row.identity() == vm && row.digest.state != MemberState::Dead)
    }

    /// Returns whether more than half of the region's VMs answer, this VM included. VMs that are
    /// listed or died recently count as known even though they do not answer, so at most one side
    /// of a partition has a majority.
    #[must_use]
    pub fn majority(&self, region: &str) -> bool {
        let all = std::iter::once(&self.own).chain(&self.rows);
        let mut known = 0_u32;
        let mut answering = 0_u32;
        for row in all.filter(|row| row.place.region.as_str() == region) {
            known += u32::from(row.listed.is_some() || row.answers() || row.counts_for_majority());
            answering += u32::from(row.answers());
        }
        answering * 2 > known
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.name().cmp(vm))
    }

    fn vm_count(&self) -> u64 {
        self.rows.len() as u64 + 1
    }

    fn tick(&mut self, now: TimePoint, rng: &mut dyn Rng, actions: &mut Vec<MemberAction>) {
        self.restart_timers_after_suspension(now);
        self.expire_suspicions(now, actions);
        self.check_probes(now, rng, actions);
        self.spread_facts(now);
        if now >= self.next_period {
            self.next_period = now.plus(self.settings.period_ms * MICROS_PER_MILLI);
            self.remove_dead(now);
            self.start_probe(now, rng, actions);
        }
    }

    /// Drops open probes and restarts suspicion timers if this VM was suspended (a stopped process,
    /// a frozen VM). They would otherwise all expire at once, and this VM would declare the others
    /// dead.
    fn restart_timers_after_suspension(&mut self, now: TimePoint) {
        let last = self.last_tick.replace(now);
        let limit = self.settings.period_ms * MICROS_PER_MILLI * MAX_TICK_GAP_PERIODS;
        if last.is_none_or(|last| now.since(last) <= limit) {
            return;
        }
        self.probes.clear();
        for row in self.rows.iter_mut().filter(|row| row.digest.state == MemberState::Suspect) {
            row.since = now;
        }
    }

    fn expire_suspicions(&mut self, now: TimePoint, actions: &mut Vec<MemberAction>) {
        let limit = self.settings.suspicion_ms * MICROS_PER_MILLI;
        for row in &mut self.rows {
            let expired = now.since(row.since) >= limit;
            if row.digest.state == MemberState::Suspect && expired {
                row.set_state(now, MemberState::Dead, actions);
            }
        }
    }

    fn check_probes(&mut self, now: TimePoint, rng: &mut dyn Rng, actions: &mut Vec<MemberAction>) {
        let indirect_after = self.settings.indirect_ms * MICROS_PER_MILLI;
        let failed_after = self.settings.period_ms * MICROS_PER_MILLI;
        let open = std::mem::take(&mut self.probes);
        for probe in open {
            let age = now.since(probe.sent);
            let direct = probe.purpose == ProbePurpose::Own { indirect: false };
            if age >= failed_after {
                self.fail_probe(now, probe, actions);
            } else if direct && age >= indirect_after {
                self.send_indirect_probes(now, probe, rng, actions);
            } else {
                self.probes.push(probe);
            }
        }
    }

    fn fail_probe(&mut self, now: TimePoint, probe: OpenProbe, actions: &mut Vec<MemberAction>) {
        match probe.purpose {
            ProbePurpose::Own { .. } => self.suspect(now, probe.target.as_str(), actions),
            ProbePurpose::Helper { .. } => {}
            ProbePurpose::Relayed { call, requested } => {
                let reply = self.reply(now, requested, false, None);
                actions.push(MemberAction::Reply { call, reply });
            }
        }
    }

    fn suspect(&mut self, now: TimePoint, vm: &str, actions: &mut Vec<MemberAction>) {
        let Ok(at) = self.find(vm) else { return };
        let row = &mut self.rows[at];
        if row.answers() {
            row.set_state(now, MemberState::Suspect, actions);
        }
    }

    fn send_indirect_probes(
        &mut self,
        now: TimePoint,
        mut probe: OpenProbe,
        rng: &mut dyn Rng,
        actions: &mut Vec<MemberAction>,
    ) {
        let target = probe.target.clone();
        let own = probe.number;
        probe.purpose = ProbePurpose::Own { indirect: true };
        self.probes.push(probe);
        for via in self.pick_helpers(&target, rng) {
            let number = self.allocate_number();
            let Ok(at) = self.find(via.as_str()) else { continue };
            let address = self.rows[at].place.peer;
            let message = self.message(now, number, &via, Some(target.clone()));
            let purpose = ProbePurpose::Helper { own };
            self.probes.push(OpenProbe { number, target: via.clone(), sent: now, purpose });
            actions.push(MemberAction::SendIndirect { via, address, message });
        }
    }

    /// Sends changes of state at once instead of with the next periodic probe. With periodic probes
    /// alone the last VMs of a large fleet would learn of a death too late to keep callers away
    /// from it within 3 s. Changes within the push interval are sent together.
    fn push_urgent(&mut self, now: TimePoint, rng: &mut dyn Rng, actions: &mut Vec<MemberAction>) {
        let pending = self.rows.iter().any(|row| row.urgent && row.pushed_at.is_none());
        if !pending || now < self.next_push {
            return;
        }
        self.next_push = now.plus(PUSH_INTERVAL_MS * MICROS_PER_MILLI);
        for row in &mut self.rows {
            row.pushed_at = Some(now);
        }
        let no_target = VmName::default();
        for to in self.pick_helpers(&no_target, rng) {
            self.probe(now, to, actions);
        }
    }

    fn pick_helpers(&self, target: &VmName, rng: &mut dyn Rng) -> Vec<VmName> {
        let candidates =
            self.rows.iter().filter(|row| row.answers() && row.digest.vm.vm != *target);
        let mut names: Vec<&VmName> = candidates.map(|row| &row.digest.vm.vm).collect();
        let mut helpers = Vec::new();
        while helpers.len() < self.settings.helpers && !names.is_empty() {
            let at = rng.random_range(0..names.len());
            helpers.push(names.swap_remove(at).clone());
        }
        helpers
    }

    fn start_probe(&mut self, now: TimePoint, rng: &mut dyn Rng, actions: &mut Vec<MemberAction>) {
        self.periods += 1;
        let probe_dead = self.periods.is_multiple_of(DEAD_PROBE_INTERVAL);
        let dead = if probe_dead { self.pick_dead(rng) } else { None };
        let Some(to) = dead.or_else(|| self.next_in_round(rng)) else { return };
        self.probe(now, to, actions);
    }

    fn probe(&mut self, now: TimePoint, to: VmName, actions: &mut Vec<MemberAction>) {
        let Ok(at) = self.find(to.as_str()) else { return };
        let address = self.rows[at].place.peer;
        let number = self.allocate_number();
        let message = self.message(now, number, &to, None);
        let purpose = ProbePurpose::Own { indirect: false };
        self.probes.push(OpenProbe { number, target: to.clone(), sent: now, purpose });
        actions.push(MemberAction::SendProbe { to, address, message });
    }

    fn pick_dead(&self, rng: &mut dyn Rng) -> Option<VmName> {
        let dead = self.rows.iter().filter(|row| row.digest.state == MemberState::Dead);
        let names: Vec<&VmName> = dead.map(|row| &row.digest.vm.vm).collect();
        let at = (!names.is_empty()).then(|| rng.random_range(0..names.len()))?;
        Some(names[at].clone())
    }

    /// Returns the next VM to probe. Each VM is probed once per round, in a newly shuffled order,
    /// so that each VM probes a VM that has failed within one round. Listed VMs from which nothing
    /// was received yet are probed like live ones.
    fn next_in_round(&mut self, rng: &mut dyn Rng) -> Option<VmName> {
        loop {
            if self.round.is_empty() {
                self.round = self.shuffle_round(rng);
            }
            let name = self.round.pop()?;
            let Ok(at) = self.find(name.as_str()) else { continue };
            if self.rows[at].probed() {
                return Some(name);
            }
        }
    }

    fn shuffle_round(&self, rng: &mut dyn Rng) -> Vec<VmName> {
        let probed = self.rows.iter().filter(|row| row.probed());
        let mut names: Vec<VmName> = probed.map(|row| row.digest.vm.vm.clone()).collect();
        for at in (1..names.len()).rev() {
            names.swap(at, rng.random_range(0..=at));
        }
        names
    }

    fn allocate_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn remove_dead(&mut self, now: TimePoint) {
        let limit = self.settings.forget_ms * MICROS_PER_MILLI;
        self.rows.retain(|row| {
            let removable = row.digest.state == MemberState::Dead && row.listed.is_none();
            !removable || now.since(row.since) < limit
        });
    }

    fn apply_list(&mut self, now: TimePoint, list: Vec<ListedVm>, actions: &mut Vec<MemberAction>) {
        self.own.listed = None;
        for row in &mut self.rows {
            row.listed = None;
        }
        for entry in list {
            self.apply_listed(now, entry, actions);
        }
    }

    fn apply_listed(&mut self, now: TimePoint, entry: ListedVm, actions: &mut Vec<MemberAction>) {
        if entry.name.as_str() == self.own.name() {
            self.own.listed = Some(entry.state);
            return;
        }
        match self.find(entry.name.as_str()) {
            Ok(at) => {
                let row = &mut self.rows[at];
                let was = row.state();
                row.listed = Some(entry.state);
                if !row.received {
                    row.place = entry.place;
                }
                row.emit_change(was, actions);
            }
            Err(at) if self.rows.len() < self.settings.members => {
                self.rows.insert(at, MemberRow::listed(now, entry));
            }
            Err(_) => {}
        }
    }

    fn set_facts(&mut self, now: TimePoint, mut facts: MemberFacts) {
        facts.usage.truncate(MAX_SPREAD_CUSTOMERS);
        let own = &self.own.digest.facts;
        let urgent = facts.weight != own.weight || facts.reads_log != own.reads_log;
        if facts == *own {
            self.pending = None;
            return;
        }
        self.pending = Some(facts);
        if urgent {
            self.next_spread = now;
            self.spread_facts(now);
        }
    }

    fn spread_facts(&mut self, now: TimePoint) {
        if now < self.next_spread {
            return;
        }
        let Some(facts) = self.pending.take() else { return };
        let interval_ms = self.settings.spread_ms.max(SPREAD_PER_VM_MS * self.vm_count());
        self.next_spread = now.plus(interval_ms * MICROS_PER_MILLI);
        self.own.digest.facts = facts;
        self.own.digest.sequence += 1;
    }

    fn handle_probe(
        &mut self,
        now: TimePoint,
        call: u64,
        message: ProbeMessage,
        rng: &mut dyn Rng,
        actions: &mut Vec<MemberAction>,
    ) {
        let from = message.from.vm.clone();
        let joining = self.row(from.vm.as_str()).is_none_or(|row| *row.identity() != from);
        self.merge_all(now, message.from, message.updates, actions);
        let target = message.target.filter(|target| target.as_str() != self.own.name());
        let Some(target) = target else {
            let mut reply = self.reply(now, message.number, true, Some(&from));
            if joining {
                self.fill_joiner_reply(&mut reply, rng);
            }
            actions.push(MemberAction::Reply { call, reply });
            return;
        };
        let Ok(at) = self.find(target.as_str()) else {
            let reply = self.reply(now, message.number, false, Some(&from));
            actions.push(MemberAction::Reply { call, reply });
            return;
        };
        let address = self.rows[at].place.peer;
        let number = self.allocate_number();
        let probe = self.message(now, number, &target, None);
        let purpose = ProbePurpose::Relayed { call, requested: message.number };
        self.probes.push(OpenProbe { number, target: target.clone(), sent: now, purpose });
        actions.push(MemberAction::SendProbe { to: target, address, message: probe });
    }

    fn handle_reply(&mut self, now: TimePoint, reply: ProbeReply, actions: &mut Vec<MemberAction>) {
        let number = reply.number;
        let reached = reply.reached;
        self.merge_all(now, reply.from, reply.updates, actions);
        let Some(at) = self.probes.iter().position(|probe| probe.number == number) else { return };
        let probe = self.probes.remove(at);
        match probe.purpose {
            ProbePurpose::Own { .. } => {}
            ProbePurpose::Helper { own } if reached => {
                self.probes.retain(|probe| probe.number != own);
            }
            ProbePurpose::Helper { .. } => {}
            ProbePurpose::Relayed { call, requested } => {
                let reply = self.reply(now, requested, true, None);
                actions.push(MemberAction::Reply { call, reply });
            }
        }
    }

    fn handle_timeout(
        &mut self,
        now: TimePoint,
        number: u64,
        rng: &mut dyn Rng,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(at) = self.probes.iter().position(|probe| probe.number == number) else { return };
        let probe = self.probes.remove(at);
        if probe.purpose == (ProbePurpose::Own { indirect: false }) {
            self.send_indirect_probes(now, probe, rng, actions);
        } else if matches!(probe.purpose, ProbePurpose::Relayed { .. }) {
            self.fail_probe(now, probe, actions);
        } else if matches!(probe.purpose, ProbePurpose::Own { .. }) {
            // A helper may still reach the VM before the period ends.
            self.probes.push(probe);
        }
    }

    /// Marks this VM as leaving and at once notifies [`MemberSettings::helpers`] random VMs by
    /// probes.
    fn leave(&mut self, now: TimePoint, rng: &mut dyn Rng, actions: &mut Vec<MemberAction>) {
        self.own.digest.state = MemberState::Leaving;
        self.own.digest.sequence += 1;
        self.own.since = now;
        let no_target = VmName::default();
        for to in self.pick_helpers(&no_target, rng) {
            self.probe(now, to, actions);
        }
    }

    fn merge_all(
        &mut self,
        now: TimePoint,
        from: MemberDigest,
        updates: Vec<MemberDigest>,
        actions: &mut Vec<MemberAction>,
    ) {
        self.merge_digest(now, from, actions);
        for digest in updates.into_iter().take(self.settings.join_digests) {
            self.merge_digest(now, digest, actions);
        }
    }

    /// Merges a digest if it is newer than the known one.
    ///
    /// Incarnations of a VM are ordered by sequence alone: incarnation numbers are random and
    /// clocks may jump, so neither shows which incarnation is the later one. A restarted VM starts
    /// with a low sequence, receives the digest of its previous incarnation from the first VM that
    /// it contacts, and raises its sequence beyond it.
    fn merge_digest(
        &mut self,
        now: TimePoint,
        digest: MemberDigest,
        actions: &mut Vec<MemberAction>,
    ) {
        if digest.vm.vm.as_str() == self.own.name() {
            self.refute(&digest);
            return;
        }
        match self.find(digest.vm.vm.as_str()) {
            Ok(at) if digest.rank() > self.rows[at].digest.rank() || !self.rows[at].received => {
                self.rows[at].merge(now, digest, actions);
            }
            Ok(_) => {}
            Err(at) => self.insert(now, at, digest, actions),
        }
    }

    fn insert(
        &mut self,
        now: TimePoint,
        at: usize,
        digest: MemberDigest,
        actions: &mut Vec<MemberAction>,
    ) {
        let has_room = self.rows.len() < self.settings.members;
        let Some(place) = digest.place.clone().filter(|_| has_room) else { return };
        if digest.state == MemberState::Dead {
            return;
        }
        let row = MemberRow::from_digest(now, digest, place);
        let change = MemberChange { vm: row.digest.vm.clone(), was: None, state: row.state() };
        self.rows.insert(at, row);
        actions.push(MemberAction::Changed(change));
    }

    fn refute(&mut self, digest: &MemberDigest) {
        let own = &mut self.own.digest;
        let is_current = digest.vm == own.vm && digest.state == own.state;
        if digest.sequence >= own.sequence && !is_current {
            own.sequence = digest.sequence + 1;
        }
    }

    fn message(
        &mut self,
        now: TimePoint,
        number: u64,
        to: &VmName,
        target: Option<VmName>,
    ) -> ProbeMessage {
        let from = self.own.digest.clone();
        let to = self.row(to.as_str()).map(|row| row.identity().clone());
        let updates = self.select_updates(now, to.as_ref());
        ProbeMessage { number, from, target, updates }
    }

    fn reply(
        &mut self,
        now: TimePoint,
        number: u64,
        reached: bool,
        to: Option<&VmIdentity>,
    ) -> ProbeReply {
        let from = self.own.digest.clone();
        let updates = self.select_updates(now, to);
        ProbeReply { number, from, reached, updates }
    }

    /// Selects the digests for a message: first what the receiver must refute about itself, then
    /// changes of state, then other changes; within each group, those sent least often come first.
    fn select_updates(&mut self, now: TimePoint, to: Option<&VmIdentity>) -> Vec<MemberDigest> {
        let rounds = SPREAD_ROUNDS * (self.vm_count() + 1).ilog2().max(1);
        let mut candidates: Vec<(bool, bool, u32, usize)> = Vec::new();
        for (at, row) in self.rows.iter().enumerate() {
            let receiver = to.filter(|to| to.vm == row.digest.vm.vm);
            let must_refute = receiver.is_some_and(|to| *to != row.digest.vm || !row.answers());
            let spread = receiver.is_none() && row.times_sent < rounds;
            if row.received && (must_refute || spread) {
                candidates.push((!must_refute, !row.urgent, row.times_sent, at));
            }
        }
        candidates.sort_unstable();
        candidates.truncate(self.settings.digests);
        candidates.into_iter().map(|(_, _, _, at)| self.rows[at].digest_to_send(now)).collect()
    }

    /// Fills the reply to a VM that has just started with randomly selected other VMs, so that it
    /// knows a large fleet within a few probes.
    fn fill_joiner_reply(&self, reply: &mut ProbeReply, rng: &mut dyn Rng) {
        let mut candidates: Vec<usize> = (0..self.rows.len()).collect();
        while reply.updates.len() < self.settings.join_digests && !candidates.is_empty() {
            let at = candidates.swap_remove(rng.random_range(0..candidates.len()));
            let row = &self.rows[at];
            let included = reply.updates.iter().any(|digest| digest.vm == row.digest.vm);
            if row.received && row.answers() && !included {
                reply.updates.push(row.digest_with_place(true));
            }
        }
    }
}
