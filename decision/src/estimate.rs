//! Estimates of the whole fleet from what single VMs observe.
//!
//! Each VM sees a small part of the fleet's requests. VMs report what they observed since their last
//! report; the aggregator of a failure domain adds the reports up, passes them on to the other
//! aggregators, and sends its VMs the fleet's estimates, which those adopt. Observations decay, so
//! that a lost or repeated report changes an estimate slightly and for a short time only, and a VM
//! that takes over as aggregator goes on from the estimates that it adopted. docs/FLEETS.md,
//! "Estimates", has the messages and what they cost.

use serde::{Deserialize, Serialize};

use crate::id::{MICROS_PER_MILLI, TimePoint};

/// Weight below which an estimate is dropped, in observations.
const MIN_COUNT: f32 = 0.05;

/// How one kind of estimate is kept and sent.
#[derive(Clone, Copy, Debug)]
pub struct EstimateSettings {
    /// Time in which the weight of an observation halves, in milliseconds.
    pub half_life_ms: u64,
    /// Largest number of keys that are kept; those with the least weight are dropped.
    pub max_keys: usize,
    /// Largest number of entries in one report.
    pub max_reported: usize,
    /// Largest number of entries in one update to followers.
    pub max_sent: usize,
}

impl Default for EstimateSettings {
    fn default() -> Self {
        Self { half_life_ms: 5_000, max_keys: 1_024, max_reported: 12, max_sent: 12 }
    }
}

/// Observations of one key: their weighted count and sum.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EstimateEntry<K> {
    /// What was observed.
    pub key: K,
    /// Number of observations.
    pub count: f32,
    /// Sum of the observed values.
    pub sum: f32,
}

#[derive(Clone, Debug)]
struct EstimateRow<K> {
    entry: EstimateEntry<K>,
    /// The time to which the entry has decayed.
    at: TimePoint,
    /// When it was last sent to followers.
    sent_at: TimePoint,
}

/// Estimates of one kind, as one VM knows them.
#[derive(Clone, Debug)]
pub struct FleetEstimates<K> {
    settings: EstimateSettings,
    /// Sorted by key.
    rows: Vec<EstimateRow<K>>,
    /// Observations that were not reported yet, sorted by key.
    unreported: Vec<EstimateEntry<K>>,
}

impl<K: Clone + Ord> FleetEstimates<K> {
    /// Creates estimates without observations.
    #[must_use]
    pub fn new(settings: EstimateSettings) -> Self {
        Self { settings, rows: Vec::new(), unreported: Vec::new() }
    }

    /// Records an observation of this VM.
    pub fn observe(&mut self, now: TimePoint, key: &K, value: f32) {
        let entry = EstimateEntry { key: key.clone(), count: 1.0, sum: value };
        self.add(now, &entry);
        self.add_unreported(&entry);
    }

    /// Returns the entries to report, at most [`EstimateSettings::max_reported`] with the most
    /// observations. The others follow with the next reports.
    pub fn take_report(&mut self) -> Vec<EstimateEntry<K>> {
        let max = self.settings.max_reported;
        if self.unreported.len() <= max {
            return std::mem::take(&mut self.unreported);
        }
        let mut entries = std::mem::take(&mut self.unreported);
        entries.sort_by(|a, b| b.count.total_cmp(&a.count));
        self.unreported = entries.split_off(max);
        self.unreported.sort_by(|a, b| a.key.cmp(&b.key));
        entries
    }

    /// Adds the report of another VM. An aggregator that receives it from a VM of its own domain
    /// reports it on to the other domains.
    pub fn apply_report(&mut self, now: TimePoint, entries: &[EstimateEntry<K>], pass_on: bool) {
        for entry in entries.iter().filter(|entry| entry.is_sound()) {
            self.add(now, entry);
            if pass_on {
                self.add_unreported(entry);
            }
        }
    }

    /// Returns the entries for followers, at most [`EstimateSettings::max_sent`]: those that were not
    /// sent for the longest time, the heaviest of them first.
    pub fn take_update(&mut self, now: TimePoint) -> Vec<EstimateEntry<K>> {
        self.decay_all(now);
        let mut order: Vec<usize> = (0..self.rows.len()).collect();
        let rank = |at: &usize| {
            let row = &self.rows[*at];
            let age_ms = now.since(row.sent_at) / MICROS_PER_MILLI;
            f64::from(row.entry.count) * age_ms as f64
        };
        order.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        order.truncate(self.settings.max_sent);
        order.sort_unstable();
        for at in &order {
            self.rows[*at].sent_at = now;
        }
        order.into_iter().map(|at| self.rows[at].entry.clone()).collect()
    }

    /// Adopts entries from the aggregator, which include this VM's reports.
    pub fn adopt(&mut self, now: TimePoint, entries: &[EstimateEntry<K>]) {
        for entry in entries.iter().filter(|entry| entry.is_sound()) {
            let row = EstimateRow { entry: entry.clone(), at: now, sent_at: TimePoint(0) };
            match self.find(&entry.key) {
                Ok(at) => self.rows[at] = row,
                Err(_) => self.insert(row),
            }
        }
    }

    /// Returns the estimate of a key: the weighted count and sum of its observations.
    #[must_use]
    pub fn get(&self, now: TimePoint, key: &K) -> Option<EstimateEntry<K>> {
        let row = &self.rows[self.find(key).ok()?];
        let factor = self.factor(row.at, now);
        let EstimateEntry { key, count, sum } = row.entry.clone();
        Some(EstimateEntry { key, count: count * factor, sum: sum * factor })
    }

    /// Returns all estimates, sorted by key.
    pub fn all(&mut self, now: TimePoint) -> impl Iterator<Item = &EstimateEntry<K>> {
        self.decay_all(now);
        self.rows.iter().map(|row| &row.entry)
    }

    /// Drops keys that no longer exist.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.rows.retain(|row| keep(&row.entry.key));
        self.unreported.retain(|entry| keep(&entry.key));
    }

    fn add(&mut self, now: TimePoint, entry: &EstimateEntry<K>) {
        match self.find(&entry.key) {
            Ok(at) => {
                let factor = self.factor(self.rows[at].at, now);
                let row = &mut self.rows[at];
                row.entry.count = row.entry.count * factor + entry.count;
                row.entry.sum = row.entry.sum * factor + entry.sum;
                row.at = now;
            }
            Err(_) => {
                let row = EstimateRow { entry: entry.clone(), at: now, sent_at: TimePoint(0) };
                self.insert(row);
            }
        }
    }

    fn add_unreported(&mut self, entry: &EstimateEntry<K>) {
        match self.unreported.binary_search_by(|known| known.key.cmp(&entry.key)) {
            Ok(at) => {
                self.unreported[at].count += entry.count;
                self.unreported[at].sum += entry.sum;
            }
            Err(_) if self.unreported.len() >= self.settings.max_keys => {}
            Err(at) => self.unreported.insert(at, entry.clone()),
        }
    }

    /// Inserts a row. If there are too many, the lightest ones are dropped before, an eighth at a time,
    /// so that not every new key searches for one.
    fn insert(&mut self, row: EstimateRow<K>) {
        if self.rows.len() >= self.settings.max_keys {
            self.decay_all(row.at);
            let kept = self.settings.max_keys - self.settings.max_keys.div_ceil(8);
            self.rows.sort_by(|a, b| b.entry.count.total_cmp(&a.entry.count));
            self.rows.truncate(kept);
            self.rows.sort_by(|a, b| a.entry.key.cmp(&b.entry.key));
        }
        let at = self.rows.partition_point(|known| known.entry.key < row.entry.key);
        self.rows.insert(at, row);
    }

    fn decay_all(&mut self, now: TimePoint) {
        let half_life_ms = self.settings.half_life_ms;
        for row in &mut self.rows {
            let factor = decay_factor(half_life_ms, row.at, now);
            row.entry.count *= factor;
            row.entry.sum *= factor;
            row.at = now;
        }
        self.rows.retain(|row| row.entry.count > MIN_COUNT);
    }

    fn factor(&self, from: TimePoint, to: TimePoint) -> f32 {
        decay_factor(self.settings.half_life_ms, from, to)
    }

    fn find(&self, key: &K) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.entry.key.cmp(key))
    }
}

fn decay_factor(half_life_ms: u64, from: TimePoint, to: TimePoint) -> f32 {
    let age = to.since(from) as f32 / (half_life_ms * MICROS_PER_MILLI) as f32;
    0.5_f32.powf(age)
}

impl<K> EstimateEntry<K> {
    /// Returns the mean observed value.
    #[must_use]
    pub fn mean(&self) -> f32 {
        self.sum / self.count
    }

    /// Returns whether a received entry can be counted.
    fn is_sound(&self) -> bool {
        self.count.is_finite() && self.sum.is_finite() && self.count > 0.0 && self.sum >= 0.0
    }
}
