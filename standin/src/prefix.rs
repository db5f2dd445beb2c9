//! The prefix cache of the model engine stand-in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use coltsfoothook_decision::id::stable_hash;
use coltsfoothook_engine::{CacheEvent, CacheEventKind, CacheEventPage};

/// Size of a cache block in bytes of the prompt.
const BLOCK_BYTES: usize = 64;
/// Number of bytes of a prompt that count as one token.
const TOKEN_BYTES: usize = 4;
/// Maximum number of events kept for readers.
const EVENT_LIMIT: usize = 4_096;
/// Divisor of the capacity that gives the number of blocks evicted at once. Evicting single blocks
/// would need a search for each.
const EVICTION_DIVISOR: usize = 8;

/// LRU cache of prompt blocks with the events about them.
pub(crate) struct PrefixCache {
    /// Sorted by hash.
    blocks: Vec<CachedBlock>,
    /// Maximum number of blocks.
    limit: usize,
    /// Number of prompts used so far.
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
    /// Every n-th event is lost; 0 loses none.
    gap_every: u64,
}

struct CachedBlock {
    /// Hash of the label and of the prompt up to the end of the block.
    hash: u64,
    /// Value of the cache's clock at the last use.
    last_used: u64,
}

/// Returns the number of tokens in a prompt, at least 1.
pub(crate) fn token_count(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX).max(1)
}

impl PrefixCache {
    /// Creates an empty cache with a capacity of `tokens` tokens.
    pub(crate) fn new(tokens: u32, gap_every: u64) -> Self {
        let limit = tokens as usize * TOKEN_BYTES / BLOCK_BYTES;
        Self {
            blocks: Vec::new(),
            limit: limit.max(EVICTION_DIVISOR),
            clock: 0,
            events: VecDeque::new(),
            next_event: 0,
            gap_every,
        }
    }

    /// Drops all blocks and events, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.events.clear();
        self.next_event = 0;
    }

    /// Stores a prompt and returns how many tokens of its prefix were already cached.
    pub(crate) fn use_prompt(&mut self, label: &str, prompt: &str, now: Instant) -> u32 {
        self.clock += 1;
        let mut chain = stable_hash(&[label]);
        let mut cached = 0;
        let mut hit = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            chain = xor_hash(chain, block);
            let found = self.touch(chain, now);
            hit &= found;
            if hit {
                cached += (BLOCK_BYTES / TOKEN_BYTES) as u32;
            }
        }
        cached
    }

    /// Returns the events from number `from` on that are at least `lag` old.
    pub(crate) fn events(&self, from: u64, now: Instant, lag: Duration) -> CacheEventPage {
        let visible = |at: &Instant| now.saturating_duration_since(*at) >= lag;
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| event.number >= from && visible(at))
            .map(|(_, event)| *event)
            .collect();
        let next = events.last().map_or(from, |event| event.number + 1);
        CacheEventPage { events, next }
    }

    /// Marks a block as used, storing it if it is missing; returns whether it was cached.
    fn touch(&mut self, hash: u64, now: Instant) -> bool {
        match self.blocks.binary_search_by_key(&hash, |block| block.hash) {
            Ok(at) => {
                self.blocks[at].last_used = self.clock;
                true
            }
            Err(at) => {
                self.blocks.insert(at, CachedBlock { hash, last_used: self.clock });
                self.record_event(CacheEventKind::Stored, hash, now);
                if self.blocks.len() > self.limit {
                    self.evict(now);
                }
                false
            }
        }
    }

    /// Evicts the least recently used blocks.
    fn evict(&mut self, now: Instant) {
        let mut last_uses: Vec<u64> = self.blocks.iter().map(|block| block.last_used).collect();
        let (_, cutoff, _) = last_uses.select_nth_unstable(self.limit / EVICTION_DIVISOR);
        let cutoff = *cutoff;
        let mut evicted = Vec::new();
        self.blocks.retain(|block| {
            let kept = block.last_used > cutoff;
            if !kept {
                evicted.push(block.hash);
            }
            kept
        });
        for hash in evicted {
            self.record_event(CacheEventKind::Evicted, hash, now);
        }
    }

    /// Records an event, or skips its number if it is to be lost.
    fn record_event(&mut self, kind: CacheEventKind, prefix: u64, now: Instant) {
        let number = self.next_event;
        self.next_event += 1;
        if self.gap_every > 0 && number % self.gap_every == self.gap_every - 1 {
            return;
        }
        if self.events.len() >= EVENT_LIMIT {
            self.events.pop_front();
        }
        self.events.push_back((now, CacheEvent { number, kind, prefix }));
    }
}

fn xor_hash(chain: u64, block: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(block);
    chain.rotate_left(7) ^ stable_hash(&[&text])
}
