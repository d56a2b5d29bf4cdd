//! Metrics of a service's requests.

use foxtide_core::ids::{
    OrganisationId,
    ServiceId, //
};
use foxtide_core::outcome::Outcome;
use metrics::{
    Counter,
    Histogram,
    counter,
    histogram, //
};
use std::fmt;

const SECONDS: &str = "foxtide_request_seconds";
const REFUSED: &str = "foxtide_requests_refused_total";
const FAILED_ATTEMPTS: &str = "foxtide_attempts_failed_total";
const ATTEMPTS: &str = "foxtide_attempts_total";

/// Metrics of one service, resolved once because a registry look-up costs more
/// than an update.
pub(crate) struct ServiceMetrics {
    /// Time from receiving a request to its answer, in seconds.
    pub(crate) seconds: Histogram,
    pub(crate) attempts: Counter,
    /// Attempts without a complete answer.
    pub(crate) failed_attempts: Counter,
    not_run: Counter,
    unknown: Counter,
}

impl ServiceMetrics {
    pub(super) fn new(organisation: &OrganisationId, service: &ServiceId) -> Self {
        let labels = [
            ("organisation", organisation.to_string()),
            ("service", service.to_string()),
        ];
        let refused = |outcome: Outcome| {
            let [organisation, service] = labels.clone();
            let labels = [organisation, service, ("outcome", outcome.to_string())];
            counter!(REFUSED, &labels)
        };
        Self {
            seconds: histogram!(SECONDS, &labels),
            attempts: counter!(ATTEMPTS, &labels),
            failed_attempts: counter!(FAILED_ATTEMPTS, &labels),
            not_run: refused(Outcome::NotRun),
            unknown: refused(Outcome::Unknown),
        }
    }

    /// Counts a request that foxtide answered itself.
    pub(crate) fn refused(&self, outcome: Outcome) {
        match outcome {
            Outcome::NotRun => self.not_run.increment(1),
            Outcome::Unknown | Outcome::Done => self.unknown.increment(1),
        }
    }
}

impl fmt::Debug for ServiceMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServiceMetrics").finish_non_exhaustive()
    }
}
