//! What this VM believes of the backend servers, and how it chooses among them.
//!
//! Three sources are kept apart since they differ in age: a server's own entry in the platform's
//! store, which lags by a heartbeat; the list of adapters that the VM which orders a server spreads
//! at each change; and what this VM's own requests met there. docs/PLATFORM.md tells how they are
//! spread, docs/PLACEMENT.md what the choices were weighed against.

use std::time::Duration;

use crate::id::{DomainName, ModelName, ServerName, ServiceName, TimePoint, VmName, stable_hash};
use crate::routing::{AdapterKey, BackendEntry};
use crate::value;

/// How long an owner's list is believed over the server's own entry. Owners repeat it within two
/// seconds.
const LIST_TRUST_US: u64 = 5_000_000;
/// How long a VM is taken to go on ordering a server after it last said so. It repeats that within two
/// seconds; a wish to a silent owner goes to another one after some hundred milliseconds.
const OWNER_TRUST_US: u64 = 3_200_000;
/// How long a peer's count of its requests at a server is used. Peers repeat it, or say that there are
/// none, within a second in small fleets and two in large ones.
const PEER_LOAD_TRUST_US: u64 = 4_000_000;
/// What one running request adds to a server's cost, in prompt tokens. A batch's step grows by less
/// than one part in two hundred for each, against some tens of tokens read meanwhile.
const RUNNING_TOKENS: u64 = 100;
/// What a request beyond a server's slots adds, in prompt tokens: it waits for another one's end.
const QUEUED_TOKENS: u64 = 2_000;
/// What a server in another failure domain must be cheaper by, in prompt tokens. It saves bytes
/// between domains where servers are about equally loaded.
const DOMAIN_TOKENS: u64 = 120;
/// A holder whose cost is this many hundredths of the mean and at least that many prompt tokens makes
/// another copy of its adapter worth a place. Below it copies push out adapters that others wait for;
/// at twice the mean the busiest servers were already late.
const COPY_PERCENT: u64 = 130;
const COPY_TOKENS: u64 = 4_000;
/// The part of a server's fair share of all requests that an adapter may bring to each of its holders;
/// beyond it another copy is loaded before its holders are late. Few adapters bring so much, so their
/// copies take few places, and with many holders each request finds one with little to do.
const FULL_SHARE: f64 = 0.5;
/// The least part that it must bring for another copy where its holders are late: a copy of one that brings less takes a place and a transfer from the weight store,
/// and hardly any load off its holder. Without it an adapter asked for once in some seconds was fetched
/// five times in a minute.
const COPY_SHARE: f64 = 0.12;
/// A copy goes to a server whose cost is at most this many hundredths of the holder's.
const COPY_TARGET_PERCENT: u64 = 67;
/// A server that held an adapter lately gets it back while its cost is at most this many hundredths of
/// the mean: loading it there takes a tenth of the time.
const WARM_PERCENT: u64 = 200;
/// Servers that are considered for a load, in the order of their hash with the adapter. A few keep an
/// adapter coming back to a server that has it in its own memory, and still leave a choice.
const LOAD_CHOICES: usize = 2;
/// How long a server is avoided after the first failure, doubled up to the last for each further.
const FIRST_AVOID_US: u64 = 150_000;
const LAST_AVOID_US: u64 = 2_000_000;
/// How long a server that said that it is full is avoided: some of its requests end within it.
const FULL_AVOID_US: u64 = 120_000;
/// The part that a new figure has in a server's mean.
const MEAN_PART: f64 = 0.15;
/// The share of failed answers beyond that of its service at which a server costs twice as much.
const FAILURE_EXCESS: f64 = 0.15;
/// Adapters that are remembered as held lately at a server.
const LATELY_HELD: usize = 120;

value! {
    /// An adapter in a server's place.
    #[derive(Eq)]
    pub struct AdapterHolding {
        /// The adapter.
        pub key: AdapterKey,
        /// Its version.
        pub version: u64,
        /// From when it can be used, on this process's clock.
        pub usable_from: TimePoint,
        /// How much it is used there, as the VM that orders the server counts it.
        pub heat: u32,
    }
}

/// Requests at a server, as one VM counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFigure {
    /// Requests sent whose answer has not ended.
    pub running: u32,
    /// Prompt tokens of those without a first event.
    pub unread: u64,
}

#[derive(Clone, Debug)]
struct PeerLoad {
    vm: VmName,
    figure: LoadFigure,
    at: TimePoint,
}

/// Who orders a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOwner {
    /// The VM.
    pub vm: VmName,
    /// Its fencing number.
    pub fence: u64,
    /// When it last said so.
    pub at: TimePoint,
    /// Adapters that it could load there then.
    pub free: u32,
}

/// What this VM's requests met at a server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerCondition {
    avoid_until: TimePoint,
    avoid_us: u64,
    /// Share of failed answers.
    failures: f64,
    /// Microseconds to the answer's head, or between two events.
    pace_us: f64,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct BackendState {
    /// What it registered.
    pub entry: BackendEntry,
    /// When the first entry of this life was read.
    first_seen: TimePoint,
    /// Set once it is leaving or gone; it then gets no new work.
    pub leaving: bool,
    owner: Option<ServerOwner>,
    /// Adapters by key; from the owner's list where it is recent, else from the entry.
    holdings: Vec<AdapterHolding>,
    list_at: Option<TimePoint>,
    list_revision: (u64, u64),
    lately: Vec<AdapterKey>,
    own: LoadFigure,
    peers: Vec<PeerLoad>,
    condition: ServerCondition,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The server was not known.
    Appeared,
    /// It has begun to leave.
    Leaving,
    /// It holds other base models.
    Models,
    /// It is removed.
    Gone,
    /// Nothing that matters to routing.
    Nothing,
}

/// What a request needs of a server.
#[derive(Clone, Debug)]
pub struct ServerNeed<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The base model, for model engines.
    pub model: Option<&'a ModelName>,
    /// The adapter and the oldest version of it that may be used.
    pub adapter: Option<(&'a AdapterKey, u64)>,
    /// Servers that this request was sent to before, or that refused it.
    pub not: &'a [ServerName],
    /// The failure domain of this VM.
    pub domain: &'a DomainName,
    /// What other requests' prompts begin with as well.
    pub shared: SharedPrompt,
}

impl ServerNeed<'_> {
    /// Whether a server is of the right kind, does not leave, and was not tried.
    fn takes(&self, state: &BackendState) -> bool {
        state.entry.service == *self.service
            && !state.leaving
            && !self.not.contains(&state.entry.server)
            && self.model.is_none_or(|model| state.holds_model(model))
    }
}

/// The beginning of a prompt that other requests share. A server that has read it for the same adapter
/// a moment ago need not read it again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedPrompt {
    /// What tells it from others.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// Prompts that share at least this many tokens go to one of their adapter's holders, chosen by hash, as
/// long as that saves more than waiting there costs. Shorter ones cost less than what is uncertain
/// about the servers' loads.
const SHARED_TOKENS: u64 = 1_000;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChoice {
    /// To this server; another copy may be worth loading.
    Send {
        /// The server.
        server: ServerName,
        /// Where to load another copy of its adapter.
        copy: Option<ServerName>,
    },
    /// Its adapter is on the way and usable then.
    Wait {
        /// From when.
        until: TimePoint,
    },
    /// Its adapter is nowhere and should be loaded there.
    Load {
        /// The server.
        server: ServerName,
    },
    /// No server can take it now.
    Nowhere,
}

/// All backend servers, sorted by name.
#[derive(Debug, Default)]
pub struct BackendTable {
    servers: Vec<BackendState>,
    /// The newest last.
    removed: Vec<RemovedServer>,
}

/// A server whose entry was removed.
#[derive(Clone, Debug)]
struct RemovedServer {
    server: ServerName,
    /// The place of the removal in the entries' topic.
    position: u64,
    /// The last heartbeat that is known.
    heartbeat: u64,
}

/// Removed servers that are remembered, so that a stale read does not bring them back.
const REMOVED_KEPT: usize = 256;

impl BackendTable {
    /// A server by its name.
    #[must_use]
    pub fn get(&self, server: &str) -> Option<&BackendState> {
        let at = self.servers.binary_search_by(|state| state.name().cmp(server)).ok()?;
        Some(&self.servers[at])
    }

    fn get_mut(&mut self, server: &str) -> Option<&mut BackendState> {
        let at = self.servers.binary_search_by(|state| state.name().cmp(server)).ok()?;
        Some(&mut self.servers[at])
    }

    /// All servers.
    #[must_use]
    pub fn servers(&self) -> &[BackendState] {
        &self.servers
    }

    /// Takes what a server registered. Entries that are older than one seen before change nothing:
    /// a delayed heartbeat must not bring a leaving server back.
    pub fn entry(&mut self, entry: BackendEntry, now: TimePoint) -> EntryChange {
        let found = self.servers.binary_search_by(|state| state.name().cmp(entry.server.as_str()));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                if !self.comes_back(&entry) {
                    return EntryChange::Nothing;
                }
                self.servers.insert(at, BackendState::new(entry, now));
                return EntryChange::Appeared;
            }
        };
        let state = &mut self.servers[at];
        if entry.heartbeat < state.entry.heartbeat || entry.position < state.entry.position {
            return EntryChange::Nothing;
        }
        let leaves = !entry.ready && !state.leaving;
        // A life that began to leave never takes work again.
        state.leaving |= !entry.ready;
        let models = |entry: &BackendEntry| -> Vec<ModelName> {
            entry.models.iter().map(|held| held.model.clone()).collect()
        };
        let same_models = models(&entry) == models(&state.entry);
        state.entry = entry;
        state.adopt_entry(now);
        match (leaves, same_models) {
            (true, _) => EntryChange::Leaving,
            (false, false) => EntryChange::Models,
            (false, true) => EntryChange::Nothing,
        }
    }

    /// Whether an entry of a server that is not known here is newer than its removal, if there was one.
    ///
    /// VMs learn of removals from others before they read the records that came ahead of them; those
    /// must not bring the server back. A server that was cut off from the store writes its entry again
    /// later, with a newer heartbeat.
    fn comes_back(&mut self, entry: &BackendEntry) -> bool {
        let Some(at) = self.removed.iter().position(|gone| gone.server == entry.server) else {
            return true;
        };
        let gone = &mut self.removed[at];
        if entry.position <= gone.position || entry.heartbeat <= gone.heartbeat {
            gone.heartbeat = gone.heartbeat.max(entry.heartbeat);
            return false;
        }
        self.removed.remove(at);
        true
    }

    /// Drops a server whose entry was removed by the record at `position`.
    pub fn remove(&mut self, server: &str, position: u64) -> EntryChange {
        let found = self.servers.binary_search_by(|state| state.name().cmp(server));
        let mut heartbeat = 0;
        if let Ok(at) = found {
            if self.servers[at].entry.position > position {
                return EntryChange::Nothing;
            }
            heartbeat = self.servers.remove(at).entry.heartbeat;
        }
        if let Some(at) = self.removed.iter().position(|gone| gone.server.as_str() == server) {
            let before = self.removed.remove(at);
            heartbeat = heartbeat.max(before.heartbeat);
        }
        self.removed.push(RemovedServer { server: ServerName::from(server), position, heartbeat });
        let excess = self.removed.len().saturating_sub(REMOVED_KEPT);
        self.removed.drain(..excess);
        if found.is_ok() { EntryChange::Gone } else { EntryChange::Nothing }
    }

    /// Takes an owner's list of what its server holds. A list of an older owner, or an older list of
    /// the same one, is dropped.
    pub fn list(
        &mut self,
        server: &str,
        owner: ServerOwner,
        revision: u64,
        mut holdings: Vec<AdapterHolding>,
    ) -> bool {
        let Some(state) = self.get_mut(server) else { return false };
        let known = state.owner.as_ref().map_or(0, |known| known.fence);
        let now = owner.at;
        if owner.fence < known || (owner.fence, revision) < state.list_revision {
            return false;
        }
        holdings.sort_by(|a, b| a.key.cmp(&b.key));
        state.remember_dropped(&holdings);
        state.list_revision = (owner.fence, revision);
        state.owner = Some(owner);
        state.holdings = holdings;
        state.list_at = Some(now);
        true
    }

    /// Takes a peer's counts of its requests.
    pub fn peer_load(&mut self, vm: &VmName, server: &str, figure: LoadFigure, at: TimePoint) {
        let Some(state) = self.get_mut(server) else { return };
        match state.peers.binary_search_by(|peer| peer.vm.cmp(vm)) {
            Ok(found) => {
                state.peers[found].figure = figure;
                state.peers[found].at = at;
            }
            Err(place) => state.peers.insert(place, PeerLoad { vm: vm.clone(), figure, at }),
        }
    }

    /// Forgets what a peer counted, since its process ended.
    pub fn peer_gone(&mut self, vm: &VmName) {
        for state in &mut self.servers {
            state.peers.retain(|peer| peer.vm != *vm);
        }
    }

    /// Counts a request of this VM at a server.
    pub fn sent(&mut self, server: &str, tokens: u64) {
        let Some(state) = self.get_mut(server) else { return };
        state.own.running += 1;
        state.own.unread += tokens;
    }

    /// The first event of a request came: its prompt was read.
    pub fn read(&mut self, server: &str, tokens: u64) {
        let Some(state) = self.get_mut(server) else { return };
        state.own.unread = state.own.unread.saturating_sub(tokens);
    }

    /// A request of this VM ended at a server; `unread` is what [`Self::read`] was not told of.
    pub fn ended(&mut self, server: &str, unread: u64) {
        let Some(state) = self.get_mut(server) else { return };
        state.own.running = state.own.running.saturating_sub(1);
        state.own.unread = state.own.unread.saturating_sub(unread);
    }

    /// A server could not be reached, or broke off.
    pub fn unreachable(&mut self, server: &str, now: TimePoint) {
        let Some(state) = self.get_mut(server) else { return };
        let condition = &mut state.condition;
        condition.avoid_us = (condition.avoid_us * 2).clamp(FIRST_AVOID_US, LAST_AVOID_US);
        condition.avoid_until = now.plus(condition.avoid_us);
    }

    /// A server said that it is full.
    pub fn full(&mut self, server: &str, now: TimePoint) {
        let Some(state) = self.get_mut(server) else { return };
        let until = now.plus(FULL_AVOID_US);
        state.condition.avoid_until = state.condition.avoid_until.max(until);
    }

    /// A server answered, well or with a failure of its own, at `pace_us`: the time to the head of a
    /// plain answer, or between two events of a stream.
    pub fn answered(&mut self, server: &str, good: bool, pace_us: Option<f64>) {
        let Some(state) = self.get_mut(server) else { return };
        let condition = &mut state.condition;
        condition.avoid_us = 0;
        let failed = if good { 0.0 } else { 1.0 };
        condition.failures += MEAN_PART * (failed - condition.failures);
        if let Some(pace) = pace_us {
            let before = if condition.pace_us == 0.0 { pace } else { condition.pace_us };
            condition.pace_us = before + MEAN_PART * (pace - before);
        }
    }

    /// A server said that it does not hold an adapter that it was believed to hold.
    pub fn not_held(&mut self, server: &str, key: &AdapterKey) {
        let Some(state) = self.get_mut(server) else { return };
        state.holdings.retain(|holding| holding.key != *key);
    }

    /// Who orders a server now, as far as is known.
    #[must_use]
    pub fn owner(&self, server: &str, now: TimePoint) -> Option<&ServerOwner> {
        self.get(server)?.active_owner(now)
    }

    /// When a VM other than `vm` last told that it orders a server.
    #[must_use]
    pub fn other_owner_at(&self, server: &str, vm: &VmName) -> Option<TimePoint> {
        let owner = self.get(server)?.owner.as_ref()?;
        Some(if owner.vm == *vm { TimePoint(0) } else { owner.at })
    }

    /// Where to have an adapter loaded that `slow` was asked for a while ago; `other` is the choice without
    /// it. Only a server that can load at once is worth the change, unless nobody orders `slow`: where
    /// all places are in use, each change would lose the request's turn, and in the end two servers
    /// would fetch the adapter.
    #[must_use]
    pub fn load_elsewhere(
        &self,
        slow: ServerName,
        other: &ServerChoice,
        now: TimePoint,
    ) -> ServerName {
        let ServerChoice::Load { server: other } = other else { return slow };
        let takes =
            |name: &ServerName| self.get(name.as_str()).is_some_and(|state| state.takes_loads(now));
        let ordered = self.owner(slow.as_str(), now).is_some();
        if takes(other) || !ordered { other.clone() } else { slow }
    }

    /// Whether a server of a service with model engines has had no owner for a while, as far as this
    /// VM heard.
    #[must_use]
    pub fn any_without_owner(&self, service: &ServiceName, now: TimePoint) -> bool {
        self.servers.iter().any(|state| {
            state.entry.service == *service
                && !state.leaving
                && now.since(state.first_seen) > OWNER_TRUST_US
                && state.active_owner(now).is_none()
        })
    }

    /// Chooses a server. `draw` is a random number, which spreads the VMs' choices: with counts that
    /// are a moment old, all would else choose the same server.
    #[must_use]
    pub fn choose(&self, need: &ServerNeed<'_>, draw: u64, now: TimePoint) -> ServerChoice {
        let Some((key, version)) = need.adapter else {
            let all = self.candidates(need, now);
            return match self.cheapest(&all, need, draw, now) {
                Some(state) => {
                    ServerChoice::Send { server: state.entry.server.clone(), copy: None }
                }
                None => ServerChoice::Nowhere,
            };
        };
        let all = self.candidates(need, now);
        let holds = |state: &&&BackendState| state.usable(key, version, now);
        let holders: Vec<&BackendState> = all.iter().filter(holds).copied().collect();
        if let Some(best) = self.cheapest(&holders, need, draw, now) {
            let copy = self.copy_target(&all, best, need, key, version, now);
            return ServerChoice::Send { server: best.entry.server.clone(), copy };
        }
        let coming = all.iter().filter_map(|state| state.usable_from(key, version)).min();
        if let Some(until) = coming.or_else(|| self.calm_again(need, key, version, now)) {
            return ServerChoice::Wait { until };
        }
        match self.load_target(&all, need, key, now) {
            Some(state) => ServerChoice::Load { server: state.entry.server.clone() },
            None => ServerChoice::Nowhere,
        }
    }

    /// Servers that may take the request: of its service, not leaving, not tried; those that failed a
    /// moment ago only where there is no other.
    fn candidates(&self, need: &ServerNeed<'_>, now: TimePoint) -> Vec<&BackendState> {
        let all: Vec<&BackendState> =
            self.servers.iter().filter(|state| need.takes(state)).collect();
        let calm: Vec<&BackendState> =
            all.iter().filter(|state| now >= state.condition.avoid_until).copied().collect();
        if calm.is_empty() { all } else { calm }
    }

    /// When a holder that is avoided for a moment can be used again. It said that it is full, or failed
    /// once; fetching the adapter for another server would take longer than that.
    fn calm_again(
        &self,
        need: &ServerNeed<'_>,
        key: &AdapterKey,
        version: u64,
        now: TimePoint,
    ) -> Option<TimePoint> {
        let holders = self.servers.iter().filter(|state| {
            need.takes(state)
                && state.usable(key, version, now)
                && state.condition.avoid_us <= FIRST_AVOID_US
        });
        holders.map(|state| state.condition.avoid_until).min()
    }

    /// The cheaper of two that are drawn, or the cheapest of a few.
    fn cheapest<'a>(
        &self,
        among: &[&'a BackendState],
        need: &ServerNeed<'_>,
        draw: u64,
        now: TimePoint,
    ) -> Option<&'a BackendState> {
        let typical = self.typical(need.service);
        let cost = |state: &&&BackendState| {
            let local = state.entry.domain == *need.domain;
            state.cost(typical, now) + if local { 0 } else { DOMAIN_TOKENS }
        };
        if need.shared.tokens >= SHARED_TOKENS {
            let home = among.iter().min_by_key(|state| state.prompt_rank(need.shared.id))?.name();
            let saved =
                |state: &BackendState| if state.name() == home { need.shared.tokens } else { 0 };
            let unread = |state: &&&BackendState| cost(state) + need.shared.tokens - saved(state);
            return among.iter().min_by_key(unread).copied();
        }
        if among.len() <= 2 {
            return among.iter().min_by_key(cost).copied();
        }
        let count = among.len() as u64;
        let first = draw % count;
        let second = (first + 1 + (draw / count) % (count - 1)) % count;
        let drawn = [among[first as usize], among[second as usize]];
        drawn.iter().min_by_key(cost).copied()
    }

    fn copy_target(
        &self,
        all: &[&BackendState],
        best: &BackendState,
        need: &ServerNeed<'_>,
        key: &AdapterKey,
        version: u64,
        now: TimePoint,
    ) -> Option<ServerName> {
        let share = holder_share(all, key);
        if share < COPY_SHARE {
            return None;
        }
        let typical = self.typical(need.service);
        let total: u64 = all.iter().map(|state| state.cost(typical, now)).sum();
        let mean = total / (all.len() as u64).max(1);
        let cost = best.cost(typical, now);
        let late = cost >= COPY_TOKENS.max(mean * COPY_PERCENT / 100);
        if !late && share < FULL_SHARE {
            return None;
        }
        let (with, without): (Vec<&BackendState>, Vec<&BackendState>) =
            all.iter().partition(|state| state.usable_from(key, version).is_some());
        let usable = with.iter().filter(|state| state.usable(key, version, now)).count();
        if with.len() - usable > usable / 2 {
            return None;
        }
        if !late {
            // All VMs see the same demand; by hash they choose the same server.
            let fits = |state: &&&BackendState| {
                state.takes_loads(now) && state.cost(typical, now) <= COPY_TOKENS.max(mean)
            };
            let target = without.iter().filter(fits).min_by_key(|state| state.rank(key))?;
            return Some(target.entry.server.clone());
        }
        // A copy is loaded to take load off its holder, so it goes to the server with the least.
        let takes = |state: &&&BackendState| state.takes_loads(now);
        let target = without.iter().filter(takes).min_by_key(|state| state.cost(typical, now))?;
        (target.cost(typical, now) < cost * COPY_TARGET_PERCENT / 100)
            .then(|| target.entry.server.clone())
    }

    /// Where to load an adapter: among the first by hash the cheapest, and before them one that held
    /// it lately, since it need not fetch it from the store.
    fn load_target<'a>(
        &self,
        all: &[&'a BackendState],
        need: &ServerNeed<'_>,
        key: &AdapterKey,
        now: TimePoint,
    ) -> Option<&'a BackendState> {
        let typical = self.typical(need.service);
        let owned = |state: &&&BackendState| state.active_owner(now).is_some();
        let free = |state: &&&BackendState| state.takes_loads(now);
        let any_free = all.iter().any(|state| free(&state));
        let mut ranked: Vec<(u64, &BackendState)> = all
            .iter()
            .filter(|state| if any_free { free(state) } else { owned(state) })
            .map(|state| (state.rank(key), *state))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let warm = |(_, state): &&(u64, &BackendState)| state.lately.contains(key);
        let cost = |(_, state): &&(u64, &'a BackendState)| state.cost(typical, now);
        let total: u64 = ranked.iter().map(|(_, state)| state.cost(typical, now)).sum();
        let mean = total / (ranked.len() as u64).max(1);
        if let Some((_, state)) = ranked.iter().filter(warm).min_by_key(cost)
            && state.cost(typical, now) <= COPY_TOKENS.max(mean * WARM_PERCENT / 100)
        {
            return Some(state);
        }
        ranked.iter().take(LOAD_CHOICES).min_by_key(cost).map(|(_, state)| *state)
    }

    /// What is usual at a service.
    fn typical(&self, service: &ServiceName) -> TypicalCondition {
        let mut paces = Vec::new();
        let (mut failures, mut count) = (0.0, 0.0);
        for state in self.servers.iter().filter(|state| state.entry.service == *service) {
            if state.condition.pace_us > 0.0 {
                paces.push(state.condition.pace_us);
            }
            failures += state.condition.failures;
            count += 1.0;
        }
        paces.sort_unstable_by(f64::total_cmp);
        let pace_us = paces.get(paces.len() / 2).copied().unwrap_or(0.0);
        let failures = if count > 0.0 { failures / count } else { 0.0 };
        TypicalCondition { pace_us, failures }
    }

    /// This VM's counts at servers where it has requests or had some when it last told its peers.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(ServerName, LoadFigure)> {
        let busy = |state: &&BackendState| state.own != LoadFigure::default();
        let figures = self.servers.iter().filter(busy);
        figures.map(|state| (state.entry.server.clone(), state.own)).collect()
    }
}

/// What an adapter brings to each of its holders among `all`, as a part of a server's fair share of all
/// requests. Without any count it is taken to be just worth a copy.
fn holder_share(all: &[&BackendState], key: &AdapterKey) -> f64 {
    let heats = |state: &&BackendState| -> u64 {
        state.holdings.iter().map(|holding| u64::from(holding.heat)).sum()
    };
    let total: u64 = all.iter().map(heats).sum();
    if total == 0 {
        return COPY_SHARE;
    }
    let held = all.iter().filter_map(|state| {
        let at = state.holdings.binary_search_by(|holding| holding.key.cmp(key)).ok()?;
        Some(u64::from(state.holdings[at].heat))
    });
    let (holders, heat) = held.fold((0u64, 0u64), |(count, sum), heat| (count + 1, sum + heat));
    let fair = total as f64 / all.len() as f64;
    heat as f64 / holders.max(1) as f64 / fair
}

/// What is usual at the servers of a service.
#[derive(Clone, Copy, Debug)]
struct TypicalCondition {
    pace_us: f64,
    failures: f64,
}

impl BackendState {
    fn new(entry: BackendEntry, now: TimePoint) -> Self {
        let leaving = !entry.ready;
        let mut state = Self {
            entry,
            first_seen: now,
            leaving,
            owner: None,
            holdings: Vec::new(),
            list_at: None,
            list_revision: (0, 0),
            lately: Vec::new(),
            own: LoadFigure::default(),
            peers: Vec::new(),
            condition: ServerCondition::default(),
        };
        state.adopt_entry(now);
        state
    }

    /// The server's name.
    #[must_use]
    pub fn name(&self) -> &str {
        self.entry.server.as_str()
    }

    /// What it holds or is being sent.
    #[must_use]
    pub fn holdings(&self) -> &[AdapterHolding] {
        &self.holdings
    }

    /// Whether it holds a base model.
    #[must_use]
    pub fn holds_model(&self, model: &ModelName) -> bool {
        self.entry.models.iter().any(|held| held.model == *model)
    }

    /// All requests there, as far as this VM knows.
    #[must_use]
    pub fn load(&self, now: TimePoint) -> LoadFigure {
        let fresh = |peer: &&PeerLoad| now.since(peer.at) < PEER_LOAD_TRUST_US;
        self.peers.iter().filter(fresh).fold(self.own, |sum, peer| LoadFigure {
            running: sum.running + peer.figure.running,
            unread: sum.unread + peer.figure.unread,
        })
    }

    /// Uses the entry's list of adapters where the owner's is old.
    fn adopt_entry(&mut self, now: TimePoint) {
        if self.list_at.is_some_and(|at| now.since(at) < LIST_TRUST_US) {
            return;
        }
        let mut holdings = Vec::new();
        for held in &self.entry.models {
            for adapter in &held.adapters {
                let key =
                    AdapterKey { model: held.model.clone(), adapter: adapter.adapter.clone() };
                let version = adapter.version;
                holdings.push(AdapterHolding { key, version, usable_from: TimePoint(0), heat: 0 });
            }
        }
        holdings.sort_by(|a, b| a.key.cmp(&b.key));
        self.remember_dropped(&holdings);
        self.holdings = holdings;
    }

    fn remember_dropped(&mut self, new: &[AdapterHolding]) {
        for old in &self.holdings {
            let kept = new.binary_search_by(|holding| holding.key.cmp(&old.key)).is_ok();
            if !kept && !self.lately.contains(&old.key) {
                self.lately.push(old.key.clone());
            }
        }
        self.lately.retain(|key| new.binary_search_by(|holding| holding.key.cmp(key)).is_err());
        let excess = self.lately.len().saturating_sub(LATELY_HELD);
        self.lately.drain(..excess);
    }

    fn usable_from(&self, key: &AdapterKey, version: u64) -> Option<TimePoint> {
        let at = self.holdings.binary_search_by(|holding| holding.key.cmp(key)).ok()?;
        let holding = &self.holdings[at];
        (holding.version >= version).then_some(holding.usable_from)
    }

    fn usable(&self, key: &AdapterKey, version: u64, now: TimePoint) -> bool {
        self.usable_from(key, version).is_some_and(|from| from <= now)
    }

    /// From when an adapter can be used here, if it is held or on its way.
    #[must_use]
    pub fn usable_since(&self, key: &AdapterKey) -> Option<TimePoint> {
        self.usable_from(key, 0)
    }

    /// The version of an adapter that is held here.
    #[must_use]
    pub fn version(&self, key: &AdapterKey) -> Option<u64> {
        let at = self.holdings.binary_search_by(|holding| holding.key.cmp(key)).ok()?;
        Some(self.holdings[at].version)
    }

    /// Whether its owner could load an adapter there when it last told.
    #[must_use]
    pub fn takes_loads(&self, now: TimePoint) -> bool {
        self.active_owner(now).is_some_and(|owner| owner.free > 0)
    }

    fn active_owner(&self, now: TimePoint) -> Option<&ServerOwner> {
        self.owner.as_ref().filter(|owner| now.since(owner.at) < OWNER_TRUST_US)
    }

    fn rank(&self, key: &AdapterKey) -> u64 {
        stable_hash(&["place", self.name(), key.model.as_str(), key.adapter.as_str()])
    }

    fn prompt_rank(&self, id: u64) -> u64 {
        stable_hash(&["prompt", self.name(), &id.to_string()])
    }

    /// What a further request meets here, in prompt tokens that are read before it, made larger where
    /// the server is slower than others of its service or fails more of its requests.
    fn cost(&self, typical: TypicalCondition, now: TimePoint) -> u64 {
        let load = self.load(now);
        let over = u64::from(load.running.saturating_sub(self.entry.slots));
        let tokens = load.unread + RUNNING_TOKENS * u64::from(load.running) + QUEUED_TOKENS * over;
        let condition = self.condition;
        let slower = if typical.pace_us > 0.0 && condition.pace_us > 0.0 {
            (condition.pace_us / typical.pace_us).max(1.0)
        } else {
            1.0
        };
        let excess = (condition.failures - typical.failures).max(0.0) / FAILURE_EXCESS;
        // The constant keeps an idle but bad server from looking as cheap as an idle good one.
        ((tokens + RUNNING_TOKENS) as f64 * slower * (1.0 + excess)) as u64
    }
}

/// The part of a caller's patience for which a request waits for its adapter. What is left is enough
/// to come back once and be served.
const WAIT_PART: f64 = 0.45;

/// How long a request may wait for its adapter before it is refused, where `patience` is the time
/// after which its caller leaves.
#[must_use]
pub fn longest_wait(patience: Duration) -> Duration {
    patience.mul_f64(WAIT_PART)
}
