//! Which adapters this VM's requests use, for the VMs that order their servers.
//!
//! An adapter that is told to make way while a request uses it stays until that request ends, and its
//! server takes no other order meanwhile: every load there waits for seconds. So owners are told of
//! running requests, not only of new ones.

use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::routing::AdapterKey;

use crate::message::AdapterUse;

#[derive(Debug)]
struct OpenUse {
    told: AdapterUse,
    running: u32,
}

/// The uses, sorted by server and adapter.
#[derive(Debug, Default)]
pub(crate) struct UseList {
    uses: Vec<OpenUse>,
}

impl UseList {
    /// A request goes to a server.
    pub(crate) fn begin(&mut self, server: &ServerName, key: &AdapterKey) {
        let open = self.open(server, key);
        open.running += 1;
        open.told.count += 1;
    }

    /// A request ended there.
    pub(crate) fn end(&mut self, server: &ServerName, key: &AdapterKey) {
        let open = self.open(server, key);
        open.running = open.running.saturating_sub(1);
    }

    /// Notes how an adapter was met.
    pub(crate) fn met(
        &mut self,
        server: &ServerName,
        key: &AdapterKey,
        change: impl FnOnce(&mut AdapterUse),
    ) {
        change(&mut self.open(server, key).told);
    }

    /// What is to be told now; what is no longer used is forgotten.
    pub(crate) fn take(&mut self) -> Vec<AdapterUse> {
        let told = self.uses.iter_mut().map(|open| {
            let fresh =
                AdapterUse { count: 0, ..AdapterUse::of(&open.told.server, &open.told.key) };
            std::mem::replace(&mut open.told, fresh)
        });
        let told = told.collect();
        self.uses.retain(|open| open.running > 0);
        told
    }

    fn open(&mut self, server: &ServerName, key: &AdapterKey) -> &mut OpenUse {
        let found = self
            .uses
            .binary_search_by(|open| (&open.told.server, &open.told.key).cmp(&(server, key)));
        let at = found.unwrap_or_else(|at| {
            let open = OpenUse { told: AdapterUse::of(server, key), running: 0 };
            self.uses.insert(at, open);
            at
        });
        &mut self.uses[at]
    }
}
