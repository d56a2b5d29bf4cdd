//! Failure detection for one upstream.
//!
//! Any response, including a rejection or an answered poll, proves the upstream
//! alive. Without responses it is polled: early while requests are in flight,
//! later while it is idle. When a request or a poll stays unanswered for its
//! timeout without any other response, the upstream is dead and gets no requests
//! until it responds again.

use super::LivenessOptions;
use crate::time::MonotonicTime;

/// The liveness of one upstream as observed by this instance.
#[derive(Clone, Debug)]
pub(crate) struct Liveness {
    last_response_at: MonotonicTime,
    /// When the upstream counts as dead unless it responds before.
    dead_at: Option<MonotonicTime>,
    consecutive_unreachable: u32,
    dead: bool,
    polled_at: MonotonicTime,
    poll_in_flight: bool,
}

impl Liveness {
    /// Returns the state of an upstream that is assumed alive.
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

    pub(crate) fn is_dead(&self, now: MonotonicTime) -> bool {
        self.dead || self.dead_at.is_some_and(|at| now >= at)
    }

    pub(crate) fn record_sent(&mut self, options: &LivenessOptions, now: MonotonicTime) {
        self.dead_at.get_or_insert(now + options.response_timeout);
    }

    /// Records a response of any kind; returns whether the upstream was dead.
    pub(crate) fn record_response(&mut self, now: MonotonicTime) -> bool {
        let was_dead = self.is_dead(now);
        self.last_response_at = now;
        self.dead_at = None;
        self.consecutive_unreachable = 0;
        self.dead = false;
        was_dead
    }

    /// Records that no connection could be opened.
    pub(crate) fn record_unreachable(&mut self, options: &LivenessOptions) {
        self.consecutive_unreachable += 1;
        self.dead |= self.consecutive_unreachable >= options.unreachable_limit;
    }

    /// Records that an attempt or a poll ended without a response; an upstream
    /// that is dead by then stays dead.
    pub(crate) fn record_unanswered(&mut self, now: MonotonicTime) {
        self.dead |= self.is_dead(now);
    }

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
        let no_recent_response = now - self.last_response_at >= after;
        let no_recent_poll = now - self.polled_at >= after;
        no_recent_response && no_recent_poll && !self.poll_in_flight
    }

    pub(crate) fn record_poll_sent(
        &mut self,
        options: &LivenessOptions,
        is_idle: bool,
        now: MonotonicTime,
    ) {
        let limit = if is_idle {
            options.idle_response_timeout
        } else {
            options.response_timeout
        };
        self.dead_at.get_or_insert(now + limit);
        self.polled_at = now;
        self.poll_in_flight = true;
    }

    pub(crate) fn record_poll_ended(&mut self) {
        self.poll_in_flight = false;
    }
}
