//! Settings of retries, hedges and their budget.

use crate::units::{
    RequestRate,
    Share, //
};
use std::time::Duration;

/// Settings of a [`RetryBudget`](super::RetryBudget).
#[derive(Clone, Debug)]
pub struct RetryBudgetOptions {
    /// The retries and hedges allowed for each success. Default: 0.15.
    pub success_share: Share,
    /// The retries and hedges allowed each second without any success.
    /// Default: 1 a second.
    pub floor_rps: RequestRate,
    /// The most that is saved up. Default: 20.
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
    /// The most attempts of a request, hedges among them and the refusals
    /// below aside. Default: 3.
    pub attempts_max: u32,
    /// How many refused attempts of a request take nothing from the budget.
    /// They cost the upstream next to nothing and the balancer paces them by
    /// an allowance of its own. Further ones count as attempts. Default: 16.
    pub refusals_max: u32,
    /// The wait before the first retry; doubled by each that follows.
    /// Default: 2 ms.
    pub backoff: Duration,
    /// The longest wait before a retry. Default: 50 ms.
    pub backoff_max: Duration,
    /// The time that must remain until the deadline for another attempt.
    /// Default: 5 ms.
    pub attempt_min: Duration,
    /// What a caller is told to wait when a request is given up and the
    /// upstream did not say. Default: 1 s.
    pub retry_after: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            refusals_max: 16,
            backoff: Duration::from_millis(2),
            backoff_max: Duration::from_millis(50),
            attempt_min: Duration::from_millis(5),
            retry_after: Duration::from_secs(1),
        }
    }
}
