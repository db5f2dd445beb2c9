//! Counts requests at the servers that they were sent to.

use std::sync::Arc;

use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::room::{BROKEN_OFF_US, PlaceEnd, REPEATED_US};
use coltsfoothook_decision::routing::AdapterKey;

use crate::clock;
use crate::peer;
use crate::permit;
use crate::state::{Gateway, SystemView};

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
    /// When its place is proven, at a server that bears few refusals.
    pub(crate) proven_at: Option<TimePoint>,
    /// Whether it is the first request that uses its adapter at the server.
    begins: bool,
    /// How it ended at the server.
    end: PlaceEnd,
}

impl SentCount {
    /// Counts a request at `server` from now on. `pending_prompt_tokens` is the number of its
    /// prompt tokens.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        view: &mut SystemView,
        server: &ServerName,
        incarnation: u64,
        adapter: Option<AdapterKey>,
        pending_prompt_tokens: u64,
    ) -> Self {
        let now = clock::now();
        let ahead = view.backends.sent(server.as_str(), pending_prompt_tokens, now);
        if pending_prompt_tokens > 0 {
            view.load_changed(server);
        }
        let begins = adapter.as_ref().is_some_and(|key| view.uses.begin(server, incarnation, key));
        Self {
            gateway: Arc::clone(gateway),
            server: server.clone(),
            incarnation,
            adapter,
            proven_at: None,
            begins,
            pending_prompt_tokens,
            sent_at: now,
            ahead,
            end: PlaceEnd::BrokenOff,
        }
    }

    /// Reports the request to the VMs that count it too.
    pub(crate) fn report(&self) {
        if self.pending_prompt_tokens > 0 {
            peer::report_loads_now(&self.gateway);
        }
        if let Some(key) = self.adapter.as_ref().filter(|_| self.begins) {
            peer::report_use(&self.gateway, &self.server, self.incarnation, key);
        }
    }

    /// Records how the request ended at the server; if it was not this VM that broke it off.
    pub(crate) fn end(&mut self, end: PlaceEnd) {
        self.end = end;
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
            self.incarnation,
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
        let now = clock::now();
        let mut view = self.gateway.view();
        view.backends.ended(self.server.as_str(), self.incarnation, self.pending_prompt_tokens);
        if self.pending_prompt_tokens > 0 {
            view.load_changed(&self.server);
        }
        let has_room = view.backends.room_figures(self.server.as_str(), now).is_some();
        if has_room {
            let proven_at = self.proven_at.unwrap_or(self.sent_at);
            view.rooms.ended(&self.server, self.end, (self.sent_at, proven_at), now);
        }
        let last =
            self.adapter.as_ref().filter(|key| view.uses.end(&self.server, self.incarnation, key));
        drop(view);
        if has_room {
            permit::ask(&self.gateway);
            let told_again: &[u64] = match self.end {
                PlaceEnd::BrokenOff => &[BROKEN_OFF_US],
                PlaceEnd::Refused => &REPEATED_US,
                PlaceEnd::Answered | PlaceEnd::NotRun => &[],
            };
            told_again.iter().for_each(|after| permit::expire_later(&self.gateway, *after));
        }
        if let Some(key) = last {
            peer::report_use(&self.gateway, &self.server, self.incarnation, key);
        }
    }
}
