//! The prefix cache of the model engine stand-in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use coltsfoothook_decision::id::stable_hash;
use coltsfoothook_engine::{CacheEvent, CacheEventKind, CacheEventPage};

/// Bytes of a prompt that make a block of the cache, and the tokens that these count for.
const BLOCK_BYTES: usize = 64;
/// Bytes of a prompt that count as one token.
const TOKEN_BYTES: usize = 4;
/// How many events are kept for those who read late.
const EVENT_LIMIT: usize = 4_096;
/// The share of the blocks that makes room at once, as a divisor; one block at a time would cost a
/// search each.
const EVICTED_SHARE: usize = 8;

/// Cached blocks, and events about them.
pub(crate) struct PrefixCache {
    /// Sorted by hash.
    blocks: Vec<CachedBlock>,
    limit: usize,
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
    /// Every so many-th event is lost; 0 loses none.
    gap_every: u64,
}

struct CachedBlock {
    hash: u64,
    used: u64,
}

/// How many tokens a prompt counts for.
pub(crate) fn token_count(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX).max(1)
}

impl PrefixCache {
    /// An empty cache for `tokens` tokens.
    pub(crate) fn new(tokens: u32, gap_every: u64) -> Self {
        let limit = tokens as usize * TOKEN_BYTES / BLOCK_BYTES;
        Self {
            blocks: Vec::new(),
            limit: limit.max(EVICTED_SHARE),
            clock: 0,
            events: VecDeque::new(),
            next_event: 0,
            gap_every,
        }
    }

    /// Forgets all blocks, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.events.clear();
        self.next_event = 0;
    }

    /// Looks a prompt up and stores it; returns how many of its tokens were cached.
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

    /// Events from number `from` on that are at least `lag` old.
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

    fn touch(&mut self, hash: u64, now: Instant) -> bool {
        match self.blocks.binary_search_by_key(&hash, |block| block.hash) {
            Ok(at) => {
                self.blocks[at].used = self.clock;
                true
            }
            Err(at) => {
                self.blocks.insert(at, CachedBlock { hash, used: self.clock });
                self.publish(CacheEventKind::Stored, hash, now);
                if self.blocks.len() > self.limit {
                    self.evict(now);
                }
                false
            }
        }
    }

    fn evict(&mut self, now: Instant) {
        let mut ages: Vec<u64> = self.blocks.iter().map(|block| block.used).collect();
        let (_, bound, _) = ages.select_nth_unstable(self.limit / EVICTED_SHARE);
        let bound = *bound;
        let mut gone = Vec::new();
        self.blocks.retain(|block| {
            let stays = block.used > bound;
            if !stays {
                gone.push(block.hash);
            }
            stays
        });
        for hash in gone {
            self.publish(CacheEventKind::Evicted, hash, now);
        }
    }

    fn publish(&mut self, kind: CacheEventKind, prefix: u64, now: Instant) {
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
