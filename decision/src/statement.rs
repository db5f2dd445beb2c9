//! What a backend server states about itself in its responses.
//!
//! A statement belongs to one incarnation of a server. `BackendTable` keeps the latest one and drops
//! it when the server restarts. docs/LIMITS.md, "Limits of servers", says how it is used.

use crate::id::TimePoint;

/// A value that a response may state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedValue<T> {
    /// The response does not state it.
    #[default]
    Absent,
    /// The response states it, but not readably: nothing is known.
    Unreadable,
    /// The stated value.
    Readable(T),
}

/// What one response states about the server that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerStatement {
    /// Requests per second that the server takes from all VMs together.
    pub limit_per_s: StatedValue<f64>,
}

/// The limit that a server last stated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    /// Requests per second over all VMs; `None` once the server no longer states a limit.
    pub per_s: Option<f64>,
    /// When the server stated it.
    pub at: TimePoint,
}
