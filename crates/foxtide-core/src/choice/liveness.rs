//! Detection of an upstream that no longer answers.
//!
//! Any answer, also a refusal or an answered poll, is a sign of life. An
//! upstream from which nothing is heard is polled: soon where requests are in
//! flight, which may merely be slow, and later where it is idle. When a request
//! or a poll stays unanswered for its limit with no other sign, the upstream is
//! dead and gets no request until a poll or an old request is answered.

use super::LivenessOptions;
use crate::time::MonotonicTime;

/// What one instance knows of the life of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Liveness {
    last_response_at: MonotonicTime,
    /// When the upstream is dead, unless there is a sign of it before.
    dead_at: Option<MonotonicTime>,
    consecutive_unreachable: u32,
    dead: bool,
    polled_at: MonotonicTime,
    poll_in_flight: bool,
}

impl Liveness {
    /// Returns the state of an upstream that is taken for alive.
    pub(crate) const fn new(now: MonotonicTime) -> Self {
        Self {
            last_response_at: now,
            dead_at: None,
            consecutive_unreachable: 0,
            dead: false,
            polled_at: now,
            poll_in_flight: false,
        }
    }

    /// Tells whether the upstream is taken for dead.
    pub(crate) fn is_dead(&self, now: MonotonicTime) -> bool {
        self.dead || self.dead_at.is_some_and(|at| now >= at)
    }

    /// Notes that an attempt was sent.
    pub(crate) fn sent(&mut self, options: &LivenessOptions, now: MonotonicTime) {
        self.dead_at.get_or_insert(now + options.silence_limit);
    }

    /// Notes an answer of any kind; tells whether the upstream was dead.
    pub(crate) fn record_response(&mut self, now: MonotonicTime) -> bool {
        let was_dead = self.is_dead(now);
        self.last_response_at = now;
        self.dead_at = None;
        self.consecutive_unreachable = 0;
        self.dead = false;
        was_dead
    }

    /// Notes that no connection could be had.
    pub(crate) fn unreachable(&mut self, options: &LivenessOptions) {
        self.consecutive_unreachable += 1;
        self.dead |= self.consecutive_unreachable >= options.unreachable_limit;
    }

    /// Notes that an attempt or a poll ended without an answer, so that its
    /// silence counts on even though nothing is open any more.
    pub(crate) fn unanswered(&mut self, now: MonotonicTime) {
        self.dead |= self.is_dead(now);
    }

    /// Tells whether the upstream is to be polled now.
    pub(crate) fn poll_is_due(
        &self,
        options: &LivenessOptions,
        is_idle: bool,
        now: MonotonicTime,
    ) -> bool {
        let after = if is_idle {
            options.idle_poll_after
        } else {
            options.poll_after
        };
        let quiet = now - self.last_response_at >= after;
        let rested = now - self.polled_at >= after;
        quiet && rested && !self.poll_in_flight
    }

    /// Notes that a poll was sent.
    pub(crate) fn poll_sent(
        &mut self,
        options: &LivenessOptions,
        is_idle: bool,
        now: MonotonicTime,
    ) {
        let limit = if is_idle {
            options.idle_silence_limit
        } else {
            options.silence_limit
        };
        self.dead_at.get_or_insert(now + limit);
        self.polled_at = now;
        self.poll_in_flight = true;
    }

    /// Notes that the open poll has ended.
    pub(crate) fn poll_ended(&mut self) {
        self.poll_in_flight = false;
    }
}
