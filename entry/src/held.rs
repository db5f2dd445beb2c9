//! The grants that this VM holds now.
//!
//! A new owner of a group knows nothing of the grants that its predecessor gave. It asks every VM
//! and evicts no inherited slot before all have answered; this register is what they answer from.

use std::sync::{Mutex, MutexGuard, PoisonError};

use coltsfoothook_decision::grant::{GrantId, HeldGrant};
use coltsfoothook_decision::id::OwnerEpoch;

/// Few enough to be cheap to visit, many enough that requests seldom meet on a lock.
const SHARDS: usize = 16;

/// Grants held, in shards by grant number, each under its own lock and sorted by grant.
#[derive(Debug, Default)]
pub(crate) struct HeldGrants {
    shards: [Mutex<Vec<HeldGrant>>; SHARDS],
}

impl HeldGrants {
    /// Notes a grant before the request is sent.
    pub(crate) fn insert(&self, grant: HeldGrant) {
        let mut shard = self.shard(&grant.grant);
        let at = shard.partition_point(|held| held.grant < grant.grant);
        shard.insert(at, grant);
    }

    /// Forgets a grant whose use has ended.
    pub(crate) fn remove(&self, id: &GrantId) {
        let mut shard = self.shard(id);
        if let Ok(at) = shard.binary_search_by(|held| held.grant.cmp(id)) {
            shard.remove(at);
        }
    }

    /// The grants of `group` that a new owner must respect: all of epochs before its own.
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

    /// How many grants are held.
    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    fn shard(&self, id: &GrantId) -> MutexGuard<'_, Vec<HeldGrant>> {
        lock(&self.shards[(id.number % SHARDS as u64) as usize])
    }
}

/// Locks `mutex`; a thread that panicked while it held the lock must not stop all others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
