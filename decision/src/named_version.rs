//! Versions of an adapter that the operators named, and which of them requests may run on.
//!
//! Each version must be in use within a time of its own acknowledgement. Operators may name the next
//! one before the former is loaded anywhere: a request that had to run on the former at once, only
//! since a later one was named, would wait for a load that it need not wait for.

use crate::id::TimePoint;

/// Maximum number of versions that are not yet required. Of more, the oldest is required at once,
/// which loads it earlier than necessary but keeps its time.
const MAX_LATER: usize = 16;

/// The versions of one adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedVersions {
    /// The version that requests must run on at least, apart from later ones that are due.
    required: u64,
    /// Later versions with the time at which this VM learned of each; both grow.
    later: Vec<(u64, TimePoint)>,
}

impl NamedVersions {
    /// Creates the versions of an adapter of which none was known. When the first was named is not
    /// known, so that it is required at once.
    #[must_use]
    pub fn first(version: u64) -> Self {
        Self { required: version, later: Vec::new() }
    }

    /// Records that this VM learned of a version at `now`. Returns whether it is newer than all
    /// known ones; others are ignored.
    pub fn name(&mut self, version: u64, now: TimePoint) -> bool {
        if version <= self.newest() {
            return false;
        }
        self.later.push((version, now));
        if self.later.len() > MAX_LATER {
            self.required = self.later.remove(0).0;
        }
        true
    }

    /// Returns the newest version.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.later.last().map_or(self.required, |(version, _)| *version)
    }

    /// Returns the oldest version that a request may run on at `now`, if each is required
    /// `allowed_us` after it was named.
    #[must_use]
    pub fn oldest(&self, allowed_us: u64, now: TimePoint) -> u64 {
        let due = self.later.iter().rev().find(|(_, at)| now.since(*at) >= allowed_us);
        due.map_or(self.required, |(version, _)| *version)
    }

    /// Drops the times of versions that are required by now.
    pub fn settle(&mut self, allowed_us: u64, now: TimePoint) {
        self.required = self.oldest(allowed_us, now);
        self.later.retain(|(version, _)| *version > self.required);
    }
}
