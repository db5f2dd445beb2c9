//! Use of adapters by this VM's requests, to be reported to the VMs that order their servers.
//!
//! An adapter that is evicted while a request uses it stays until that request ends, and its server
//! accepts no other order until then: every load there waits for seconds. Owners therefore get
//! reports of running requests as well as of new ones: at once when the first begins and when the
//! last ends, and again with each state message.

use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::routing::AdapterKey;

use crate::message::AdapterUse;

/// Adapter use, sorted by server, start time of its incarnation, and adapter.
#[derive(Debug, Default)]
pub(crate) struct UseList {
    uses: Vec<AdapterUse>,
}

impl UseList {
    /// Records that a request begins at a server. Returns whether it is the only one running on
    /// that adapter there.
    pub(crate) fn begin(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        key: &AdapterKey,
    ) -> bool {
        let entry = self.entry(server, incarnation, key);
        entry.running += 1;
        entry.count += 1;
        entry.running == 1
    }

    /// Records that a request ended at a server. Returns whether no other one runs on that adapter
    /// there.
    pub(crate) fn end(&mut self, server: &ServerName, incarnation: u64, key: &AdapterKey) -> bool {
        let entry = self.entry(server, incarnation, key);
        entry.running = entry.running.saturating_sub(1);
        entry.running == 0
    }

    /// Records in what state a request found an adapter.
    pub(crate) fn record(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        key: &AdapterKey,
        change: impl FnOnce(&mut AdapterUse),
    ) {
        change(self.entry(server, incarnation, key));
    }

    /// Returns what is to be reported now of one adapter.
    pub(crate) fn take_one(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        key: &AdapterKey,
    ) -> AdapterUse {
        self.entry(server, incarnation, key).take()
    }

    /// Returns what is to be reported now of all adapters, and drops those without running
    /// requests.
    pub(crate) fn take(&mut self) -> Vec<AdapterUse> {
        let reports = self.uses.iter_mut().map(AdapterUse::take).collect();
        self.uses.retain(|entry| entry.running > 0);
        reports
    }

    fn entry(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        key: &AdapterKey,
    ) -> &mut AdapterUse {
        let wanted = (server, incarnation, key);
        let found = self
            .uses
            .binary_search_by(|entry| (&entry.server, entry.incarnation, &entry.key).cmp(&wanted));
        let at = found.unwrap_or_else(|at| {
            self.uses.insert(at, AdapterUse::of(server, incarnation, key));
            at
        });
        &mut self.uses[at]
    }
}
