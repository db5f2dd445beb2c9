//! Determines to which servers this VM may send orders.
//!
//! The platform assigns numbered partitions of the fleet to the members of a group, and increases a
//! generation with each change. A server belongs to the partition that its name hashes to; the
//! generation is the fencing number of orders. Two rules prevent two VMs from alternately sending
//! orders to one server:
//!
//! * a VM stops when its last renewal is older than the lifetime that it requested. The clock used
//!   advances while the VM is suspended, so that a VM stops as soon as it resumes;
//! * a VM that gains a partition waits until orders of the previous holder must have ended, counted
//!   from the last adapter list received from that holder, or else from the gain.
//!
//! While the store is unavailable to all, no partition can be assigned to another VM, so holders
//! continue: a VM whose lease has expired sends orders as long as most VMs that it knows report
//! that they cannot reach the store. When one of them reaches it again, the VM stops, well before
//! the waiting time of a new holder ends.
//!
//! A process that restarts within its lifetime still holds its partitions but no longer knows since
//! when. It keeps a [`LeaseRecord`] in the platform's store: if the generation there is still the
//! current one, no other VM can have held the partitions that it names.

use crate::id::{ServerName, TimePoint, stable_hash};
use crate::value;

value! {
    /// Partition of the fleet, as assigned by the platform.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct FleetPartition {
        /// Number of its topic.
        pub topic: u32,
        /// Partition number within the topic.
        #[serde(rename = "part")]
        pub partition: u32,
    }

    /// Number of partitions, and times of their leases.
    #[derive(Copy, Eq)]
    pub struct LeaseSettings {
        /// Number of topics with partitions.
        pub topics: u32,
        /// Number of partitions in each topic.
        #[serde(rename = "parts")]
        pub partitions: u32,
        /// Time after which the platform reassigns the partitions of an unresponsive member, in
        /// microseconds.
        pub lifetime_us: u64,
        /// Minimum time between the last order of one holder and the first of the next, in
        /// microseconds.
        #[serde(rename = "pause_us")]
        pub takeover_delay_us: u64,
    }
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { topics: 4, partitions: 12, lifetime_us: 3_000_000, takeover_delay_us: 4_000_000 }
    }
}

value! {
    /// Partitions that a VM held for certain, stored so that they are known after a restart.
    #[derive(Eq, Default)]
    pub struct LeaseRecord {
        /// Generation at which they were held.
        pub generation: u64,
        /// Partitions whose servers the VM could send orders to.
        #[serde(rename = "shares")]
        pub partitions: Vec<FleetPartition>,
    }
}

/// Generation of a group with its first member.
const FIRST_GENERATION: u64 = 1;

#[derive(Clone, Copy, Debug)]
struct HeldPartition {
    partition: FleetPartition,
    active_from: TimePoint,
    /// Since when this process has held it without a break; 0 if no other one ever has.
    since: TimePoint,
}

/// Reachability of the platform's store, as reported by other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutage {
    /// Most VMs reported recently, and none of them can reach the store.
    ForAll,
    /// Some VM can reach the store, or too few reported.
    Unconfirmed,
}

/// Maximum age of the last message from a VM that counts as a witness, in microseconds: a few
/// messages in small fleets, one in large ones. The next holder waits more than twice as long.
const WITNESS_TTL_US: u64 = 1_500_000;
/// Minimum time for which a witness must not have reached the store, in microseconds; longer than
/// its usual interval between calls.
const WITNESS_UNREACHED_US: u64 = 1_600_000;

/// State of another VM, as evidence for an outage of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreWitness {
    /// Time of the last message from it.
    pub last_seen: TimePoint,
    /// Time of its last successful call to the store, on this process's clock.
    pub reached_at: TimePoint,
}

/// Determines whether the store is unavailable to all. `witnesses` are all other known VMs.
#[must_use]
pub fn assess_outage(witnesses: &[StoreWitness], now: TimePoint) -> StoreOutage {
    let fresh = |witness: &&StoreWitness| now.since(witness.last_seen) < WITNESS_TTL_US;
    let fresh: Vec<&StoreWitness> = witnesses.iter().filter(fresh).collect();
    let unreached =
        fresh.iter().all(|witness| now.since(witness.reached_at) > WITNESS_UNREACHED_US);
    // This VM counts too, so half of the others is a majority of all. A VM without others can't
    // tell an outage of the store from its own disconnection.
    let enough = !fresh.is_empty() && 2 * fresh.len() >= witnesses.len();
    if enough && unreached { StoreOutage::ForAll } else { StoreOutage::Unconfirmed }
}

/// Evidence that no other VM can have sent orders to the servers of a gained partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GainedSince {
    /// Nothing is known of the previous holder.
    Unknown,
    /// The whole system starts for the first time.
    FirstStart,
    /// This VM held the partitions in this record before its process restarted.
    Restart(LeaseRecord),
}

impl GainedSince {
    fn covers(&self, generation: u64, partition: FleetPartition) -> bool {
        match self {
            Self::Unknown => false,
            Self::FirstStart => true,
            Self::Restart(record) => {
                record.generation == generation && record.partitions.contains(&partition)
            }
        }
    }
}

/// Partitions that this VM holds, and until when.
#[derive(Debug)]
pub struct OrderLease {
    settings: LeaseSettings,
    generation: u64,
    valid_until: TimePoint,
    /// Sorted by partition.
    held: Vec<HeldPartition>,
    /// Highest fencing number that a server rejected as too old; 0 if none.
    refused: u64,
}

impl OrderLease {
    /// Creates a state without partitions.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        let valid_until = TimePoint(0);
        Self { settings, generation: 0, valid_until, held: Vec::new(), refused: 0 }
    }

    /// Returns the generation to send with the next renewal.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies the reply to a renewal that was sent at `sent`. Partitions gained are active at once
    /// if `since` shows that no other VM can have sent orders, else after the waiting time.
    pub fn renewed(
        &mut self,
        sent: TimePoint,
        now: TimePoint,
        generation: u64,
        mut partitions: Vec<FleetPartition>,
        since: &GainedSince,
    ) {
        partitions.sort_unstable();
        let expired = now >= self.valid_until;
        let never_held = generation == FIRST_GENERATION && *since == GainedSince::FirstStart;
        let held = partitions.into_iter().map(|partition| {
            let before = self.held.binary_search_by_key(&partition, |held| held.partition);
            if let Ok(at) = before
                && !expired
            {
                return self.held[at];
            }
            let covered = since.covers(generation, partition);
            let delay_us = if covered { 0 } else { self.settings.takeover_delay_us };
            let since = if never_held { TimePoint(0) } else { now };
            HeldPartition { partition, active_from: now.plus(delay_us), since }
        });
        self.held = held.collect();
        self.generation = self.generation.max(generation);
        self.valid_until = sent.plus(self.settings.lifetime_us);
    }

    /// Records that a server rejected `fence` because it has seen a higher one.
    pub fn refused(&mut self, fence: u64) {
        self.refused = self.refused.max(fence);
    }

    /// Returns the fencing number for orders to `server`; `None` if this VM may not send any now.
    /// `other_at` is the time of the last report from another owner of the server, 0 if that is
    /// this VM; `None` if there is no list to rely on, so that the time since the gain decides.
    #[must_use]
    pub fn fence(
        &self,
        server: &ServerName,
        other_at: Option<TimePoint>,
        outage: StoreOutage,
        now: TimePoint,
    ) -> Option<u64> {
        let expired = now >= self.valid_until && outage == StoreOutage::Unconfirmed;
        if expired || self.generation <= self.refused {
            return None;
        }
        let partition = self.partition_of(server);
        let at = self.held.binary_search_by_key(&partition, |held| held.partition).ok()?;
        let from = match other_at {
            Some(other) => other.plus(self.settings.takeover_delay_us),
            None => self.held[at].active_from,
        };
        (now >= from).then_some(self.generation)
    }

    /// Returns whether a server is in a partition held by this VM, which need not be active.
    #[must_use]
    pub fn holds(&self, server: &ServerName) -> bool {
        let partition = self.partition_of(server);
        self.held.binary_search_by_key(&partition, |held| held.partition).is_ok()
    }

    /// Returns the partitions that this VM holds for certain now.
    #[must_use]
    pub fn record(&self, now: TimePoint) -> LeaseRecord {
        let active = self.held.iter().filter(|held| now >= held.active_from);
        let partitions = active.map(|held| held.partition).collect();
        LeaseRecord { generation: self.generation, partitions }
    }

    /// Returns when the first partition becomes active, if some are held and none is active yet.
    /// Until then the servers of reassigned partitions get no orders.
    #[must_use]
    pub fn first_active(&self, now: TimePoint) -> Option<TimePoint> {
        let first = self.held.iter().map(|held| held.active_from).min()?;
        (first > now).then_some(first)
    }

    /// Returns the fraction of all partitions that this process alone has held for `settled_us`.
    ///
    /// The fractions of all VMs never add up to more than one, whatever they know of each other: a
    /// previous holder stops within the lifetime of its last renewal, and this one counts a
    /// partition only after that lifetime and `settled_us`, unless no VM has held it before. Unlike
    /// orders, this does not go on while the store is away, since that is judged by what other VMs
    /// report.
    #[must_use]
    pub fn settled_fraction(&self, settled_us: u64, now: TimePoint) -> f64 {
        if now >= self.valid_until {
            return 0.0;
        }
        let wait_us = self.settings.lifetime_us + settled_us;
        let settled = self.held.iter().filter(|held| now.since(held.since) >= wait_us).count();
        settled as f64 / self.partition_count() as f64
    }

    /// Returns the fraction of all partitions that this VM holds, active or not.
    #[must_use]
    pub fn held_fraction(&self) -> f64 {
        self.held.len() as f64 / self.partition_count() as f64
    }

    /// Returns the number of partitions held, active or not.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn partition_of(&self, server: &ServerName) -> FleetPartition {
        let partitions = u64::from(self.settings.partitions.max(1));
        let number = stable_hash(&["share", server.as_str()]) % self.partition_count();
        FleetPartition {
            topic: (number / partitions) as u32,
            partition: (number % partitions) as u32,
        }
    }

    fn partition_count(&self) -> u64 {
        u64::from(self.settings.partitions.max(1)) * u64::from(self.settings.topics.max(1))
    }
}
