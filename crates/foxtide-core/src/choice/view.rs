//! Queries of a balancer's state.

use super::balancer::Balancer;
use super::candidate::Candidate;
use super::status::UpstreamStatus;
use crate::organisation::Upstream;
use crate::time::MonotonicTime;
use crate::units::Share;
use std::time::Duration;

impl Balancer {
    /// Returns the smoothed latency over all upstreams, 0 before any answer.
    ///
    /// Latency-sensitive requests should not wait much longer than this.
    pub fn latency(&self) -> Duration {
        self.stats.latency()
    }

    /// Returns whether the upstreams have capacity for hedged attempts, which
    /// would slow all requests down on busy upstreams.
    pub fn has_spare_capacity(&self) -> bool {
        let is_idle = self.stats.utilization <= self.options.hedge_utilization_max;
        is_idle && self.rejection_budget.is_ample()
    }

    /// Returns each upstream with its status.
    pub fn statuses(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (&Upstream, UpstreamStatus)> {
        let status = move |candidate: &Candidate| candidate.status(&self.options, now);
        self.candidates
            .iter()
            .map(move |c| (&*c.upstream, status(c)))
    }

    /// Returns the upstreams of this instance's subset, each with the
    /// maximum number of the instance's connections to it.
    pub fn connection_limits(&self) -> impl Iterator<Item = (&Upstream, u32)> {
        let in_subset = self.candidates.iter().filter(|c| c.in_subset);
        in_subset.map(|c| (&*c.upstream, c.connection_limit))
    }

    /// Returns the size of one upstream's state in bytes, without its configuration.
    pub const fn state_bytes_per_upstream() -> usize {
        size_of::<Candidate>()
    }

    /// Returns the share of the upstreams that can serve now.
    pub fn healthy_share(&self, now: MonotonicTime) -> Share {
        let open = self.candidates.iter().filter(|c| {
            !matches!(
                c.status(&self.options, now),
                UpstreamStatus::Dead | UpstreamStatus::Ejected | UpstreamStatus::Leaving
            )
        });
        let all = self.candidates.len().max(1);
        Share::clamped(open.count() as f64 / all as f64)
    }

    /// Returns the number of requests in flight from this instance.
    pub fn in_flight(&self) -> u32 {
        self.candidates.iter().map(|c| c.in_flight).sum()
    }
}
