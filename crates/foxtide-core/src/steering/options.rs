//! Settings of the steering decisions, with their defaults.

use crate::limits::LimitTimes;
use crate::organisation::Priority;
use crate::time::CLOCK_SKEW_MAX;
use std::time::Duration;

/// The shortest time over which the shift cap is kept, in seconds.
///
/// Over a window of `W` the share of a region rises by at most `f * cap * W`
/// (each instance's own pace) plus the spread between instances of the same
/// origin, because demand may move from one to another at any moment. The
/// spread is at most `f * cap * (skew + 2 * band + age)`: clocks differ by the
/// skew, rows lie within the band on both sides of their mean, and two
/// instances know means that differ by the age of a report.
/// So `f = W / (W + skew + 2 * band + age)`.
const SHIFT_WINDOW_S: f64 = 10.0;

/// How far a row may be from its peers' mean, as the time that the cap takes
/// for it, in seconds.
///
/// Below the age of the mean (a report's period and its way) it would slow
/// down what all instances do together.
const PEERS_BAND_S: f64 = 1.5;

/// The usual age of the peers' mean, in seconds.
const PEERS_AGE_S: f64 = 1.5;

/// The settings of [`super::Steering`].
#[derive(Clone, Debug)]
pub struct SteeringOptions {
    /// The part of the contract's shift cap that each instance uses.
    pub shift_cap_factor: f64,
    /// How far a row may be from its peers' mean, as the time that the cap
    /// takes for it.
    pub peers_band: Duration,
    /// The part of each sold rate that the instances use.
    pub sold_rate_factor: f64,
    /// How old a report may be for a peer to count as heard: a report's period,
    /// the period and way of the sums it travels in, and the clocks' skew.
    pub view_age_max: Duration,
    /// How long a published claim must have been out before it counts; above
    /// [`Self::view_age_max`], so that all peers who are heard know of it.
    pub growth_window: Duration,
    /// How long a silent peer's claim is kept for it.
    pub claim_hold: Duration,
    /// The part of a region's sold rate that the floors of its own instances
    /// sum to; those of all other regions sum to the rest.
    pub local_floors_share: f64,
    /// How long the instances of a region that is not heard at all count as
    /// alive, and keep their floors.
    pub lost_region_hold: Duration,
    /// What an idle instance claims, as a part of its peers' mean, so that it
    /// has room when callers come.
    pub idle_claim_share: f64,
    /// What an instance claims at least of its own region, as a part of its
    /// floor there, so that callers who all come at once find room.
    pub idle_claim_of_floor: f64,
    /// How long a new instance claims its peers' mean.
    pub joining: Duration,
    /// The most instances that a region may ever hold. The floors count on it.
    pub instances_per_region_max: u32,
    /// How long a new instance waits at least before it takes over its peers'
    /// positions. Where there are others it waits for
    /// [`Self::view_age_max`], so that no report of one that has died counts.
    pub startup_wait: Duration,
    /// The longest step between two ticks that counts for movement.
    pub tick_max: Duration,
    /// What a service with [`Priority::Latency`] gets.
    pub latency: PriorityOptions,
    /// What a service with [`Priority::Headroom`] gets.
    pub headroom: PriorityOptions,
}

/// The settings that follow a contract's priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityOptions {
    /// How long a request may wait for room.
    pub queue_max: Duration,
    /// The use of the instance's part of a limit from which requests spill.
    pub spill_at_share: f64,
    /// What is claimed beyond the need, as a part of it, so that bursts find
    /// room at once.
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
            idle_claim_of_floor: 0.25,
            joining: Duration::from_secs(30),
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
    /// Returns the settings for a contract's priority.
    pub fn priority(&self, priority: Priority) -> PriorityOptions {
        match priority {
            Priority::Latency => self.latency,
            Priority::Headroom => self.headroom,
        }
    }

    /// Returns the times by which parts of limits are given up and taken over.
    pub(crate) fn limit_times(&self) -> LimitTimes {
        LimitTimes {
            growth_window: self.growth_window,
            // It must have given up before peers reuse its part.
            majority_hold: self.claim_hold.saturating_sub(self.view_age_max * 2),
            claim_hold: self.claim_hold,
        }
    }
}
