//! How requests ended.

use super::shift::{
    self,
    SentRequest,
    Shift, //
};
use std::collections::BTreeMap;
use std::fmt;

/// Why a request was not answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It was answered late and its object was new to the upstream.
    LateFirstTouch,
    /// It was answered late after a wait.
    LateWait,
    /// It was answered late after its caller came back.
    LateRetry,
    /// Its coordinator had no slot in its time.
    RefusedNoSlot,
    /// Upstreams refused it.
    RefusedByUpstream,
    /// It was cut by the route's limit.
    Cut,
    /// Its upstream was lost.
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

/// The callers that first asked within one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadWindow {
    /// Callers.
    pub asked: u64,
    /// Those answered in time.
    pub in_time: u64,
    /// Those answered late.
    pub late: u64,
    /// The sum of what they are worth.
    pub worth: f64,
    /// The most requests at all upstreams at the end of a tenth of a second.
    pub in_flight_max: usize,
}

impl LoadWindow {
    /// Returns the mean worth of a caller.
    pub fn mean_worth(&self) -> f64 {
        self.worth / self.asked.max(1) as f64
    }
}

/// How a load was served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadOutcome {
    /// By 2 s.
    pub windows: Vec<LoadWindow>,
    /// Callers that were not answered in time, by cause.
    pub causes: BTreeMap<Cause, u64>,
    /// Requests that reached an upstream.
    pub arrivals: u64,
    /// Callers that came back and were refused again.
    pub refused_again: u64,
    /// Where requests were sent, in the order of time.
    pub served: Vec<SentRequest>,
}

impl LoadOutcome {
    /// Returns the mean worth of all callers.
    pub fn mean_worth(&self) -> f64 {
        let worth: f64 = self.windows.iter().map(|window| window.worth).sum();
        let asked: u64 = self.windows.iter().map(|window| window.asked).sum();
        worth / asked.max(1) as f64
    }

    /// Returns the largest shift of a region's requests to other regions within 2 s,
    /// from `from_s` seconds on; windows with fewer than `requests_min` requests tell
    /// nothing.
    pub fn largest_shift(&self, from_s: f64, requests_min: usize) -> Shift {
        let regions = self.served.iter().map(|one| one.region.max(one.origin) + 1);
        let regions = regions.max().unwrap_or(0);
        shift::largest(&self.served, regions, from_s, requests_min)
    }
}

impl fmt::Display for LoadOutcome {
    /// Writes the mean worth, the windows and the causes.
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
