//! Least-squares fit of a straight line to measured points.

/// Straight line with its fit error.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value of the line at x = 0.
    pub intercept: f64,
    /// Increase of the value per unit of x.
    pub slope: f64,
    /// Root mean square of the vertical distances from the points to the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points `(x, y)`; slope 0 if all x are equal.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let variance_sum: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let covariance_sum: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if variance_sum == 0.0 { 0.0 } else { covariance_sum / variance_sum };
        let intercept = mean_y - slope * mean_x;
        let squares = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2));
        Self { intercept, slope, residual: (squares.sum::<f64>() / count).sqrt() }
    }
}
