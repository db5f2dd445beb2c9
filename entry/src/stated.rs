//! What backend servers state about themselves in their responses to this VM.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::{MICROS_PER_MILLI, ServerName, stable_hash};
use coltsfoothook_decision::room::PlaceEnd;
use coltsfoothook_decision::server_limit::SharePlace;
use coltsfoothook_decision::statement::StatedValue;
use coltsfoothook_platform::read_statement;
use coltsfoothook_telemetry::event;
use http::HeaderMap;

use crate::core::EntryCore;
use crate::held::lock;

/// Records the statements in a server's response. `served` is false for a refusal or failure.
pub(crate) fn record(core: &EntryCore, server: &ServerName, headers: &HeaderMap, served: bool) {
    let decoded = read_statement(headers);
    for header in &decoded.unreadable {
        event!(StatementUnreadable, server = server, header = header);
    }
    let statement = decoded.statement;
    let place = place(core, server);
    let now = core.clock.now();
    let mut stated = lock(&core.stated);
    let change = stated.apply(server, &statement, served, place, now);
    let per_s = stated.limit_per_s(server);
    drop(stated);
    if change.limit {
        event!(ServerLimitStated, server = server, per_s? = per_s, told_by = "answer");
    }
    if change.leaving {
        event!(ServerLeavingStated, server = server, told_by = "answer");
    }
    if let StatedValue::Readable(rest) = statement.rest
        && !served
    {
        event!(ServerRestStated, server = server, rest_ms = rest.as_millis());
    }
}

/// Returns the place of this VM among all known ones, by hash with the server. Unresponsive VMs
/// count: they may be cut off from this one only.
fn place(core: &EntryCore, server: &ServerName) -> SharePlace {
    let members = lock(&core.members);
    let hash = |vm: &str| stable_hash(&[server.as_str(), vm]);
    let own = hash(members.own().name());
    let rank = members.others().iter().filter(|row| hash(row.name()) < own).count();
    SharePlace { rank, vms: members.others().len() + 1 }
}

/// Returns whether a server stated that it leaves.
pub(crate) fn is_leaving(core: &EntryCore, server: &ServerName) -> bool {
    lock(&core.stated).is_leaving(server, core.clock.now())
}

/// Returns the time until a server's rest and its limit allow a request; zero if they do now.
pub(crate) fn wait(core: &EntryCore, server: &ServerName) -> Duration {
    lock(&core.stated).wait(server, core.clock.now())
}

/// Returns the servers that leave, rest or are at their limits.
pub(crate) fn closed(core: &EntryCore) -> Vec<ServerName> {
    lock(&core.stated).closed(core.clock.now())
}

/// Counts a request that is sent to a server now. Returns `None` if it rests, is at its limit or has
/// no room.
pub(crate) fn take_place(core: &Arc<EntryCore>, server: &ServerName) -> Option<TakenPlace> {
    let is_taken = lock(&core.stated).take(server, core.clock.now());
    is_taken.then(|| {
        let (core, server) = (Arc::clone(core), server.clone());
        TakenPlace { core, server, end: PlaceEnd::BrokenOff }
    })
}

/// A request at a server, from [`take_place`] until it is dropped, however it ends.
pub(crate) struct TakenPlace {
    core: Arc<EntryCore>,
    server: ServerName,
    end: PlaceEnd,
}

impl TakenPlace {
    /// Records how the request ended at the server, if it was not this VM that broke it off.
    pub(crate) fn end(&mut self, end: PlaceEnd) {
        self.end = end;
    }
}

impl Drop for TakenPlace {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        lock(&self.core.stated).ended(&self.server, self.end, now);
    }
}

/// Returns a wait as the retry delay of a refusal, in whole milliseconds; `other` if nothing is
/// known of when a server will take the request.
pub(crate) fn retry_ms(wait: Duration, other: u64) -> u64 {
    let micros = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
    if micros == 0 { other } else { micros.div_ceil(MICROS_PER_MILLI) }
}
