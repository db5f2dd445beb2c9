//! How fast servers work, compared with others of their service.
//!
//! Servers of one service differ in speed, and a slow one looks no more loaded than the others while
//! it takes twice as long for each request. VMs observe the time between two events of a stream and
//! the time to a plain answer, share them as estimates of the fleet, and divide the work that is ahead
//! of a request by the server's speed.

use crate::backend::BackendTable;
use crate::estimate::{EstimateSettings, FleetEstimates};
use crate::id::{ServiceName, TimePoint};
use crate::subject::ServerStart;

/// Observations from which on a server's time is compared with others.
const MIN_OBSERVED: f32 = 6.0;
/// Fraction of a service's servers whose times must be known.
const MIN_KNOWN_FRACTION: f64 = 0.5;
/// Bounds of a speed. A server that stalls is avoided for other reasons, and a few requests must
/// still reach it, since its speed is known from them alone.
const MIN_SPEED: f64 = 0.25;
const MAX_SPEED: f64 = 2.0;
/// Difference from the usual speed up to which a server counts as equally fast: the prompts that it
/// processes beside a stream change its times by as much.
const EQUAL_FRACTION: f64 = 0.2;

/// Creates the estimates of servers' times, in microseconds.
#[must_use]
pub fn speed_estimates() -> FleetEstimates<ServerStart> {
    FleetEstimates::new(EstimateSettings::default())
}

impl BackendTable {
    /// Sets the servers' speeds from the estimated times. One with few observations, as after a
    /// restart, counts as equally fast.
    pub fn set_speeds(&mut self, times: &mut FleetEstimates<ServerStart>, now: TimePoint) {
        times.retain(|start| self.is_current_incarnation(start.server.as_str(), start.incarnation));
        let time = |start: &ServerStart| {
            let entry = times.get(now, start).filter(|entry| entry.count >= MIN_OBSERVED)?;
            Some(f64::from(entry.mean()).max(1.0))
        };
        let known: Vec<Option<f64>> =
            self.servers().iter().map(|state| time(&state.start())).collect();
        let mut services: Vec<ServiceName> =
            self.servers().iter().map(|state| state.entry.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        for service in &services {
            let of_service: Vec<usize> = (0..known.len())
                .filter(|at| self.servers()[*at].entry.service == *service)
                .collect();
            let mut times: Vec<f64> = of_service.iter().filter_map(|at| known[*at]).collect();
            let enough = times.len() as f64 >= of_service.len() as f64 * MIN_KNOWN_FRACTION;
            times.sort_unstable_by(f64::total_cmp);
            let median = times.get(times.len() / 2).copied().filter(|_| enough);
            for at in of_service {
                let speed =
                    median.zip(known[at]).map(|(median, time)| relative_speed(median / time));
                self.servers_mut()[at].speed = speed;
            }
        }
    }
}

fn relative_speed(speed: f64) -> f64 {
    if (speed - 1.0).abs() <= EQUAL_FRACTION { 1.0 } else { speed.clamp(MIN_SPEED, MAX_SPEED) }
}
