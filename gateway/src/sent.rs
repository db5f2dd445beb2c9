//! Counts requests at the servers that they were sent to.

use std::sync::Arc;

use coltsfoothook_decision::backend::BackendState;
use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::routing::AdapterKey;

use crate::clock;
use crate::peer;
use crate::state::Gateway;

/// Counts a request at a server and its adapter until it is dropped, however the request ends.
pub(crate) struct SentCount {
    gateway: Arc<Gateway>,
    server: ServerName,
    /// The start time of the server when the request was sent, as in its entry.
    incarnation: u64,
    adapter: Option<AdapterKey>,
    /// Prompt tokens of the request that the server has not read yet.
    pending_prompt_tokens: u64,
    pub(crate) sent_at: TimePoint,
    /// Prompt tokens of other requests that the server had to read first when this one was sent.
    pub(crate) ahead: u64,
}

impl SentCount {
    /// Counts a request at `server` from now on. `pending_prompt_tokens` is the number of its
    /// prompt tokens.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        server: &ServerName,
        incarnation: u64,
        adapter: Option<AdapterKey>,
        pending_prompt_tokens: u64,
    ) -> Self {
        let gateway = Arc::clone(gateway);
        let mut view = gateway.view();
        let now = clock::now();
        let ahead = view.backends.sent(server.as_str(), pending_prompt_tokens, now);
        let brittle = view.backends.get(server.as_str()).is_some_and(BackendState::is_brittle);
        let reported = pending_prompt_tokens > 0 || brittle;
        if reported {
            view.load_changed(server);
        }
        let first = adapter.as_ref().filter(|key| view.uses.begin(server, incarnation, key));
        drop(view);
        if reported {
            peer::report_loads_now(&gateway);
        }
        if let Some(key) = first {
            peer::report_use(&gateway, server, incarnation, key);
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

    /// Records that the server has read the prompt. Later calls have no effect.
    pub(crate) fn read(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prompt_tokens);
        if tokens == 0 {
            return;
        }
        let waited_us = clock::now().since(self.sent_at);
        let mut view = self.gateway.view();
        view.backends.prompt_processed(
            self.server.as_str(),
            tokens,
            (self.ahead == 0).then_some(waited_us),
        );
        view.load_changed(&self.server);
        drop(view);
        self.gateway.loads_changed.notify_one();
        // Wakes requests that are held back until this prompt is read.
        self.gateway.own_prompt_read.notify_waiters();
    }
}

impl Drop for SentCount {
    fn drop(&mut self) {
        let mut view = self.gateway.view();
        view.backends.ended(self.server.as_str(), self.pending_prompt_tokens);
        let brittle = view.backends.get(self.server.as_str()).is_some_and(BackendState::is_brittle);
        if self.pending_prompt_tokens > 0 || brittle {
            view.load_changed(&self.server);
        }
        let last =
            self.adapter.as_ref().filter(|key| view.uses.end(&self.server, self.incarnation, key));
        drop(view);
        if brittle {
            self.gateway.loads_changed.notify_one();
        }
        if let Some(key) = last {
            peer::report_use(&self.gateway, &self.server, self.incarnation, key);
        }
    }
}
