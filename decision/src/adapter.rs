//! Adapter versions that the owner has met, numbered so that decisions compare small integers.

use crate::id::{AdapterVersion, TimePoint, stable_hash};

/// An adapter version's number at one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdapterIndex(pub(crate) u32);

/// A slot by its place: the form in which decisions name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotChoice {
    /// The engine's place at the owner.
    pub server: u16,
    /// The slot's place at the engine.
    pub slot: u16,
}

/// What the owner knows of an adapter version.
#[derive(Clone, Debug)]
pub(crate) struct AdapterState {
    pub(crate) version: AdapterVersion,
    /// Every slot that holds it or is to hold it.
    pub(crate) copies: Vec<SlotChoice>,
    /// Requests that wait for it.
    pub(crate) waiting: u32,
    /// Loads that failed in a row.
    pub(crate) failures: u32,
    /// No load before then.
    pub(crate) retry_at: TimePoint,
    /// Kept from eviction until then, because a schedule needs it.
    pub(crate) kept_until: TimePoint,
    heat: f64,
    heated_at: TimePoint,
}

impl AdapterState {
    fn new(version: AdapterVersion) -> Self {
        Self {
            version,
            copies: Vec::new(),
            waiting: 0,
            failures: 0,
            retry_at: TimePoint::default(),
            kept_until: TimePoint::default(),
            heat: 0.0,
            heated_at: TimePoint::default(),
        }
    }

    /// Its requests of late, each counted less the older it is.
    pub(crate) fn heat(&self, now: TimePoint, decay_micros: f64) -> f64 {
        self.heat * (-(now.since(self.heated_at) as f64) / decay_micros).exp()
    }

    /// Counts a request.
    pub(crate) fn touch(&mut self, now: TimePoint, decay_micros: f64) {
        self.heat = self.heat(now, decay_micros) + 1.0;
        self.heated_at = now;
    }
}

/// All adapter versions met, found by binary search over their hashes: comparing numbers that lie
/// side by side touches far less memory than comparing names.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterTable {
    states: Vec<AdapterState>,
    sorted: Vec<(u64, u32)>,
}

impl AdapterTable {
    pub(crate) fn find(&self, version: &AdapterVersion) -> Option<u32> {
        self.search(hash_of(version), version).ok()
    }

    /// The number of `version`, which is met for the first time or was met before.
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

    /// The number of `version`, or else the place where it belongs.
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
