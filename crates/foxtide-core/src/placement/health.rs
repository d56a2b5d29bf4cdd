//! What an instance has itself seen of an upstream.

use crate::time::MonotonicTime;
use std::time::Duration;

/// The first time for which an upstream is passed over after failures.
const EJECTION_TIME_FIRST: Duration = Duration::from_millis(500);

/// The longest such time; an upstream that is gone is unregistered by then.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(4);

/// How far the failure share moves towards the newest result. A quarter
/// reaches one half after three failures in a row.
const FAILURE_WEIGHT: f64 = 0.25;

/// The failure share from which an upstream is passed over.
const EJECTION_SHARE: f64 = 0.5;

/// How far the mean latency moves towards the newest one.
const LATENCY_WEIGHT: f64 = 0.2;

/// The age from which a load report tells nothing any more: several requests
/// have come and gone by then.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_000);

/// What an upstream said of its load in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it worked on.
    pub running: u32,
    /// Requests that waited for a slot.
    pub waiting: u32,
    /// The slots that it has.
    pub slots: u32,
}

/// How an attempt ended, as far as it tells of the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A whole response came.
    Answered {
        /// How long it took.
        latency: Duration,
    },
    /// The upstream had no room and said so.
    Full,
    /// A response came that tells of a fault, or none that can be used.
    Faulty,
    /// The upstream cannot be reached: the next attempt would fail as well.
    Unreachable,
    /// Given up by the caller or by a limit of time.
    Abandoned,
}

/// What is known of one upstream from this instance's own attempts.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    in_flight: u32,
    report: Option<(LoadReport, MonotonicTime)>,
    failure_share: f64,
    latency_s: Option<f64>,
    ejected_until: MonotonicTime,
    ejections: u32,
}

impl UpstreamHealth {
    /// Notes that a request is being sent.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Notes how an attempt ended.
    pub fn end(&mut self, result: AttemptResult, now: MonotonicTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            AttemptResult::Answered { latency } => self.succeeded(latency),
            AttemptResult::Faulty => self.failed(now),
            AttemptResult::Unreachable => self.eject(now),
            AttemptResult::Full | AttemptResult::Abandoned => {}
        }
    }

    /// Notes what the upstream said of its load.
    pub fn report(&mut self, report: LoadReport, now: MonotonicTime) {
        self.report = Some((report, now));
    }

    /// Returns the requests under way from this instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the mean latency of late.
    pub fn latency(&self) -> Option<Duration> {
        self.latency_s.map(Duration::from_secs_f64)
    }

    /// Returns the share of failures of late.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Tells whether the upstream is to be passed over.
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        now < self.ejected_until
    }

    /// Returns how many requests the upstream has to do, as far as is known:
    /// its last word while that is fresh, and what this instance sends.
    pub fn occupancy(&self, now: MonotonicTime) -> u32 {
        let reported = match self.report {
            Some((report, at)) if now - at < REPORT_AGE_MAX => report.running + report.waiting,
            _ => 0,
        };
        reported.max(self.in_flight)
    }

    fn succeeded(&mut self, latency: Duration) {
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.ejections = 0;
        let latency_s = latency.as_secs_f64();
        let mean_s = self.latency_s.unwrap_or(latency_s);
        self.latency_s = Some(mean_s + LATENCY_WEIGHT * (latency_s - mean_s));
    }

    fn failed(&mut self, now: MonotonicTime) {
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        if self.failure_share >= EJECTION_SHARE {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: MonotonicTime) {
        if self.is_ejected(now) {
            return;
        }
        let time = EJECTION_TIME_FIRST * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = now + time.min(EJECTION_TIME_MAX);
        self.ejections += 1;
    }
}
