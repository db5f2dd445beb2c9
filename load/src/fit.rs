//! Straight lines through measured points, by least squares.

use serde::Serialize;

/// One measurement: a size and what was measured there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct SlopePoint {
    pub(crate) size: f64,
    pub(crate) value: f64,
}

/// The line `base + slope * size`, and how far the points lie from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct LineFit {
    pub(crate) base: f64,
    pub(crate) slope: f64,
    /// The root of the mean squared distance of the points, in the value's unit.
    pub(crate) error: f64,
}

impl LineFit {
    /// Fits a line; the slope is 0 where all sizes are the same.
    pub(crate) fn of(points: &[SlopePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let both = points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value));
        let slope = if spread > 0.0 { both.sum::<f64>() / spread } else { 0.0 };
        let base = mean_value - slope * mean_size;
        let distance = points.iter().map(|point| (point.value - base - slope * point.size).powi(2));
        Self { base, slope, error: (distance.sum::<f64>() / count).sqrt() }
    }

    /// The line's value at `size`.
    pub(crate) fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn exact_line() {
        let points = [1.0, 2.0, 5.0].map(|size| SlopePoint { size, value: 3.0 + 2.0 * size });
        let fit = LineFit::of(&points);
        assert!((fit.base - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
        assert!(fit.error < 1e-9 && (fit.at(10.0) - 23.0).abs() < 1e-9);
    }

    #[test]
    fn one_size() {
        let points = [1.0, 3.0].map(|value| SlopePoint { size: 4.0, value });
        let fit = LineFit::of(&points);
        assert_eq!((fit.slope, fit.base, fit.error), (0.0, 2.0, 1.0));
    }
}
