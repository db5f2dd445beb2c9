//! The other VMs that are known.

use std::net::SocketAddr;

use coltsfoothook_decision::id::{
    DomainName, RequestFingerprint, TimePoint, VmName, stable_hash, stable_hash_bytes,
};
use coltsfoothook_decision::issuer::{IssuerRanks, vm_position};
use coltsfoothook_decision::lease::StoreWitness;
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_decision::suspect::CrashSubject;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

use crate::clock;
use crate::message::VmState;
use crate::peer::{ROTATION_INTERVAL_US, ROTATION_SIZE};

/// How long callers are sent to a VM after its last message, in microseconds. Several messages may
/// be lost within it.
const READY_TTL_US: u64 = 1_100_000;
/// Largest number of other VMs that state messages go to every time. With more, the recipients
/// rotate, and a VM is considered live for longer without a message.
pub(crate) const SMALL_FLEET: usize = 24;
/// How long a VM counts as live after its last message, in microseconds.
const LIVE_TTL_US: u64 = 4_000_000;
/// The same in large fleets, in full rotations of a VM's state messages: one of them may be lost.
/// With less, VMs lose contact with each other whenever a datagram is lost, and miss reports of
/// leaving servers.
const LIVE_ROTATIONS: u64 = 2;
/// Period in which VMs that report their customers' use send several messages, in microseconds.
const RECENT_US: u64 = 1_000_000;
/// How long a VM counts after its last message among the witnesses that an outage is judged by, in
/// microseconds.
const WITNESS_US: u64 = 10_000_000;
/// How long no requests are handed over to a VM that said that it reaches no server, in microseconds.
const NO_LINKS_US: u64 = 1_000_000;
/// How long an unresponsive VM is kept, in microseconds.
const RETENTION_US: u64 = 60_000_000;

/// How long a VM that has just started asks one address before it asks the next, in microseconds.
const HINT_TURN_US: u64 = 100_000;
/// Time in milliseconds within which all VMs know one that has started.
const KNOWN_BY_ALL_MS: u64 = 3_000;
/// How much older than the newest VM one must be that is no newcomer, in milliseconds.
const NEWCOMER_MS: u64 = 3_000;

/// This VM as an issuer of permits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnIssuer {
    /// Its position among the issuers.
    pub(crate) position: u64,
    pub(crate) eligible: bool,
    /// The start time of its process.
    pub(crate) incarnation: u64,
}

/// Another VM.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) vm: VmName,
    pub(crate) address: SocketAddr,
    pub(crate) requests: SocketAddr,
    pub(crate) config: u64,
    /// Time of its last successful call to the store. `None` for a VM that seldom calls it.
    reached_at: Option<TimePoint>,
    incarnation: u64,
    sequence: u64,
    ready: bool,
    leaving: bool,
    domain: DomainName,
    eligible: bool,
    aggregates: bool,
    /// Its position among the issuers of permits.
    position: u64,
    last_seen: TimePoint,
    /// When it said that it reaches no server either.
    no_links_at: Option<TimePoint>,
}

/// Effect of a state message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerChange {
    /// The VM was not known, or had been unresponsive.
    Appeared,
    /// Its process restarted.
    Restarted,
    /// It began to leave.
    Leaving,
    Nothing,
    /// The message is older than the latest one and was ignored.
    Old,
}

/// The other VMs, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct PeerRoster {
    peers: Vec<PeerState>,
    /// Addresses that may be VMs: seeds, and those named by other VMs and by the store.
    hints: Vec<SocketAddr>,
}

impl PeerRoster {
    /// Applies a VM's state that came from `address`.
    pub(crate) fn apply(
        &mut self,
        state: &VmState,
        address: SocketAddr,
        now: TimePoint,
    ) -> PeerChange {
        let ttl_us = self.live_ttl_us();
        let found = self.peers.binary_search_by(|peer| peer.vm.cmp(&state.vm));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                self.peers.insert(at, PeerState::new(state, address, now));
                return PeerChange::Appeared;
            }
        };
        let peer = &mut self.peers[at];
        let older = (state.incarnation, state.sequence) < (peer.incarnation, peer.sequence);
        if older {
            return PeerChange::Old;
        }
        let unresponsive = !peer.is_live(ttl_us, now);
        let restarted = state.incarnation != peer.incarnation;
        let leaves = state.leaving && !peer.leaving;
        let no_links_at = peer.no_links_at;
        *peer = PeerState { no_links_at, ..PeerState::new(state, address, now) };
        match (restarted, leaves, unresponsive) {
            (true, _, _) => PeerChange::Restarted,
            (_, true, _) => PeerChange::Leaving,
            (_, _, true) => PeerChange::Appeared,
            _ => PeerChange::Nothing,
        }
    }

    /// Returns whether an update belongs to the VM's present incarnation and is not older than its
    /// latest state.
    pub(crate) fn is_current(&self, vm: &VmName, incarnation: u64, sequence: u64) -> bool {
        let found = self.peers.binary_search_by(|peer| peer.vm.cmp(vm));
        found.is_ok_and(|at| {
            let peer = &self.peers[at];
            peer.incarnation == incarnation && sequence >= peer.sequence
        })
    }

    /// Returns how long a VM counts as live after its last message, in microseconds.
    fn live_ttl_us(&self) -> u64 {
        LIVE_TTL_US.max(LIVE_ROTATIONS * rotation_us(self.peers.len()))
    }

    /// Records an address that may be a VM's.
    pub(crate) fn hint(&mut self, address: SocketAddr) {
        if let Err(at) = self.hints.binary_search(&address) {
            self.hints.insert(at, address);
        }
    }

    /// Drops VMs that have been unresponsive for [`RETENTION_US`].
    pub(crate) fn drop_expired(&mut self, now: TimePoint) {
        self.peers.retain(|peer| now.since(peer.last_seen) < RETENTION_US);
    }

    /// Returns the addresses of live VMs.
    pub(crate) fn live(&self, now: TimePoint) -> Vec<SocketAddr> {
        let ttl_us = self.live_ttl_us();
        self.peers
            .iter()
            .filter(|peer| peer.is_live(ttl_us, now))
            .map(|peer| peer.address)
            .collect()
    }

    /// Returns the known addresses that are not live. They still get a message now and then, since
    /// a VM may have come back there.
    pub(crate) fn unresponsive(&self, now: TimePoint) -> Vec<SocketAddr> {
        let live = self.live(now);
        let known = self.peers.iter().map(|peer| peer.address);
        let mut all: Vec<SocketAddr> = known.chain(self.hints.iter().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all.retain(|address| !live.contains(address));
        all
    }

    /// Returns an address at which a VM may be that was not heard yet, another one each [`HINT_TURN_US`].
    pub(crate) fn unheard(&self, own: SocketAddr, now: TimePoint) -> Option<SocketAddr> {
        let hints: Vec<&SocketAddr> = self.hints.iter().filter(|hint| **hint != own).collect();
        let turn = (now.0 / HINT_TURN_US) as usize % hints.len().max(1);
        hints.get(turn).map(|hint| **hint)
    }

    /// Returns whether each known address but `own` is that of a live VM.
    pub(crate) fn has_heard_all(&self, own: SocketAddr, now: TimePoint) -> bool {
        self.unresponsive(now).iter().all(|address| *address == own)
    }

    /// Returns the number of other live VMs.
    pub(crate) fn live_count(&self, now: TimePoint) -> usize {
        let ttl_us = self.live_ttl_us();
        self.peers.iter().filter(|peer| peer.is_live(ttl_us, now)).count()
    }

    /// Returns where other VMs that are ready take callers' requests.
    pub(crate) fn ready(&self, now: TimePoint) -> Vec<SocketAddr> {
        let ttl_us = self.named_ttl_us(now);
        let counts =
            |peer: &&PeerState| peer.ready && !peer.leaving && now.since(peer.last_seen) < ttl_us;
        self.peers.iter().filter(counts).map(|peer| peer.requests).collect()
    }

    /// Returns how long a VM is named to callers after its last message, in microseconds: until the next one is late.
    /// Callers of one that is off try it for as long, while one that is live and left out for a lost message costs
    /// them nothing, as others are named.
    fn named_ttl_us(&self, now: TimePoint) -> u64 {
        let live = self.live_count(now);
        let interval_us = if live > SMALL_FLEET { rotation_us(live) } else { 0 };
        READY_TTL_US + interval_us
    }

    /// Returns how long a VM counts as ready after its last message, in microseconds.
    fn ready_ttl_us(&self, now: TimePoint) -> u64 {
        READY_TTL_US * self.live_count(now).div_ceil(SMALL_FLEET).max(1) as u64
    }

    /// Returns the address of the VM that issues permits for a server: the first by rank of those
    /// that sent a message recently and do not leave. `None` if that is this VM, which is `own`, unless
    /// it leaves. Those in `skipped` are passed over.
    ///
    /// Newcomers come last while VMs have just started: not all know them yet, and each VM that knows
    /// another one of them would have another issuer. They all count again at the same time.
    pub(crate) fn issuer(
        &self,
        own: Option<OwnIssuer>,
        start: &ServerStart,
        skipped: &[SocketAddr],
        now: TimePoint,
    ) -> Option<SocketAddr> {
        let ttl_us = self.ready_ttl_us(now);
        let counts = |peer: &&PeerState| {
            !peer.leaving && now.since(peer.last_seen) < ttl_us && !skipped.contains(&peer.address)
        };
        let starts = self.peers.iter().filter(counts).map(|peer| peer.incarnation);
        let newest = starts.chain(own.map(|own| own.incarnation)).max()?;
        let has_newcomers = clock::unix_ms().saturating_sub(newest) < KNOWN_BY_ALL_MS;
        let is_newcomer =
            |incarnation: u64| has_newcomers && newest.saturating_sub(incarnation) < NEWCOMER_MS;
        let ranks = IssuerRanks::of(&start.server);
        let rank = |peer: &&PeerState| {
            (is_newcomer(peer.incarnation), ranks.rank(peer.position, peer.eligible))
        };
        let first = self.peers.iter().filter(counts).min_by_key(rank)?;
        let own =
            own.map(|own| (is_newcomer(own.incarnation), ranks.rank(own.position, own.eligible)));
        own.is_none_or(|own| rank(&first) < own).then_some(first.address)
    }

    /// Returns the rank of `vm` by hash among the live VMs that do not leave, 0 for the first. In
    /// an order by name the first ones would be of one failure domain, and lost together.
    pub(crate) fn hash_rank(&self, vm: &VmName, now: TimePoint) -> usize {
        let (_, own) = reader_rank(vm, true);
        self.count_ahead(now, |peer| reader_rank(&peer.vm, true).1 < own)
    }

    /// Returns the rank of `vm` among those that read the store for others, 0 for the first: VMs that are
    /// eligible to aggregate come first, then by hash. Whoever reads a large configuration first is asked
    /// for it by all others, which fills a narrow link for seconds.
    pub(crate) fn rank_as_reader(&self, vm: &VmName, eligible: bool, now: TimePoint) -> usize {
        let own = reader_rank(vm, eligible);
        self.count_ahead(now, |peer| reader_rank(&peer.vm, peer.eligible) < own)
    }

    fn count_ahead(&self, now: TimePoint, is_ahead: impl Fn(&PeerState) -> bool) -> usize {
        let ttl_us = self.live_ttl_us();
        let ahead =
            |peer: &&PeerState| is_ahead(peer) && !peer.leaving && peer.is_live(ttl_us, now);
        self.peers.iter().filter(ahead).count()
    }

    /// Returns the VMs to hand requests over to, in order: a random one of `domain`, then one of each
    /// other domain, then the rest.
    pub(crate) fn hand_over_order(
        &self,
        domain: &DomainName,
        random: &mut Pcg64,
        now: TimePoint,
    ) -> Vec<SocketAddr> {
        let ttl_us = self.ready_ttl_us(now);
        let counts = |peer: &&PeerState| {
            let linked = peer.no_links_at.is_none_or(|at| now.since(at) >= NO_LINKS_US);
            peer.ready && !peer.leaving && linked && now.since(peer.last_seen) < ttl_us
        };
        let mut peers: Vec<&PeerState> = self.peers.iter().filter(counts).collect();
        peers.shuffle(random);
        let mut seen: Vec<&DomainName> = Vec::new();
        peers.sort_by_cached_key(|peer| {
            let is_first = !seen.contains(&&peer.domain);
            if is_first {
                seen.push(&peer.domain);
            }
            (!is_first, peer.domain != *domain)
        });
        peers.iter().map(|peer| peer.address).collect()
    }

    /// Records whether the VM at an address reaches no server either.
    pub(crate) fn set_no_links(&mut self, address: SocketAddr, no_links: bool, now: TimePoint) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.address == address) {
            peer.no_links_at = no_links.then_some(now);
        }
    }

    /// Returns the rank of `vm` among the live VMs that do not leave, in an order that differs between
    /// requests: 0 for the first.
    pub(crate) fn trial_rank(&self, vm: &VmName, subject: CrashSubject, now: TimePoint) -> usize {
        let ttl_us = self.live_ttl_us();
        let fingerprint = subject.fingerprint().to_string();
        let rank = |vm: &VmName| stable_hash(&[vm.as_str(), &fingerprint]);
        let own = rank(vm);
        let ahead =
            |peer: &&PeerState| rank(&peer.vm) < own && !peer.leaving && peer.is_live(ttl_us, now);
        self.peers.iter().filter(ahead).count()
    }

    /// Returns the first `count` of the live VMs in an order that differs between requests, and is the same at all VMs.
    /// Those that leave are left out unless `with_leaving`.
    pub(crate) fn origin_holders(
        &self,
        fingerprint: RequestFingerprint,
        count: usize,
        with_leaving: bool,
        now: TimePoint,
    ) -> Vec<SocketAddr> {
        let ttl_us = self.live_ttl_us();
        let holds =
            |peer: &&PeerState| (with_leaving || !peer.leaving) && peer.is_live(ttl_us, now);
        let rank = |peer: &PeerState| {
            stable_hash_bytes(&[&peer.position.to_le_bytes(), &fingerprint.0.to_le_bytes()])
        };
        let mut ranked: Vec<(u64, SocketAddr)> =
            self.peers.iter().filter(holds).map(|peer| (rank(peer), peer.address)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns the addresses of the first `count` of those that read the store for others.
    pub(crate) fn readers(&self, count: usize, now: TimePoint) -> Vec<SocketAddr> {
        let ttl_us = self.live_ttl_us();
        let counts = |peer: &&PeerState| !peer.leaving && peer.is_live(ttl_us, now);
        let mut live: Vec<&PeerState> = self.peers.iter().filter(counts).collect();
        live.sort_by_key(|peer| reader_rank(&peer.vm, peer.eligible));
        live.iter().take(count).map(|peer| peer.address).collect()
    }

    /// Returns how many other VMs, of a failure domain or of all, sent a message within the last
    /// second.
    pub(crate) fn seen_recently(&self, domain: Option<&DomainName>, now: TimePoint) -> usize {
        let counts = |peer: &&PeerState| {
            domain.is_none_or(|domain| peer.domain == *domain)
                && now.since(peer.last_seen) < RECENT_US
        };
        self.peers.iter().filter(counts).count()
    }

    /// Returns the number of other VMs that are known and do not leave, including unresponsive
    /// ones.
    pub(crate) fn known_count(&self) -> usize {
        self.peers.iter().filter(|peer| !peer.leaving).count()
    }

    /// Returns whether there may be VMs that no message ever came from: a hint other than `own`.
    pub(crate) fn may_have_others(&self, own: SocketAddr) -> bool {
        self.hints.iter().any(|hint| *hint != own)
    }

    /// Returns the live VMs of a failure domain in the order in which they aggregate for it:
    /// eligible ones first, then by hash.
    fn ranked<'a>(&'a self, domain: &'a DomainName, now: TimePoint) -> Vec<&'a PeerState> {
        let ttl_us = self.live_ttl_us();
        let counts = |peer: &&PeerState| {
            peer.domain == *domain && !peer.leaving && peer.is_live(ttl_us, now)
        };
        let mut ranked: Vec<&PeerState> = self.peers.iter().filter(counts).collect();
        ranked.sort_by_key(|peer| aggregator_rank(&peer.vm, peer.eligible));
        ranked
    }

    /// Returns how many VMs of a domain come before `vm` as aggregators.
    pub(crate) fn ahead_in_domain(
        &self,
        vm: &VmName,
        domain: &DomainName,
        eligible: bool,
        now: TimePoint,
    ) -> usize {
        let own = aggregator_rank(vm, eligible);
        let ranked = self.ranked(domain, now);
        ranked.iter().filter(|peer| aggregator_rank(&peer.vm, peer.eligible) < own).count()
    }

    /// Returns the rank of a VM as an aggregator of its domain, lowest first. A VM that no state was
    /// received from comes last.
    pub(crate) fn aggregator_rank(&self, vm: &VmName) -> (bool, u64) {
        let found = self.peers.binary_search_by(|peer| peer.vm.cmp(vm));
        found.map_or((true, u64::MAX), |at| aggregator_rank(vm, self.peers[at].eligible))
    }

    /// Returns the failure domain of a VM.
    pub(crate) fn domain_of(&self, vm: &VmName) -> Option<&DomainName> {
        let at = self.peers.binary_search_by(|peer| peer.vm.cmp(vm)).ok()?;
        Some(&self.peers[at].domain)
    }

    /// Returns the failure domain of the VM at an address.
    pub(crate) fn domain_at(&self, address: SocketAddr) -> Option<&DomainName> {
        self.peers.iter().find(|peer| peer.address == address).map(|peer| &peer.domain)
    }

    /// Returns whether a VM said that it aggregates, and does not leave.
    pub(crate) fn is_aggregator(&self, vm: &VmName) -> bool {
        let found = self.peers.binary_search_by(|peer| peer.vm.cmp(vm));
        found.is_ok_and(|at| self.peers[at].aggregates && !self.peers[at].leaving)
    }

    /// Returns the addresses of the live VMs of a domain.
    pub(crate) fn in_domain(&self, domain: &DomainName, now: TimePoint) -> Vec<SocketAddr> {
        let ttl_us = self.live_ttl_us();
        let members =
            self.peers.iter().filter(|peer| peer.domain == *domain && peer.is_live(ttl_us, now));
        members.map(|peer| peer.address).collect()
    }

    /// Returns the address of the other VM that comes first in aggregating for a domain.
    pub(crate) fn first_in_domain(
        &self,
        domain: &DomainName,
        now: TimePoint,
    ) -> Option<SocketAddr> {
        self.ranked(domain, now).first().map(|peer| peer.address)
    }

    /// Returns the addresses of all VMs that aggregate. For a domain where none does yet, it is the
    /// VM that comes first in rank.
    pub(crate) fn aggregators(&self, now: TimePoint) -> Vec<SocketAddr> {
        let ttl_us = self.live_ttl_us();
        let live = || self.peers.iter().filter(|peer| peer.is_live(ttl_us, now) && !peer.leaving);
        let mut domains: Vec<&DomainName> = live().map(|peer| &peer.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let mut all: Vec<SocketAddr> = Vec::new();
        for domain in domains {
            let acting = live().filter(|peer| peer.aggregates && peer.domain == *domain);
            let before = all.len();
            all.extend(acting.map(|peer| peer.address));
            if all.len() == before {
                all.extend(self.first_in_domain(domain, now));
            }
        }
        all
    }

    /// Records that a VM sent messages that only an aggregator sends.
    pub(crate) fn record_aggregator(&mut self, vm: &VmName) {
        if let Ok(at) = self.peers.binary_search_by(|peer| peer.vm.cmp(vm)) {
            self.peers[at].aggregates = true;
        }
    }

    /// Returns the address of a VM, live or not.
    pub(crate) fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        let at = self.peers.binary_search_by(|peer| peer.vm.cmp(vm)).ok()?;
        Some(self.peers[at].address)
    }

    /// Returns when recently active VMs last reached the store, as evidence of an outage of the
    /// store.
    pub(crate) fn witnesses(&self, now: TimePoint) -> Vec<StoreWitness> {
        let known = self.peers.iter().filter(|peer| now.since(peer.last_seen) < WITNESS_US);
        let witness = |peer: &PeerState| {
            Some(StoreWitness { last_seen: peer.last_seen, reached_at: peer.reached_at? })
        };
        known.filter_map(witness).collect()
    }

    /// Returns the live VMs that have the newest known configuration, if it is newer than
    /// `version`. Those with a narrow link are left out if others have it: dozens of VMs that fetch a
    /// large configuration would fill it for seconds, and callers' requests would wait behind.
    pub(crate) fn with_newer_config(&self, version: u64, now: TimePoint) -> Vec<SocketAddr> {
        let ttl_us = self.live_ttl_us();
        let live = || self.peers.iter().filter(|peer| peer.is_live(ttl_us, now));
        let newest = live().map(|peer| peer.config).max().unwrap_or(0);
        let has = |peer: &&PeerState| newest > version && peer.config == newest;
        let any_eligible = live().filter(has).any(|peer| peer.eligible);
        let fits = |peer: &&PeerState| peer.eligible || !any_eligible;
        live().filter(has).filter(fits).map(|peer| peer.address).collect()
    }

    /// Records which configuration a VM reported.
    pub(crate) fn record_config(&mut self, vm: &VmName, config: u64) {
        if let Ok(at) = self.peers.binary_search_by(|peer| peer.vm.cmp(vm)) {
            self.peers[at].config = self.peers[at].config.max(config);
        }
    }

    /// Returns whether the fleet is large: some VMs then read the store for the others.
    pub(crate) fn is_large(&self, now: TimePoint) -> bool {
        self.live_count(now) > SMALL_FLEET
    }
}

/// Returns the interval of a VM's messages to each of `vms` others in a large fleet, in microseconds.
fn rotation_us(vms: usize) -> u64 {
    vms as u64 * ROTATION_INTERVAL_US / ROTATION_SIZE as u64
}

/// Returns the rank of a VM among those that read the store for others; lowest first.
fn reader_rank(vm: &VmName, eligible: bool) -> (bool, u64) {
    (!eligible, stable_hash(&["reader", vm.as_str()]))
}

/// Returns the rank of a VM among its domain's aggregators, lowest first; the same at all VMs.
fn aggregator_rank(vm: &VmName, eligible: bool) -> (bool, u64) {
    (!eligible, stable_hash(&["aggregator", vm.as_str()]))
}

impl PeerState {
    fn new(state: &VmState, address: SocketAddr, now: TimePoint) -> Self {
        Self {
            vm: state.vm.clone(),
            address,
            requests: state.requests,
            config: state.config,
            reached_at: state
                .store_age_ms
                .map(|age_ms| TimePoint(now.0.saturating_sub(u64::from(age_ms) * 1_000))),
            incarnation: state.incarnation,
            sequence: state.sequence,
            ready: state.ready,
            leaving: state.leaving,
            domain: state.domain.clone(),
            eligible: state.can_aggregate,
            aggregates: state.aggregates,
            position: vm_position(&state.vm),
            last_seen: now,
            no_links_at: None,
        }
    }

    fn is_live(&self, ttl_us: u64, now: TimePoint) -> bool {
        now.since(self.last_seen) < ttl_us
    }
}
