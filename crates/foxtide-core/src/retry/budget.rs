//! The budget of retries and hedges of a service.

use super::RetryBudgetOptions;
use crate::time::MonotonicTime;

/// Bounds retries and hedges to a share of recent successes, with a floor.
///
/// A token bucket: over any time the retries are at most the share of the
/// successes, plus the floor's rate times that time, plus what was saved.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl RetryBudget {
    /// Returns a budget with everything saved that may be.
    pub fn new(options: RetryBudgetOptions, now: MonotonicTime) -> Self {
        Self {
            tokens: options.burst,
            refilled_at: now,
            options,
        }
    }

    /// Changes the settings; what was saved beyond the new bound is lost.
    pub fn set_options(&mut self, options: RetryBudgetOptions) {
        self.tokens = self.tokens.min(options.burst);
        self.options = options;
    }

    /// Notes a request that was answered, other than by a server error.
    pub fn record_success(&mut self) {
        self.add_tokens(self.options.success_share.get());
    }

    /// Takes one retry or hedge out of the budget, if there is one.
    pub fn try_spend(&mut self, now: MonotonicTime) -> bool {
        let passed_s = (now - self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.add_tokens(passed_s * self.options.floor_rps.get());
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
