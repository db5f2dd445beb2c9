//! The list of VMs, in which changes appear with a delay.

use std::time::{Duration, Instant};

use coltsfoothook_decision::member::{ListedState, ListedVm};
use coltsfoothook_decision::value;

value! {
    /// A change of the list of VMs.
    pub enum VmChange {
        /// Adds a VM or replaces its entry.
        Put(ListedVm),
        /// Marks a VM as leaving.
        Leaving {
            /// The VM's name.
            name: String,
        },
        /// Removes a VM.
        Remove {
            /// The VM's name.
            name: String,
        },
    }
}

/// The list of VMs with its pending changes.
pub(crate) struct VmList {
    /// The visible list, sorted by name.
    entries: Vec<ListedVm>,
    /// Changes that are not yet visible, in order of the times at which they become so.
    pending: Vec<(Instant, VmChange)>,
}

impl VmList {
    /// Creates an empty list.
    pub(crate) fn new() -> Self {
        Self { entries: Vec::new(), pending: Vec::new() }
    }

    /// Records a change that becomes visible after `lag`, but not before earlier changes.
    pub(crate) fn change(&mut self, change: VmChange, now: Instant, lag: Duration) {
        let last = self.pending.last().map_or(now, |(at, _)| *at);
        self.pending.push(((now + lag).max(last), change));
    }

    /// Applies the changes that are due and returns the visible list.
    pub(crate) fn visible(&mut self, now: Instant) -> Vec<ListedVm> {
        let due = self.pending.partition_point(|(at, _)| *at <= now);
        let changes: Vec<_> = self.pending.drain(..due).collect();
        for (_, change) in changes {
            self.apply(change);
        }
        self.entries.clone()
    }

    fn apply(&mut self, change: VmChange) {
        match change {
            VmChange::Put(vm) => match self.find(vm.name.as_str()) {
                Ok(at) => self.entries[at] = vm,
                Err(at) => self.entries.insert(at, vm),
            },
            VmChange::Leaving { name } => {
                if let Ok(at) = self.find(&name) {
                    self.entries[at].state = ListedState::Leaving;
                }
            }
            VmChange::Remove { name } => {
                if let Ok(at) = self.find(&name) {
                    self.entries.remove(at);
                }
            }
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|vm| vm.name.as_str().cmp(name))
    }
}
