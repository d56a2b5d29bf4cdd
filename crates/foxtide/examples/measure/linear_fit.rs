//! A straight line through measured points.

/// A line `intercept + slope * x`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinearFit {
    /// The value at zero.
    pub(crate) intercept: f64,
    /// The growth for each one of `x`.
    pub(crate) slope: f64,
}

impl LinearFit {
    /// Returns the line with the least squared distance from the points.
    pub(crate) fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        Self {
            intercept: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Returns the value at `x`.
    pub(crate) fn at(self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
