//! This VM's view of the backend servers, from which [`crate::choice`] chooses.
//!
//! Three sources are kept apart because their ages differ: a server's own entry in the platform's
//! store, which lags by up to a heartbeat; the adapter list that the server's owner sends at each
//! change; and the results of this VM's own requests. docs/PLATFORM.md describes how they are
//! distributed.

use std::time::Duration;

use crate::counts::{LoadFigure, RequestCounts};
use crate::holding::{AdapterHolding, HeldAdapters};
use crate::id::{
    MICROS_PER_MILLI, ModelName, ServerName, ServiceName, SoftwareVersion, TimePoint, VmName,
    stable_hash,
};
use crate::prefill::PrefillRate;
use crate::rest::ServerRest;
use crate::room::RoomFigures;
use crate::routing::{AdapterKey, BackendEntry, HeldModel, RouteTable};
use crate::statement::{KeptStatements, ServiceRefusals};

/// How much earlier than known a server may be gone, in microseconds: its entry is read up to a heartbeat and a poll late.
const NOTICE_SLACK_US: u64 = 2_000_000;
/// How long an owner's list takes precedence over the server's own entry. Owners repeat it within
/// two seconds.
const LIST_TTL_US: u64 = 5_000_000;
/// How long a VM counts as a server's owner after its last report, which it repeats within two
/// seconds. Load requests to an unresponsive owner go to another server after some hundred
/// milliseconds.
const OWNER_TTL_US: u64 = 3_200_000;
/// How long a server is avoided after the first failure; doubled for each further one up to
/// `MAX_AVOID_US`.
const INITIAL_AVOID_US: u64 = 150_000;
const MAX_AVOID_US: u64 = 2_000_000;
/// How long a server is avoided after it answered that it is full; some of its requests end within
/// this time.
const FULL_AVOID_US: u64 = 120_000;
/// Weight of a new sample in the moving averages of a server.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Maximum number of adapters remembered as recently held at a server.
const MAX_RECENTLY_HELD: usize = 120;

/// The VM that orders adapters at a server, as it last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOwner {
    /// Name of the owning VM.
    pub vm: VmName,
    /// Incarnation of the server that it owns, as in [`BackendEntry::incarnation`].
    pub incarnation: u64,
    /// Fencing number; a higher one supersedes lower ones.
    pub fence: u64,
    /// Time of its last report.
    pub at: TimePoint,
    /// Number of adapters that it could have loaded there at that time.
    pub free: u32,
}

impl ServerOwner {
    /// Returns whether both are the same VM with the same fencing number, for the same incarnation
    /// of the server.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        (&self.vm, self.incarnation, self.fence) == (&other.vm, other.incarnation, other.fence)
    }
}

/// Results of this VM's requests at a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerCondition {
    /// End of the current avoidance period.
    pub(crate) avoid_until: TimePoint,
    /// Length of the period after the last failure, in microseconds; 0 since the last answer.
    avoid_us: u64,
    /// Moving average of the fraction of failed answers.
    pub(crate) failures: f64,
    /// Moving average of microseconds to the head of an answer or between two events; 0 if unknown.
    pub(crate) latency_us: f64,
}

impl ServerCondition {
    /// Returns whether the server failed at most once since it last answered.
    pub(crate) fn failed_at_most_once(&self) -> bool {
        self.avoid_us <= INITIAL_AVOID_US
    }
}

/// Known state of one backend server.
#[derive(Clone, Debug)]
pub struct BackendState {
    /// Its latest registration.
    pub entry: BackendEntry,
    /// Time at which the first entry of this incarnation was read.
    first_seen: TimePoint,
    /// Whether it is leaving; it then gets no new work.
    pub leaving: bool,
    /// When it is gone at the latest, whatever it runs; `None` if it stated no such time.
    gone_at: Option<TimePoint>,
    pub(crate) owner: Option<ServerOwner>,
    /// Taken from the owner's list while that is recent, else from the entry.
    pub(crate) held: HeldAdapters,
    list_at: Option<TimePoint>,
    pub(crate) list_revision: (u64, u64),
    pub(crate) recently_held: Vec<AdapterKey>,
    pub(crate) counts: RequestCounts,
    pub(crate) condition: ServerCondition,
    pub(crate) stated: KeptStatements,
    pub(crate) rest: ServerRest,
    /// How fast it works compared with others of its service; `None` if that is not known.
    pub(crate) speed: Option<f64>,
    /// Hash of its name, from which its ranks for adapters and prompts are derived.
    pub(crate) name_hash: u64,
}

/// Effect of an entry on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The server was unknown.
    Appeared,
    /// It restarted under the same name, so that its former state is lost.
    Restarted,
    /// It began to leave.
    Leaving,
    /// Its set of base models changed.
    Models,
    /// It was removed.
    Removed,
    /// Nothing that affects routing changed.
    Unchanged,
}

/// All backend servers, sorted by name.
#[derive(Debug, Default)]
pub struct BackendTable {
    servers: Vec<BackendState>,
    /// In order of removal.
    removed: Vec<RemovedServer>,
    /// Sorted by service.
    rates: Vec<(ServiceName, PrefillRate)>,
    /// Refusals that the servers of services bear, sorted by service.
    pub(crate) refusals: Vec<ServiceRefusals>,
    /// Services of which a server has answered since this VM started, sorted.
    pub(crate) answered: Vec<ServiceName>,
    /// Whether adapters return to servers that still have them in their own memory, also where another
    /// server could take them at once.
    pub(crate) memory_first: bool,
}

/// Remembers a server whose entry was removed.
#[derive(Clone, Debug)]
struct RemovedServer {
    server: ServerName,
    /// Position of the removal's record in the topic of entries.
    position: u64,
    /// Latest known incarnation and heartbeat.
    incarnation: u64,
    heartbeat: u64,
    /// The incarnation that was leaving, if one was. It gets no work either if its entry returns.
    left: Option<u64>,
}

/// Maximum number of removed servers remembered. They prevent a stale read from adding a removed
/// server again.
const MAX_REMOVED: usize = 256;

impl BackendTable {
    /// Returns the state of a server; `None` if it is unknown or removed.
    #[must_use]
    pub fn get(&self, server: &str) -> Option<&BackendState> {
        let at = self.servers.binary_search_by(|state| state.name().cmp(server)).ok()?;
        Some(&self.servers[at])
    }

    pub(crate) fn get_mut(&mut self, server: &str) -> Option<&mut BackendState> {
        let at = self.servers.binary_search_by(|state| state.name().cmp(server)).ok()?;
        Some(&mut self.servers[at])
    }

    pub(crate) fn servers_mut(&mut self) -> &mut [BackendState] {
        &mut self.servers
    }

    /// Creates a table without servers. With `memory_first`, adapters return to servers that still have
    /// them in their own memory, also where another server could take them at once.
    #[must_use]
    pub fn new(memory_first: bool) -> Self {
        Self { memory_first, ..Self::default() }
    }

    /// Returns all servers, sorted by name.
    #[must_use]
    pub fn servers(&self) -> &[BackendState] {
        &self.servers
    }

    /// Applies a server's registration. Ignores entries older than the one known, so that a delayed
    /// heartbeat does not make a leaving server ready again.
    pub fn apply_entry(&mut self, entry: BackendEntry, now: TimePoint) -> EntryChange {
        let found = self.servers.binary_search_by(|state| state.name().cmp(entry.server.as_str()));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                if !self.newer_than_removal(&entry) {
                    return EntryChange::Unchanged;
                }
                self.servers.insert(at, BackendState::new(entry, now));
                return EntryChange::Appeared;
            }
        };
        let state = &mut self.servers[at];
        let is_upgraded = entry.incarnation == state.entry.incarnation
            && entry.position > state.entry.position
            && state.entry.software.is_some()
            && entry.software.is_some()
            && entry.software != state.entry.software;
        // A server that states no start time shows by its software that it restarted under its name.
        if entry.incarnation > state.entry.incarnation || is_upgraded {
            state.restart(entry, now);
            return EntryChange::Restarted;
        }
        // Heartbeats count per incarnation and can't be compared between incarnations.
        let stale =
            entry.heartbeat < state.entry.heartbeat || entry.position < state.entry.position;
        if entry.incarnation < state.entry.incarnation || stale {
            return EntryChange::Unchanged;
        }
        let leaves = !entry.ready && !state.leaving;
        // An incarnation that began to leave never takes work again.
        state.leaving |= !entry.ready;
        let models = |entry: &BackendEntry| -> Vec<ModelName> {
            entry.models.iter().map(|held| held.model.clone()).collect()
        };
        let same_models = models(&entry) == models(&state.entry);
        state.entry = entry;
        state.record_notice(now);
        state.adopt_entry(now);
        match (leaves, same_models) {
            (true, _) => EntryChange::Leaving,
            (false, false) => EntryChange::Models,
            (false, true) => EntryChange::Unchanged,
        }
    }

    /// Returns whether an entry under the name of a known server is by another writer: it names a
    /// service that the server is not of and that no configuration has. It must not change the
    /// server's state, since it would take the server out of its service, or end it.
    ///
    /// An entry of an unknown server is kept whatever its service: the configuration may come later.
    #[must_use]
    pub fn is_foreign(&self, entry: &BackendEntry, table: Option<&RouteTable>) -> bool {
        let known = self.get(entry.server.as_str());
        let moved = known.is_some_and(|state| state.entry.service != entry.service);
        moved && table.is_some_and(|table| table.service(entry.service.as_str()).is_none())
    }

    /// Returns whether an entry of an unknown server is newer than the server's removal, if there
    /// was one.
    ///
    /// VMs are notified of removals by others before they read the records that precede them; those
    /// records must not add the server again. A server that was cut off from the store writes its
    /// entry later with a higher heartbeat.
    fn newer_than_removal(&mut self, entry: &BackendEntry) -> bool {
        let Some(at) = self.removed.iter().position(|removed| removed.server == entry.server)
        else {
            return true;
        };
        let removed = &mut self.removed[at];
        let newer = (entry.incarnation, entry.heartbeat) > (removed.incarnation, removed.heartbeat);
        let newer = newer && removed.left != Some(entry.incarnation);
        if entry.position <= removed.position || !newer {
            (removed.incarnation, removed.heartbeat) =
                (removed.incarnation, removed.heartbeat).max((entry.incarnation, entry.heartbeat));
            return false;
        }
        self.removed.remove(at);
        true
    }

    /// Drops a server whose entry was removed by the record at `position`.
    pub fn remove(&mut self, server: &str, position: u64) -> EntryChange {
        let found = self.servers.binary_search_by(|state| state.name().cmp(server));
        let (mut last, mut left) = ((0, 0), None);
        if let Ok(at) = found {
            if self.servers[at].entry.position > position {
                return EntryChange::Unchanged;
            }
            let state = self.servers.remove(at);
            last = (state.entry.incarnation, state.entry.heartbeat);
            left = state.leaving.then_some(state.entry.incarnation);
        }
        if let Some(at) = self.removed.iter().position(|removed| removed.server.as_str() == server)
        {
            let before = self.removed.remove(at);
            last = last.max((before.incarnation, before.heartbeat));
            left = left.or(before.left);
        }
        let (incarnation, heartbeat) = last;
        let server = ServerName::from(server);
        self.removed.push(RemovedServer { server, position, incarnation, heartbeat, left });
        let excess = self.removed.len().saturating_sub(MAX_REMOVED);
        self.removed.drain(..excess);
        if found.is_ok() { EntryChange::Removed } else { EntryChange::Unchanged }
    }

    /// Returns whether a server of a service has this software version and is not leaving.
    #[must_use]
    pub fn serves(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        self.servers.iter().any(|state| {
            state.entry.service == *service
                && state.entry.software.as_ref() == Some(software)
                && !state.leaving
        })
    }

    /// Returns whether the servers of some service have several software versions.
    #[must_use]
    pub fn has_mixed_software(&self) -> bool {
        let mut found: Vec<(&ServiceName, &SoftwareVersion)> = Vec::new();
        self.servers.iter().any(|state| {
            let entry = &state.entry;
            let Some(software) = &entry.software else { return false };
            match found.binary_search_by_key(&&entry.service, |(service, _)| service) {
                Ok(at) => found[at].1 != software,
                Err(at) => {
                    found.insert(at, (&entry.service, software));
                    false
                }
            }
        })
    }

    /// Returns whether a server is known in this incarnation, so that results from it apply.
    #[must_use]
    pub fn is_current_incarnation(&self, server: &str, incarnation: u64) -> bool {
        self.get(server).is_some_and(|state| state.entry.incarnation == incarnation)
    }

    fn of_incarnation(&mut self, server: &str, incarnation: u64) -> Option<&mut BackendState> {
        self.get_mut(server).filter(|state| state.entry.incarnation == incarnation)
    }

    /// Starts a later incarnation of a known server that was reported by the server or its owner
    /// before its entry was read. `models` are the base models it is known to hold. Returns whether
    /// the incarnation was new to this VM.
    pub fn start_incarnation(
        &mut self,
        server: &str,
        incarnation: u64,
        models: &[HeldModel],
        now: TimePoint,
    ) -> bool {
        let Some(state) = self.get_mut(server) else { return false };
        if incarnation <= state.entry.incarnation {
            return false;
        }
        // Its entry is read with its next heartbeat.
        let models = models.to_vec();
        let entry = BackendEntry {
            incarnation,
            heartbeat: 0,
            models,
            software: None,
            notice_ms: None,
            ..state.entry.clone()
        };
        state.restart(entry, now);
        true
    }

    /// Applies an owner's list of the adapters at its server. Ignores lists for an earlier
    /// incarnation, with a lower fencing number, or with a lower revision of the same owner.
    /// Returns whether it was applied.
    pub fn apply_list(
        &mut self,
        server: &str,
        owner: ServerOwner,
        revision: u64,
        holdings: Vec<AdapterHolding>,
    ) -> bool {
        self.start_incarnation(server, owner.incarnation, &[], owner.at);
        let Some(state) = self.get_mut(server) else { return false };
        if owner.incarnation < state.entry.incarnation {
            return false;
        }
        let known = state.owner.as_ref().map_or(0, |known| known.fence);
        let now = owner.at;
        if owner.fence < known || (owner.fence, revision) < state.list_revision {
            return false;
        }
        let held = HeldAdapters::new(holdings);
        state.remember_dropped(&held);
        state.list_revision = (owner.fence, revision);
        state.owner = Some(owner);
        state.held = held;
        state.list_at = Some(now);
        true
    }

    /// Records a peer's counts of its requests at a server.
    pub fn peer_load(&mut self, vm: &VmName, server: &str, figure: LoadFigure, at: TimePoint) {
        let Some(state) = self.get_mut(server) else { return };
        state.counts.peer(vm, figure, at);
    }

    /// Drops all counts of a peer whose process ended.
    pub fn remove_peer(&mut self, vm: &VmName) {
        for state in &mut self.servers {
            state.counts.remove_peer(vm);
        }
    }

    /// Records the requests of all VMs at a server, as summed by the aggregator of this VM's
    /// domain.
    pub fn fleet_load(&mut self, server: &str, figure: LoadFigure, at: TimePoint) {
        let Some(state) = self.get_mut(server) else { return };
        state.counts.fleet(figure, at);
    }

    /// Marks this VM's counts at a server as reported to the aggregator of its domain.
    pub fn mark_load_reported(&mut self, server: &str) {
        let Some(state) = self.get_mut(server) else { return };
        state.counts.mark_reported();
    }

    /// Marks this VM's counts at all servers as reported.
    pub fn mark_loads_reported(&mut self) {
        self.servers.iter_mut().for_each(|state| state.counts.mark_reported());
    }

    /// Counts a request of this VM at a server. Returns the prompt tokens that the server had yet
    /// to process before it.
    pub fn sent(&mut self, server: &str, tokens: u64, now: TimePoint) -> u64 {
        let Some(state) = self.get_mut(server) else { return 0 };
        state.rest.sent(now);
        let before = state.load(now).pending_prompt_tokens;
        state.counts.own.running += 1;
        state.counts.own.pending_prompt_tokens += tokens;
        before
    }

    /// Records the first event of a request to an incarnation of a server, by which its prompt has
    /// been processed; ignored if the server has restarted since. `alone_us` is
    /// the time since it was sent, if the server had no other prompt to process then.
    pub fn prompt_processed(
        &mut self,
        server: &str,
        incarnation: u64,
        tokens: u64,
        alone_us: Option<u64>,
    ) {
        let Some(state) = self.of_incarnation(server, incarnation) else { return };
        state.counts.own.pending_prompt_tokens =
            state.counts.own.pending_prompt_tokens.saturating_sub(tokens);
        let Some(waited_us) = alone_us else { return };
        let service = state.entry.service.clone();
        self.prefill_rate_mut(service).observe(tokens, waited_us);
    }

    /// Records a stream that ended without failure. `pause` was its longest pause and `gap` the
    /// longest that is on time.
    pub fn stream_ended(&mut self, service: &ServiceName, pause: Duration, gap: Duration) {
        self.prefill_rate_mut(service.clone()).stream_ended(pause, gap);
    }

    fn prefill_rate_mut(&mut self, service: ServiceName) -> &mut PrefillRate {
        let found = self.rates.binary_search_by(|(known, _)| known.cmp(&service));
        let at = found.unwrap_or_else(|at| {
            self.rates.insert(at, (service, PrefillRate::default()));
            at
        });
        &mut self.rates[at].1
    }

    /// Returns the rate at which the engines of a service process prompts.
    pub(crate) fn prefill_rate(&self, service: &ServiceName) -> PrefillRate {
        let found = self.rates.binary_search_by(|(known, _)| known.cmp(service));
        found.map_or_else(|_| PrefillRate::default(), |at| self.rates[at].1)
    }

    /// Records the end of a request of this VM to an incarnation of a server; ignored if the server
    /// has restarted since. `pending_prompt_tokens` are its prompt tokens that were not passed to
    /// [`Self::prompt_processed`].
    pub fn ended(&mut self, server: &str, incarnation: u64, pending_prompt_tokens: u64) {
        let Some(state) = self.of_incarnation(server, incarnation) else { return };
        state.counts.own.running = state.counts.own.running.saturating_sub(1);
        state.counts.own.pending_prompt_tokens =
            state.counts.own.pending_prompt_tokens.saturating_sub(pending_prompt_tokens);
    }

    /// Avoids a server that could not be reached or broke off an answer, longer after each further
    /// failure.
    pub fn mark_unreachable(&mut self, server: &str, now: TimePoint) {
        let Some(state) = self.get_mut(server) else { return };
        let condition = &mut state.condition;
        condition.avoid_us = (condition.avoid_us * 2).clamp(INITIAL_AVOID_US, MAX_AVOID_US);
        condition.avoid_until = now.plus(condition.avoid_us);
    }

    /// Avoids a server that answered that it is full.
    pub fn mark_full(&mut self, server: &str, now: TimePoint) {
        let Some(state) = self.get_mut(server) else { return };
        let until = now.plus(FULL_AVOID_US);
        state.condition.avoid_until = state.condition.avoid_until.max(until);
    }

    /// Records an answer of a server; `good` is false if the server failed to process the request.
    /// `latency_us` is the time to the head of a plain answer, or between two events of a stream.
    pub fn answered(&mut self, server: &str, good: bool, latency_us: Option<f64>) {
        let Some(state) = self.get_mut(server) else { return };
        let condition = &mut state.condition;
        condition.avoid_us = 0;
        let failed = if good { 0.0 } else { 1.0 };
        condition.failures += SAMPLE_WEIGHT * (failed - condition.failures);
        if let Some(sample) = latency_us {
            let before = if condition.latency_us == 0.0 { sample } else { condition.latency_us };
            condition.latency_us = before + SAMPLE_WEIGHT * (sample - before);
        }
    }

    /// Records that a server answered that it does not hold an adapter listed for it.
    pub fn not_held(&mut self, server: &str, key: &AdapterKey) {
        let Some(state) = self.get_mut(server) else { return };
        state.held.remove(key);
    }

    /// Returns the number of adapters in flight from the weight store to servers that are neither
    /// leaving nor avoided.
    #[must_use]
    pub fn loads_in_flight(&self, now: TimePoint) -> usize {
        let reachable = |state: &&BackendState| !state.leaving && !state.is_avoided(now);
        let holdings = self.servers.iter().filter(reachable).flat_map(BackendState::holdings);
        let in_flight =
            holdings.filter(|holding| holding.usable_from > now && !holding.from_memory);
        in_flight.count()
    }

    /// Returns when the next adapter in flight arrives.
    #[must_use]
    pub fn next_load_done(&self, now: TimePoint) -> Option<TimePoint> {
        let holdings = self.servers.iter().flat_map(BackendState::holdings);
        holdings.map(|holding| holding.usable_from).filter(|from| *from > now).min()
    }

    /// Returns the known owner of a server; `None` if its last report is too old.
    #[must_use]
    pub fn owner(&self, server: &str, now: TimePoint) -> Option<&ServerOwner> {
        self.get(server)?.active_owner(now)
    }

    /// Returns the time of the last report from a server's owner; 0 if the owner is `vm` itself,
    /// `None` if none reported.
    #[must_use]
    pub fn other_owner_at(&self, server: &str, vm: &VmName) -> Option<TimePoint> {
        let owner = self.get(server)?.owner.as_ref()?;
        Some(if owner.vm == *vm { TimePoint(0) } else { owner.at })
    }

    /// Returns whether a server of a service with model engines has had no known owner for some
    /// time.
    #[must_use]
    pub fn any_without_owner(&self, service: &ServiceName, now: TimePoint) -> bool {
        self.servers.iter().any(|state| {
            state.entry.service == *service
                && !state.leaving
                && now.since(state.first_seen) > OWNER_TTL_US
                && state.active_owner(now).is_none()
        })
    }

    /// Returns what this VM knows of the room of a server that bears few refusals; `None` for others.
    #[must_use]
    pub fn room_figures(&self, server: &str, now: TimePoint) -> Option<RoomFigures> {
        let state = self.get(server)?;
        let refusals_per_s = self.refusals_of(state, now)?;
        let is_assumed = !self.knows_service(&state.entry.service);
        let places = if is_assumed { u32::MAX } else { state.entry.slots };
        let running = state.counts.own.running;
        Some(RoomFigures { running, places, refusals_per_s, is_assumed })
    }

    /// Returns this VM's counts at one server; zero if the server is unknown.
    #[must_use]
    pub fn own_load(&self, server: &str) -> LoadFigure {
        self.get(server).map(|state| state.counts.own).unwrap_or_default()
    }

    /// Returns this VM's counts at the servers where they are not zero.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(ServerName, LoadFigure)> {
        let busy = |state: &&BackendState| state.counts.own != LoadFigure::default();
        let figures = self.servers.iter().filter(busy);
        figures.map(|state| (state.entry.server.clone(), state.counts.own)).collect()
    }
}

impl BackendState {
    fn new(entry: BackendEntry, now: TimePoint) -> Self {
        let leaving = !entry.ready;
        let name_hash = stable_hash(&["place", entry.server.as_str()]);
        let mut state = Self {
            entry,
            first_seen: now,
            leaving,
            gone_at: None,
            owner: None,
            held: HeldAdapters::default(),
            list_at: None,
            list_revision: (0, 0),
            recently_held: Vec::new(),
            counts: RequestCounts::default(),
            condition: ServerCondition::default(),
            stated: KeptStatements::default(),
            rest: ServerRest::default(),
            speed: None,
            name_hash,
        };
        state.record_notice(now);
        state.adopt_entry(now);
        state
    }

    /// Records when the server is gone by its entry. Entries are read some time after they were written, so that the
    /// earliest of these times is the best.
    fn record_notice(&mut self, now: TimePoint) {
        let Some(notice_ms) = self.entry.notice_ms else { return };
        let gone_at = now.plus(u64::from(notice_ms) * MICROS_PER_MILLI);
        self.gone_at = Some(self.gone_at.map_or(gone_at, |known| known.min(gone_at)));
    }

    /// Returns whether the time that the server has left by its notice may be over.
    #[must_use]
    pub fn notice_is_over(&self, now: TimePoint) -> bool {
        self.gone_at.is_some_and(|gone_at| now.plus(NOTICE_SLACK_US) >= gone_at)
    }

    /// Resets the state for a new incarnation. Requests to the former one do not run at it; their
    /// ends, which may never be seen, are ignored.
    fn restart(&mut self, entry: BackendEntry, now: TimePoint) {
        let before = std::mem::replace(self, Self::new(entry, now));
        self.counts = before.counts.restarted();
    }

    /// Returns the server's name.
    #[must_use]
    pub fn name(&self) -> &str {
        self.entry.server.as_str()
    }

    /// Returns whether it failed recently and may have lost the adapters it held.
    #[must_use]
    pub fn is_avoided(&self, now: TimePoint) -> bool {
        now < self.condition.avoid_until && self.condition.avoid_us > 0
    }

    /// Returns whether it is not avoided.
    pub(crate) fn is_available(&self, now: TimePoint) -> bool {
        now >= self.condition.avoid_until
    }

    /// Returns the adapters that it holds or that are in flight to it.
    #[must_use]
    pub fn holdings(&self) -> &[AdapterHolding] {
        self.held.all()
    }

    /// Returns adapters that it dropped lately and probably still has in its own memory, the latest
    /// last.
    #[must_use]
    pub fn recently_held(&self) -> &[AdapterKey] {
        &self.recently_held
    }

    /// Returns whether it holds a base model.
    #[must_use]
    pub fn holds_model(&self, model: &ModelName) -> bool {
        self.entry.models.iter().any(|held| held.model == *model)
    }

    /// Returns how fast it works compared with others of its service; 1 if that is not known.
    #[must_use]
    pub fn relative_speed(&self) -> f64 {
        self.speed.unwrap_or(1.0)
    }

    /// Returns for how long it wants no request from this VM; zero if it may get one now.
    #[must_use]
    pub fn rest_wait(&self, now: TimePoint) -> Duration {
        self.rest.wait(now)
    }

    /// Returns how many requests per second it takes from all VMs together; `None` if it stated no
    /// limit.
    #[must_use]
    pub fn limit_per_s(&self) -> Option<f64> {
        self.stated.limit?.per_s
    }

    /// Returns the requests of all VMs there, as far as known.
    #[must_use]
    pub fn load(&self, now: TimePoint) -> LoadFigure {
        self.counts.all(now)
    }

    /// Returns the prompt tokens that the server has yet to process, as far as known. Counts of
    /// other VMs are reduced by what the server has processed since they were reported, so that
    /// requests are not held back for prompts already processed.
    pub(crate) fn pending_prompt_tokens(&self, rate: PrefillRate, now: TimePoint) -> u64 {
        self.counts.pending_prompt_tokens(rate, now)
    }

    /// Takes the adapters from the entry unless the owner's list is recent.
    fn adopt_entry(&mut self, now: TimePoint) {
        if self.list_at.is_some_and(|at| now.since(at) < LIST_TTL_US) {
            return;
        }
        let mut holdings = Vec::new();
        for held in &self.entry.models {
            for adapter in &held.adapters {
                let key =
                    AdapterKey { model: held.model.clone(), adapter: adapter.adapter.clone() };
                let version = adapter.version;
                holdings.push(AdapterHolding { key, version, ..AdapterHolding::default() });
            }
        }
        let held = HeldAdapters::new(holdings);
        self.remember_dropped(&held);
        self.held = held;
    }

    fn remember_dropped(&mut self, new: &HeldAdapters) {
        for old in self.held.all() {
            if new.find(&old.key).is_none() && !self.recently_held.contains(&old.key) {
                self.recently_held.push(old.key.clone());
            }
        }
        self.recently_held.retain(|key| new.find(key).is_none());
        let excess = self.recently_held.len().saturating_sub(MAX_RECENTLY_HELD);
        self.recently_held.drain(..excess);
    }

    pub(crate) fn usable_from(&self, key: &AdapterKey, version: u64) -> Option<TimePoint> {
        let holding = self.held.find(key)?;
        (holding.version >= version).then_some(holding.usable_from)
    }

    pub(crate) fn usable(&self, key: &AdapterKey, version: u64, now: TimePoint) -> bool {
        self.usable_from(key, version).is_some_and(|from| from <= now)
    }

    /// Returns when an adapter can be used here, if it is held or in flight.
    #[must_use]
    pub fn usable_since(&self, key: &AdapterKey) -> Option<TimePoint> {
        self.usable_from(key, 0)
    }

    /// Returns the version of an adapter that is held here or in flight.
    #[must_use]
    pub fn version(&self, key: &AdapterKey) -> Option<u64> {
        Some(self.held.find(key)?.version)
    }

    /// Returns whether its owner could have an adapter loaded there at its last report. A server
    /// with a limit takes none: it would often be at its limit once the adapter is loaded.
    #[must_use]
    pub fn takes_loads(&self, now: TimePoint) -> bool {
        self.limit_per_s().is_none() && self.active_owner(now).is_some_and(|owner| owner.free > 0)
    }

    pub(crate) fn active_owner(&self, now: TimePoint) -> Option<&ServerOwner> {
        self.owner.as_ref().filter(|owner| now.since(owner.at) < OWNER_TTL_US)
    }
}
