//! Customers of a configuration: their keys, the priority of their requests, and their limits.
//!
//! Only hashes of keys are stored. docs/KEYS.md describes the revocation of keys.

use crate::credential::{CredentialHash, CredentialTable};
use crate::id::CustomerName;
use crate::routing::ModelNeed;
use crate::value;

value! {
    /// Customer as listed in the configuration.
    pub struct CustomerPlan {
        /// Name of the customer, which is sent to servers.
        pub name: CustomerName,
        /// Hashes of the keys that the customer's callers may use.
        pub keys: Vec<CredentialHash>,
        /// Priority of the customer's requests, 0 being the highest; `None` if only the priority of
        /// the route applies.
        pub priority: Option<u8>,
        /// Limit over all VMs; `None` means unlimited.
        pub limit: Option<FleetLimit>,
    }

    /// Limit over all VMs: a token bucket of size `burst` that fills at `per_second`.
    #[derive(Copy)]
    pub struct FleetLimit {
        /// Fill rate per second, in the unit of `measure`.
        pub per_second: f64,
        /// Size of the bucket, in the unit of `measure`.
        pub burst: f64,
        /// Unit of the limit.
        pub measure: LimitMeasure,
    }

    /// Unit in which a limit counts requests.
    #[derive(Copy)]
    pub enum LimitMeasure {
        /// One per request.
        Requests,
        /// Tokens: those of the prompt plus the maximum to generate.
        Tokens {
            /// Cost of a request that states no tokens.
            plain: f64,
        },
    }
}

impl LimitMeasure {
    /// Returns the cost of a request in this unit. Without `need`, or with zero tokens, the `plain`
    /// cost applies.
    #[must_use]
    pub fn cost(self, need: Option<&ModelNeed>) -> f64 {
        let Self::Tokens { plain } = self else { return 1.0 };
        match need.map(ModelNeed::tokens) {
            Some(tokens) if tokens > 0 => tokens as f64,
            _ => plain,
        }
    }
}

/// Customers of one configuration, indexed by key.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CustomerTable {
    /// Sorted by name.
    plans: Vec<CustomerPlan>,
    /// Indices into `plans`.
    keys: CredentialTable<u32>,
}

impl CustomerTable {
    /// Creates a table of `plans` in any order. A key that two customers list belongs to the first
    /// by name.
    #[must_use]
    pub fn new(mut plans: Vec<CustomerPlan>) -> Self {
        plans.sort_by(|a, b| a.name.cmp(&b.name));
        let keys = plans.iter().zip(0..).flat_map(|(plan, at)| {
            // The last match wins in the table, so the first customer by name goes last.
            plan.keys.iter().map(move |key| (*key, at))
        });
        let mut keys: Vec<(CredentialHash, u32)> = keys.collect();
        keys.reverse();
        Self { keys: CredentialTable::new(keys), plans }
    }

    /// Returns whether there are no customers, in which case requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.plans.is_empty()
    }

    /// Returns the customer that a key belongs to, or `None` for an unknown key.
    #[must_use]
    pub fn holder(&self, key: &CredentialHash) -> Option<&CustomerPlan> {
        self.plans.get(*self.keys.find_hash(key)? as usize)
    }

    /// Returns all customers, sorted by name.
    #[must_use]
    pub fn plans(&self) -> &[CustomerPlan] {
        &self.plans
    }
}
