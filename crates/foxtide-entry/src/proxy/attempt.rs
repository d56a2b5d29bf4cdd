//! Results of attempts at upstreams.

use crate::answer::Answer;
use crate::errors::Step;
use crate::upstream::{
    Failure,
    FailureKind,
    announces_drain,
    stated_rate,
    states_not_run, //
};
use foxtide_core::choice::{
    Completion,
    CompletionKind,
    StatedRate, //
};
use foxtide_core::explain;
use foxtide_core::outcome::Outcome;
use foxtide_core::retry::AttemptResult;
use foxtide_http::name;
use http_types::StatusCode;
use http_types::headers::Headers;
use std::time::Duration;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// Complete answer for the caller.
    Answered(Answer),
    /// The upstream reported that it did not execute the request.
    Refused(Answer),
    /// No complete answer.
    Failed(Failure),
}

impl AttemptEnd {
    /// Classifies the result of an exchange.
    pub(crate) fn of(result: Result<Answer, Failure>) -> Self {
        match result {
            Ok(answer) if states_not_run(answer.status, &answer.headers) => Self::Refused(answer),
            Ok(mut answer) => {
                // Only foxtide states the outcome to callers.
                answer.headers.remove(name::OUTCOME);
                Self::Answered(answer)
            }
            Err(failure) => Self::Failed(failure),
        }
    }

    /// Returns the result on which retries are decided.
    pub(crate) fn result(&self) -> AttemptResult {
        match self {
            Self::Answered(answer) if answer.status.is_server_error() => AttemptResult::ServerError,
            Self::Answered(_) => AttemptResult::Answered,
            Self::Refused(answer) => AttemptResult::Rejected {
                retry_after: retry_after(&answer.headers),
            },
            Self::Failed(failure) if failure.outcome() == Outcome::NotRun => AttemptResult::NotSent,
            Self::Failed(failure) => match failure.kind {
                FailureKind::TimedOut => AttemptResult::TimedOut,
                _ => AttemptResult::Lost,
            },
        }
    }

    /// Returns the completion to report to the balancer.
    pub(crate) fn completion(&self, latency: Duration) -> Completion {
        let headers = self.headers();
        let load = headers.and_then(|headers| headers.get(name::LOAD_METRICS));
        Completion {
            kind: self.completion_kind(),
            latency,
            load: load.and_then(|values| values.as_str().parse().ok()),
            draining: self.announces_drain(),
        }
    }

    fn completion_kind(&self) -> CompletionKind {
        match self {
            Self::Answered(answer) if answer.status.is_server_error() => CompletionKind::Failed,
            Self::Answered(_) => CompletionKind::Answered,
            Self::Refused(_) => CompletionKind::Rejected,
            Self::Failed(failure) => match (&failure.kind, failure.step) {
                (_, Step::Connect) => CompletionKind::NotSent,
                (FailureKind::TimedOut, _) => CompletionKind::TimedOut,
                _ => CompletionKind::Lost,
            },
        }
    }

    /// Returns the result as recorded in explanations.
    pub(crate) fn explained(&self) -> explain::AttemptResult {
        match self.result() {
            AttemptResult::Answered | AttemptResult::ServerError => {
                explain::AttemptResult::Answered
            }
            AttemptResult::Rejected { .. } => explain::AttemptResult::Refused,
            AttemptResult::NotSent => explain::AttemptResult::NotSent,
            AttemptResult::Lost | AttemptResult::TimedOut => explain::AttemptResult::Unknown,
        }
    }

    /// Returns how long the upstream wants rest from this instance, if it has asked for it.
    pub(crate) fn requested_rest(&self) -> Option<Duration> {
        match self {
            Self::Answered(answer) | Self::Refused(answer)
                if answer.status == StatusCode::ServiceUnavailable =>
            {
                retry_after(&answer.headers)
            }
            _ => None,
        }
    }

    /// Returns what the answer states on the upstream's rate, if there is one.
    pub(crate) fn stated_rate(&self) -> Option<StatedRate> {
        self.headers().map(stated_rate)
    }

    /// Returns whether the answer announces that the upstream is draining.
    pub(crate) fn announces_drain(&self) -> bool {
        self.headers().is_some_and(announces_drain)
    }

    fn headers(&self) -> Option<&Headers> {
        match self {
            Self::Answered(answer) | Self::Refused(answer) => Some(&answer.headers),
            Self::Failed(_) => None,
        }
    }
}

fn retry_after(headers: &Headers) -> Option<Duration> {
    let values = headers.get(name::RETRY_AFTER)?;
    let seconds = values.as_str().parse().ok();
    let seconds = seconds.filter(|_| values.iter().count() == 1);
    if seconds.is_none() {
        metrics::counter!("foxtide_statements_unreadable_total", "statement" => "retry_after")
            .increment(1);
    }
    seconds.map(Duration::from_secs)
}
