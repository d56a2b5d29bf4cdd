//! How long an upstream works on requests, as measured.

use std::time::Duration;

/// How far a mean moves towards the newest time: the last five count most.
const NEWEST_WEIGHT: f64 = 0.2;

/// Whether an upstream served an object lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectAccess {
    /// It has not: the work takes its full time.
    First,
    /// It has, and serves it again in a fraction of that.
    Repeated,
}

/// Mean times of work, apart for first and repeated touches of objects.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTimes {
    first_s: Option<f64>,
    repeated_s: Option<f64>,
}

impl ServiceTimes {
    /// Takes in how long one request took.
    pub fn record(&mut self, access: ObjectAccess, time: Duration) {
        let mean_s = match access {
            ObjectAccess::First => &mut self.first_s,
            ObjectAccess::Repeated => &mut self.repeated_s,
        };
        let time_s = time.as_secs_f64();
        let before_s = mean_s.unwrap_or(time_s);
        *mean_s = Some(before_s + NEWEST_WEIGHT * (time_s - before_s));
    }

    /// Returns how long a request is expected to take; nothing where none of its
    /// kind was measured.
    pub fn expected(&self, access: ObjectAccess) -> Option<Duration> {
        let mean_s = match access {
            ObjectAccess::First => self.first_s,
            ObjectAccess::Repeated => self.repeated_s,
        };
        mean_s.map(Duration::from_secs_f64)
    }
}
