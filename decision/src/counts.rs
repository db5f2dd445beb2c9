//! Requests in flight at one server, as counted by this VM and the others.
//!
//! In small fleets each VM reports its counts to all others within milliseconds. In large ones the
//! cost of that would grow with the square of the number of VMs, so each VM reports to the
//! aggregator of its failure domain, which sends the sum over all VMs back
//! ([`crate::domain_update`]).

use crate::id::{TimePoint, VmName};
use crate::prefill::PrefillRate;

/// Validity of a peer's count of its requests at a server, in microseconds. Peers report a count
/// again, or report that it is zero, within a second.
const PEER_LOAD_TTL_US: u64 = 4_000_000;
/// Time for which a reported count of unread tokens is used unreduced, in microseconds; slightly
/// longer than the interval between two reports.
const UNREDUCED_US: u64 = 150_000;
/// Validity of the sum over all VMs, in microseconds; several messages of the aggregator may be
/// lost meanwhile. Without a valid sum only the counts of this VM and those reported by peers are
/// known.
const FLEET_TTL_US: u64 = 1_500_000;
/// Validity of a VM's count at its aggregator, in microseconds; the VM reports it several times in
/// this period. A VM that switches to another aggregator is counted twice for this long.
const MEMBER_TTL_US: u64 = 1_000_000;

/// Requests at a server, as counted by one VM or summed over several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFigure {
    /// Requests that were sent and whose response has not ended.
    pub running: u32,
    /// Prompt tokens of those requests for which no first response event was received.
    pub pending_prompt_tokens: u64,
}

impl LoadFigure {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            pending_prompt_tokens: self.pending_prompt_tokens + other.pending_prompt_tokens,
        }
    }

    fn saturating_minus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            pending_prompt_tokens: self
                .pending_prompt_tokens
                .saturating_sub(other.pending_prompt_tokens),
        }
    }
}

#[derive(Clone, Debug)]
struct PeerLoad {
    vm: VmName,
    figure: LoadFigure,
    at: TimePoint,
}

/// Counts of all VMs at one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestCounts {
    /// Requests of this VM.
    pub(crate) own: LoadFigure,
    /// This VM's count as it last reported it, which the sum over all VMs includes.
    reported: LoadFigure,
    /// Sorted by VM.
    peers: Vec<PeerLoad>,
    fleet: Option<(LoadFigure, TimePoint)>,
}

impl RequestCounts {
    /// Records the count that another VM reported.
    pub(crate) fn peer(&mut self, vm: &VmName, figure: LoadFigure, at: TimePoint) {
        match self.peers.binary_search_by(|peer| peer.vm.cmp(vm)) {
            Ok(found) => {
                self.peers[found].figure = figure;
                self.peers[found].at = at;
            }
            Err(index) => self.peers.insert(index, PeerLoad { vm: vm.clone(), figure, at }),
        }
    }

    /// Returns the counts at a server that has restarted: none run there. What this VM last reported
    /// stays, as the next sum over all VMs still includes it.
    pub(crate) fn restarted(self) -> Self {
        Self { reported: self.reported, ..Self::default() }
    }

    /// Drops the count of another VM.
    pub(crate) fn remove_peer(&mut self, vm: &VmName) {
        if let Ok(found) = self.peers.binary_search_by(|peer| peer.vm.cmp(vm)) {
            self.peers.remove(found);
        }
    }

    /// Records the sum over all VMs, as received from the aggregator.
    pub(crate) fn fleet(&mut self, figure: LoadFigure, at: TimePoint) {
        self.fleet = Some((figure, at));
    }

    /// Records that this VM's count was reported to the aggregator.
    pub(crate) fn mark_reported(&mut self) {
        self.reported = self.own;
    }

    /// Returns the other VMs' requests according to the aggregator's last valid sum, and when it
    /// was received.
    fn others(&self, now: TimePoint) -> Option<(LoadFigure, TimePoint)> {
        let (figure, at) = self.fleet.filter(|(_, at)| now.since(*at) < FLEET_TTL_US)?;
        Some((figure.saturating_minus(self.reported), at))
    }

    fn valid_peers(&self, ttl_us: u64, now: TimePoint) -> impl Iterator<Item = &PeerLoad> {
        self.peers.iter().filter(move |peer| now.since(peer.at) < ttl_us)
    }

    /// Returns the requests of all VMs, as far as this VM knows.
    pub(crate) fn all(&self, now: TimePoint) -> LoadFigure {
        if let Some((others, _)) = self.others(now) {
            return self.own.plus(others);
        }
        let peers = self.valid_peers(PEER_LOAD_TTL_US, now);
        peers.fold(self.own, |sum, peer| sum.plus(peer.figure))
    }

    /// Estimates the prompt tokens that the server still has to process: other VMs' counts are
    /// reduced by what it has processed since they were reported.
    pub(crate) fn pending_prompt_tokens(&self, rate: PrefillRate, now: TimePoint) -> u64 {
        let remaining = |pending_prompt_tokens: u64, at: TimePoint| {
            let age_us = now.since(at).saturating_sub(UNREDUCED_US);
            pending_prompt_tokens.saturating_sub(rate.tokens_in(age_us))
        };
        if let Some((others, at)) = self.others(now) {
            return self.own.pending_prompt_tokens + remaining(others.pending_prompt_tokens, at);
        }
        let peers = self.valid_peers(PEER_LOAD_TTL_US, now);
        self.own.pending_prompt_tokens
            + peers.map(|peer| remaining(peer.figure.pending_prompt_tokens, peer.at)).sum::<u64>()
    }

    /// Returns the requests of this VM and of the VMs that report to it.
    pub(crate) fn members(&self, now: TimePoint) -> LoadFigure {
        let members = self.valid_peers(MEMBER_TTL_US, now);
        members.fold(self.own, |sum, peer| sum.plus(peer.figure))
    }
}
