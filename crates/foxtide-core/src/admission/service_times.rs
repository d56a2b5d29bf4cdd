//! Mean service times of an upstream.

use std::time::Duration;

/// The weight of the newest sample in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Whether an upstream served an object recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectAccess {
    /// It has not; the request takes its full service time.
    First,
    /// It has; the request takes a fraction of that.
    Repeated,
}

/// Mean service times of first and repeated object accesses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTimes {
    first_s: Option<f64>,
    repeated_s: Option<f64>,
}

impl ServiceTimes {
    /// Records the service time of one request.
    pub fn record(&mut self, access: ObjectAccess, time: Duration) {
        let mean_s = match access {
            ObjectAccess::First => &mut self.first_s,
            ObjectAccess::Repeated => &mut self.repeated_s,
        };
        let time_s = time.as_secs_f64();
        let before_s = mean_s.unwrap_or(time_s);
        *mean_s = Some(before_s + NEWEST_WEIGHT * (time_s - before_s));
    }

    /// Returns the expected service time, or `None` before the first sample of its kind.
    pub fn expected(&self, access: ObjectAccess) -> Option<Duration> {
        let mean_s = match access {
            ObjectAccess::First => self.first_s,
            ObjectAccess::Repeated => self.repeated_s,
        };
        mean_s.map(Duration::from_secs_f64)
    }
}
