//! Least-squares fit of a straight line to measured points.

/// The line `intercept + slope * x`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinearFit {
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
}

impl LinearFit {
    /// Fits a line by least squares of the vertical distances.
    pub(crate) fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
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

    pub(crate) fn at(self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
