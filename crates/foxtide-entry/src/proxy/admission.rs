//! Whether a request may be sent, and why not.

use crate::answer::Refusal;
use foxtide_core::explain::Rule;
use foxtide_core::ids::RegionId;
use foxtide_core::steering::RefusalReason;
use http_types::StatusCode;
use std::time::Duration;

/// Where a request may be sent.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    /// The region.
    pub(super) region: RegionId,
    /// The rule that decided.
    pub(super) rule: Rule,
}

/// Why a request was not sent.
#[derive(Clone, Debug)]
pub(super) struct AdmissionError {
    /// What the caller is told.
    pub(super) refusal: Refusal,
    /// The rule that decided.
    pub(super) rule: Rule,
}

impl AdmissionError {
    /// Too many requests wait.
    pub(super) fn queue_full() -> Self {
        Self {
            refusal: Refusal::not_run(StatusCode::ServiceUnavailable, "queue-full"),
            rule: Rule::Deadline,
        }
    }

    /// Steering has refused the request.
    pub(super) fn not_admitted(reason: RefusalReason, retry_after: Duration) -> Self {
        let (rule, reason) = match reason {
            RefusalReason::NotReady => (Rule::NoUpstream, "not-ready"),
            RefusalReason::UnknownService => (Rule::Malformed, "unknown-service"),
            RefusalReason::NoRegion => (Rule::NoUpstream, "no-region"),
            RefusalReason::ShiftCap => (Rule::SpillLimit, "shift-cap"),
            RefusalReason::RegionLimit => (Rule::RegionLimit, "region-limit"),
            RefusalReason::LinkLimit => (Rule::LinkLimit, "link-limit"),
        };
        let refusal = Refusal::not_run(StatusCode::ServiceUnavailable, reason);
        let refusal = Refusal {
            retry_after,
            ..refusal
        };
        Self { refusal, rule }
    }

    /// No upstream serves.
    pub(super) fn no_upstream() -> Self {
        Self {
            refusal: Refusal::not_run(StatusCode::ServiceUnavailable, "no-upstream"),
            rule: Rule::NoUpstream,
        }
    }
}
