//! Keys of records that could not be parsed, so that each is logged once.
//!
//! Other programs write to the platform's topics too. Their records are read again with every
//! snapshot, and some are rewritten every second; logging each time would flood the log.

/// Number of keys kept. Beyond it the oldest is dropped and may be logged again.
const MAX_KEYS: usize = 256;

/// Keys whose record could not be parsed, oldest first.
#[derive(Debug, Default)]
pub(crate) struct SkippedKeys {
    keys: Vec<String>,
}

impl SkippedKeys {
    /// Records a key whose record could not be parsed. Returns whether it is new.
    pub(crate) fn record(&mut self, key: &str) -> bool {
        if self.keys.iter().any(|known| known == key) {
            return false;
        }
        if self.keys.len() >= MAX_KEYS {
            self.keys.remove(0);
        }
        self.keys.push(key.to_owned());
        true
    }

    /// Drops a key whose record can be parsed again.
    pub(crate) fn clear(&mut self, key: &str) {
        self.keys.retain(|known| known != key);
    }
}
