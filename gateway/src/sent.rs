//! Counts a request at the server that it was sent to.

use std::sync::Arc;

use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::routing::AdapterKey;

use crate::peer;
use crate::state::Gateway;

/// Counts a request for as long as it lives, whatever way it ends.
pub(crate) struct SentCount {
    gateway: Arc<Gateway>,
    server: ServerName,
    adapter: Option<AdapterKey>,
    unread: u64,
}

impl SentCount {
    /// Counts a request at `server` from now on, which reads `unread` tokens for it.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        server: &ServerName,
        adapter: Option<AdapterKey>,
        unread: u64,
    ) -> Self {
        let gateway = Arc::clone(gateway);
        let mut beliefs = gateway.beliefs();
        beliefs.backends.sent(server.as_str(), unread);
        let first = adapter.as_ref().filter(|key| beliefs.uses.begin(server, key));
        drop(beliefs);
        if let Some(key) = first {
            peer::tell_use(&gateway, server, key);
        }
        Self { gateway, server: server.clone(), adapter, unread }
    }

    /// The prompt was read.
    pub(crate) fn read(&mut self) {
        let tokens = std::mem::take(&mut self.unread);
        if tokens > 0 {
            self.gateway.beliefs().backends.read(self.server.as_str(), tokens);
        }
    }
}

impl Drop for SentCount {
    fn drop(&mut self) {
        let mut beliefs = self.gateway.beliefs();
        beliefs.backends.ended(self.server.as_str(), self.unread);
        let last = self.adapter.as_ref().filter(|key| beliefs.uses.end(&self.server, key));
        drop(beliefs);
        if let Some(key) = last {
            peer::tell_use(&self.gateway, &self.server, key);
        }
    }
}
