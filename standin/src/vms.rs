//! The list of VMs, which shows each change only after a while.

use std::time::{Duration, Instant};

use coltsfoothook_decision::member::{ListedState, ListedVm};
use coltsfoothook_decision::value;

value! {
    /// A change of the list.
    pub enum VmChange {
        /// A VM is there, new or with another state or address.
        Put(ListedVm),
        /// A VM is about to be taken away.
        Leaving {
            /// Its name.
            name: String,
        },
        /// A VM is gone.
        Remove {
            /// Its name.
            name: String,
        },
    }
}

/// The list.
pub(crate) struct VmList {
    /// Sorted by name.
    shown: Vec<ListedVm>,
    /// In the order of their times.
    coming: Vec<(Instant, VmChange)>,
}

impl VmList {
    /// An empty list.
    pub(crate) fn new() -> Self {
        Self { shown: Vec::new(), coming: Vec::new() }
    }

    /// Notes a change that shows after `lag`. Later changes never show before earlier ones.
    pub(crate) fn change(&mut self, change: VmChange, now: Instant, lag: Duration) {
        let last = self.coming.last().map_or(now, |(at, _)| *at);
        self.coming.push(((now + lag).max(last), change));
    }

    /// What the list shows now.
    pub(crate) fn show(&mut self, now: Instant) -> Vec<ListedVm> {
        let due = self.coming.partition_point(|(at, _)| *at <= now);
        let changes: Vec<_> = self.coming.drain(..due).collect();
        for (_, change) in changes {
            self.apply(change);
        }
        self.shown.clone()
    }

    fn apply(&mut self, change: VmChange) {
        match change {
            VmChange::Put(vm) => match self.find(vm.name.as_str()) {
                Ok(at) => self.shown[at] = vm,
                Err(at) => self.shown.insert(at, vm),
            },
            VmChange::Leaving { name } => {
                if let Ok(at) = self.find(&name) {
                    self.shown[at].state = ListedState::Leaving;
                }
            }
            VmChange::Remove { name } => {
                if let Ok(at) = self.find(&name) {
                    self.shown.remove(at);
                }
            }
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.shown.binary_search_by(|vm| vm.name.as_str().cmp(name))
    }
}
