//! Counts the repeats that a service got, and what all VMs together may send.

use std::time::{Duration, Instant};

use crate::server::RequestArrival;

/// The bounds of gateways that are started without others.
const RATIO: f64 = 0.2;
const SLACK: f64 = 10.0;
const WINDOW: Duration = Duration::from_secs(10);

/// The window in which a service got most repeats beyond what is allowed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RepeatWindow {
    pub(crate) repeats: usize,
    pub(crate) allowed: f64,
}

/// Returns the window with the largest excess, or the smallest reserve; `None` without any repeat.
///
/// `requests` are the times at which callers sent requests for the service, and `arrivals` what reached its servers, in
/// order. Each arrival of an id after its first one is a repeat. The requests of a window, of the one before and of the
/// one half a window earlier are counted, and the largest number decides.
pub(crate) fn most_repeats(
    requests: &[Instant],
    arrivals: &[RequestArrival],
) -> Option<RepeatWindow> {
    let mut seen: Vec<&str> = Vec::new();
    let mut repeats: Vec<Instant> = Vec::new();
    for arrival in arrivals {
        match seen.binary_search(&arrival.id.as_str()) {
            Ok(_) => repeats.push(arrival.at),
            Err(at) => seen.insert(at, &arrival.id),
        }
    }
    let count = |from: Option<Instant>| {
        let within = |from: Instant| {
            requests.iter().filter(|sent| (from..from + WINDOW).contains(*sent)).count()
        };
        from.map_or(0, within)
    };
    let windows = repeats.iter().enumerate().map(|(number, from)| {
        let to = *from + WINDOW;
        let repeats = repeats[number..].iter().take_while(|at| **at < to).count();
        let starts = [Some(*from), from.checked_sub(WINDOW / 2), from.checked_sub(WINDOW)];
        let requests = starts.into_iter().map(count).max().unwrap_or(0);
        RepeatWindow { repeats, allowed: RATIO * requests as f64 + SLACK }
    });
    let excess = |window: &RepeatWindow| window.repeats as f64 - window.allowed;
    windows.max_by(|left, right| excess(left).total_cmp(&excess(right)))
}
