//! Log lines of the stand-ins. Their events are not the system's, so they are not in the table of
//! events.

use std::fmt::Debug;

use coltsfoothook_telemetry::EVENT_TARGET;

/// Logs the event `name` of the stand-in `server`.
pub(crate) fn log_event(name: &'static str, server: &str, detail: &dyn Debug) {
    let detail = format!("{detail:?}");
    log::info!(target: EVENT_TARGET, "event={name} server={server} detail={detail:?}");
}
