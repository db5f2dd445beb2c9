//! Counts a request at the server that it was sent to.

use std::sync::Arc;

use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::routing::AdapterKey;

use crate::clock;
use crate::peer;
use crate::state::Gateway;

/// Counts a request for as long as it lives, whatever way it ends.
pub(crate) struct SentCount {
    gateway: Arc<Gateway>,
    server: ServerName,
    /// The life of the server.
    incarnation: u64,
    adapter: Option<AdapterKey>,
    pending_prompt_tokens: u64,
    pub(crate) sent_at: TimePoint,
    /// Tokens that the server had to read before it.
    pub(crate) ahead: u64,
}

impl SentCount {
    /// Counts a request at `server` from now on, which reads `pending_prompt_tokens` tokens for it.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        server: &ServerName,
        incarnation: u64,
        adapter: Option<AdapterKey>,
        pending_prompt_tokens: u64,
    ) -> Self {
        let gateway = Arc::clone(gateway);
        let mut beliefs = gateway.beliefs();
        let now = clock::now();
        let ahead = beliefs.backends.sent(server.as_str(), pending_prompt_tokens, now);
        if pending_prompt_tokens > 0 {
            beliefs.load_changed(server);
        }
        let first = adapter.as_ref().filter(|key| beliefs.uses.begin(server, incarnation, key));
        drop(beliefs);
        if pending_prompt_tokens > 0 {
            peer::tell_loads_now(&gateway);
        }
        if let Some(key) = first {
            peer::tell_use(&gateway, server, incarnation, key);
        }
        Self {
            gateway,
            server: server.clone(),
            incarnation,
            adapter,
            pending_prompt_tokens,
            sent_at: now,
            ahead,
        }
    }

    /// The prompt was read.
    pub(crate) fn read(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prompt_tokens);
        if tokens == 0 {
            return;
        }
        let waited_us = clock::now().since(self.sent_at);
        let mut beliefs = self.gateway.beliefs();
        beliefs.backends.read(self.server.as_str(), tokens, (self.ahead == 0).then_some(waited_us));
        beliefs.load_changed(&self.server);
        drop(beliefs);
        self.gateway.loads_changed.notify_one();
        // Requests that were held back for this prompt look again.
        self.gateway.own_read.notify_waiters();
    }
}

impl Drop for SentCount {
    fn drop(&mut self) {
        let mut beliefs = self.gateway.beliefs();
        beliefs.backends.ended(self.server.as_str(), self.pending_prompt_tokens);
        if self.pending_prompt_tokens > 0 {
            beliefs.load_changed(&self.server);
        }
        let last = self
            .adapter
            .as_ref()
            .filter(|key| beliefs.uses.end(&self.server, self.incarnation, key));
        drop(beliefs);
        if let Some(key) = last {
            peer::tell_use(&self.gateway, &self.server, self.incarnation, key);
        }
    }
}
