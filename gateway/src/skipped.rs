//! Records that could not be read, each logged once.
//!
//! Other programs write to the platform's topics too. What they write is read again with every snapshot,
//! and some write it anew each second; a line for each time would hide the log's other lines.

/// Keys that are remembered. With more, the oldest may be logged again.
const MOST_KEYS: usize = 256;

/// The keys whose record could not be read, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct SkippedKeys {
    keys: Vec<String>,
}

impl SkippedKeys {
    /// A record could not be read; true if that is new.
    pub(crate) fn is_new(&mut self, key: &str) -> bool {
        if self.keys.iter().any(|known| known == key) {
            return false;
        }
        if self.keys.len() >= MOST_KEYS {
            self.keys.remove(0);
        }
        self.keys.push(key.to_owned());
        true
    }

    /// A record of that key can be read.
    pub(crate) fn readable(&mut self, key: &str) {
        self.keys.retain(|known| known != key);
    }
}
