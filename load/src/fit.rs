//! Least-squares fits of straight lines.

use serde::Serialize;

/// A value measured at a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct SlopePoint {
    pub(crate) size: f64,
    pub(crate) value: f64,
}

/// The line `base + slope * size`, with the error of the fit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct LineFit {
    pub(crate) base: f64,
    pub(crate) slope: f64,
    /// Root mean square of the residuals, in the unit of the values.
    pub(crate) error: f64,
}

impl LineFit {
    /// Fits a line; the slope is 0 where all sizes are the same.
    pub(crate) fn of(points: &[SlopePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let covariance =
            points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value));
        let slope = if variance > 0.0 { covariance.sum::<f64>() / variance } else { 0.0 };
        let base = mean_value - slope * mean_size;
        let residuals =
            points.iter().map(|point| (point.value - base - slope * point.size).powi(2));
        Self { base, slope, error: (residuals.sum::<f64>() / count).sqrt() }
    }

    /// Returns the line's value at `size`.
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
