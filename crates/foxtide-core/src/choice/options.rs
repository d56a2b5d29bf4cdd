//! Settings of the choice of an upstream.

use crate::ids::AvailabilityZoneId;
use crate::units::Share;
use std::time::Duration;

/// Settings of a [`Balancer`](super::Balancer).
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// The availability zone of this instance; upstreams in it are preferred
    /// among equals. Default: none.
    pub availability_zone: Option<AvailabilityZoneId>,
    /// What an upstream in another availability zone costs, in parts of its
    /// load. Default: 0.05.
    pub other_zone_penalty: f64,
    /// The time after which a new or returning upstream gets its full part.
    /// Default: 10 s.
    pub ramp: Duration,
    /// The part that such an upstream gets at first. Default: 0.1.
    pub ramp_floor: Share,
    /// How long a load report is worth something, as a multiple of the
    /// smoothed latency. Default: 1.
    pub report_lifetime_latencies: f64,
    /// The refusals that an instance may provoke for each answer.
    /// Default: 0.2.
    pub refusals_per_answer: f64,
    /// The refusals that it may provoke within each smoothed latency besides.
    /// Default: 2.
    pub refusals_per_latency: f64,
    /// The smoothed utilization of the upstreams below which second attempts
    /// may be sent beside slow ones. Default: 0.6.
    pub hedge_utilization_max: f64,
    /// How much a slot that is this instance's own counts for, in parts of an
    /// upstream's load; see [`Balancer::set_rank`](super::Balancer::set_rank).
    /// Default: 0.3.
    pub own_slot_bonus: f64,
    /// How long after an answer its slot is expected to be free still, as a
    /// multiple of the smoothed latency. Default: 0.5.
    pub freed_slot_lifetime_latencies: f64,
    /// The fewest connections to an upstream that are worth keeping; where the
    /// instance's part is smaller, it uses fewer upstreams. Default: 2.
    pub connections_min: u32,
    /// The fewest upstreams that an instance uses, however small its part of
    /// the connections. Default: 3.
    pub subset_min: usize,
    /// Settings of the detection of upstreams that no longer answer.
    pub liveness: LivenessOptions,
    /// Settings of the ejection of upstreams that fail more than the rest.
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
            refusals_per_answer: 0.2,
            refusals_per_latency: 2.0,
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

/// Settings of the detection of upstreams that no longer answer.
#[derive(Clone, Debug)]
pub struct LivenessOptions {
    /// The time without any sign after which an upstream with requests in
    /// flight is polled. Default: 500 ms.
    pub poll_after: Duration,
    /// The time without any sign after which an idle upstream is polled.
    /// Default: 1.8 s; with `idle_silence_limit` it must stay below 3 s.
    pub idle_poll_after: Duration,
    /// The time for which a poll of an idle upstream may stay unanswered
    /// before the upstream is taken for dead. Default: 1 s.
    pub idle_silence_limit: Duration,
    /// The time for which a request may stay unanswered, without any other sign
    /// of the upstream, before the upstream is taken for dead. Default: 2 s;
    /// with `poll_after` it must stay below 3 s.
    pub silence_limit: Duration,
    /// How many attempts in a row may fail to reach an upstream before it is
    /// taken for dead. Default: 2.
    pub unreachable_limit: u32,
}

impl Default for LivenessOptions {
    fn default() -> Self {
        Self {
            poll_after: Duration::from_millis(500),
            idle_poll_after: Duration::from_millis(1_800),
            idle_silence_limit: Duration::from_secs(1),
            silence_limit: Duration::from_secs(2),
            unreachable_limit: 2,
        }
    }
}

/// Settings of the ejection of upstreams that fail more than the rest.
#[derive(Clone, Debug)]
pub struct EjectionOptions {
    /// The largest part of the upstreams that may be out at a time; the dead
    /// count too. Default: 0.34.
    pub ejected_max: Share,
    /// How far an upstream's smoothed share of failures must lie above that of
    /// all upstreams. Default: 0.4.
    pub excess_failures: Share,
    /// The fewest completions on which an ejection may rest. Default: 8.
    pub completions_min: u32,
    /// How long the first ejection lasts; doubled by each that follows.
    /// Default: 5 s.
    pub base: Duration,
    /// The longest ejection. Default: 60 s.
    pub longest: Duration,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self {
            ejected_max: Share::clamped(0.34),
            excess_failures: Share::clamped(0.4),
            completions_min: 8,
            base: Duration::from_secs(5),
            longest: Duration::from_secs(60),
        }
    }
}
