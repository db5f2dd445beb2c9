//! Counts by text, bounded.

use coltsfoothook_decision::value;

value! {
    /// How often something happened under one text.
    #[derive(Eq)]
    pub struct TallyEntry {
        /// The text: an id, a key, a fingerprint.
        pub text: String,
        /// How often.
        pub count: u32,
    }
}

/// Counts by text. Texts beyond the limit are not counted.
pub(crate) struct BoundedTally {
    /// Sorted by text.
    entries: Vec<TallyEntry>,
    limit: usize,
}

impl BoundedTally {
    /// Counts up to `limit` texts.
    pub(crate) fn new(limit: usize) -> Self {
        Self { entries: Vec::new(), limit }
    }

    /// Adds one; returns how often `text` was counted so far, this time included.
    pub(crate) fn add(&mut self, text: &str) -> u32 {
        match self.find(text) {
            Ok(at) => {
                self.entries[at].count += 1;
                self.entries[at].count
            }
            Err(at) => {
                if self.entries.len() < self.limit {
                    self.entries.insert(at, TallyEntry { text: text.to_owned(), count: 1 });
                }
                1
            }
        }
    }

    /// How often `text` was counted.
    pub(crate) fn count(&self, text: &str) -> u32 {
        self.find(text).map_or(0, |at| self.entries[at].count)
    }

    /// All counts, sorted by text.
    pub(crate) fn entries(&self) -> &[TallyEntry] {
        &self.entries
    }

    fn find(&self, text: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.text.as_str().cmp(text))
    }
}
