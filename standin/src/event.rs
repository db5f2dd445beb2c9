//! Lines of the stand-ins in the log. Their events are not the system's, so they stand in no table.

use std::fmt::Debug;

use coltsfoothook_telemetry::EVENT_TARGET;

/// Logs that something happened at the server called `server`.
pub(crate) fn log_event(name: &'static str, server: &str, detail: &dyn Debug) {
    let detail = format!("{detail:?}");
    log::info!(target: EVENT_TARGET, "event={name} server={server} detail={detail:?}");
}
