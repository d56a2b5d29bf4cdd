//! Options of the load balancer.

use crate::ids::AvailabilityZoneId;
use crate::units::Share;
use std::time::Duration;

/// Options of a [`Balancer`](super::Balancer).
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// The availability zone of this instance; at equal load, upstreams in it
    /// are preferred. Default: none.
    pub availability_zone: Option<AvailabilityZoneId>,
    /// The load added to the score of an upstream in another availability zone,
    /// as a share. Default: 0.05.
    pub other_zone_penalty: f64,
    /// The time until a new or returning upstream gets its full share of the
    /// requests. Default: 10 s.
    pub ramp: Duration,
    /// The share that such an upstream gets at first. Default: 0.1.
    pub ramp_floor: Share,
    /// The decay time of a load report, as a multiple of the smoothed latency.
    /// Default: 1.
    pub report_lifetime_latencies: f64,
    /// The rejections that an instance may cause for each answer. Default: 0.2.
    pub rejections_per_answer: f64,
    /// The rejections that an instance may cause in addition within each smoothed
    /// latency. Default: 2.
    pub rejections_per_latency: f64,
    /// The highest smoothed utilization of the upstreams at which hedged
    /// attempts may be sent. Default: 0.6.
    pub hedge_utilization_max: f64,
    /// The load subtracted from the score of an upstream at which this instance
    /// owns a free slot, as a share; see [`Balancer::set_rank`](super::Balancer::set_rank).
    /// Default: 0.3.
    pub own_slot_bonus: f64,
    /// The time after an answer for which its slot is expected to be free, as a
    /// multiple of the smoothed latency. Default: 0.5.
    pub freed_slot_lifetime_latencies: f64,
    /// The minimum number of connections to each upstream; an instance with a
    /// smaller share uses fewer upstreams. Default: 2.
    pub connections_min: u32,
    /// The minimum number of upstreams that an instance uses, whatever its share
    /// of the connections. Default: 3.
    pub subset_min: usize,
    /// Options of failure detection.
    pub liveness: LivenessOptions,
    /// Options of outlier ejection.
    pub ejection: EjectionOptions,
}

impl Default for BalancerOptions {
    fn default() -> Self {
        Self {
            availability_zone: None,
            other_zone_penalty: 0.05,
            ramp: Duration::from_secs(10),
            ramp_floor: Share::clamped(0.1),
            report_lifetime_latencies: 1.0,
            rejections_per_answer: 0.2,
            rejections_per_latency: 2.0,
            hedge_utilization_max: 0.6,
            own_slot_bonus: 0.3,
            freed_slot_lifetime_latencies: 0.5,
            connections_min: 2,
            subset_min: 3,
            liveness: LivenessOptions::default(),
            ejection: EjectionOptions::default(),
        }
    }
}

/// Options of the failure detection of upstreams.
#[derive(Clone, Debug)]
pub struct LivenessOptions {
    /// The time without a response after which an upstream with requests in
    /// flight is polled. Default: 500 ms.
    pub poll_after: Duration,
    /// The time without a response after which an idle upstream is polled.
    /// Default: 1.8 s; with `idle_response_timeout` it must stay below 3 s.
    pub idle_poll_after: Duration,
    /// The time for which a poll of an idle upstream may stay unanswered
    /// before the upstream counts as dead. Default: 1 s.
    pub idle_response_timeout: Duration,
    /// The time for which a request may stay unanswered, without any other
    /// response, before the upstream counts as dead. Default: 2 s; with
    /// `poll_after` it must stay below 3 s.
    pub response_timeout: Duration,
    /// The consecutive failures to connect after which an upstream counts as
    /// dead. Default: 2.
    pub unreachable_limit: u32,
}

impl Default for LivenessOptions {
    fn default() -> Self {
        Self {
            poll_after: Duration::from_millis(500),
            idle_poll_after: Duration::from_millis(1_800),
            idle_response_timeout: Duration::from_secs(1),
            response_timeout: Duration::from_secs(2),
            unreachable_limit: 2,
        }
    }
}

/// Options of the ejection of upstreams that fail more than the rest.
#[derive(Clone, Debug)]
pub struct EjectionOptions {
    /// The maximum share of the upstreams that may be ejected or dead before
    /// ejections stop. Default: 0.34.
    pub ejected_max: Share,
    /// How far an upstream's smoothed failure share must exceed that of all
    /// upstreams. Default: 0.4.
    pub excess_failures: Share,
    /// The minimum number of completions before an ejection. Default: 8.
    pub completions_min: u32,
    /// The duration of the first ejection; each later one doubles it.
    /// Default: 5 s.
    pub first_duration: Duration,
    /// The maximum duration of an ejection. Default: 60 s.
    pub duration_max: Duration,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self {
            ejected_max: Share::clamped(0.34),
            excess_failures: Share::clamped(0.4),
            completions_min: 8,
            first_duration: Duration::from_secs(5),
            duration_max: Duration::from_secs(60),
        }
    }
}
