//! Health of an upstream, from this instance's own attempts.

use super::Slowness;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Duration of the first ejection.
const EJECTION_TIME_FIRST: Duration = Duration::from_millis(500);

/// Maximum duration of an ejection; the registration of a failed upstream has expired
/// by then.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(4);

/// Weight of the newest result in the failure share. At 0.25, three consecutive
/// failures eject an upstream.
const FAILURE_WEIGHT: f64 = 0.25;

/// Failure share at which an upstream is ejected.
const EJECTION_SHARE: f64 = 0.5;

/// Weight of the newest latency in the mean.
const LATENCY_WEIGHT: f64 = 0.2;

/// Age at which a load report expires. Several requests have come and gone by then.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_000);

/// Load of an upstream, as reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
    /// How long work takes on its machine at this moment; `None` if it is not reported.
    pub slowness: Option<Slowness>,
}

/// Result of an attempt with respect to the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete response arrived.
    Answered {
        /// Time until the response.
        latency: Duration,
    },
    /// The upstream rejected the request for lack of capacity.
    Full,
    /// The response reports an error, or no usable response arrived.
    Faulty,
    /// The upstream cannot be reached, so the next attempt would fail too.
    Unreachable,
    /// The caller or a time limit ended the attempt.
    Abandoned,
}

/// Health of an upstream.
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
    /// Records the start of an attempt.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records the result of an attempt.
    pub fn end(&mut self, result: AttemptResult, now: MonotonicTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            AttemptResult::Answered { latency } => self.record_success(latency),
            AttemptResult::Faulty => self.record_failure(now),
            AttemptResult::Unreachable => self.eject(now),
            AttemptResult::Full | AttemptResult::Abandoned => {}
        }
    }

    /// Records a load report.
    pub fn report(&mut self, report: LoadReport, now: MonotonicTime) {
        self.report = Some((report, now));
    }

    /// Returns the number of requests in flight from this instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the moving average of the latency.
    pub fn latency(&self) -> Option<Duration> {
        self.latency_s.map(Duration::from_secs_f64)
    }

    /// Returns the moving average of failures, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        now < self.ejected_until
    }

    /// Returns the known number of requests at the upstream: the greater of a recent
    /// load report and the requests in flight from this instance.
    pub fn occupancy(&self, now: MonotonicTime) -> u32 {
        let reported = match self.report {
            Some((report, at)) if now - at < REPORT_AGE_MAX => report.running + report.waiting,
            _ => 0,
        };
        reported.max(self.in_flight)
    }

    fn record_success(&mut self, latency: Duration) {
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.ejections = 0;
        let latency_s = latency.as_secs_f64();
        let mean_s = self.latency_s.unwrap_or(latency_s);
        self.latency_s = Some(mean_s + LATENCY_WEIGHT * (latency_s - mean_s));
    }

    fn record_failure(&mut self, now: MonotonicTime) {
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
