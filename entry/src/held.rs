//! Register of the grants that this VM holds.
//!
//! A new owner of a group does not know the grants of its predecessor. It queries every VM and
//! evicts no inherited slot before all have answered from this register.

use std::sync::{Mutex, MutexGuard, PoisonError};

use coltsfoothook_decision::grant::{GrantId, HeldGrant};
use coltsfoothook_decision::id::OwnerEpoch;

/// Number of shards: low enough to visit all, high enough that lock contention is rare.
const SHARDS: usize = 16;

/// Held grants in shards by grant number, each with its own lock and sorted by grant id.
#[derive(Debug, Default)]
pub(crate) struct HeldGrants {
    shards: [Mutex<Vec<HeldGrant>>; SHARDS],
}

impl HeldGrants {
    /// Registers a grant; must happen before the request is sent.
    pub(crate) fn insert(&self, grant: HeldGrant) {
        let mut shard = self.shard(&grant.grant);
        let at = shard.partition_point(|held| held.grant < grant.grant);
        shard.insert(at, grant);
    }

    /// Removes a grant whose use has ended.
    pub(crate) fn remove(&self, id: &GrantId) {
        let mut shard = self.shard(id);
        if let Ok(at) = shard.binary_search_by(|held| held.grant.cmp(id)) {
            shard.remove(at);
        }
    }

    /// Returns the held grants of `group` from epochs before `epoch`, which a new owner must
    /// respect.
    pub(crate) fn before(&self, group: &str, epoch: OwnerEpoch) -> Vec<HeldGrant> {
        let mut found = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let older = shard
                .iter()
                .filter(|held| held.grant.group.as_str() == group && held.grant.epoch < epoch);
            found.extend(older.cloned());
        }
        found
    }

    /// Returns the number of held grants.
    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    fn shard(&self, id: &GrantId) -> MutexGuard<'_, Vec<HeldGrant>> {
        lock(&self.shards[(id.number % SHARDS as u64) as usize])
    }
}

/// Locks `mutex` and ignores poisoning, so that one panicked thread does not stop all others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
