//! Settings of steering, balancing and retries.

use foxtide_core::choice::BalancerOptions;
use foxtide_core::ids::RegionId;
use foxtide_core::retry::{
    RetryBudgetOptions,
    RetryOptions, //
};
use foxtide_core::steering::SteeringOptions;

/// Settings of [`super::TrafficTables`].
#[derive(Clone, Debug)]
pub struct TrafficOptions {
    /// Region of this instance.
    pub origin: RegionId,
    /// Seed of this instance's choices, best derived from its name, so that
    /// instances choose differently. Default: 0.
    pub seed: u64,
    /// Settings of the choice of regions.
    pub steering: SteeringOptions,
    /// Settings of the choice of upstreams, including the availability zone of
    /// this instance.
    pub balancer: BalancerOptions,
    /// Settings of the retries of a request.
    pub retry: RetryOptions,
    /// Settings of the budget for retries and hedges of a service.
    pub retry_budget: RetryBudgetOptions,
}

impl TrafficOptions {
    /// Returns the defaults for an instance in `origin`.
    pub fn new(origin: RegionId) -> Self {
        Self {
            origin,
            seed: 0,
            steering: SteeringOptions::default(),
            balancer: BalancerOptions::default(),
            retry: RetryOptions::default(),
            retry_budget: RetryBudgetOptions::default(),
        }
    }
}
