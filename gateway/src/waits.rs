//! Requests of this VM that wait for an adapter's load.

use std::sync::Arc;

use coltsfoothook_decision::id::{TimePoint, VmName};
use coltsfoothook_decision::order_tracker::WaitingRequests;
use coltsfoothook_decision::routing::AdapterKey;

use crate::state::Gateway;

/// Waiting requests, sorted by adapter, each with the time until which it can be served in time.
#[derive(Debug, Default)]
pub(crate) struct WaitList {
    waits: Vec<(AdapterKey, TimePoint)>,
}

impl WaitList {
    /// Returns the number of requests that wait for an adapter, and the latest time until which one
    /// can be served in time.
    pub(crate) fn of(&self, vm: &VmName, key: &AdapterKey) -> WaitingRequests {
        let from = self.waits.partition_point(|(other, _)| other < key);
        let waits = self.waits[from..].iter().take_while(|(other, _)| other == key);
        let newest = waits.clone().map(|(_, until)| *until).max().unwrap_or_default();
        let count = u32::try_from(waits.count()).unwrap_or(u32::MAX);
        WaitingRequests { vm: vm.clone(), count, in_time_until: newest }
    }
}

/// Guard that counts a waiting request until it is dropped.
pub(crate) struct WaitGuard {
    gateway: Arc<Gateway>,
    wait: (AdapterKey, TimePoint),
}

impl WaitGuard {
    /// Counts a request for `key` that can be served in time until `in_time`.
    pub(crate) fn new(gateway: &Arc<Gateway>, key: &AdapterKey, in_time: TimePoint) -> Self {
        let wait = (key.clone(), in_time);
        let waits = &mut gateway.view().waits.waits;
        let at = waits.partition_point(|other| *other < wait);
        waits.insert(at, wait.clone());
        Self { gateway: Arc::clone(gateway), wait }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let waits = &mut self.gateway.view().waits.waits;
        if let Ok(at) = waits.binary_search(&self.wait) {
            waits.remove(at);
        }
    }
}
