//! Admission of requests to regions.

use crate::answer::Refusal;
use foxtide_core::explain::Rule;
use foxtide_core::ids::RegionId;
use foxtide_core::steering::RejectionReason;
use http_types::StatusCode;
use std::time::Duration;

/// Admission of a request to a region.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    pub(super) region: RegionId,
    /// Rule that decided.
    pub(super) rule: Rule,
}

/// Reason why a request was not sent.
#[derive(Clone, Debug)]
pub(super) struct AdmissionError {
    /// Refusal returned to the caller.
    pub(super) refusal: Refusal,
    /// Rule that decided.
    pub(super) rule: Rule,
}

impl AdmissionError {
    /// Returns the error for a full queue.
    pub(super) fn queue_full() -> Self {
        Self {
            refusal: Refusal::not_run(StatusCode::ServiceUnavailable, "queue-full"),
            rule: Rule::Deadline,
        }
    }

    /// Returns the error for a refusal by the steering.
    pub(super) fn not_admitted(reason: RejectionReason, retry_after: Duration) -> Self {
        let (rule, reason) = match reason {
            RejectionReason::NotReady => (Rule::NoUpstream, "not-ready"),
            RejectionReason::UnknownService => (Rule::Malformed, "unknown-service"),
            RejectionReason::NoRegion => (Rule::NoUpstream, "no-region"),
            RejectionReason::ShiftCap => (Rule::SpillLimit, "shift-cap"),
            RejectionReason::RegionLimit => (Rule::RegionLimit, "region-limit"),
            RejectionReason::LinkLimit => (Rule::LinkLimit, "link-limit"),
        };
        let refusal = Refusal::not_run(StatusCode::ServiceUnavailable, reason);
        let refusal = Refusal {
            retry_after,
            ..refusal
        };
        Self { refusal, rule }
    }

    /// Returns the error for upstreams whose rate is used up.
    pub(super) fn rate_limited(retry_after: Duration) -> Self {
        Self::unavailable_for(retry_after, "rate-limited")
    }

    /// Returns the error for upstreams that have asked for rest.
    pub(super) fn upstreams_resting(retry_after: Duration) -> Self {
        Self::unavailable_for(retry_after, "upstreams-resting")
    }

    fn unavailable_for(retry_after: Duration, reason: &'static str) -> Self {
        let refusal = Refusal::not_run(StatusCode::ServiceUnavailable, reason);
        Self {
            refusal: Refusal {
                retry_after,
                ..refusal
            },
            rule: Rule::NoUpstream,
        }
    }

    /// Returns the error for a region without available upstreams.
    pub(super) fn no_upstream() -> Self {
        Self {
            refusal: Refusal::not_run(StatusCode::ServiceUnavailable, "no-upstream"),
            rule: Rule::NoUpstream,
        }
    }
}
