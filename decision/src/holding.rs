//! Adapters in a server's slots.

use crate::id::TimePoint;
use crate::routing::AdapterKey;
use crate::value;

value! {
    /// Adapter in a slot of a server.
    #[derive(Eq, Default)]
    pub struct AdapterHolding {
        /// Model and name of the adapter.
        pub key: AdapterKey,
        /// Version that is held or being loaded.
        pub version: u64,
        /// Time from which it can be used, on this process's clock.
        pub usable_from: TimePoint,
        /// Usage score of the adapter at the server, as counted by the server's owner.
        #[serde(rename = "heat")]
        pub usage_score: u32,
        /// Whether it was loaded from the server's own memory and not from the weight store.
        pub from_memory: bool,
    }
}

/// Adapters that one server holds or that are in flight to it, sorted by key.
///
/// A choice checks every server of a service for one adapter, and nearly all of them lack it. The
/// filter rejects most of those without comparing names, which took a third of a choice's time for
/// a hundred servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldAdapters {
    holdings: Vec<AdapterHolding>,
    /// One bit for each adapter, by the hash of its name; several adapters may have the same bit.
    filter: u64,
}

impl HeldAdapters {
    pub(crate) fn new(mut holdings: Vec<AdapterHolding>) -> Self {
        holdings.sort_by(|a, b| a.key.cmp(&b.key));
        let filter = holdings.iter().fold(0, |filter, holding| filter | filter_bit(&holding.key));
        Self { holdings, filter }
    }

    pub(crate) fn all(&self) -> &[AdapterHolding] {
        &self.holdings
    }

    pub(crate) fn find(&self, key: &AdapterKey) -> Option<&AdapterHolding> {
        if self.filter & filter_bit(key) == 0 {
            return None;
        }
        let at = self.holdings.binary_search_by(|holding| holding.key.cmp(key)).ok()?;
        Some(&self.holdings[at])
    }

    /// Removes an adapter. Its filter bit stays, because another adapter may have the same one.
    pub(crate) fn remove(&mut self, key: &AdapterKey) {
        self.holdings.retain(|holding| holding.key != *key);
    }
}

/// Returns the filter bit of an adapter. Names are short, so that a plain polynomial hash is cheap.
fn filter_bit(key: &AdapterKey) -> u64 {
    let bytes = key.adapter.as_str().bytes();
    let sum = bytes.fold(0u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
    1 << (sum % 64)
}
