//! Chooses the server for a request, and the servers at which adapters are loaded.
//!
//! Both choices read only [`BackendTable`], this VM's view of the servers. docs/PLACEMENT.md, "On
//! the operators' platform", gives the alternatives that were considered.

use std::time::Duration;

use crate::backend::{BackendState, BackendTable};
use crate::id::{
    DomainName, ModelName, ServerName, ServiceName, SoftwareVersion, TimePoint, stable_hash,
};
use crate::routing::{AdapterKey, SharedPrompt};

/// Cost of one running request, in prompt tokens. A batch step slows down by less than 0.5 % for
/// each running request, while some tens of prompt tokens are processed in the same time.
const RUNNING_TOKENS: u64 = 100;
/// Cost of each running request beyond the server's slots, in prompt tokens: it is queued until
/// another one ends.
const QUEUED_TOKENS: u64 = 2_000;
/// Cost of a server in another failure domain, in prompt tokens. It saves traffic between domains
/// where servers are about equally loaded.
const CROSS_DOMAIN_TOKENS: u64 = 120;
/// A holder of an adapter is overloaded, and another copy worth a slot, when its cost is at least
/// `COPY_PERCENT` hundredths of the mean and at least `COPY_TOKENS` prompt tokens. Lower limits
/// evict adapters that other requests need; higher ones copy only once holders are late.
const COPY_PERCENT: u64 = 130;
const COPY_TOKENS: u64 = 4_000;
/// Load per holder, as a fraction of a server's fair share of all requests, from which another copy
/// is loaded although no holder is overloaded. Few adapters reach it, so these copies take few
/// slots.
const EARLY_COPY_SHARE: f64 = 0.5;
/// Minimum load per holder, as a fraction of a server's fair share, for another copy where the
/// holders are overloaded. It prevents copies that take a slot and a transfer from the weight store
/// but hardly relieve the holder, and repeated loads of rarely used adapters. Without it an adapter
/// that was requested once every few seconds was fetched five times in a minute.
const MIN_COPY_SHARE: f64 = 0.12;
/// Maximum cost of the server that loads a copy, in hundredths of the holder's cost.
const COPY_TARGET_PERCENT: u64 = 67;
/// Maximum cost, in hundredths of the mean, at which a server that recently held an adapter is
/// preferred for loading it again: from its own memory this takes a tenth of the time.
const WARM_PERCENT: u64 = 200;
/// Maximum usage score of an adapter that counts as seldom used.
const SELDOM_USED_SCORE: u32 = 1;
/// Seldom used adapters that a server without an idle slot must hold to be considered: one of their
/// slots is then expected to be idle before a load from the weight store would be done.
const MIN_SELDOM_USED: usize = 2;
/// Number of servers considered for a load, by rank of their hash with the adapter. Few, so that an
/// adapter tends to return to a server that still has it in its own memory; more than one, so that
/// the less loaded can be chosen.
const LOAD_CANDIDATES: usize = 2;
/// Failure rate in excess of the service's mean at which a server's cost doubles.
const FAILURE_EXCESS: f64 = 0.15;
/// Minimum shared prefix, in prompt tokens, for which a request prefers the holder chosen by hash
/// of the prefix, as long as this saves more than waiting there costs. For shorter prefixes the
/// saving is below the error of the load figures.
const MIN_SHARED_TOKENS: u64 = 1_000;

/// Requirements of a request on its server.
#[derive(Clone, Debug)]
pub struct ServerRequirements<'a> {
    /// Service that the route leads to.
    pub service: &'a ServiceName,
    /// Base model; `None` for plain services.
    pub model: Option<&'a ModelName>,
    /// Adapter and the lowest version of it that may be used.
    pub adapter: Option<(&'a AdapterKey, u64)>,
    /// Version of the servers' software, if the request goes on with a stream.
    pub software: Option<&'a SoftwareVersion>,
    /// Servers that this request was already sent to, or that rejected it.
    pub excluded: &'a [ServerName],
    /// Failure domain of this VM.
    pub domain: &'a DomainName,
    /// Prompt prefix that other requests have in common.
    pub shared: SharedPrompt,
    /// Length of the whole prompt, in tokens.
    pub prompt: u64,
    /// Longest pause between events that streams at the service allow. `None` if the request is not
    /// to be held back for them.
    pub gap: Option<Duration>,
}

impl ServerRequirements<'_> {
    /// Returns whether a server has the service, the software and the model, is not leaving, and is not
    /// excluded.
    fn takes(&self, state: &BackendState) -> bool {
        state.entry.service == *self.service
            && !state.leaving
            && self.software.is_none_or(|version| state.entry.software.as_ref() == Some(version))
            && !self.excluded.contains(&state.entry.server)
            && self.model.is_none_or(|model| state.holds_model(model))
    }
}

/// Decision for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChoice {
    /// Send it to this server; another copy of its adapter may be worth loading.
    Send {
        /// Server to send to.
        server: ServerName,
        /// Server at which to load another copy of the adapter.
        copy: Option<ServerName>,
    },
    /// Hold it back: every candidate has so much prompt left to process that this prompt would
    /// interrupt its streams for too long.
    Hold {
        /// Latest time to choose again; a server is expected to have room by then.
        until: TimePoint,
        /// Server at which to load another copy of the adapter.
        copy: Option<ServerName>,
    },
    /// Wait for the adapter, which is in flight or whose holder is avoided for a short time.
    Wait {
        /// Time from which the adapter is expected to be usable.
        until: TimePoint,
    },
    /// Have the adapter loaded; no candidate holds it or has it in flight.
    Load {
        /// Server at which to load it.
        server: ServerName,
    },
    /// No server can take it now.
    Unavailable,
}

impl BackendTable {
    /// Chooses a server. `draw` is a random number that spreads the choices of different VMs: load
    /// counts are slightly out of date, so that otherwise all VMs would choose the same server.
    #[must_use]
    pub fn choose(
        &self,
        requirements: &ServerRequirements<'_>,
        draw: u64,
        now: TimePoint,
    ) -> ServerChoice {
        let all = self.candidates(requirements, now);
        let Some((key, version)) = requirements.adapter else {
            return match self.cheapest(&all, requirements, draw, now) {
                Some(best) => self.send_or_hold(&all, best, None, requirements, draw, now),
                None => ServerChoice::Unavailable,
            };
        };
        let holds = |state: &&&BackendState| state.usable(key, version, now);
        let holders: Vec<&BackendState> = all.iter().filter(holds).copied().collect();
        if let Some(best) = self.cheapest(&holders, requirements, draw, now) {
            let copy = self.copy_target(&all, best, requirements, key, version, now);
            return self.send_or_hold(&holders, best, copy, requirements, draw, now);
        }
        let arrival = all.iter().filter_map(|state| state.usable_from(key, version)).min();
        if let Some(until) =
            arrival.or_else(|| self.available_again(requirements, key, version, now))
        {
            return ServerChoice::Wait { until };
        }
        match self.load_target(&all, requirements, key, now) {
            Some(state) => ServerChoice::Load { server: state.entry.server.clone() },
            None => ServerChoice::Unavailable,
        }
    }

    /// Sends a request to `best`, or to another of `holders` that has less prompt to process, or
    /// holds it back.
    fn send_or_hold(
        &self,
        holders: &[&BackendState],
        best: &BackendState,
        copy: Option<ServerName>,
        requirements: &ServerRequirements<'_>,
        draw: u64,
        now: TimePoint,
    ) -> ServerChoice {
        let send = |state: &BackendState, copy| ServerChoice::Send {
            server: state.entry.server.clone(),
            copy,
        };
        let rate = self.prefill_rate(requirements.service);
        let gap = requirements.gap.filter(|_| rate.holds_back());
        let Some(bound) = gap.and_then(|gap| rate.bound(gap)) else {
            return send(best, copy);
        };
        let excess = |state: &BackendState| match state.pending_prompt_tokens(rate, now) {
            0 => 0,
            pending_prompt_tokens => {
                let bound = (bound as f64 * state.relative_speed()) as u64;
                (pending_prompt_tokens + requirements.prompt).saturating_sub(bound)
            }
        };
        if excess(best) == 0 {
            return send(best, copy);
        }
        let open: Vec<&BackendState> =
            holders.iter().filter(|state| excess(state) == 0).copied().collect();
        // For a long shared prefix, the server that has it cached is better than an earlier start.
        if requirements.shared.tokens < MIN_SHARED_TOKENS
            && let Some(state) = self.cheapest(&open, requirements, draw, now)
        {
            return send(state, copy);
        }
        let copy = copy.or_else(|| self.relief_target(best, requirements, now));
        let min_excess = holders.iter().map(|state| excess(state)).min().unwrap_or_default();
        ServerChoice::Hold { until: rate.read_at(min_excess, now), copy }
    }

    /// Returns whether a choice sends the request to a server that is not avoided.
    #[must_use]
    pub fn sends_to_available(&self, choice: &ServerChoice, now: TimePoint) -> bool {
        let ServerChoice::Send { server, .. } = choice else { return false };
        self.get(server.as_str()).is_some_and(|state| state.is_available(now))
    }

    /// Returns the servers that may take the request. Servers avoided after a recent failure are
    /// included only if there is no other.
    fn candidates(
        &self,
        requirements: &ServerRequirements<'_>,
        now: TimePoint,
    ) -> Vec<&BackendState> {
        let all: Vec<&BackendState> =
            self.servers().iter().filter(|state| requirements.takes(state)).collect();
        let available: Vec<&BackendState> =
            all.iter().filter(|state| state.is_available(now)).copied().collect();
        if available.is_empty() { all } else { available }
    }

    /// Returns when a holder that is avoided for a short time, because it was full or failed once,
    /// can be used again. Loading the adapter at another server would take longer.
    fn available_again(
        &self,
        requirements: &ServerRequirements<'_>,
        key: &AdapterKey,
        version: u64,
        now: TimePoint,
    ) -> Option<TimePoint> {
        let holders = self.servers().iter().filter(|state| {
            requirements.takes(state)
                && state.usable(key, version, now)
                && state.condition.failed_at_most_once()
        });
        holders.map(|state| state.condition.avoid_until).min()
    }

    /// Returns the cheaper of two servers drawn at random, or the cheapest if there are at most two
    /// or the prompt has a long shared prefix.
    fn cheapest<'a>(
        &self,
        among: &[&'a BackendState],
        requirements: &ServerRequirements<'_>,
        draw: u64,
        now: TimePoint,
    ) -> Option<&'a BackendState> {
        let typical = self.typical(requirements.service);
        let cost = |state: &&&BackendState| {
            let local = state.entry.domain == *requirements.domain;
            state.completion_cost(typical, requirements.prompt, now)
                + if local { 0 } else { CROSS_DOMAIN_TOKENS }
        };
        if requirements.shared.tokens >= MIN_SHARED_TOKENS {
            let first =
                among.iter().min_by_key(|state| state.rank(mix(requirements.shared.id)))?.name();
            let saved = |state: &BackendState| {
                if state.name() == first { requirements.shared.tokens } else { 0 }
            };
            let pending_prompt_tokens =
                |state: &&&BackendState| cost(state) + requirements.shared.tokens - saved(state);
            return among.iter().min_by_key(pending_prompt_tokens).copied();
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

    /// Returns the server at which to load a copy when all holders have too much prompt to process:
    /// the one with the least demand, if with half of `held`'s requests for this adapter it stays
    /// at or below what `held` keeps.
    fn relief_target(
        &self,
        held: &BackendState,
        requirements: &ServerRequirements<'_>,
        now: TimePoint,
    ) -> Option<ServerName> {
        let (key, version) = requirements.adapter?;
        let all = self.candidates(requirements, now);
        if holder_share(&all, key) < MIN_COPY_SHARE {
            return None;
        }
        let (with, without): (Vec<&BackendState>, Vec<&BackendState>) =
            all.iter().partition(|state| state.usable_from(key, version).is_some());
        let usable = with.iter().filter(|state| state.usable(key, version, now)).count();
        if with.len() > usable {
            return None;
        }
        let takes = |state: &&&BackendState| state.takes_loads(now);
        let target = without.iter().filter(takes).min_by_key(|state| state.demand())?;
        let moved = held.usage_score(key) / 2;
        (target.demand() + 2 * moved <= held.demand()).then(|| target.entry.server.clone())
    }

    fn copy_target(
        &self,
        all: &[&BackendState],
        best: &BackendState,
        requirements: &ServerRequirements<'_>,
        key: &AdapterKey,
        version: u64,
        now: TimePoint,
    ) -> Option<ServerName> {
        let share = holder_share(all, key);
        if share < MIN_COPY_SHARE {
            return None;
        }
        let typical = self.typical(requirements.service);
        let total: u64 = all.iter().map(|state| state.cost(typical, now)).sum();
        let mean = total / (all.len() as u64).max(1);
        let cost = best.cost(typical, now);
        let late = cost >= COPY_TOKENS.max(mean * COPY_PERCENT / 100);
        if !late && share < EARLY_COPY_SHARE {
            return None;
        }
        let (with, without): (Vec<&BackendState>, Vec<&BackendState>) =
            all.iter().partition(|state| state.usable_from(key, version).is_some());
        let usable = with.iter().filter(|state| state.usable(key, version, now)).count();
        if with.len() - usable > usable / 2 {
            return None;
        }
        if !late {
            // All VMs see the same demand; the hash makes them choose the same server.
            let fits = |state: &&&BackendState| {
                state.takes_loads(now) && state.cost(typical, now) <= COPY_TOKENS.max(mean)
            };
            let hash = key_hash(key);
            let target = without.iter().filter(fits).min_by_key(|state| state.rank(hash))?;
            return Some(target.entry.server.clone());
        }
        // The copy has to relieve an overloaded holder, so it goes to the cheapest server, or to one
        // that need not fetch the adapter from the store.
        let takes = |state: &&&BackendState| state.takes_loads(now);
        let cost_of = |state: &&&BackendState| state.cost(typical, now);
        let cheapest = without.iter().filter(takes).min_by_key(cost_of)?;
        let recent = without.iter().filter(takes).filter(|state| {
            self.memory_first
                && state.recently_held.contains(key)
                && state.cost(typical, now) <= COPY_TOKENS.max(mean)
        });
        let target = recent.min_by_key(cost_of).unwrap_or(cheapest);
        (target.cost(typical, now) < cost * COPY_TARGET_PERCENT / 100)
            .then(|| target.entry.server.clone())
    }

    /// Returns where to load an adapter: the cheapest server that recently held it and need not
    /// fetch it from the store, unless overloaded; else the cheapest of the first few by hash rank.
    /// Servers with a limit are considered only if no other has an owner: they look idle.
    fn load_target<'a>(
        &self,
        all: &[&'a BackendState],
        requirements: &ServerRequirements<'_>,
        key: &AdapterKey,
        now: TimePoint,
    ) -> Option<&'a BackendState> {
        let typical = self.typical(requirements.service);
        let owned = |state: &&&BackendState| state.active_owner(now).is_some();
        let free = |state: &&&BackendState| state.takes_loads(now);
        let hash = key_hash(key);
        let unlimited: Vec<&'a BackendState> =
            all.iter().filter(|state| state.limit_per_s().is_none()).copied().collect();
        let all = if unlimited.iter().any(|state| owned(&state)) { &unlimited } else { all };
        if self.memory_first
            && let Some(state) = self.memory_target(all, key, typical, now)
        {
            return Some(state);
        }
        let any_free = all.iter().any(|state| free(&state));
        let mut ranked: Vec<(u64, &BackendState)> = all
            .iter()
            .filter(|state| if any_free { free(state) } else { owned(state) })
            .map(|state| (state.rank(hash), *state))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let recent = |(_, state): &&(u64, &BackendState)| state.recently_held.contains(key);
        let cost = |(_, state): &&(u64, &'a BackendState)| state.cost(typical, now);
        let total: u64 = ranked.iter().map(|(_, state)| state.cost(typical, now)).sum();
        let mean = total / (ranked.len() as u64).max(1);
        if let Some((_, state)) = ranked.iter().filter(recent).min_by_key(cost)
            && state.cost(typical, now) <= COPY_TOKENS.max(mean * WARM_PERCENT / 100)
        {
            return Some(state);
        }
        ranked.iter().take(LOAD_CANDIDATES).min_by_key(cost).map(|(_, state)| *state)
    }

    /// Returns the cheapest server that recently held an adapter and can load it from its own memory soon,
    /// unless overloaded. One without an idle slot counts too if some of its adapters are seldom used:
    /// one of them is idle before the weight store would have sent the adapter.
    fn memory_target<'a>(
        &self,
        all: &[&'a BackendState],
        key: &AdapterKey,
        typical: TypicalCondition,
        now: TimePoint,
    ) -> Option<&'a BackendState> {
        let owned: Vec<&'a BackendState> =
            all.iter().filter(|state| state.active_owner(now).is_some()).copied().collect();
        let total: u64 = owned.iter().map(|state| state.cost(typical, now)).sum();
        let mean = total / (owned.len() as u64).max(1);
        let max_cost = COPY_TOKENS.max(mean * WARM_PERCENT / 100);
        let is_soon_free = |state: &BackendState| {
            let seldom_used = state.holdings().iter().filter(|holding| {
                holding.usage_score <= SELDOM_USED_SCORE && holding.usable_from <= now
            });
            state.takes_loads(now) || seldom_used.count() >= MIN_SELDOM_USED
        };
        let fits = |state: &&BackendState| {
            state.recently_held.contains(key)
                && is_soon_free(state)
                && state.cost(typical, now) <= max_cost
        };
        owned.into_iter().filter(fits).min_by_key(|state| state.cost(typical, now))
    }

    /// Returns the median response time and mean failure rate of a service's servers.
    fn typical(&self, service: &ServiceName) -> TypicalCondition {
        let mut latencies = Vec::new();
        let (mut failures, mut count) = (0.0, 0.0);
        for state in self.servers().iter().filter(|state| state.entry.service == *service) {
            if state.condition.latency_us > 0.0 {
                latencies.push(state.condition.latency_us);
            }
            failures += state.condition.failures;
            count += 1.0;
        }
        latencies.sort_unstable_by(f64::total_cmp);
        let latency_us = latencies.get(latencies.len() / 2).copied().unwrap_or(0.0);
        let failures = if count > 0.0 { failures / count } else { 0.0 };
        TypicalCondition { latency_us, failures }
    }

    /// Returns where to request a load that `slow` has not completed for some time; `other` is the
    /// choice made without `slow`. Changes the server only if the other one can load at once or
    /// `slow` has no owner: where all slots are in use, each change would lose the request's
    /// position in the queue, and both servers could end up fetching the adapter.
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
}

/// Returns the requests for an adapter per holder among `all`, as a fraction of a server's fair
/// share of all requests; `MIN_COPY_SHARE` if nothing is counted yet.
fn holder_share(all: &[&BackendState], key: &AdapterKey) -> f64 {
    let total: u64 = all.iter().map(|state| state.demand()).sum();
    if total == 0 {
        return MIN_COPY_SHARE;
    }
    let held = all.iter().filter_map(|state| Some(u64::from(state.held.find(key)?.usage_score)));
    let (holders, score) = held.fold((0u64, 0u64), |(count, sum), score| (count + 1, sum + score));
    let fair = total as f64 / all.len() as f64;
    score as f64 / holders.max(1) as f64 / fair
}

fn key_hash(key: &AdapterKey) -> u64 {
    stable_hash(&[key.model.as_str(), key.adapter.as_str()])
}

/// Spreads a number over all bits, so that ranks derived from the same hashes are independent of
/// each other.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}

/// Reference values of a service, against which one server is compared.
#[derive(Clone, Copy, Debug)]
struct TypicalCondition {
    latency_us: f64,
    failures: f64,
}

impl BackendState {
    /// Returns the sum of the usage scores of its adapters, as its owner counts them.
    fn demand(&self) -> u64 {
        self.holdings().iter().map(|holding| u64::from(holding.usage_score)).sum()
    }

    fn usage_score(&self, key: &AdapterKey) -> u64 {
        self.held.find(key).map_or(0, |holding| u64::from(holding.usage_score))
    }

    /// Returns its rank for an item with this hash; the same at all VMs.
    fn rank(&self, hash: u64) -> u64 {
        mix(self.name_hash ^ hash)
    }

    /// Returns the estimated cost of sending a further request here: prompt tokens to be processed
    /// before it, scaled up if the server is slower or fails more often than others of its service.
    fn cost(&self, typical: TypicalCondition, now: TimePoint) -> u64 {
        self.cost_with(0, typical, now)
    }

    /// Returns the estimated cost until a prompt of `prompt` tokens is processed here. Where speeds are
    /// not known, the prompt takes equally long at each server and is left out.
    fn completion_cost(&self, typical: TypicalCondition, prompt: u64, now: TimePoint) -> u64 {
        self.cost_with(if self.speed.is_some() { prompt } else { 0 }, typical, now)
    }

    fn cost_with(&self, prompt: u64, typical: TypicalCondition, now: TimePoint) -> u64 {
        let load = self.load(now);
        let over = u64::from(load.running.saturating_sub(self.entry.slots));
        let tokens = load.pending_prompt_tokens
            + RUNNING_TOKENS * u64::from(load.running)
            + QUEUED_TOKENS * over;
        let condition = self.condition;
        let slower = if let Some(speed) = self.speed {
            1.0 / speed
        } else if typical.latency_us > 0.0 && condition.latency_us > 0.0 {
            (condition.latency_us / typical.latency_us).max(1.0)
        } else {
            1.0
        };
        let excess = (condition.failures - typical.failures).max(0.0) / FAILURE_EXCESS;
        // The constant keeps an idle server with failures from costing as little as an idle healthy
        // one.
        ((tokens + prompt + RUNNING_TOKENS) as f64 * slower * (1.0 + excess)) as u64
    }
}

/// Fraction of a caller's timeout for which a request waits for its adapter. The rest is enough for
/// one retry to be served.
const WAIT_FRACTION: f64 = 0.45;

/// Returns how long a request may wait for its adapter before it is rejected, where `timeout` is
/// the time after which its caller gives up.
#[must_use]
pub fn max_wait(timeout: Duration) -> Duration {
    timeout.mul_f64(WAIT_FRACTION)
}
