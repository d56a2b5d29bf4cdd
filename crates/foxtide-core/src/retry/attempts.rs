//! The attempts of one request.

use super::{
    RetryBudget,
    RetryOptions,
    may_hedge, //
};
use crate::outcome::Outcome;
use crate::time::MonotonicTime;
use std::fmt;
use std::time::Duration;

/// The maximum number of times that the backoff doubles.
const DOUBLINGS_MAX: u32 = 16;

/// Identifies an attempt of a request; the first is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(u32);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The constraints on a request's attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestTerms {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: MonotonicTime,
    /// The time after which a hedge is sent beside the first attempt; `None` if the request
    /// is not hedged.
    pub hedge_delay: Option<Duration>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream rejected the request and stated that it did not run.
    Rejected {
        /// The retry delay that the upstream asked for.
        retry_after: Option<Duration>,
    },
    /// A complete response arrived that is not a server error.
    Answered,
    /// A complete response arrived that is a server error.
    ServerError,
    /// The connection failed after the first byte was sent and before the response was
    /// complete.
    Lost,
    /// The attempt timed out after the first byte was sent.
    TimedOut,
}

impl AttemptResult {
    /// Returns whether the request is known not to have run in this attempt.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Rejected { .. })
    }
}

/// The next step for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Forward the response of this attempt and cancel all others.
    Answer(AttemptId),
    /// Choose another upstream after a delay and begin an attempt there.
    Retry {
        /// The delay.
        after: Duration,
    },
    /// Begin a second attempt at another upstream and keep the first running.
    Hedge,
    /// Wait for the running attempts.
    Await,
    /// Return an error to the caller.
    GiveUp(GiveUp),
}

/// The end of a request that got no response from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GiveUp {
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// Why no further attempt is made.
    pub reason: GiveUpReason,
    /// The retry delay for the caller.
    pub retry_after: Duration,
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// It may have run and is not idempotent.
    NotIdempotent,
    /// The time left until its deadline is too short.
    Deadline,
    /// It reached the maximum number of attempts.
    AttemptsSpent,
    /// The service's retry budget is exhausted.
    BudgetSpent,
    /// No upstream can take it.
    NoUpstream,
}

impl fmt::Display for GiveUpReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotIdempotent => "not-idempotent",
            Self::Deadline => "deadline",
            Self::AttemptsSpent => "attempts-spent",
            Self::BudgetSpent => "budget-spent",
            Self::NoUpstream => "no-upstream",
        })
    }
}

/// Tracks one request over its attempts.
///
/// Call [`begin`](Self::begin) when an attempt starts and [`end`](Self::end) with its
/// result, and carry out the returned step.
#[derive(Clone, Debug)]
pub struct Attempts {
    terms: RequestTerms,
    options: RetryOptions,
    begun: u32,
    running: u32,
    rejected: u32,
    retries: u32,
    /// Whether an ended attempt may have run.
    may_have_run: bool,
    begun_at: MonotonicTime,
    hedged: bool,
    retry_after: Option<Duration>,
}

impl Attempts {
    /// Returns the state before the first attempt.
    pub fn new(terms: RequestTerms, options: RetryOptions) -> Self {
        Self {
            terms,
            options,
            begun: 0,
            running: 0,
            rejected: 0,
            retries: 0,
            may_have_run: false,
            begun_at: MonotonicTime::ZERO,
            hedged: false,
            retry_after: None,
        }
    }

    /// Returns the constraints on the attempts.
    pub fn terms(&self) -> &RequestTerms {
        &self.terms
    }

    /// Returns the number of attempts that have begun.
    pub fn begun(&self) -> u32 {
        self.begun
    }

    /// Records the start of an attempt.
    pub fn begin(&mut self, now: MonotonicTime) -> AttemptId {
        let id = AttemptId(self.begun);
        if self.running == 0 {
            self.begun_at = now;
        }
        self.begun += 1;
        self.running += 1;
        id
    }

    /// Returns when [`hedge`](Self::hedge) is to be called, if at all.
    pub fn hedge_at(&self) -> Option<MonotonicTime> {
        let delay = self.terms.hedge_delay?;
        let at = self.begun_at + delay;
        self.may_hedge(at).then_some(at)
    }

    fn may_hedge(&self, now: MonotonicTime) -> bool {
        let attempts_max = self.options.attempts_max;
        let is_allowed = may_hedge(self.terms.idempotent, self.counted_attempts(), attempts_max);
        is_allowed && self.running == 1 && !self.hedged && self.has_time(now)
    }

    /// Decides whether to send a hedge once the hedge delay has passed.
    pub fn hedge(&mut self, budget: &mut RetryBudget, now: MonotonicTime) -> Step {
        let due = self.hedge_at().is_some_and(|at| at <= now);
        if !due {
            return Step::Await;
        }
        self.hedged = true;
        if self.has_time(now) && budget.try_spend(now) {
            Step::Hedge
        } else {
            Step::Await
        }
    }

    /// Records how an attempt ended and decides the next step.
    pub fn end(
        &mut self,
        id: AttemptId,
        result: AttemptResult,
        budget: &mut RetryBudget,
        now: MonotonicTime,
    ) -> Step {
        self.running = self.running.saturating_sub(1);
        self.may_have_run |= !result.is_not_run();
        if let AttemptResult::Rejected { retry_after } = result {
            self.rejected += 1;
            self.retry_after = self.retry_after.max(retry_after);
        }
        if result == AttemptResult::Answered {
            budget.record_success();
            return Step::Answer(id);
        }
        if self.running != 0 {
            return Step::Await;
        }
        let was_rejected = matches!(result, AttemptResult::Rejected { .. });
        if was_rejected && self.may_retry_rejected(now) {
            return Step::Retry {
                after: Duration::ZERO,
            };
        }
        match self.reserve_retry(budget, now) {
            None => self.retry(),
            Some(_) if result == AttemptResult::ServerError => Step::Answer(id),
            Some(reason) => self.give_up(reason),
        }
    }

    /// Gives up a request whose next attempt cannot be sent, unless an attempt is still
    /// running.
    pub fn cannot_send(&self, reason: GiveUpReason) -> Step {
        if self.running != 0 {
            return Step::Await;
        }
        self.give_up(reason)
    }

    /// Returns the outcome to report if the request were given up now.
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run || self.running != 0 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Returns whether a request that was just rejected may be retried without using the
    /// budget.
    fn may_retry_rejected(&self, now: MonotonicTime) -> bool {
        let is_safe = self.terms.idempotent || !self.may_have_run;
        is_safe && self.rejected <= self.options.rejections_max && self.has_time(now)
    }

    /// Returns the number of attempts that count towards `attempts_max`.
    fn counted_attempts(&self) -> u32 {
        self.begun - self.rejected.min(self.options.rejections_max)
    }

    /// Takes a retry from the budget, or returns why the request may not be retried.
    fn reserve_retry(&self, budget: &mut RetryBudget, now: MonotonicTime) -> Option<GiveUpReason> {
        if self.may_have_run && !self.terms.idempotent {
            return Some(GiveUpReason::NotIdempotent);
        }
        if self.counted_attempts() >= self.options.attempts_max {
            return Some(GiveUpReason::AttemptsSpent);
        }
        if !self.has_time(now + self.backoff()) {
            return Some(GiveUpReason::Deadline);
        }
        (!budget.try_spend(now)).then_some(GiveUpReason::BudgetSpent)
    }

    fn has_time(&self, now: MonotonicTime) -> bool {
        self.terms.deadline - now >= self.options.attempt_min
    }

    fn backoff(&self) -> Duration {
        let factor = 1u32 << self.retries.min(DOUBLINGS_MAX);
        let wait = self.options.backoff.saturating_mul(factor);
        wait.min(self.options.backoff_max)
    }

    fn retry(&mut self) -> Step {
        let after = self.backoff();
        self.retries += 1;
        Step::Retry { after }
    }

    fn give_up(&self, reason: GiveUpReason) -> Step {
        Step::GiveUp(GiveUp {
            outcome: self.outcome(),
            reason,
            retry_after: self.retry_after.unwrap_or(self.options.retry_after),
        })
    }
}
