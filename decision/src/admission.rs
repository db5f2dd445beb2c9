//! Check of a request's key.
//!
//! A key is accepted only at a VM whose configuration was recently confirmed to be the newest
//! ([`crate::freshness`]). Callers treat a rejected key as final, so no verdict here says that a
//! key is wrong: an unknown key may belong to a configuration that this VM has not received yet.

use crate::credential::CredentialHash;
use crate::customer::CustomerPlan;
use crate::freshness::ConfigConfirmation;
use crate::id::TimePoint;
use crate::routing::{RouteTable, ServingRoute};

/// Result of checking a request's key against the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyVerdict<'a> {
    /// The request may run, on account of this customer; `None` on a public route without a
    /// confirmed key, or if no customers are configured.
    Admitted(Option<&'a CustomerPlan>),
    /// No customer of the configuration in force has the key.
    Unknown,
    /// A customer has the key, but the configuration is unconfirmed: the key may have been revoked.
    Unconfirmed,
}

/// Maximum number of wrong keys that are remembered.
const MAX_WRONG_KEYS: usize = 1_024;

/// Cache of keys known to be revoked or never valid. Callers often continue to use such keys, and
/// without the cache each use would require a query whether a newer configuration has the key.
#[derive(Clone, Debug, Default)]
pub struct WrongKeys {
    /// Oldest first.
    keys: Vec<CredentialHash>,
}

impl WrongKeys {
    /// Returns whether a key is known to be wrong.
    #[must_use]
    pub fn contains(&self, key: &CredentialHash) -> bool {
        self.keys.contains(key)
    }

    /// Records a wrong key. The oldest one is dropped if the cache is full.
    pub fn insert(&mut self, key: CredentialHash) {
        if self.contains(&key) {
            return;
        }
        self.keys.push(key);
        let excess = self.keys.len().saturating_sub(MAX_WRONG_KEYS);
        self.keys.drain(..excess);
    }

    /// Updates the cache after a change of configuration: keys of the old one that the new one
    /// lacks are added, and keys that the new one has are removed.
    pub fn apply_config(&mut self, before: &RouteTable, now: &RouteTable) {
        for key in before.customers().plans().iter().flat_map(|plan| &plan.keys) {
            self.insert(*key);
        }
        self.keys.retain(|key| now.customers().holder(key).is_none());
    }
}

/// Checks the key of a request on a route.
#[must_use]
pub fn check_key<'a>(
    table: &'a RouteTable,
    route: &ServingRoute,
    key: Option<&CredentialHash>,
    confirmation: &ConfigConfirmation,
    now: TimePoint,
) -> KeyVerdict<'a> {
    if table.customers().is_empty() {
        return KeyVerdict::Admitted(None);
    }
    let holder = key.and_then(|key| table.customers().holder(key));
    let valid = confirmation.is_valid(now);
    match holder {
        _ if route.public => KeyVerdict::Admitted(holder.filter(|_| valid)),
        Some(plan) if valid => KeyVerdict::Admitted(Some(plan)),
        Some(_) => KeyVerdict::Unconfirmed,
        None => KeyVerdict::Unknown,
    }
}
