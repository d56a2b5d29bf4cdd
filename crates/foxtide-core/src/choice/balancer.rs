//! Load balancer for the upstreams of one service in one region.

use super::candidate::{
    Candidate,
    PoolStats, //
};
use super::rejection_budget::RejectionBudget;
use super::status::UpstreamStatus;
use super::subset::Assignment;
use super::{
    BalancerOptions,
    Completion,
    CompletionKind,
    Pick,
    Poll,
    PollResult,
    Rank,
    StatedRate,
    StatusChange,
    Ticket, //
};
use crate::ids::UpstreamId;
use crate::organisation::Upstream;
use crate::time::MonotonicTime;
use std::sync::Arc;
use std::time::Duration;

/// The shortest wait that a pick returns.
const WAIT_MIN: Duration = Duration::from_millis(1);

/// The random amount added to a score, so that equal upstreams share requests.
const JITTER_WEIGHT: f64 = 0.02;

/// Chooses upstreams for one service in one region.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(super) options: BalancerOptions,
    seed: u64,
    pub(super) candidates: Vec<Candidate>,
    pub(super) stats: PoolStats,
    sharing_instances: u32,
    rank: Option<Rank>,
    pub(super) rejection_budget: RejectionBudget,
    next_incarnation: u64,
}

impl Balancer {
    /// Returns a balancer without upstreams. The seed must differ between
    /// instances, such as a hash of the instance's name.
    pub fn new(options: BalancerOptions, seed: u64) -> Self {
        Self {
            options,
            seed,
            candidates: Vec::new(),
            stats: PoolStats::default(),
            sharing_instances: 1,
            rank: None,
            rejection_budget: RejectionBudget::new(),
            next_incarnation: 0,
        }
    }

    /// Replaces the list of upstreams, which `sharing_instances` instances
    /// share. Known upstreams keep their state; upstreams added to a non-empty
    /// list ramp up.
    pub fn configure(
        &mut self,
        upstreams: &[Upstream],
        sharing_instances: u32,
        now: MonotonicTime,
    ) {
        self.sharing_instances = sharing_instances.max(1);
        let is_first = self.candidates.is_empty();
        let mut known = std::mem::take(&mut self.candidates);
        for upstream in upstreams {
            let same = |known: &Candidate| {
                known.id() == &upstream.upstream && known.upstream.address == upstream.address
            };
            let candidate = match known.iter().position(same) {
                Some(index) => with_settings(known.swap_remove(index), upstream),
                None => self.new_candidate(upstream, is_first, now),
            };
            self.candidates.push(candidate);
        }
        self.reassign(now);
    }

    fn new_candidate(
        &mut self,
        upstream: &Upstream,
        is_first: bool,
        now: MonotonicTime,
    ) -> Candidate {
        self.next_incarnation += 1;
        let mut candidate = Candidate::new(upstream.clone(), self.next_incarnation, now);
        if !is_first {
            candidate.start_ramp(now);
        }
        candidate
    }

    /// Sets this instance's rank among those that share the slots. With a rank,
    /// each slot is owned by one instance, which prefers it. Ranks that
    /// temporarily disagree between instances only cause rejections.
    pub fn set_rank(&mut self, rank: Option<Rank>, now: MonotonicTime) {
        if self.rank != rank {
            self.rank = rank;
            self.reassign(now);
        }
    }

    /// Takes an upstream out of service: it gets no new requests.
    pub fn leave(&mut self, upstream: &UpstreamId, now: MonotonicTime) {
        self.set_leaving(upstream, true, now);
    }

    /// Returns an upstream to service; it ramps up.
    pub fn rejoin(&mut self, upstream: &UpstreamId, now: MonotonicTime) {
        self.set_leaving(upstream, false, now);
    }

    fn set_leaving(&mut self, upstream: &UpstreamId, leaving: bool, now: MonotonicTime) {
        let found = self.candidates.iter_mut().find(|c| c.id() == upstream);
        let Some(candidate) = found.filter(|c| c.leaving != leaving) else {
            return;
        };
        candidate.leaving = leaving;
        if !leaving {
            candidate.start_ramp(now);
        }
        self.reassign(now);
    }

    /// Chooses an upstream for a request. `draw` is a random number.
    pub fn pick(&mut self, now: MonotonicTime, draw: u64) -> Pick {
        self.pick_avoiding(now, draw, &[])
    }

    /// Chooses an upstream for a request, avoiding those in `tried` unless no
    /// other has a free slot.
    pub fn pick_avoiding(&mut self, now: MonotonicTime, draw: u64, tried: &[UpstreamId]) -> Pick {
        self.rejection_budget
            .refill(&self.options, self.stats.latency(), now);
        let best = self
            .best(now, draw, |c| !tried.contains(c.id()))
            .or_else(|| self.best(now, draw, |_| true));
        let Some(index) = best else {
            return self.wait_or_empty(now);
        };
        let candidate = &mut self.candidates[index];
        candidate.record_sent(&self.options, now);
        Pick::Take(Ticket {
            upstream: Arc::clone(&candidate.upstream),
            incarnation: candidate.incarnation,
            connection_limit: candidate.connection_limit,
        })
    }

    /// Returns the index of the allowed upstream with the lowest score.
    fn best(
        &self,
        now: MonotonicTime,
        draw: u64,
        allowed: impl Fn(&Candidate) -> bool,
    ) -> Option<usize> {
        let mut best = None;
        let mut best_score = f64::INFINITY;
        for (index, candidate) in self.candidates.iter().enumerate() {
            if !self.may_send(candidate, now) || !allowed(candidate) {
                continue;
            }
            let jitter = JITTER_WEIGHT * unit_jitter(draw, index);
            let score = candidate.score(&self.options, &self.stats, now) + jitter;
            if score < best_score {
                best_score = score;
                best = Some(index);
            }
        }
        best
    }

    fn may_send(&self, candidate: &Candidate, now: MonotonicTime) -> bool {
        let has_free_slot = candidate.free_at(now).is_some_and(|from| from <= now);
        has_free_slot
            && self.is_open(candidate, now)
            && candidate.rate.next_token_in(now).is_zero()
            && (self.rejection_budget.allows_speculation()
                || candidate.expects_free_slot(&self.options, &self.stats, now))
    }

    /// Returns whether an upstream accepts new requests, free slots aside.
    fn is_open(&self, candidate: &Candidate, now: MonotonicTime) -> bool {
        self.is_usable(candidate, now) && candidate.rest_left(now).is_zero()
    }

    /// Returns whether an upstream accepts new requests, free slots and rests aside.
    fn is_usable(&self, candidate: &Candidate, now: MonotonicTime) -> bool {
        let status = candidate.status(&self.options, now);
        matches!(status, UpstreamStatus::Serving | UpstreamStatus::Ramping)
    }

    fn wait_or_empty(&self, now: MonotonicTime) -> Pick {
        let open = || self.candidates.iter().filter(|c| self.is_open(c, now));
        let next_token_in = open().map(|c| c.rate.next_token_in(now)).min();
        if let Some(retry_in) = next_token_in.filter(|time| !time.is_zero()) {
            return Pick::Throttled { retry_in };
        }
        let latency = self.stats.latency();
        let token_in = self.rejection_budget.next_token_in(&self.options, latency);
        let wait_for = |candidate: &Candidate| match candidate.free_at(now) {
            Some(from) => (from - now).max(token_in),
            None => latency,
        };
        let unthrottled = open().filter(|c| c.rate.next_token_in(now).is_zero());
        match unthrottled.map(wait_for).min() {
            Some(retry_in) => Pick::Wait {
                retry_in: retry_in.max(WAIT_MIN),
            },
            None => self.resting_or_empty(now),
        }
    }

    fn resting_or_empty(&self, now: MonotonicTime) -> Pick {
        let usable = self.candidates.iter().filter(|c| self.is_usable(c, now));
        let rests = usable.map(|c| c.rest_left(now));
        match rests.filter(|time| !time.is_zero()).min() {
            Some(retry_in) => Pick::Resting { retry_in },
            None => Pick::Empty,
        }
    }

    /// Records that the upstream of a ticket has announced that it is draining, before the
    /// request is finished.
    pub fn record_draining(&mut self, ticket: &Ticket, now: MonotonicTime) {
        let Some(index) = self.position(ticket.incarnation) else {
            return;
        };
        if !std::mem::replace(&mut self.candidates[index].draining, true) {
            self.reassign(now);
        }
    }

    /// Records that the upstream of a ticket wants rest from this instance.
    pub fn rest(&mut self, ticket: &Ticket, time: Duration, now: MonotonicTime) {
        if let Some(index) = self.position(ticket.incarnation) {
            self.candidates[index].rest(time, now);
        }
    }

    /// Records what a response states on its upstream's rate; the request was sent at
    /// `sent_at`. Returns whether the upstream begins or ends to limit its rate.
    pub fn record_stated_rate(
        &mut self,
        ticket: &Ticket,
        stated: StatedRate,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        self.record_rate_of(ticket.incarnation, stated, sent_at, now)
    }

    /// Records what the response to a poll states on its upstream's rate.
    pub fn record_polled_rate(
        &mut self,
        poll: &Poll,
        stated: StatedRate,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        self.record_rate_of(poll.incarnation, stated, sent_at, now)
    }

    fn record_rate_of(
        &mut self,
        incarnation: u64,
        stated: StatedRate,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let Some(index) = self.position(incarnation) else {
            return false;
        };
        let (rank, instances) = (self.rank, self.sharing_instances);
        let candidate = &mut self.candidates[index];
        let was_limited = candidate.rate.is_limited();
        candidate.rate.record(stated, sent_at, now);
        let upstream = &candidate.upstream.upstream;
        candidate.rate.assign(upstream, rank, instances);
        candidate.rate.is_limited() != was_limited
    }

    /// Takes back a ticket and records the result of its request.
    pub fn finish(&mut self, ticket: Ticket, completion: Completion, now: MonotonicTime) {
        let Some(index) = self.position(ticket.incarnation) else {
            return;
        };
        match completion.kind {
            CompletionKind::Answered => self.rejection_budget.record_answer(&self.options),
            CompletionKind::Rejected => self.rejection_budget.record_rejection(),
            _ => {}
        }
        let candidate = &mut self.candidates[index];
        let was_eligible = candidate.is_eligible();
        candidate.record_completion(&completion, &self.options, &mut self.stats, now);
        if candidate.is_eligible() != was_eligible {
            self.reassign(now);
        }
        self.eject_if_outlier(index, now);
    }

    fn eject_if_outlier(&mut self, index: usize, now: MonotonicTime) {
        let options = &self.options.ejection;
        let candidate = &self.candidates[index];
        let outlier = candidate.failures.is_outlier(&self.stats.failures, options);
        if !outlier
            || !self.is_open(candidate, now)
            || self.unavailable_count(now) >= self.unavailable_limit()
        {
            return;
        }
        self.candidates[index].failures.eject(options, now);
    }

    /// Returns the number of upstreams of the subset that are dead or ejected.
    fn unavailable_count(&self, now: MonotonicTime) -> usize {
        let is_unavailable = |candidate: &&Candidate| {
            let status = candidate.status(&self.options, now);
            matches!(status, UpstreamStatus::Dead | UpstreamStatus::Ejected)
        };
        self.candidates.iter().filter(is_unavailable).count()
    }

    /// Returns the number of unavailable upstreams at which ejections stop.
    fn unavailable_limit(&self) -> usize {
        let in_use = self
            .candidates
            .iter()
            .filter(|c| c.in_subset && c.is_eligible());
        (in_use.count() as f64 * self.options.ejection.ejected_max.get()) as usize
    }

    /// Returns the next upstream that is due for a poll, if any.
    pub fn next_poll(&mut self, now: MonotonicTime) -> Option<Poll> {
        let options = &self.options;
        let mut candidates = self.candidates.iter_mut();
        let candidate = candidates.find(|c| c.poll_is_due(options, now))?;
        candidate.record_poll_sent(options, now);
        Some(Poll {
            upstream: Arc::clone(&candidate.upstream),
            incarnation: candidate.incarnation,
        })
    }

    /// Takes back a poll and records its result.
    pub fn finish_poll(&mut self, poll: Poll, result: PollResult, now: MonotonicTime) {
        let Some(index) = self.position(poll.incarnation) else {
            return;
        };
        let candidate = &mut self.candidates[index];
        let was_eligible = candidate.is_eligible();
        candidate.record_poll(&result, &self.options, &mut self.stats, now);
        if candidate.is_eligible() != was_eligible {
            self.reassign(now);
        }
    }

    /// Returns the changes of status since the last call.
    pub fn status_changes(&mut self, now: MonotonicTime) -> Vec<StatusChange> {
        let mut changes = Vec::new();
        for candidate in &mut self.candidates {
            if let Some(until) = candidate.failures.take_ended_ejection(now) {
                candidate.start_ramp(until);
            }
            let to = candidate.status(&self.options, now);
            let from = std::mem::replace(&mut candidate.reported_status, to);
            if from != to {
                changes.push(StatusChange {
                    upstream: candidate.id().clone(),
                    from,
                    to,
                });
            }
        }
        changes
    }

    fn position(&self, incarnation: u64) -> Option<usize> {
        self.candidates
            .iter()
            .position(|c| c.incarnation == incarnation)
    }

    /// Recomputes this instance's subset, slots and connections.
    fn reassign(&mut self, now: MonotonicTime) {
        let assignment = Assignment {
            instances: self.sharing_instances,
            rank: self.rank,
            seed: self.seed,
        };
        assignment.apply(&mut self.candidates, &self.options);
        for candidate in &mut self.candidates {
            let upstream = &candidate.upstream.upstream;
            let (rank, instances) = (self.rank, self.sharing_instances);
            candidate.rate.assign(upstream, rank, instances);
        }
        self.end_excess_ejections(now);
    }

    /// Ends ejections until the unavailable upstreams are within the limit.
    fn end_excess_ejections(&mut self, now: MonotonicTime) {
        while self.unavailable_count(now) > self.unavailable_limit() {
            let ejected = |c: &&mut Candidate| c.in_subset && c.failures.is_ejected(now);
            let Some(candidate) = self.candidates.iter_mut().find(ejected) else {
                return;
            };
            candidate.failures.end_ejection();
            candidate.start_ramp(now);
        }
    }
}

fn with_settings(mut candidate: Candidate, upstream: &Upstream) -> Candidate {
    if *candidate.upstream != *upstream {
        candidate.upstream = Arc::new(upstream.clone());
    }
    candidate
}

/// Returns a pseudo-random number from 0 to 1 for a draw and a candidate.
fn unit_jitter(draw: u64, index: usize) -> f64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (draw ^ index as u64).wrapping_mul(MULTIPLIER);
    (mixed >> 32) as f64 / f64::from(u32::MAX)
}
