//! Adapter versions known to the owner, numbered so that decisions compare small integers.

use crate::id::{AdapterVersion, TimePoint, stable_hash};

/// Number of an adapter version at one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdapterIndex(pub(crate) u32);

/// Slot as decisions refer to it, by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotChoice {
    /// Index of the engine at the owner.
    pub server: u16,
    /// Index of the slot at the engine.
    pub slot: u16,
}

/// State of an adapter version at the owner.
#[derive(Clone, Debug)]
pub(crate) struct AdapterState {
    pub(crate) version: AdapterVersion,
    /// Slots that hold it or are to hold it.
    pub(crate) copies: Vec<SlotChoice>,
    /// Number of requests that wait for it.
    pub(crate) waiting: u32,
    /// Number of loads that failed in a row.
    pub(crate) failures: u32,
    /// Time before which no load is started, after a failed one.
    pub(crate) retry_at: TimePoint,
    /// Time until which it is reserved for a schedule and kept from eviction.
    pub(crate) reserved_until: TimePoint,
    usage_score: f64,
    used_at: TimePoint,
}

impl AdapterState {
    fn new(version: AdapterVersion) -> Self {
        Self {
            version,
            copies: Vec::new(),
            waiting: 0,
            failures: 0,
            retry_at: TimePoint::default(),
            reserved_until: TimePoint::default(),
            usage_score: 0.0,
            used_at: TimePoint::default(),
        }
    }

    /// Returns its number of requests, exponentially decayed by age.
    pub(crate) fn usage_score(&self, now: TimePoint, decay_micros: f64) -> f64 {
        self.usage_score * (-(now.since(self.used_at) as f64) / decay_micros).exp()
    }

    /// Counts a request.
    pub(crate) fn record_use(&mut self, now: TimePoint, decay_micros: f64) {
        self.usage_score = self.usage_score(now, decay_micros) + 1.0;
        self.used_at = now;
    }
}

/// All known adapter versions, found by binary search over their hashes. Comparing contiguous
/// numbers touches far less memory than comparing names.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterTable {
    states: Vec<AdapterState>,
    sorted: Vec<(u64, u32)>,
}

impl AdapterTable {
    pub(crate) fn find(&self, version: &AdapterVersion) -> Option<u32> {
        self.search(hash_of(version), version).ok()
    }

    /// Returns the number of `version`, adding it if it is new.
    pub(crate) fn intern(&mut self, version: &AdapterVersion) -> u32 {
        let hash = hash_of(version);
        match self.search(hash, version) {
            Ok(number) => number,
            Err(at) => {
                let number = self.states.len() as u32;
                self.states.push(AdapterState::new(version.clone()));
                self.sorted.insert(at, (hash, number));
                number
            }
        }
    }

    /// Returns the number of `version`, or else the index at which to insert it.
    fn search(&self, hash: u64, version: &AdapterVersion) -> Result<u32, usize> {
        let start = self.sorted.partition_point(|entry| entry.0 < hash);
        let same = self.sorted[start..].iter().take_while(|entry| entry.0 == hash);
        for entry in same {
            if self.states[entry.1 as usize].version == *version {
                return Ok(entry.1);
            }
        }
        Err(start)
    }

    pub(crate) fn get(&self, number: u32) -> &AdapterState {
        &self.states[number as usize]
    }

    pub(crate) fn get_mut(&mut self, number: u32) -> &mut AdapterState {
        &mut self.states[number as usize]
    }
}

fn hash_of(version: &AdapterVersion) -> u64 {
    stable_hash(&[version.adapter.as_str(), version.version.as_str()])
}
