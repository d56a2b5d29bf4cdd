//! Settings of retries, hedges and the retry budget.

use crate::units::{
    RequestRate,
    Share, //
};
use std::time::Duration;

/// Settings of a [`RetryBudget`](super::RetryBudget).
#[derive(Clone, Debug)]
pub struct RetryBudgetOptions {
    /// The retries and hedges allowed per success. Default: 0.15.
    pub success_share: Share,
    /// The minimum rate of retries and hedges. Default: 1 a second.
    pub floor_rps: RequestRate,
    /// The maximum number of unused retries. Default: 20.
    pub burst: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            success_share: Share::clamped(0.15),
            floor_rps: RequestRate::clamped(1.0),
            burst: 20.0,
        }
    }
}

/// Settings of the attempts of one request.
#[derive(Clone, Debug)]
pub struct RetryOptions {
    /// The maximum number of attempts of a request, including hedges but not the rejections
    /// that `rejections_max` exempts. Default: 3.
    pub attempts_max: u32,
    /// The number of rejected attempts of a request that do not use the budget; further ones
    /// count as attempts. Rejections are cheap for the upstream, and the balancer limits
    /// their rate. Default: 16.
    pub rejections_max: u32,
    /// The delay before the first retry; it doubles with each further retry. Default: 2 ms.
    pub backoff: Duration,
    /// The maximum delay before a retry. Default: 50 ms.
    pub backoff_max: Duration,
    /// The minimum time left until the deadline for another attempt. Default: 5 ms.
    pub attempt_min: Duration,
    /// The retry delay for callers whose request is given up, unless an upstream stated
    /// one. Default: 1 s.
    pub retry_after: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            rejections_max: 16,
            backoff: Duration::from_millis(2),
            backoff_max: Duration::from_millis(50),
            attempt_min: Duration::from_millis(5),
            retry_after: Duration::from_secs(1),
        }
    }
}
