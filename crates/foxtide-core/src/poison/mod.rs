//! Quarantine of requests that end their upstreams (poison requests).
//!
//! Each failure of such a request looks like a failure of its upstream: the upstream is
//! skipped, the request is sent to another one, and its caller retries. One request can so end
//! one upstream after another.
//!
//! An instance that sees an upstream end reports it to the aggregators of the request, which
//! all instances derive alike. An aggregator counts the ends under a request that is not
//! served in between ([`Suspects`]). At the threshold it tells the instances of its region to
//! quarantine the request and writes the entry to the platform's store, from which all other
//! instances read it ([`Quarantine`]).
//!
//! A quarantine does not expire. As a request may have been quarantined for unrelated failures,
//! it is retried in a limited number of trials: one instance at a time claims the trial in the
//! store. A request that is served is released everywhere; one without trials left stays
//! quarantined until an operator removes its key. A retry after an end is delayed by
//! [`RETRY_DELAY`], so that a quarantine can arrive first.
//!
//! Evidence is kept by a request's whole content ([`Fingerprint`]) rather than by its object,
//! as other requests for the same object are served.

mod fingerprint;
mod quarantine;
mod suspects;

pub use fingerprint::Fingerprint;
pub use quarantine::{
    Origin,
    Quarantine,
    QuarantineEntry,
    QuarantineStatus,
    StoredEntry, //
};
pub use suspects::{
    EndReport,
    EvidenceOptions,
    RETRY_DELAY,
    Suspects, //
};
