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

/// The times after which instances release and take over allocations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitTimes {
    /// The time for which a claim must have been published before it counts.
    pub(crate) growth_window: Duration,
    /// The time for which an instance keeps sharing without seeing a majority.
    pub(crate) majority_hold: Duration,
    /// The longest time for which peers count the claim of a silent instance.
    pub(crate) claim_hold: Duration,
}

/// The inputs from which an instance's allocation of a limit is computed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitInput {
    /// The rate that all instances together may send.
    pub(crate) sold: RequestRate,
    /// The floor of this instance.
    pub(crate) floor: RequestRate,
    /// The sum of the floors of all instances that may use theirs.
    pub(crate) reserved: RequestRate,
    /// The claims of all instances.
    pub(crate) claims: Claims,
    /// Whether some of these claims are stale.
    pub(crate) has_stale_claims: bool,
    /// Whether there is no other instance.
    pub(crate) is_only_instance: bool,
}

/// How an instance obtains its allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// In proportion to its claim, among all instances in this mode.
    Shared,
    /// From its floor, which the sharing instances reserve.
    Floor { since: MonotonicTime },
}

/// The state of one limit on one instance.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    claims: ClaimWindow,
    majority: MajorityContact,
    mode: Mode,
    /// The allocation at the time of the fallback to the floor.
    fallback_max: RequestRate,
    limiter: RateLimiter,
}

impl Limit {
    /// Creates the state of an instance that has just started: its allocation
    /// is zero until all peers know its claim.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            claims: ClaimWindow::default(),
            majority: MajorityContact::default(),
            mode: Mode::Floor { since: now },
            fallback_max: RequestRate::ZERO,
            limiter: RateLimiter::new(now),
        }
    }

    /// Records how many of the instances that share the limit are live.
    pub(crate) fn observe(&mut self, live: u32, known: u32, at: MonotonicTime) {
        self.majority.observe(live, known, at);
    }

    /// Records and returns the claim to publish for a need.
    pub(crate) fn publish(&mut self, need: Claim, now: MonotonicTime) -> Claim {
        self.claims.publish(need, now)
    }

    /// Returns whether the instance shares the limit by claims.
    pub(crate) fn is_shared(&self) -> bool {
        self.mode == Mode::Shared
    }

    /// Returns whether the instance has an allocation, by claims or as its floor.
    pub(crate) fn has_allocation(&self) -> bool {
        self.is_shared() || self.usable() > RequestRate::ZERO
    }

    /// Recomputes the allocation, `elapsed` after the last update.
    pub(crate) fn update(
        &mut self,
        input: LimitInput,
        times: LimitTimes,
        elapsed: Duration,
        now: MonotonicTime,
    ) {
        let sees_majority = self.majority.is_recent(times.majority_hold, now);
        let connectivity = match (sees_majority, input.has_stale_claims) {
            (false, _) => Connectivity::Isolated,
            (true, true) => Connectivity::Partial,
            (true, false) => Connectivity::Full,
        };
        self.claims.update(times.growth_window, connectivity, now);
        self.change_mode(sees_majority, now);
        let allocation = match self.mode {
            _ if input.is_only_instance => input.sold,
            Mode::Shared => {
                let shared = input.sold.get() - input.reserved.get();
                allocate(
                    RequestRate::clamped(shared),
                    self.claims.usable(),
                    input.claims,
                )
            }
            // By then all sharing instances reserve the floor.
            Mode::Floor { since } if now.since(since) >= times.claim_hold => input.floor,
            Mode::Floor { .. } => {
                RequestRate::clamped(self.fallback_max.get().min(input.floor.get()))
            }
        };
        self.limiter.update(allocation, elapsed, now);
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

    /// Reduces the usable rate because the receiver rejected a request.
    pub(crate) fn record_rejection(&mut self, now: MonotonicTime) {
        self.limiter.record_rejection(now);
    }

    /// Returns the rate at which the instance may send.
    pub(crate) fn usable(&self) -> RequestRate {
        self.limiter.usable()
    }

    pub(crate) fn bucket(&mut self) -> &mut TokenBucket {
        self.limiter.bucket()
    }
}
