//! One attempt at one upstream, and what is known after it.

use crate::answer::Answer;
use crate::errors::Step;
use crate::http::name;
use crate::outcome::Outcome;
use crate::parts::CompletionKind;
use crate::upstream::{Failure, FailureKind};
use http_types::StatusCode;
use http_types::headers::Headers;

const DRAINING: &str = "draining";
const NOT_RUN: &str = "not-run";

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// A whole answer came that is the caller's.
    Answered(Answer),
    /// The upstream said that it did not run the request.
    Refused(Answer),
    /// No whole answer came.
    Failed(Failure),
}

impl AttemptEnd {
    /// Sorts the result of an exchange.
    pub(crate) fn of(result: Result<Answer, Failure>) -> Self {
        match result {
            Ok(answer) if says_not_run(&answer) => Self::Refused(answer),
            Ok(answer) => Self::Answered(answer),
            Err(failure) => Self::Failed(failure),
        }
    }

    /// Returns what to tell about the upstream.
    pub(crate) fn completion_kind(&self) -> CompletionKind {
        match self {
            Self::Answered(answer) if answer.status.is_server_error() => CompletionKind::Failed,
            Self::Answered(_) => CompletionKind::Answered,
            Self::Refused(_) => CompletionKind::Refused,
            Self::Failed(failure) => match (&failure.kind, failure.step) {
                (_, Step::Connect) => CompletionKind::Unreachable,
                (FailureKind::TimedOut, _) => CompletionKind::TimedOut,
                _ => CompletionKind::Broken,
            },
        }
    }

    /// Returns what is known of the request after this attempt.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(_) => Outcome::Done,
            Self::Refused(_) => Outcome::NotRun,
            Self::Failed(failure) => failure.outcome(),
        }
    }

    /// Returns the headers of the upstream's answer.
    pub(crate) fn headers(&self) -> Option<&Headers> {
        match self {
            Self::Answered(answer) | Self::Refused(answer) => Some(&answer.headers),
            Self::Failed(_) => None,
        }
    }

    /// Returns what the upstream says of its load.
    pub(crate) fn load(&self) -> Option<String> {
        let values = self.headers()?.get(name::LOAD_METRICS)?;
        Some(values.as_str().to_owned())
    }

    /// Tells whether the upstream says that it is leaving.
    pub(crate) fn says_leaving(&self) -> bool {
        let state = self
            .headers()
            .and_then(|headers| headers.get(name::UPSTREAM_STATE));
        state.is_some_and(|state| state.as_str() == DRAINING)
    }
}

/// Tells whether an upstream says itself that it did not run the request.
fn says_not_run(answer: &Answer) -> bool {
    let said = answer.headers.get(name::OUTCOME);
    answer.status == StatusCode::ServiceUnavailable
        && said.is_some_and(|said| said.as_str() == NOT_RUN)
}
