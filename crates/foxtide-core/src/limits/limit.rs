//! One instance's use of one limit: a region's or a link's sold rate.

use super::TokenBucket;
use super::claim::{
    Claim,
    ClaimWindow,
    Connectivity, //
};
use super::majority::MajorityContact;
use super::rate_limiter::RateLimiter;
use super::split::{
    Claims,
    allocate, //
};
use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::time::Duration;

/// The times by which instances give up and take over parts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitTimes {
    /// How long a published claim must have been out before it counts.
    pub(crate) growth_window: Duration,
    /// How long an instance may go on without hearing the majority.
    pub(crate) majority_hold: Duration,
    /// How long all others count a silent instance's claim, at most.
    pub(crate) claim_hold: Duration,
}

/// What a limit's part is worked out from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitInput {
    /// What may be sent through the limit by all instances.
    pub(crate) sold: RequestRate,
    /// The instance's own floor.
    pub(crate) floor: RequestRate,
    /// The floors of all instances that use theirs, or may.
    pub(crate) reserved: RequestRate,
    /// What all instances have claimed.
    pub(crate) all: Claims,
    /// Whether some of these claims are old.
    pub(crate) stale: bool,
    /// Whether there is no other instance.
    pub(crate) alone: bool,
}

/// How an instance uses a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// It shares by claims with all others that do.
    Shared,
    /// It uses its floor, which those reserve for it.
    Floor { since: MonotonicTime },
}

/// An instance's use of a limit.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    claims: ClaimWindow,
    majority: MajorityContact,
    mode: Mode,
    /// What it had when it fell back to its floor.
    fallback_max: RequestRate,
    limiter: RateLimiter,
}

impl Limit {
    /// Returns the use of an instance that has just started: nothing, until
    /// its claim is known to all others.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            claims: ClaimWindow::default(),
            majority: MajorityContact::default(),
            mode: Mode::Floor { since: now },
            fallback_max: RequestRate::ZERO,
            limiter: RateLimiter::new(now),
        }
    }

    /// Notes how many of the instances that the limit hangs on were heard.
    pub(crate) fn observe(&mut self, live: u32, known: u32, at: MonotonicTime) {
        self.majority.observe(live, known, at);
    }

    /// Returns the claim to publish for this need, and remembers it.
    pub(crate) fn publish(&mut self, need: Claim, now: MonotonicTime) -> Claim {
        self.claims.publish(need, now)
    }

    /// Tells whether the instance shares in the limit by claims.
    pub(crate) fn is_shared(&self) -> bool {
        self.mode == Mode::Shared
    }

    /// Tells whether the instance has its part, by claims or as its floor.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_shared() || self.usable() > RequestRate::ZERO
    }

    /// Works out the part anew, `passed` after the last time.
    pub(crate) fn update(
        &mut self,
        input: LimitInput,
        times: LimitTimes,
        passed: Duration,
        now: MonotonicTime,
    ) {
        let sees_majority = self.majority.is_recent(times.majority_hold, now);
        let connectivity = match (sees_majority, input.stale) {
            (false, _) => Connectivity::Isolated,
            (true, true) => Connectivity::Partial,
            (true, false) => Connectivity::Full,
        };
        self.claims.settle(times.growth_window, connectivity, now);
        self.change_mode(sees_majority, now);
        let allocation = match self.mode {
            _ if input.alone => input.sold,
            Mode::Shared => {
                let shared = input.sold.get() - input.reserved.get();
                allocate(
                    RequestRate::clamped(shared),
                    self.claims.usable(),
                    input.all,
                )
            }
            // The others reserve it by then at the latest.
            Mode::Floor { since } if now.since(since) >= times.claim_hold => input.floor,
            Mode::Floor { .. } => {
                RequestRate::clamped(self.fallback_max.get().min(input.floor.get()))
            }
        };
        self.limiter.update(allocation, passed, now);
    }

    fn change_mode(&mut self, sees_majority: bool, now: MonotonicTime) {
        match self.mode {
            Mode::Shared if !sees_majority => {
                self.mode = Mode::Floor { since: now };
                self.fallback_max = self.limiter.allocation();
            }
            Mode::Floor { .. } if self.claims.is_known() => self.mode = Mode::Shared,
            _ => {}
        }
    }

    /// Cuts the part at once because the receiving side refused a request.
    pub(crate) fn refused(&mut self, now: MonotonicTime) {
        self.limiter.refused(now);
    }

    /// Returns the rate that the instance may send at.
    pub(crate) fn usable(&self) -> RequestRate {
        self.limiter.usable()
    }

    /// Returns the bucket that the part is spent from.
    pub(crate) fn bucket(&mut self) -> &mut TokenBucket {
        self.limiter.bucket()
    }
}
