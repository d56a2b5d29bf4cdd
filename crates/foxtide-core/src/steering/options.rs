//! Options of the steering decisions, with their defaults.

use crate::limits::LimitTimes;
use crate::organisation::Priority;
use crate::time::CLOCK_SKEW_MAX;
use std::time::Duration;

/// The shortest window over which the shift cap holds, in seconds.
///
/// Over a window `W` a region's share rises by at most `f * cap * W` (each
/// instance's own pace) plus the spread between instances of the same origin,
/// as demand may move between them. The spread is at most
/// `f * cap * (skew + 2 * band + age)`, from the clock skew, the band on both
/// sides of the mean row, and the age of the reports behind that mean.
/// Hence `f = W / (W + skew + 2 * band + age)`.
const SHIFT_WINDOW_S: f64 = 10.0;

/// The band around the peers' mean row, as the time that the shift cap takes to
/// cross it, in seconds.
///
/// A band below the age of the mean would slow down shifts that all instances
/// make together.
const PEERS_BAND_S: f64 = 1.5;

/// The assumed age of the peers' mean row, in seconds.
const PEERS_AGE_S: f64 = 1.5;

/// The options of [`super::Steering`].
#[derive(Clone, Debug)]
pub struct SteeringOptions {
    /// The factor applied to the contract's shift cap on each instance.
    pub shift_cap_factor: f64,
    /// The band around the peers' mean row, as the time that the shift cap takes
    /// to cross it.
    pub peers_band: Duration,
    /// The factor applied to each sold rate.
    pub sold_rate_factor: f64,
    /// The maximum age of the report of a live peer; covers the reporting and
    /// aggregation periods, the network delay and the clock skew.
    pub view_age_max: Duration,
    /// The time for which a claim must have been published before it counts;
    /// longer than [`Self::view_age_max`], so that all live peers know the claim.
    pub growth_window: Duration,
    /// The time for which a silent peer's claim counts.
    pub claim_hold: Duration,
    /// The share of a region's sold rate for the floors of its own instances; the
    /// rest is for the floors of instances of other regions.
    pub local_floors_share: f64,
    /// The time for which the instances of an unreachable region count as alive
    /// and keep their floors.
    pub lost_region_hold: Duration,
    /// The claim of an idle instance as a share of its peers' mean demand, so that
    /// new callers find capacity.
    pub idle_claim_share: f64,
    /// The minimum claim of an instance on its own region as a share of its floor
    /// there, so that a burst of new callers finds capacity.
    pub idle_claim_floor_share: f64,
    /// The time for which a new instance claims its peers' mean demand.
    pub joining_period: Duration,
    /// The maximum number of instances per region, which sizes the floors.
    pub instances_per_region_max: u32,
    /// The minimum time before a new instance adopts its peers' rows. With peers
    /// it waits for at least [`Self::view_age_max`], so that the reports of dead
    /// instances have expired.
    pub startup_wait: Duration,
    /// The upper bound of the elapsed time that one tick applies.
    pub tick_max: Duration,
    /// The options of a service with [`Priority::Latency`].
    pub latency: PriorityOptions,
    /// The options of a service with [`Priority::Headroom`].
    pub headroom: PriorityOptions,
}

/// The options that depend on a contract's priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityOptions {
    /// The maximum time for which a request waits for a token.
    pub queue_max: Duration,
    /// The utilisation of the instance's allocation above which requests spill.
    pub spill_at_share: f64,
    /// The reserve claimed beyond the need, as a share of it, to absorb bursts.
    pub reserve_share: f64,
}

impl Default for SteeringOptions {
    fn default() -> Self {
        let spread_s = CLOCK_SKEW_MAX.as_secs_f64() + 2.0 * PEERS_BAND_S + PEERS_AGE_S;
        Self {
            shift_cap_factor: SHIFT_WINDOW_S / (SHIFT_WINDOW_S + spread_s),
            peers_band: Duration::from_secs_f64(PEERS_BAND_S),
            sold_rate_factor: 1.0,
            view_age_max: Duration::from_secs(4),
            growth_window: Duration::from_secs(5),
            claim_hold: Duration::from_secs(15),
            local_floors_share: 0.8,
            lost_region_hold: Duration::from_secs(7_200),
            idle_claim_share: 0.1,
            idle_claim_floor_share: 0.25,
            joining_period: Duration::from_secs(30),
            instances_per_region_max: 6,
            startup_wait: Duration::from_secs(2),
            tick_max: Duration::from_millis(200),
            latency: PriorityOptions {
                queue_max: Duration::from_millis(40),
                spill_at_share: 0.85,
                reserve_share: 0.1,
            },
            headroom: PriorityOptions {
                queue_max: Duration::from_millis(250),
                spill_at_share: 0.95,
                reserve_share: 0.5,
            },
        }
    }
}

impl SteeringOptions {
    /// Returns the options for a contract's priority.
    pub fn priority(&self, priority: Priority) -> PriorityOptions {
        match priority {
            Priority::Latency => self.latency,
            Priority::Headroom => self.headroom,
        }
    }

    /// Returns the times after which allocations are released and taken over.
    pub(crate) fn limit_times(&self) -> LimitTimes {
        LimitTimes {
            growth_window: self.growth_window,
            // An instance must release its allocation before peers reuse it.
            majority_hold: self.claim_hold.saturating_sub(self.view_age_max * 2),
            claim_hold: self.claim_hold,
        }
    }
}
