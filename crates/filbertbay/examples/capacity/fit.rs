//! Least-squares fit of a straight line.

use serde::Serialize;

/// Least-squares line `value = intercept + slope * size` with its residual.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Largest absolute deviation of a point from the line, relative to the largest value.
    pub residual: f64,
}

impl Line {
    /// Fits a line to pairs of size and value.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean =
            |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let largest_value = points
            .iter()
            .map(|(_, y)| y.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let deviation = |&(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
        let residual = points.iter().map(deviation).fold(0.0, f64::max) / largest_value;
        Self {
            slope,
            intercept,
            residual,
        }
    }

    /// Returns the value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
