//! Records what servers state about themselves in their responses.

use coltsfoothook_decision::id::ServerName;
use coltsfoothook_decision::statement::StatedValue;
use coltsfoothook_platform::read_statement;
use coltsfoothook_telemetry::event;
use http::HeaderMap;

use crate::clock;
use crate::state::Gateway;

/// Records the statements in a response of the given incarnation of a server. `served` is false for
/// a refusal.
pub(crate) fn record(
    gateway: &Gateway,
    server: &ServerName,
    incarnation: u64,
    headers: &HeaderMap,
    served: bool,
) {
    let decoded = read_statement(headers);
    for header in &decoded.unreadable {
        gateway.metrics.statement("unreadable");
        event!(StatementUnreadable, server = server, born = incarnation, header = header);
    }
    let statement = decoded.statement;
    if let StatedValue::Readable(_) = statement.limit_per_s {
        gateway.metrics.statement("limit");
    }
    let mut view = gateway.view();
    let now = clock::now();
    let name = server.as_str();
    if view.backends.apply_statement(name, incarnation, &statement, served, now) {
        let per_s = view.backends.get(name).and_then(|state| state.limit_per_s());
        event!(
            ServerLimitStated,
            server = server,
            born = incarnation,
            per_s? = per_s,
            told_by = "answer",
        );
    }
}
