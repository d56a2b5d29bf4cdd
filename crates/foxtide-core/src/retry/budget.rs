//! The retry budget of a service.

use super::RetryBudgetOptions;
use crate::time::MonotonicTime;

/// Bounds retries and hedges to a share of recent successes, with a minimum rate.
///
/// This is a token bucket: over any period, retries are at most the share of the successes,
/// plus the minimum rate times the period, plus the burst.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(options: RetryBudgetOptions, now: MonotonicTime) -> Self {
        Self {
            tokens: options.burst,
            refilled_at: now,
            options,
        }
    }

    /// Changes the settings; tokens above the new burst are discarded.
    pub fn set_options(&mut self, options: RetryBudgetOptions) {
        self.tokens = self.tokens.min(options.burst);
        self.options = options;
    }

    /// Records a response that is not a server error.
    pub fn record_success(&mut self) {
        self.add_tokens(self.options.success_share.get());
    }

    /// Takes one retry or hedge from the budget, if available.
    pub fn try_spend(&mut self, now: MonotonicTime) -> bool {
        let elapsed_s = (now - self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.add_tokens(elapsed_s * self.options.floor_rps.get());
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn add_tokens(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.options.burst);
    }
}
