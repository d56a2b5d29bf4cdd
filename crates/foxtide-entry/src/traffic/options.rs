//! Settings of the traffic of an instance.

use foxtide_core::choice::BalancerOptions;
use foxtide_core::ids::RegionId;
use foxtide_core::retry::{
    RetryBudgetOptions,
    RetryOptions, //
};
use foxtide_core::steering::SteeringOptions;

/// The settings of [`super::TrafficTables`].
#[derive(Clone, Debug)]
pub struct TrafficOptions {
    /// The region of this instance.
    pub origin: RegionId,
    /// What tells this instance's choices from those of others; best derived
    /// from its name. Default: 0.
    pub seed: u64,
    /// Where requests go.
    pub steering: SteeringOptions,
    /// Which upstream takes them. The availability zone is set here.
    pub balancer: BalancerOptions,
    /// How often a request is tried.
    pub retry: RetryOptions,
    /// How many retries and hedges a service may have.
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
