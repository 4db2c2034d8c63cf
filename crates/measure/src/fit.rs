//! A straight line through measured points.

/// A line by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub base: f64,
    /// Growth for each unit of the axis.
    pub slope: f64,
    /// Root of the mean square distance of the points from the line.
    pub residual: f64,
}

impl Line {
    /// The line through points `(x, y)`.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if spread == 0.0 { 0.0 } else { joint / spread };
        let base = mean_y - slope * mean_x;
        let squares = points.iter().map(|(x, y)| (y - base - slope * x).powi(2));
        Self { base, slope, residual: (squares.sum::<f64>() / count).sqrt() }
    }
}
