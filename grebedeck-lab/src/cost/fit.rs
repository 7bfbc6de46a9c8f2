//! Linear fits of measured costs.

use serde::Serialize;

/// A cost measured at several sizes, and the line fitted to the points.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Name of the cost.
    pub name: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// What a size counts.
    pub per: &'static str,
    /// Size and cost of each point.
    pub points: Vec<(f64, f64)>,
    /// Increase of the cost per unit of size.
    pub slope: f64,
    /// Cost at size zero, from the line.
    pub intercept: f64,
    /// Largest deviation of a point from the line, as a fraction of the largest cost.
    pub spread: f64,
    /// Size in a large deployment.
    pub size: f64,
    /// Cost at that size, from the line.
    pub at_size: f64,
}

impl Slope {
    /// Fits a line by least squares and evaluates it at `size`.
    pub fn fit(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        points: Vec<(f64, f64)>,
        size: f64,
    ) -> Slope {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;

        let deviation = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).abs();
        let max_cost = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let spread = points.iter().map(deviation).fold(0.0, f64::max) / max_cost.max(1e-12);
        let at_size = intercept + slope * size;

        Slope { name, unit, per, points, slope, intercept, spread, size, at_size }
    }
}
