//! What backend servers state about themselves in their responses to this VM.

use std::time::Duration;

use coltsfoothook_decision::id::{MICROS_PER_MILLI, ServerName};
use coltsfoothook_platform::read_statement;
use coltsfoothook_telemetry::event;
use http::HeaderMap;

use crate::core::EntryCore;
use crate::held::lock;

/// Records the statements in a server's response. `served` is false for a refusal.
pub(crate) fn record(core: &EntryCore, server: &ServerName, headers: &HeaderMap, served: bool) {
    let decoded = read_statement(headers);
    for header in &decoded.unreadable {
        event!(StatementUnreadable, server = server, header = header);
    }
    let statement = decoded.statement;
    let vms = lock(&core.members).live().count();
    let now = core.clock.now();
    let mut stated = lock(&core.stated);
    let change = stated.apply(server, &statement, served, vms, now);
    let per_s = stated.limit_per_s(server);
    drop(stated);
    if change.limit {
        event!(ServerLimitStated, server = server, per_s? = per_s, told_by = "answer");
    }
}

/// Returns the time until a server may get a request; zero if it may get one now.
pub(crate) fn wait(core: &EntryCore, server: &ServerName) -> Duration {
    lock(&core.stated).wait(server, core.clock.now())
}

/// Returns the servers that want no request now.
pub(crate) fn closed(core: &EntryCore) -> Vec<ServerName> {
    lock(&core.stated).closed(core.clock.now())
}

/// Counts a request that is sent to a server now. Returns false if the server wants none.
pub(crate) fn take(core: &EntryCore, server: &ServerName) -> bool {
    lock(&core.stated).take(server, core.clock.now())
}

/// Returns a wait as the retry delay of a refusal, in whole milliseconds and at least one.
pub(crate) fn retry_ms(wait: Duration) -> u64 {
    let micros = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
    micros.div_ceil(MICROS_PER_MILLI).max(1)
}
