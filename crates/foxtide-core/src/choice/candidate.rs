//! State of one upstream in a balancer.

use super::BalancerOptions;
use super::completion::{
    Completion,
    CompletionKind,
    PollResult, //
};
use super::ejection::FailureRecord;
use super::liveness::Liveness;
use super::occupancy::Occupancy;
use super::rate_share::RateShare;
use super::status::UpstreamStatus;
use crate::ids::UpstreamId;
use crate::organisation::Upstream;
use crate::time::MonotonicTime;
use crate::withdrawal::REST_MAX;
use std::sync::Arc;
use std::time::Duration;

/// The weight of a new sample in a smoothed value.
const SMOOTHING_WEIGHT: f64 = 0.1;

/// The largest factor by which latency may raise or lower a score.
const LATENCY_FACTOR_MAX: f64 = 8.0;

/// The maximum time for which a rejection alone excludes an upstream.
const REJECTION_HOLD_MAX: Duration = Duration::from_millis(100);

/// Statistics over all candidates of a balancer.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolStats {
    /// The smoothed latency over all upstreams; 0 before the first answer.
    pub(crate) latency_us: f64,
    /// The smoothed utilization that the upstreams report; 0 without reports.
    pub(crate) utilization: f64,
    /// The requests of other instances per slot, averaged over reports.
    pub(crate) others_per_slot: f64,
    /// The failures over all upstreams.
    pub(crate) failures: FailureRecord,
}

impl PoolStats {
    pub(crate) fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_us / 1e6)
    }
}

/// The state of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) upstream: Arc<Upstream>,
    /// Distinguishes this entry from earlier ones of the same name.
    pub(crate) incarnation: u64,
    pub(crate) in_other_zone: bool,
    pub(crate) connection_limit: u32,
    /// The number of slots owned by this instance.
    pub(crate) own_slots: u32,
    pub(crate) in_subset: bool,
    /// Whether [`Balancer::leave`](super::Balancer::leave) was called for the upstream.
    pub(crate) leaving: bool,
    /// Whether the upstream itself announced that it is draining.
    pub(crate) draining: bool,
    pub(crate) in_flight: u32,
    pub(crate) liveness: Liveness,
    pub(crate) failures: FailureRecord,
    /// This instance's part of the rate that the upstream accepts.
    pub(crate) rate: RateShare,
    /// When the rest ends that the upstream asked this instance for.
    rests_until: MonotonicTime,
    /// The status last returned to the caller.
    pub(crate) reported_status: UpstreamStatus,
    occupancy: Occupancy,
    ramp_started_at: Option<MonotonicTime>,
    full_until: MonotonicTime,
    /// When an answer freed a slot that has not been used since.
    freed_at: Option<MonotonicTime>,
    latency_us: f64,
}

impl Candidate {
    /// Returns the state of an upstream without observations.
    pub(crate) fn new(upstream: Upstream, incarnation: u64, now: MonotonicTime) -> Self {
        Self {
            upstream: Arc::new(upstream),
            incarnation,
            in_other_zone: false,
            connection_limit: 1,
            own_slots: 0,
            in_subset: true,
            leaving: false,
            draining: false,
            in_flight: 0,
            liveness: Liveness::new(now),
            failures: FailureRecord::default(),
            rate: RateShare::default(),
            rests_until: MonotonicTime::ZERO,
            reported_status: UpstreamStatus::Serving,
            occupancy: Occupancy::new(),
            ramp_started_at: None,
            full_until: MonotonicTime::ZERO,
            freed_at: None,
            latency_us: 0.0,
        }
    }

    pub(crate) fn id(&self) -> &UpstreamId {
        &self.upstream.upstream
    }

    pub(crate) fn start_ramp(&mut self, now: MonotonicTime) {
        self.ramp_started_at = Some(now);
    }

    /// Records that the upstream wants rest; it ramps up afterwards. A shorter rest does not
    /// end a longer one.
    pub(crate) fn rest(&mut self, time: Duration, now: MonotonicTime) {
        let until = now + time.min(REST_MAX);
        if until > self.rests_until.max(now) {
            self.rests_until = until;
            self.start_ramp(until);
        }
    }

    /// Returns the time until a rest ends; zero if the upstream does not rest.
    pub(crate) fn rest_left(&self, now: MonotonicTime) -> Duration {
        self.rests_until - now
    }

    /// Returns whether the upstream may belong to a subset.
    pub(crate) fn is_eligible(&self) -> bool {
        !self.leaving && !self.draining
    }

    pub(crate) fn status(&self, options: &BalancerOptions, now: MonotonicTime) -> UpstreamStatus {
        if !self.is_eligible() {
            return UpstreamStatus::Leaving;
        }
        if !self.in_subset {
            return UpstreamStatus::Unused;
        }
        if self.liveness.is_dead(now) {
            return UpstreamStatus::Dead;
        }
        if self.failures.is_ejected(now) {
            return UpstreamStatus::Ejected;
        }
        if self.weight(options, now) < 1.0 {
            return UpstreamStatus::Ramping;
        }
        UpstreamStatus::Serving
    }

    /// Returns the maximum number of this instance's requests in flight.
    fn in_flight_limit(&self) -> u32 {
        self.upstream.slots.min(self.connection_limit).max(1)
    }

    /// Returns when the upstream is expected to have a free slot; `None` if
    /// one of this instance's requests has to finish first.
    pub(crate) fn free_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        (self.in_flight < self.in_flight_limit()).then_some(self.full_until.max(now))
    }

    /// Returns whether a slot owned by this instance is free.
    fn has_own_slot(&self) -> bool {
        self.in_flight < self.own_slots
    }

    /// Returns whether a slot is likely to be free: one owned by this instance,
    /// or one that an answer freed recently.
    pub(crate) fn expects_free_slot(
        &self,
        options: &BalancerOptions,
        stats: &PoolStats,
        now: MonotonicTime,
    ) -> bool {
        let lifetime = stats
            .latency()
            .mul_f64(options.freed_slot_lifetime_latencies);
        let freed = self.freed_at.is_some_and(|at| now - at <= lifetime);
        freed || self.has_own_slot()
    }

    /// Returns the usable share of the slots, below 1 during ramp-up.
    fn weight(&self, options: &BalancerOptions, now: MonotonicTime) -> f64 {
        let Some(from) = self.ramp_started_at else {
            return 1.0;
        };
        let elapsed = (now - from).as_secs_f64() / options.ramp.as_secs_f64().max(1e-3);
        elapsed.clamp(options.ramp_floor.get(), 1.0)
    }

    /// Returns the average use of this upstream by other instances, in slots.
    fn average_others(&self, stats: &PoolStats) -> f64 {
        stats.others_per_slot * f64::from(self.upstream.slots)
    }

    /// Returns the expected load with one more request; lower is better.
    pub(crate) fn score(
        &self,
        options: &BalancerOptions,
        stats: &PoolStats,
        now: MonotonicTime,
    ) -> f64 {
        let lifetime_us = stats.latency_us * options.report_lifetime_latencies;
        let others = self
            .occupancy
            .estimate(self.average_others(stats), lifetime_us, now);
        let requests = others.max(0.0) + f64::from(self.in_flight) + 1.0;
        let slots = f64::from(self.upstream.slots.max(1)) * self.weight(options, now);
        let mut load = requests / slots * self.latency_factor(stats);
        if self.in_other_zone {
            load += options.other_zone_penalty;
        }
        if self.has_own_slot() {
            load -= options.own_slot_bonus;
        }
        load
    }

    /// Returns the ratio of the upstream's latency to the average.
    fn latency_factor(&self, stats: &PoolStats) -> f64 {
        if self.latency_us == 0.0 || stats.latency_us == 0.0 {
            return 1.0;
        }
        let factor = self.latency_us / stats.latency_us;
        factor.clamp(1.0 / LATENCY_FACTOR_MAX, LATENCY_FACTOR_MAX)
    }

    pub(crate) fn record_sent(&mut self, options: &BalancerOptions, now: MonotonicTime) {
        self.in_flight += 1;
        self.rate.take(now);
        self.freed_at = None;
        self.liveness.record_sent(&options.liveness, now);
    }

    pub(crate) fn record_completion(
        &mut self,
        completion: &Completion,
        options: &BalancerOptions,
        stats: &mut PoolStats,
        now: MonotonicTime,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.draining |= completion.draining;
        self.update_liveness(completion.kind, options, now);
        if let Some(failed) = completion.kind.failure() {
            self.failures.record(failed);
            stats.failures.record(failed);
        }
        match completion.kind {
            CompletionKind::Answered => self.record_answer(completion, stats, now),
            CompletionKind::Rejected => self.record_rejection(options, stats, now),
            _ => {}
        }
    }

    fn update_liveness(
        &mut self,
        kind: CompletionKind,
        options: &BalancerOptions,
        now: MonotonicTime,
    ) {
        if kind.is_response() {
            self.record_response(now);
        } else if kind == CompletionKind::NotSent {
            self.liveness.record_unreachable(&options.liveness);
        } else if kind != CompletionKind::Cancelled {
            self.liveness.record_unanswered(now);
        }
    }

    /// Records a response; an upstream that was dead starts to ramp.
    fn record_response(&mut self, now: MonotonicTime) {
        let was_dead = self.liveness.record_response(now);
        if was_dead {
            self.start_ramp(now);
        }
    }

    fn record_answer(
        &mut self,
        completion: &Completion,
        stats: &mut PoolStats,
        now: MonotonicTime,
    ) {
        let sample_us = completion.latency.as_micros() as f64;
        smooth(&mut self.latency_us, sample_us);
        smooth(&mut stats.latency_us, sample_us);
        self.full_until = MonotonicTime::ZERO;
        self.freed_at = Some(now);
        self.occupancy.record_served();
        if let Some(load) = &completion.load {
            self.record_report(load.utilization, stats, now);
        }
    }

    pub(crate) fn poll_is_due(&self, options: &BalancerOptions, now: MonotonicTime) -> bool {
        let watched = self.in_subset || self.draining;
        watched
            && self.rest_left(now).is_zero()
            && self
                .liveness
                .poll_is_due(&options.liveness, self.in_flight == 0, now)
    }

    pub(crate) fn record_poll_sent(&mut self, options: &BalancerOptions, now: MonotonicTime) {
        self.liveness
            .record_poll_sent(&options.liveness, self.in_flight == 0, now);
    }

    /// Records the result of a poll, which alone can end a draining state.
    pub(crate) fn record_poll(
        &mut self,
        result: &PollResult,
        options: &BalancerOptions,
        stats: &mut PoolStats,
        now: MonotonicTime,
    ) {
        self.liveness.record_poll_ended();
        match result {
            PollResult::Answered { load, draining } => {
                self.record_response(now);
                if self.draining && !draining {
                    self.start_ramp(now);
                }
                self.draining = *draining;
                if let Some(load) = load {
                    self.record_report(load.utilization, stats, now);
                }
            }
            PollResult::Unreachable => self.liveness.record_unreachable(&options.liveness),
            PollResult::TimedOut => self.liveness.record_unanswered(now),
        }
    }

    fn record_report(&mut self, utilization: f64, stats: &mut PoolStats, now: MonotonicTime) {
        smooth(&mut stats.utilization, utilization);
        let slots = f64::from(self.upstream.slots);
        let others = (utilization * slots - f64::from(self.in_flight)).max(0.0);
        stats.others_per_slot +=
            SMOOTHING_WEIGHT * (others / slots.max(1.0) - stats.others_per_slot);
        self.occupancy
            .record_report(others, self.average_others(stats), now);
    }

    /// Records a rejection: every slot was in use, and one is expected to be freed
    /// after about the latency divided by the number of slots.
    fn record_rejection(
        &mut self,
        options: &BalancerOptions,
        stats: &PoolStats,
        now: MonotonicTime,
    ) {
        self.freed_at = None;
        let slots = f64::from(self.upstream.slots.max(1));
        let others = (slots - f64::from(self.in_flight)).max(0.0);
        let lifetime_us = stats.latency_us * options.report_lifetime_latencies;
        self.occupancy.record_rejection(others, lifetime_us, now);
        let frees_in = Duration::from_secs_f64(stats.latency_us / slots / 1e6);
        self.full_until = now + frees_in.min(REJECTION_HOLD_MAX);
    }
}

/// Updates an exponential moving average; the first sample initialises it.
fn smooth(value: &mut f64, sample: f64) {
    if *value == 0.0 {
        *value = sample;
    } else {
        *value += SMOOTHING_WEIGHT * (sample - *value);
    }
}
