//! Arrivals: who asks for which adapter, when. Drawn once for each seed and given to every policy.

use coltsfoothook_decision::outcome::RequestClass;
use rand::{Rng, RngExt};

use crate::model::{MICROS, ModelShape};

/// A request of the comparison.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) adapter: u32,
    pub(crate) class: RequestClass,
    pub(crate) tokens: u32,
    /// A handover that the manifest schedules for this time.
    pub(crate) handover: bool,
}

/// How popular the adapters are, and how that changes.
struct Popularity {
    cumulative: Vec<f64>,
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

/// Parts of the run at which shifts change.
const SHIFT_CHANGES: [f64; 2] = [0.4, 0.75];
/// How many of the most popular adapters give way to others at a shift change.
const SHIFT_SWAPS: usize = 15;
/// How long a shift change lasts: the burst, and the handovers.
const SHIFT_MICROS: u64 = 60 * MICROS;
/// How often a part of the adapters wakes or falls idle.
const TURNOVER_MICROS: u64 = 60 * MICROS;
/// Shares of the classes among requests without a schedule.
const URGENT_SHARE: f64 = 0.25;
const SCHEDULED_SHARE: f64 = 0.45;

/// Draws all arrivals of a run, in order of time.
pub(crate) fn draw_arrivals(shape: &ModelShape, rng: &mut dyn Rng) -> Vec<Arrival> {
    let mut popularity = Popularity::new(shape.adapters as usize, shape.skew, rng);
    let end = shape.duration_s * MICROS;
    let shifts = SHIFT_CHANGES.map(|part| (part * end as f64) as u64);
    let swaps = f64::from(shape.adapters) * shape.turnover / 60.0;
    let mut arrivals = Vec::new();
    let mut next_turnover = TURNOVER_MICROS;
    let mut next_shift = 0;
    let mut now = 0;
    while now < end {
        let burst = shifts.iter().any(|&shift| (shift..shift + SHIFT_MICROS).contains(&now));
        let rate = shape.rate * if burst { shape.burst } else { 1.0 };
        now += (-rng.random::<f64>().max(1e-12).ln() / rate * MICROS as f64) as u64;
        if now >= next_turnover {
            next_turnover += TURNOVER_MICROS;
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
    if drawn < URGENT_SHARE {
        RequestClass::Urgent
    } else if drawn < URGENT_SHARE + SCHEDULED_SHARE {
        RequestClass::Scheduled
    } else {
        RequestClass::Audit
    }
}

/// Lengths are spread exponentially around their mean, with a least one.
fn draw_tokens(shape: &ModelShape, rng: &mut dyn Rng) -> u32 {
    let drawn = -rng.random::<f64>().max(1e-12).ln() * f64::from(shape.tokens);
    (drawn as u32).clamp(8, shape.tokens * 6)
}
