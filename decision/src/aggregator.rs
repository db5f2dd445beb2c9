//! Which VM aggregates for a failure domain of a large fleet, and which one a VM reports to.
//!
//! The first live VM by rank aggregates. While VMs differ on who that is, two or none may. A VM takes
//! over only with a state of the fleet that it received recently: one that has just started, or that
//! heard nothing while it was frozen or cut off, would send its domain outdated bucket states. It
//! follows the acting aggregator first, and takes over from it. docs/LIMITS.md, "When an aggregator
//! hands over".

use crate::domain_update::UPDATE_INTERVAL_US;
use crate::id::{TimePoint, VmName};

/// How long an aggregator counts as acting after its last update, in microseconds. The next one in
/// rank takes over then; buckets remain valid until its first update.
const ACTING_TTL_US: u64 = 2 * UPDATE_INTERVAL_US;
/// Additional ranks that a VM without a recent state waits for.
const UNINFORMED_RANKS: u64 = 3;
/// Time without a message from another VM, in microseconds, after which this one considers itself
/// frozen or cut off. In a large fleet dozens arrive in a second.
const ISOLATED_US: u64 = 450_000;
/// How long a recipient counts as new, in microseconds: some reports may be lost.
const NEW_RECIPIENT_US: u64 = 1_000_000;

/// This VM's role in its failure domain.
#[derive(Clone, Debug, Default)]
pub struct AggregatorRole {
    /// Aggregators of the domain that sent updates recently, and when they last did; sorted by VM.
    updates: Vec<(VmName, TimePoint)>,
    last_update_at: TimePoint,
    heard_at: TimePoint,
    /// Since when messages arrive without a gap.
    connected_since: TimePoint,
    /// Whether this VM has followed an aggregator, or been one, since then.
    is_informed: bool,
    aggregates: bool,
    /// When it last sent an update to the domain.
    sent_at: TimePoint,
}

impl AggregatorRole {
    /// Returns whether this VM aggregates.
    #[must_use]
    pub fn aggregates(&self) -> bool {
        self.aggregates
    }

    /// Records that a message from another VM arrived.
    pub fn record_contact(&mut self, now: TimePoint) {
        if now.since(self.heard_at) > ISOLATED_US {
            self.connected_since = now;
            self.is_informed = false;
        }
        self.heard_at = now;
    }

    /// Records an update from an aggregator of the domain.
    pub fn record_update(&mut self, vm: &VmName, now: TimePoint) {
        self.record_contact(now);
        self.last_update_at = now;
        self.updates.retain(|(_, at)| now.since(*at) < ACTING_TTL_US);
        match self.updates.binary_search_by(|(known, _)| known.cmp(vm)) {
            Ok(at) => self.updates[at].1 = now,
            Err(at) => self.updates.insert(at, (vm.clone(), now)),
        }
    }

    /// Records that this VM adopted the state of an aggregator.
    pub fn record_adoption(&mut self) {
        self.is_informed = true;
    }

    /// Determines whether this VM aggregates, with `ahead` others before it in rank, in a fleet that has
    /// been large since `large_since`. The first one does at once, the others once no aggregator has
    /// sent an update for a time that grows with the rank, so that not all start together.
    pub fn update(&mut self, ahead: usize, large_since: TimePoint, now: TimePoint) -> bool {
        if now.since(self.heard_at) > ISOLATED_US {
            self.is_informed = false;
        }
        let last = self.last_update_at.max(large_since).max(self.connected_since);
        let idle_us = now.since(last);
        let ranks = match self.is_informed {
            true if ahead == 0 => return self.set(true),
            true => ahead as u64 - 1,
            false => ahead as u64 + UNINFORMED_RANKS,
        };
        self.set(idle_us > ACTING_TTL_US + UPDATE_INTERVAL_US * ranks)
    }

    /// Returns whether an update is to be sent to the domain now. A VM that was frozen or cut off sends
    /// none before it knows whether another one aggregates.
    pub fn take_due_update(&mut self, now: TimePoint) -> bool {
        let due = self.aggregates
            && now.since(self.sent_at) >= UPDATE_INTERVAL_US
            && now.since(self.heard_at) <= ISOLATED_US;
        if due {
            self.sent_at = now;
        }
        due
    }

    /// Ends the role, as when this VM leaves or the fleet is small.
    pub fn step_down(&mut self) {
        self.aggregates = false;
    }

    fn set(&mut self, aggregates: bool) -> bool {
        self.aggregates = aggregates;
        self.is_informed |= aggregates;
        aggregates
    }

    /// Returns the aggregator that this VM follows: of those that sent updates recently, the first by
    /// `rank`. All VMs of a domain report to the same one while two aggregate, so that no usage is
    /// counted by both.
    pub fn followed<R: Ord>(&self, now: TimePoint, rank: impl Fn(&VmName) -> R) -> Option<&VmName> {
        let acting = self.updates.iter().filter(|(_, at)| now.since(*at) < ACTING_TTL_US);
        acting.map(|(vm, _)| vm).min_by_key(|vm| rank(vm))
    }

    /// Records that an aggregator ended its role or left.
    pub fn record_end(&mut self, vm: &VmName) {
        self.updates.retain(|(known, _)| known != vm);
        self.last_update_at = self.updates.iter().map(|(_, at)| *at).max().unwrap_or_default();
    }
}

/// Recipients of reports, and since when each has been one.
#[derive(Clone, Debug)]
pub struct RecentRecipients<T> {
    /// Recipient, first and last report; sorted by recipient.
    recipients: Vec<(T, TimePoint, TimePoint)>,
}

impl<T> Default for RecentRecipients<T> {
    fn default() -> Self {
        Self { recipients: Vec::new() }
    }
}

impl<T: Ord> RecentRecipients<T> {
    /// Records a report to a recipient. Returns whether it may hold no earlier one, and needs the base
    /// of the totals.
    pub fn record(&mut self, recipient: T, now: TimePoint) -> bool {
        self.recipients.retain(|(_, _, last)| now.since(*last) < NEW_RECIPIENT_US);
        match self.recipients.binary_search_by(|(known, _, _)| known.cmp(&recipient)) {
            Ok(at) => {
                let (_, first, last) = &mut self.recipients[at];
                *last = now;
                now.since(*first) < NEW_RECIPIENT_US
            }
            Err(at) => {
                self.recipients.insert(at, (recipient, now, now));
                true
            }
        }
    }

    /// Forgets a recipient that ended or began a role: it holds no earlier report.
    pub fn forget(&mut self, recipient: &T) {
        self.recipients.retain(|(known, _, _)| known != recipient);
    }

    /// Forgets all recipients, when this VM's totals start anew.
    pub fn clear(&mut self) {
        self.recipients.clear();
    }
}
