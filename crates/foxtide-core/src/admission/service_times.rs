//! Mean service times of an upstream.

use crate::routing::RequestKind;
use std::collections::HashMap;
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

/// Mean service times of first and repeated object accesses, by kind of request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceTimes {
    of_kinds: HashMap<RequestKind, MeanTimes>,
    of_all: MeanTimes,
}

impl ServiceTimes {
    /// Records the service time of one request.
    pub fn record(&mut self, kind: RequestKind, access: ObjectAccess, time: Duration) {
        self.of_kinds.entry(kind).or_default().record(access, time);
        self.of_all.record(access, time);
    }

    /// Returns the mean service time of a kind, or `None` before its first sample.
    pub fn measured(&self, kind: RequestKind, access: ObjectAccess) -> Option<Duration> {
        self.of_kinds.get(&kind)?.mean(access)
    }

    /// Returns the expected service time: that of all kinds before the first sample of this one,
    /// and `None` before any sample.
    pub fn expected(&self, kind: RequestKind, access: ObjectAccess) -> Option<Duration> {
        self.measured(kind, access)
            .or_else(|| self.of_all.mean(access))
    }
}

/// Mean service times by access.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct MeanTimes {
    first_s: Option<f64>,
    repeated_s: Option<f64>,
}

impl MeanTimes {
    fn record(&mut self, access: ObjectAccess, time: Duration) {
        let mean_s = match access {
            ObjectAccess::First => &mut self.first_s,
            ObjectAccess::Repeated => &mut self.repeated_s,
        };
        let time_s = time.as_secs_f64();
        let before_s = mean_s.unwrap_or(time_s);
        *mean_s = Some(before_s + NEWEST_WEIGHT * (time_s - before_s));
    }

    fn mean(&self, access: ObjectAccess) -> Option<Duration> {
        let mean_s = match access {
            ObjectAccess::First => self.first_s,
            ObjectAccess::Repeated => self.repeated_s,
        };
        mean_s.map(Duration::from_secs_f64)
    }
}
