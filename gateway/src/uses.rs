//! Which adapters this VM's requests use, for the VMs that order their servers.
//!
//! An adapter that is told to make way while a request uses it stays until that request ends, and its
//! server takes no other order meanwhile: every load there waits for seconds. So owners are told of
//! running requests, not only of new ones: at once when the first begins and when the last ends, and
//! again with each message of this VM's state.

use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::routing::AdapterKey;

use crate::message::AdapterUse;

/// The uses, sorted by server, its life and adapter.
#[derive(Debug, Default)]
pub(crate) struct UseList {
    uses: Vec<AdapterUse>,
}

impl UseList {
    /// A request goes to a server; true if it is the first one on that adapter there.
    pub(crate) fn begin(&mut self, server: &ServerName, born: u64, key: &AdapterKey) -> bool {
        let open = self.open(server, born, key);
        open.running += 1;
        open.count += 1;
        open.running == 1
    }

    /// A request ended there; true if it was the last one.
    pub(crate) fn end(&mut self, server: &ServerName, born: u64, key: &AdapterKey) -> bool {
        let open = self.open(server, born, key);
        open.running = open.running.saturating_sub(1);
        open.running == 0
    }

    /// Notes how an adapter was met.
    pub(crate) fn met(
        &mut self,
        server: &ServerName,
        born: u64,
        key: &AdapterKey,
        change: impl FnOnce(&mut AdapterUse),
    ) {
        change(self.open(server, born, key));
    }

    /// What is to be told of one adapter now.
    pub(crate) fn take_one(
        &mut self,
        server: &ServerName,
        born: u64,
        key: &AdapterKey,
    ) -> AdapterUse {
        self.open(server, born, key).take()
    }

    /// What is to be told of all now; what is no longer used is forgotten.
    pub(crate) fn take(&mut self) -> Vec<AdapterUse> {
        let told = self.uses.iter_mut().map(AdapterUse::take).collect();
        self.uses.retain(|open| open.running > 0);
        told
    }

    fn open(&mut self, server: &ServerName, born: u64, key: &AdapterKey) -> &mut AdapterUse {
        let wanted = (server, born, key);
        let found =
            self.uses.binary_search_by(|open| (&open.server, open.born, &open.key).cmp(&wanted));
        let at = found.unwrap_or_else(|at| {
            self.uses.insert(at, AdapterUse::of(server, born, key));
            at
        });
        &mut self.uses[at]
    }
}
