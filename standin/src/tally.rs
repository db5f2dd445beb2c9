//! Bounded counts by text.

use coltsfoothook_decision::value;

value! {
    /// Count of a text.
    #[derive(Eq)]
    pub struct TallyEntry {
        /// The text: an id, an idempotency key or a hash.
        pub text: String,
        /// How often the text was counted.
        pub count: u32,
    }
}

/// Counts by text. Once the limit is reached, new texts are not counted.
pub(crate) struct BoundedTally {
    /// Sorted by text.
    entries: Vec<TallyEntry>,
    limit: usize,
}

impl BoundedTally {
    /// Creates a tally of at most `limit` texts.
    pub(crate) fn new(limit: usize) -> Self {
        Self { entries: Vec::new(), limit }
    }

    /// Counts `text` and returns its count, which is 1 for a text beyond the limit.
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

    /// Returns how often `text` was counted.
    pub(crate) fn count(&self, text: &str) -> u32 {
        self.find(text).map_or(0, |at| self.entries[at].count)
    }

    /// Returns all counts, sorted by text.
    pub(crate) fn entries(&self) -> &[TallyEntry] {
        &self.entries
    }

    fn find(&self, text: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.text.as_str().cmp(text))
    }
}
