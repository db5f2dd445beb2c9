//! Request arrivals of the placement comparison, drawn once per seed and used for every policy.

use coltsfoothook_decision::outcome::RequestClass;
use rand::{Rng, RngExt};

use crate::model::{MICROS, ModelShape};

/// A request of the comparison.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Arrival time in microseconds.
    pub(crate) at: u64,
    pub(crate) adapter: u32,
    pub(crate) class: RequestClass,
    /// Length of the answer.
    pub(crate) tokens: u32,
    /// Whether this is a handover, whose time is known from its schedule.
    pub(crate) handover: bool,
}

/// Zipf-distributed popularity of the adapters, which changes when ranks are swapped.
struct Popularity {
    /// Cumulative weights by rank.
    cumulative: Vec<f64>,
    /// Adapters by rank.
    ranked: Vec<u32>,
}

impl Popularity {
    fn new(adapters: usize, skew: f64, rng: &mut dyn Rng) -> Self {
        let mut sum = 0.0;
        let mut cumulative = Vec::with_capacity(adapters);
        for rank in 1..=adapters {
            sum += (rank as f64).powf(-skew);
            cumulative.push(sum);
        }
        let mut popularity = Self { cumulative, ranked: (0..adapters as u32).collect() };
        for rank in 0..adapters {
            popularity.swap(rank, rng);
        }
        popularity
    }

    fn swap(&mut self, rank: usize, rng: &mut dyn Rng) {
        let other = rng.random_range(0..self.ranked.len());
        self.ranked.swap(rank, other);
    }

    fn draw(&self, rng: &mut dyn Rng) -> u32 {
        let all = self.cumulative.last().copied().unwrap_or(1.0);
        let drawn = rng.random::<f64>() * all;
        let rank = self.cumulative.partition_point(|&sum| sum < drawn);
        self.ranked[rank.min(self.ranked.len() - 1)]
    }
}

/// Times of the shift changes, as fractions of the run.
const SHIFT_CHANGES: [f64; 2] = [0.4, 0.75];
/// Number of the most popular adapters that swap ranks with random others at a shift change.
const SHIFT_SWAPS: usize = 15;
/// Duration of a shift change, with its burst and its handovers.
const SHIFT_MICROS: u64 = 60 * MICROS;
/// Interval at which some adapters swap ranks, apart from shift changes.
const TURNOVER_INTERVAL_MICROS: u64 = 60 * MICROS;
/// Fractions of the classes among requests that are no handovers; the rest is of the audit class.
const URGENT_FRACTION: f64 = 0.25;
const SCHEDULED_FRACTION: f64 = 0.45;

/// Draws all arrivals of a run, sorted by time.
pub(crate) fn draw_arrivals(shape: &ModelShape, rng: &mut dyn Rng) -> Vec<Arrival> {
    let mut popularity = Popularity::new(shape.adapters as usize, shape.skew, rng);
    let end = shape.duration_s * MICROS;
    let shifts = SHIFT_CHANGES.map(|fraction| (fraction * end as f64) as u64);
    let swaps = f64::from(shape.adapters) * shape.turnover / 60.0;
    let mut arrivals = Vec::new();
    let mut next_turnover = TURNOVER_INTERVAL_MICROS;
    let mut next_shift = 0;
    let mut now = 0;
    while now < end {
        let burst = shifts.iter().any(|&shift| (shift..shift + SHIFT_MICROS).contains(&now));
        let rate = shape.rate * if burst { shape.burst } else { 1.0 };
        now += (-rng.random::<f64>().max(1e-12).ln() / rate * MICROS as f64) as u64;
        if now >= next_turnover {
            next_turnover += TURNOVER_INTERVAL_MICROS;
            for _ in 0..swaps as usize {
                let rank = rng.random_range(0..shape.adapters as usize);
                popularity.swap(rank, rng);
            }
        }
        if next_shift < shifts.len() && now >= shifts[next_shift] {
            next_shift += 1;
            for rank in 0..SHIFT_SWAPS {
                popularity.swap(rank, rng);
            }
        }
        let adapter = popularity.draw(rng);
        arrivals.push(Arrival {
            at: now,
            adapter,
            class: draw_class(rng),
            tokens: draw_tokens(shape, rng),
            handover: false,
        });
    }
    for shift in shifts {
        for _ in 0..shape.handovers {
            arrivals.push(Arrival {
                at: shift + rng.random_range(0..SHIFT_MICROS),
                adapter: rng.random_range(0..shape.adapters),
                class: RequestClass::Scheduled,
                tokens: draw_tokens(shape, rng),
                handover: true,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn draw_class(rng: &mut dyn Rng) -> RequestClass {
    let drawn: f64 = rng.random();
    if drawn < URGENT_FRACTION {
        RequestClass::Urgent
    } else if drawn < URGENT_FRACTION + SCHEDULED_FRACTION {
        RequestClass::Scheduled
    } else {
        RequestClass::Audit
    }
}

/// Draws an exponentially distributed length, at least 8 tokens and at most six times the mean.
fn draw_tokens(shape: &ModelShape, rng: &mut dyn Rng) -> u32 {
    let drawn = -rng.random::<f64>().max(1e-12).ln() * f64::from(shape.tokens);
    (drawn as u32).clamp(8, shape.tokens * 6)
}
