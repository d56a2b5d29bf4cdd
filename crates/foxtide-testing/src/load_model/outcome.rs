//! Results of a simulation run.

use super::shift::{
    self,
    SentRequest,
    Shift, //
};
use std::collections::BTreeMap;
use std::fmt;

/// Reason why a request was not answered within the objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Late answer; the upstream had not cached the object.
    LateFirstTouch,
    /// Late answer after waiting for a slot or in a queue.
    LateWait,
    /// Late answer to a retry.
    LateRetry,
    /// The coordinator had no slot before the deadline.
    RefusedNoSlot,
    /// Refused by upstreams.
    RefusedByUpstream,
    /// Cut off by the route's time limit.
    Cut,
    /// The upstream failed while it had the request.
    Lost,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LateFirstTouch => "late: first touch",
            Self::LateWait => "late: wait",
            Self::LateRetry => "late: came back",
            Self::RefusedNoSlot => "refused: no slot in time",
            Self::RefusedByUpstream => "refused by upstreams",
            Self::Cut => "cut by the limit",
            Self::Lost => "lost with its upstream",
        })
    }
}

/// Statistics of the callers whose first attempt fell within one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadWindow {
    /// Number of callers.
    pub asked: u64,
    /// Callers answered within the objective.
    pub in_time: u64,
    /// Callers answered after the objective.
    pub late: u64,
    /// Sum of the worth of all answers.
    pub worth: f64,
    /// Maximum number of running and queued requests at all upstreams, sampled every 100 ms.
    pub in_flight_max: usize,
}

impl LoadWindow {
    /// Returns the mean worth per caller.
    pub fn mean_worth(&self) -> f64 {
        self.worth / self.asked.max(1) as f64
    }
}

/// Result of one simulation run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadOutcome {
    /// Consecutive windows of 2 s.
    pub windows: Vec<LoadWindow>,
    /// Callers that were not answered in time, by cause.
    pub causes: BTreeMap<Cause, u64>,
    /// Requests that reached an upstream.
    pub arrivals: u64,
    /// Callers whose last retry was refused.
    pub refused_again: u64,
    /// Requests sent to upstreams, in order of time.
    pub served: Vec<SentRequest>,
}

impl LoadOutcome {
    /// Returns the mean worth over all callers.
    pub fn mean_worth(&self) -> f64 {
        let worth: f64 = self.windows.iter().map(|window| window.worth).sum();
        let asked: u64 = self.windows.iter().map(|window| window.asked).sum();
        worth / asked.max(1) as f64
    }

    /// Returns the largest shift of a region's requests to other regions within 2 s,
    /// from `from_s` seconds on; ignores windows with fewer than `requests_min` requests.
    pub fn largest_shift(&self, from_s: f64, requests_min: usize) -> Shift {
        let regions = self.served.iter().map(|one| one.region.max(one.origin) + 1);
        let regions = regions.max().unwrap_or(0);
        shift::largest(&self.served, regions, from_s, requests_min)
    }
}

impl fmt::Display for LoadOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "worth {:.3}", self.mean_worth())?;
        writeln!(f, "second  asked  in time  late  worth  at upstreams")?;
        for (number, window) in self.windows.iter().enumerate() {
            writeln!(
                f,
                "{:>6}  {:>5}  {:>7}  {:>4}  {:.3}  {:>5}",
                number * 2,
                window.asked,
                window.in_time,
                window.late,
                window.mean_worth(),
                window.in_flight_max
            )?;
        }
        for (cause, count) in &self.causes {
            writeln!(f, "{cause}: {count}")?;
        }
        write!(
            f,
            "arrivals at upstreams {}, refused again {}",
            self.arrivals, self.refused_again
        )
    }
}
