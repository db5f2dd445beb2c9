//! How often requests may be sent again.
//!
//! When servers fail, every entry VM would send its requests again and multiply the load on those
//! that are left. All VMs together may add a share of the requests of a window and a fixed slack.
//! Each VM counts what it sends itself and takes its part of the slack, so no message is needed;
//! the part shrinks as VMs appear and a reserve covers VMs that are not known yet.

use crate::id::{ServiceName, TimePoint};
use crate::value;

value! {
    /// The bounds on repeats.
    #[derive(Copy)]
    pub struct RepeatBounds {
        /// Repeats for each request.
        pub ratio: f64,
        /// Repeats that are allowed on top, over all VMs.
        pub slack: f64,
        /// The window in microseconds.
        pub window_us: u64,
    }
}

impl Default for RepeatBounds {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 10.0, window_us: 10_000_000 }
    }
}

/// The part of its allowance that a VM uses. The rest covers windows that slide between two VMs'
/// counts and VMs that joined a moment ago.
const USED_PART: f64 = 0.8;
/// The pieces that a window is counted in; the oldest piece is dropped as a whole.
const PIECES: u64 = 10;

/// Counts of one service in one piece of a window.
#[derive(Clone, Copy, Debug, Default)]
struct PieceCount {
    piece: u64,
    first: u32,
    again: u32,
}

#[derive(Debug)]
struct ServiceCounts {
    service: ServiceName,
    pieces: Vec<PieceCount>,
}

/// What one VM sent to each service in the last window.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    bounds: RepeatBounds,
    /// Sorted by service.
    services: Vec<ServiceCounts>,
}

impl RepeatBudget {
    /// An unused budget.
    #[must_use]
    pub fn new(bounds: RepeatBounds) -> Self {
        Self { bounds, services: Vec::new() }
    }

    /// Other bounds from now on; counts are kept.
    pub fn set_bounds(&mut self, bounds: RepeatBounds) {
        self.bounds = bounds;
    }

    /// Counts a request that is sent to `service` for the first time.
    pub fn first(&mut self, service: &ServiceName, now: TimePoint) {
        self.piece(service, now).first += 1;
    }

    /// Whether one more repeat may be sent by this VM of `vms`; counts it if so.
    pub fn again(&mut self, service: &ServiceName, vms: usize, now: TimePoint) -> bool {
        let bounds = self.bounds;
        self.piece(service, now);
        let at = self.services.binary_search_by(|counts| counts.service.cmp(service));
        let Ok(at) = at else { return false };
        let pieces = &mut self.services[at].pieces;
        let first: u32 = pieces.iter().map(|piece| piece.first).sum();
        let again: u32 = pieces.iter().map(|piece| piece.again).sum();
        let slack = bounds.slack / vms.max(1) as f64;
        let allowed = USED_PART * (bounds.ratio * f64::from(first) + slack);
        if f64::from(again) + 1.0 > allowed {
            return false;
        }
        if let Some(piece) = pieces.last_mut() {
            piece.again += 1;
        }
        true
    }

    fn piece(&mut self, service: &ServiceName, now: TimePoint) -> &mut PieceCount {
        let piece = now.0 / (self.bounds.window_us / PIECES).max(1);
        let at = match self.services.binary_search_by(|counts| counts.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let counts = ServiceCounts { service: service.clone(), pieces: Vec::new() };
                self.services.insert(at, counts);
                at
            }
        };
        let pieces = &mut self.services[at].pieces;
        pieces.retain(|count| count.piece + PIECES > piece);
        if pieces.last().is_none_or(|count| count.piece != piece) {
            pieces.push(PieceCount { piece, ..PieceCount::default() });
        }
        let last = pieces.len() - 1;
        &mut pieces[last]
    }
}
