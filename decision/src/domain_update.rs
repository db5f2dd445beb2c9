//! Updates that an aggregator sends to the VMs of its failure domain.
//!
//! In a large fleet, sending every list of a server's adapters to every VM at each change would
//! cost a number of messages that grows with VMs times loads, and exchanging request counts between
//! all VMs would cost VMs times VMs. Instead one VM per failure domain aggregates. VMs that manage
//! servers report their lists to the aggregators, each VM reports its counts to its own aggregator,
//! aggregators exchange the sums of their domains, and each sends the changes to its domain several
//! times a second. docs/FLEETS.md has the costs.

use crate::backend::{BackendState, BackendTable, ServerOwner};
use crate::counts::LoadFigure;
use crate::holding::AdapterHolding;
use crate::id::{ServerName, TimePoint, VmName};
use crate::routing::AdapterKey;
use crate::value;

/// Interval between two updates of an aggregator, in microseconds. It bounds how stale a VM's
/// counts of other VMs' requests are; a prompt of a thousand tokens takes some 50 ms to process.
pub const UPDATE_INTERVAL_US: u64 = 150_000;
/// Interval after which an unchanged server is reported again, in microseconds. The report shows
/// that its owner is alive and how many adapters could be loaded. A third of the time for which an
/// owner is assumed to be alive.
const KEEPALIVE_INTERVAL_US: u64 = 1_050_000;
/// Interval between two complete lists of a server, in microseconds, for VMs that missed a change.
const FULL_LIST_INTERVAL_US: u64 = 6_000_000;
/// Age up to which an owner's list is forwarded, in microseconds.
const OWNER_REPORT_TTL_US: u64 = 1_800_000;
/// Validity of the sums of another aggregator, in microseconds. They are repeated with each of its
/// updates.
const SUMS_TTL_US: u64 = 1_500_000;

value! {
    /// Adapter in a slot of a server, as VMs report it to each other.
    #[derive(Eq)]
    pub struct ListedHolding {
        /// The adapter.
        pub key: AdapterKey,
        /// Version of the adapter.
        pub version: u64,
        /// Milliseconds until the adapter can be used; 0 if it already can.
        pub usable_in_ms: u32,
        /// Usage score of the adapter at this server.
        #[serde(rename = "heat")]
        pub usage_score: u32,
        /// Whether the adapter was loaded from the server's own memory.
        pub from_memory: bool,
    }

    /// Complete list of a server's adapters, or the changes since an earlier revision.
    #[derive(Eq)]
    pub struct ListChange {
        /// The server.
        pub server: ServerName,
        /// Incarnation of the server.
        #[serde(rename = "born")]
        pub incarnation: u64,
        /// VM that manages the server.
        pub vm: VmName,
        /// Fencing number of that VM.
        pub fence: u64,
        /// Revision of the list after this change.
        pub revision: u64,
        /// Revision that this change applies to; `None` for a complete list.
        pub base: Option<u64>,
        /// Number of adapters that could be loaded now.
        pub free: u32,
        /// All adapters of a complete list, otherwise the new and changed ones.
        pub adapters: Vec<ListedHolding>,
        /// Adapters that the server no longer holds.
        pub dropped: Vec<AdapterKey>,
    }
}

impl ListedHolding {
    /// Returns `holding` as it is reported at `now`.
    #[must_use]
    pub fn of(holding: &AdapterHolding, now: TimePoint) -> Self {
        let usable_in_us = holding.usable_from.since(now);
        Self {
            key: holding.key.clone(),
            version: holding.version,
            usable_in_ms: u32::try_from(usable_in_us.div_ceil(1_000)).unwrap_or(u32::MAX),
            usage_score: holding.usage_score,
            from_memory: holding.from_memory,
        }
    }

    fn into_holding(self, now: TimePoint) -> AdapterHolding {
        AdapterHolding {
            key: self.key,
            version: self.version,
            usable_from: now.plus(u64::from(self.usable_in_ms) * 1_000),
            usage_score: self.usage_score,
            from_memory: self.from_memory,
        }
    }
}

impl BackendTable {
    /// Applies a complete list or a change of one, and returns whether the list was updated. A
    /// change to a revision that is not present is dropped; the next complete list replaces it.
    pub fn change(&mut self, change: ListChange, now: TimePoint) -> bool {
        let ListChange { server, incarnation, vm, fence, revision, base, free, adapters, dropped } =
            change;
        let owner = ServerOwner { vm, incarnation, fence, at: now, free };
        let mut holdings: Vec<AdapterHolding> =
            adapters.into_iter().map(|listed| listed.into_holding(now)).collect();
        if let Some(base) = base {
            let Some(state) = self.get_mut(server.as_str()) else { return false };
            if state.list_revision != (fence, base) {
                // The message still shows that the owner is alive.
                if state.owner.as_ref().is_some_and(|known| known.is_same(&owner)) {
                    state.owner = Some(owner);
                }
                return false;
            }
            let changed = |key: &AdapterKey| holdings.iter().any(|holding| holding.key == *key);
            let is_kept =
                |held: &&AdapterHolding| !dropped.contains(&held.key) && !changed(&held.key);
            let kept: Vec<AdapterHolding> =
                state.holdings().iter().filter(is_kept).cloned().collect();
            holdings.extend(kept);
        }
        self.apply_list(server.as_str(), owner, revision, holdings)
    }

    /// Returns for each server the requests of this VM and of the VMs that report theirs to it.
    #[must_use]
    pub fn member_loads(&self, now: TimePoint) -> Vec<(ServerName, LoadFigure)> {
        let load = |state: &BackendState| (state.entry.server.clone(), state.counts.members(now));
        self.servers().iter().map(load).collect()
    }
}

/// Maximum number of entries in one message, some ten kilobytes. After a start the lists of all
/// servers are sent, and those of several hundred servers would exceed the size of a datagram.
const MAX_MESSAGE_ENTRIES: usize = 400;

/// Splits lists into messages of bounded size. Returns at least one part, which may be empty; a
/// single list is never split.
#[must_use]
pub fn split_lists(lists: Vec<ListChange>) -> Vec<Vec<ListChange>> {
    let mut parts = vec![Vec::new()];
    let mut listed = 0;
    for list in lists {
        let size = 1 + list.adapters.len() + list.dropped.len();
        if listed > 0 && listed + size > MAX_MESSAGE_ENTRIES {
            parts.push(Vec::new());
            listed = 0;
        }
        listed += size;
        if let Some(last) = parts.last_mut() {
            last.push(list);
        }
    }
    parts
}

/// The list of a server as last sent.
#[derive(Clone, Debug)]
struct SentList {
    server: ServerName,
    incarnation: u64,
    revision: (u64, u64),
    holdings: Vec<AdapterHolding>,
    sent_at: TimePoint,
    full_sent_at: TimePoint,
}

/// Sums received from another aggregator.
#[derive(Clone, Debug)]
struct ReceivedSums {
    vm: VmName,
    loads: Vec<(ServerName, LoadFigure)>,
    at: TimePoint,
}

/// State of an aggregator: what it sent to its domain and received from other aggregators.
#[derive(Clone, Debug, Default)]
pub struct UpdateWriter {
    /// Sorted by server.
    sent: Vec<SentList>,
    /// Sorted by VM.
    sums: Vec<ReceivedSums>,
    /// Servers whose requests were sent, with how many more times they are sent; sorted by server.
    reported: Vec<(ServerName, u8)>,
    /// Index of the server whose list is checked first in the next round.
    first_checked: usize,
}

/// How many times a server's count is sent after it dropped to zero, since a message may be lost.
const IDLE_REPORTS: u8 = 3;

impl UpdateWriter {
    /// Stores the sums of another aggregator, sorted by server.
    pub fn set_sums(&mut self, vm: &VmName, loads: Vec<(ServerName, LoadFigure)>, now: TimePoint) {
        let sums = ReceivedSums { vm: vm.clone(), loads, at: now };
        match self.sums.binary_search_by(|sums| sums.vm.cmp(vm)) {
            Ok(at) => self.sums[at] = sums,
            Err(at) => self.sums.insert(at, sums),
        }
    }

    /// Returns the requests of all VMs at each server: those of the own domain plus the valid sums
    /// of other aggregators.
    pub fn fleet_loads(
        &mut self,
        domain: &[(ServerName, LoadFigure)],
        now: TimePoint,
    ) -> Vec<(ServerName, LoadFigure)> {
        self.sums.retain(|sums| now.since(sums.at) < SUMS_TTL_US);
        let sum = |(server, own): &(ServerName, LoadFigure)| {
            let others = self.sums.iter().filter_map(|sums| {
                let at = sums.loads.binary_search_by(|(other, _)| other.cmp(server)).ok()?;
                Some(sums.loads[at].1)
            });
            (server.clone(), others.fold(*own, LoadFigure::plus))
        };
        domain.iter().map(sum).collect()
    }

    /// Selects the request counts to send now: those of servers that have requests or had some
    /// recently. If there are more than `max`, those with the most unread tokens are sent: most
    /// servers of a large fleet are idle plain services, whose counts would fill the aggregator's
    /// link.
    pub fn loads_to_send(
        &mut self,
        mut fleet: Vec<(ServerName, LoadFigure)>,
        max: usize,
    ) -> Vec<(ServerName, LoadFigure)> {
        let previous = std::mem::take(&mut self.reported);
        fleet.retain(|(server, figure)| {
            let at = previous.binary_search_by(|(known, _)| known.cmp(server));
            let left = match at {
                _ if *figure != LoadFigure::default() => IDLE_REPORTS,
                Ok(at) => previous[at].1 - 1,
                Err(_) => 0,
            };
            if left > 0 {
                self.reported.push((server.clone(), left));
            }
            left > 0 || at.is_ok()
        });
        self.reported.sort_unstable();
        if fleet.len() > max {
            fleet.sort_by_key(|(_, figure)| {
                std::cmp::Reverse((figure.pending_prompt_tokens, figure.running))
            });
            fleet.truncate(max);
        }
        fleet
    }

    /// Returns the list changes to send now, about `max` entries; the last list may exceed it. The
    /// rest follows in the next round: after a start all lists are new, and sending them at once to
    /// all VMs of a domain would saturate the aggregator's link for seconds, during which it would
    /// appear dead.
    pub fn list_changes(
        &mut self,
        table: &BackendTable,
        max: usize,
        now: TimePoint,
    ) -> Vec<ListChange> {
        self.sent.retain(|sent| table.get(sent.server.as_str()).is_some());
        let servers = table.servers();
        let start = self.first_checked.min(servers.len());
        let (second, first) = servers.split_at(start);
        let mut changes = Vec::new();
        let (mut listed, mut checked) = (0, 0);
        for state in first.iter().chain(second).filter(|state| !state.leaving) {
            if listed >= max {
                break;
            }
            checked += 1;
            let Some(change) = self.change(state, now) else { continue };
            listed += 1 + change.adapters.len() + change.dropped.len();
            changes.push(change);
        }
        self.first_checked = if servers.is_empty() { 0 } else { (start + checked) % servers.len() };
        changes
    }

    fn change(&mut self, state: &BackendState, now: TimePoint) -> Option<ListChange> {
        let owner =
            state.owner.as_ref().filter(|owner| now.since(owner.at) < OWNER_REPORT_TTL_US)?;
        let server = &state.entry.server;
        let found = self.sent.binary_search_by(|sent| sent.server.cmp(server));
        let sent = found.ok().map(|at| &self.sent[at]);
        let sent = sent
            .filter(|sent| sent.incarnation == owner.incarnation && sent.revision.0 == owner.fence);
        let sent = sent.filter(|sent| now.since(sent.full_sent_at) < FULL_LIST_INTERVAL_US);
        let changed = sent.is_none_or(|sent| sent.revision != state.list_revision);
        if !changed && sent.is_some_and(|sent| now.since(sent.sent_at) < KEEPALIVE_INTERVAL_US) {
            return None;
        }
        let previous = sent.map_or(&[][..], |sent| sent.holdings.as_slice());
        let (adapters, dropped) = difference(previous, state.holdings(), now);
        let change = ListChange {
            server: server.clone(),
            incarnation: owner.incarnation,
            vm: owner.vm.clone(),
            fence: owner.fence,
            revision: state.list_revision.1,
            base: sent.map(|sent| sent.revision.1),
            free: owner.free,
            adapters,
            dropped,
        };
        let full_sent_at = sent.map_or(now, |sent| sent.full_sent_at);
        let list = SentList {
            server: server.clone(),
            incarnation: owner.incarnation,
            revision: state.list_revision,
            holdings: state.holdings().to_vec(),
            sent_at: now,
            full_sent_at,
        };
        match found {
            Ok(at) => self.sent[at] = list,
            Err(at) => self.sent.insert(at, list),
        }
        Some(change)
    }
}

/// Differences in the usable time below this are attributed to the transit time of the list.
const TRANSIT_TOLERANCE_US: u64 = 5_000;

/// Returns whether the time from which an adapter can be used changed.
fn usable_time_changed(previous: TimePoint, after: TimePoint, now: TimePoint) -> bool {
    let (previous, after) = (previous.since(now), after.since(now));
    previous.abs_diff(after) > TRANSIT_TOLERANCE_US
}

/// Returns the adapters that are new or changed, and those that were removed, both sorted by
/// adapter. Changes of the usage score alone are left out, since it changes with each request;
/// complete lists carry it.
fn difference(
    previous: &[AdapterHolding],
    after: &[AdapterHolding],
    now: TimePoint,
) -> (Vec<ListedHolding>, Vec<AdapterKey>) {
    let find = |among: &[AdapterHolding], key: &AdapterKey| {
        among.binary_search_by(|holding| holding.key.cmp(key)).ok()
    };
    let is_new = |holding: &&AdapterHolding| {
        find(previous, &holding.key).is_none_or(|at| {
            let old = &previous[at];
            old.version != holding.version
                || usable_time_changed(old.usable_from, holding.usable_from, now)
        })
    };
    let new = after.iter().filter(is_new).map(|holding| ListedHolding::of(holding, now));
    let removed = previous.iter().filter(|holding| find(after, &holding.key).is_none());
    (new.collect(), removed.map(|holding| holding.key.clone()).collect())
}
