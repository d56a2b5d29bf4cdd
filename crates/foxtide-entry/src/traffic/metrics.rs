//! What is guard of a service's requests.

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

/// The metrics of one service; looked up once, for a look-up costs more than
/// the counting.
pub(crate) struct ServiceMetrics {
    /// The time from a request's coming to its answer, in seconds.
    pub(crate) seconds: Histogram,
    /// The attempts at upstreams.
    pub(crate) attempts: Counter,
    /// The attempts that brought no answer.
    pub(crate) failed_attempts: Counter,
    not_run: Counter,
    unknown: Counter,
}

impl ServiceMetrics {
    /// Returns the metrics of a service.
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
