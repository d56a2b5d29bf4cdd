//! The token bucket with which a coordinator hands out an upstream's rate.

use super::enforced_rps;
use super::statement::{
    LimitReport,
    LimitStatement, //
};
use crate::time::MonotonicTime;
use std::time::Duration;

/// The share of a limit that is handed out. The rest covers requests that arrive later than
/// they were granted.
const USED_SHARE: f64 = 0.95;

/// The time in which a bucket fills.
const BURST_TIME: Duration = Duration::from_millis(500);

/// The minimum capacity of a bucket, so that none of a low rate is lost while a token waits for
/// the next request.
const CAPACITY_MIN: f64 = 2.0;

/// The share of the rate that a new coordinator hands out, since its predecessor may still hand
/// out the whole.
const TAKEOVER_SHARE: f64 = 0.25;

/// How long a new coordinator hands out a part of the rate, in which a membership change
/// reaches all instances.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);

/// Whether the instance coordinates the upstream, as far as it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Role {
    /// Not checked, as where there is one coordinator only.
    #[default]
    Unchecked,
    Coordinating {
        checked_at: MonotonicTime,
    },
    NotCoordinating,
}

/// The rate of one upstream at its coordinator.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    /// The latest statement of the upstream that an instance has reported.
    statement: Option<LimitStatement>,
    role: Role,
    /// Until when the rate is handed out in part.
    takeover_until: MonotonicTime,
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl Throttle {
    /// Applies what a requester has heard, unless a later statement is known.
    pub fn apply(&mut self, report: LimitReport, now: MonotonicTime) {
        let reported = report.statement(now);
        let known = self.statement;
        if known.is_some_and(|known| known.held_at > reported.held_at) {
            return;
        }
        self.refill(now);
        self.statement = Some(reported);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Records whether this instance coordinates the upstream: `since` is when it may have
    /// become the coordinator, or `None` if it is not.
    pub fn set_coordinating(&mut self, since: Option<MonotonicTime>, now: MonotonicTime) {
        self.refill(now);
        let Some(since) = since else {
            self.role = Role::NotCoordinating;
            return;
        };
        let takes_over_at = match self.role {
            Role::Unchecked => Some(since),
            Role::NotCoordinating => Some(now),
            // Another instance may have coordinated the upstream between the checks.
            Role::Coordinating { checked_at } if now - checked_at > TAKEOVER_TIME => {
                Some(since).filter(|&since| since > checked_at)
            }
            Role::Coordinating { .. } => None,
        };
        if let Some(at) = takes_over_at {
            self.takeover_until = at + TAKEOVER_TIME;
            self.tokens = 0.0;
        }
        self.role = Role::Coordinating { checked_at: now };
    }

    /// Tells whether the upstream states a limit.
    pub fn is_limited(&self) -> bool {
        self.limit_rps().is_some()
    }

    /// Tells whether this instance may hand out the rate.
    pub fn is_coordinating(&self) -> bool {
        self.role != Role::NotCoordinating
    }

    /// Returns the time until a token is available besides `reserved` others; zero if one is
    /// available now or the upstream states no limit.
    pub fn next_token_in(&mut self, reserved: usize, now: MonotonicTime) -> Duration {
        self.refill(now);
        let Some(limit_rps) = self.limit_rps() else {
            return Duration::ZERO;
        };
        let missing = 1.0 + reserved as f64 - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let rate_rps = limit_rps * USED_SHARE * self.share(now);
        Duration::from_secs_f64(missing / rate_rps)
    }

    /// Takes a token for a granted request, or for one that is sent without a grant. The debt
    /// of ungranted requests is limited, so that instances without a grant do not keep the
    /// others from the upstream.
    pub fn take(&mut self, now: MonotonicTime) {
        self.refill(now);
        if self.is_limited() {
            self.tokens = (self.tokens - 1.0).max(-self.capacity());
        }
    }

    fn limit_rps(&self) -> Option<f64> {
        Some(enforced_rps(self.statement?.limit?))
    }

    fn capacity(&self) -> f64 {
        let limit_rps = self.limit_rps().unwrap_or_default();
        (limit_rps * BURST_TIME.as_secs_f64()).max(CAPACITY_MIN)
    }

    fn share(&self, now: MonotonicTime) -> f64 {
        if now < self.takeover_until {
            TAKEOVER_SHARE
        } else {
            1.0
        }
    }

    fn refill(&mut self, now: MonotonicTime) {
        let from = self.refilled_at;
        self.refilled_at = from.max(now);
        let Some(limit_rps) = self.limit_rps() else {
            self.tokens = 0.0;
            return;
        };
        let partial = self.takeover_until.min(now) - from;
        let full = now - self.takeover_until.max(from);
        let refilled_s = partial.as_secs_f64() * TAKEOVER_SHARE + full.as_secs_f64();
        let tokens = self.tokens + refilled_s * limit_rps * USED_SHARE;
        self.tokens = tokens.min(self.capacity());
    }
}
