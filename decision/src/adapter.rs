//! Adapter versions that the owner has met, numbered so that decisions compare small integers.

use crate::id::{AdapterVersion, TimePoint};

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

/// All adapter versions met, found by binary search.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterTable {
    states: Vec<AdapterState>,
    sorted: Vec<u32>,
}

impl AdapterTable {
    pub(crate) fn find(&self, version: &AdapterVersion) -> Option<u32> {
        let found = self.search(version);
        found.ok().map(|at| self.sorted[at])
    }

    pub(crate) fn intern(&mut self, version: &AdapterVersion) -> u32 {
        match self.search(version) {
            Ok(at) => self.sorted[at],
            Err(at) => {
                let number = self.states.len() as u32;
                self.states.push(AdapterState::new(version.clone()));
                self.sorted.insert(at, number);
                number
            }
        }
    }

    fn search(&self, version: &AdapterVersion) -> Result<usize, usize> {
        self.sorted.binary_search_by(|&at| self.states[at as usize].version.cmp(version))
    }

    pub(crate) fn get(&self, number: u32) -> &AdapterState {
        &self.states[number as usize]
    }

    pub(crate) fn get_mut(&mut self, number: u32) -> &mut AdapterState {
        &mut self.states[number as usize]
    }
}
