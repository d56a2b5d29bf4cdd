//! One request over its attempts.

use super::{
    RetryBudget,
    RetryOptions, //
};
use crate::outcome::Outcome;
use crate::time::MonotonicTime;
use std::fmt;
use std::time::Duration;

/// The most doublings of the wait before a retry.
const DOUBLINGS_MAX: u32 = 16;

/// Names one attempt of a request; the first is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(u32);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What binds the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestTerms {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When its caller stops waiting.
    pub deadline: MonotonicTime,
    /// How long the first attempt runs before a hedge is sent; none where the
    /// request is not hedged.
    pub hedge_delay: Option<Duration>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// No byte of the request went out.
    NotSent,
    /// The upstream refused the request and said that it has not run.
    Refused {
        /// When the upstream wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// A whole answer came, other than a server error.
    Answered,
    /// A whole answer came and it is a server error.
    ServerError,
    /// The connection broke after a byte had gone out and before the whole
    /// answer had come.
    Lost,
    /// The attempt's time ran out after a byte had gone out.
    TimedOut,
}

impl AttemptResult {
    /// Tells whether the request has provably not run in this attempt.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused { .. })
    }
}

/// What to do next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass the whole answer of this attempt on and cancel all others.
    Answer(AttemptId),
    /// Choose another upstream after this time and begin an attempt there.
    Retry {
        /// The time to wait first.
        after: Duration,
    },
    /// Begin a second attempt elsewhere now and keep the first running.
    Hedge,
    /// Wait for the attempts that are running.
    Await,
    /// Tell the caller at once that the request is given up.
    GiveUp(GiveUp),
}

/// The end of a request that got no answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GiveUp {
    /// What is known about its run.
    pub outcome: Outcome,
    /// Why no further attempt is made.
    pub reason: GiveUpReason,
    /// When the caller should ask again.
    pub retry_after: Duration,
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// It may have run and must not run twice.
    NotIdempotent,
    /// Too little time remains until its deadline.
    Deadline,
    /// It has had as many attempts as it may.
    AttemptsSpent,
    /// The service has spent its budget of retries.
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

/// Follows one request over its attempts.
///
/// Call [`begin`](Self::begin) as each attempt starts and
/// [`ended`](Self::ended) with its result, and obey the returned step.
#[derive(Clone, Debug)]
pub struct Attempts {
    terms: RequestTerms,
    options: RetryOptions,
    begun: u32,
    running: u32,
    refused: u32,
    retries: u32,
    /// Whether an attempt that has ended may have run.
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
            refused: 0,
            retries: 0,
            may_have_run: false,
            begun_at: MonotonicTime::ZERO,
            hedged: false,
            retry_after: None,
        }
    }

    /// Returns what binds the request.
    pub fn terms(&self) -> &RequestTerms {
        &self.terms
    }

    /// Returns how many attempts have begun.
    pub fn begun(&self) -> u32 {
        self.begun
    }

    /// Notes that an attempt starts.
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
        let is_first = self.counted_attempts() == 1 && self.running == 1 && !self.hedged;
        let has_attempt = self.counted_attempts() < self.options.attempts_max;
        self.terms.idempotent && is_first && has_attempt && self.has_time(now)
    }

    /// Decides whether to send a second attempt beside the first one, which
    /// has been running for the hedge delay.
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

    /// Notes how an attempt ended and decides what to do next.
    pub fn ended(
        &mut self,
        id: AttemptId,
        result: AttemptResult,
        budget: &mut RetryBudget,
        now: MonotonicTime,
    ) -> Step {
        self.running = self.running.saturating_sub(1);
        self.may_have_run |= !result.is_not_run();
        if let AttemptResult::Refused { retry_after } = result {
            self.refused += 1;
            self.retry_after = self.retry_after.max(retry_after);
        }
        if result == AttemptResult::Answered {
            budget.record_success();
            return Step::Answer(id);
        }
        if self.running != 0 {
            return Step::Await;
        }
        let was_refused = matches!(result, AttemptResult::Refused { .. });
        if was_refused && self.may_retry_refused(now) {
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

    /// Gives the request up where no upstream can take its next attempt, or
    /// its time ran out before that.
    pub fn cannot_send(&self, reason: GiveUpReason) -> Step {
        if self.running != 0 {
            return Step::Await;
        }
        self.give_up(reason)
    }

    /// Returns the outcome to be told if the request were given up now.
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run || self.running != 0 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Tells whether a request that was just refused may be sent elsewhere
    /// without taking from the budget.
    fn may_retry_refused(&self, now: MonotonicTime) -> bool {
        let is_safe = self.terms.idempotent || !self.may_have_run;
        is_safe && self.refused <= self.options.refusals_max && self.has_time(now)
    }

    /// Returns the attempts that count towards the most that are allowed.
    fn counted_attempts(&self) -> u32 {
        self.begun - self.refused.min(self.options.refusals_max)
    }

    /// Tells why the request may not be sent again; takes from the budget
    /// where it may.
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
