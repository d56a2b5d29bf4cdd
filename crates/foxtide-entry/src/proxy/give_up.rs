//! Refusals of requests that are given up after failed attempts.

use crate::answer::Refusal;
use foxtide_core::outcome::Outcome;
use foxtide_core::retry::{
    AttemptResult,
    GiveUp,
    GiveUpReason, //
};
use http_types::StatusCode;

/// Returns the refusal of a request that is given up after an attempt with the
/// result `last`.
pub(super) fn give_up_refusal(give_up: GiveUp, last: AttemptResult) -> Refusal {
    let late = last == AttemptResult::TimedOut || give_up.reason == GiveUpReason::Deadline;
    let (status, reason) = match (give_up.outcome, give_up.reason) {
        (Outcome::NotRun, GiveUpReason::Deadline) => (StatusCode::ServiceUnavailable, "deadline"),
        (Outcome::NotRun, _) if matches!(last, AttemptResult::Rejected { .. }) => {
            (StatusCode::ServiceUnavailable, "refused-by-upstream")
        }
        (Outcome::NotRun, _) => (StatusCode::ServiceUnavailable, "upstream-unreachable"),
        _ if late => (StatusCode::GatewayTimeout, "deadline"),
        _ => (StatusCode::BadGateway, "upstream-broke"),
    };
    Refusal {
        status,
        outcome: give_up.outcome,
        reason,
        retry_after: give_up.retry_after,
    }
}
