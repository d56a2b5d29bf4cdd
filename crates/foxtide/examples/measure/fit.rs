//! A straight line through measured points.

/// A line `at_zero + slope * x`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    /// The value at zero.
    pub(crate) at_zero: f64,
    /// The growth for each one of `x`.
    pub(crate) slope: f64,
}

impl Line {
    /// Returns the line with the least squared distance from the points.
    pub(crate) fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let common: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        Self {
            at_zero: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Returns the value at `x`.
    pub(crate) fn at(self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }
}
