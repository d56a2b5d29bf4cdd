//! Quarantine of poison requests, which terminate every upstream that runs them.
//!
//! Each failure of such a request looks like a failure of its upstream: the upstream is
//! skipped, the request is sent to another one, and its caller retries, so that one request
//! can terminate one upstream after another.
//!
//! An *end* is the termination of an upstream while it runs a request. An instance that
//! detects an end reports it to the aggregators of the request, which all instances derive
//! alike. An aggregator counts the ends under a request that is not served in between
//! ([`Suspects`]). At the threshold it instructs the instances of its region to quarantine the
//! request and writes the entry to the platform's store, from which all other instances read
//! it ([`Quarantine`]).
//!
//! A quarantine does not expire. Since a request may be quarantined for unrelated failures, it
//! is retried in a limited number of trials: one instance at a time claims the trial in the
//! store. A request that is served is released everywhere; one without remaining trials stays
//! quarantined until an operator removes its key. A retry after an end is delayed by
//! [`RETRY_DELAY`], so that a quarantine can arrive first.
//!
//! While a report is not acknowledged by a region, the instance that sent it holds other requests of
//! the same content, and after [`HOLD_DELAY`] so do the others of its region ([`Holds`]).
//!
//! Ends are counted per content of a request ([`Fingerprint`]) rather than per object, since
//! other requests for the same object are served.

mod acknowledgements;
mod fingerprint;
mod holds;
mod quarantine;
mod served;
mod suspects;

pub use acknowledgements::{
    ACKNOWLEDGEMENT_TIMEOUT,
    Acknowledgements, //
};
pub use fingerprint::Fingerprint;
pub use holds::{
    HOLD_DELAY,
    HOLD_TIMEOUT,
    Holds, //
};
pub use quarantine::{
    Origin,
    Quarantine,
    QuarantineEntry,
    QuarantineStatus,
    StoredEntry, //
};
pub use served::Served;
pub use suspects::{
    EndReport,
    EvidenceOptions,
    RETRY_DELAY,
    Suspects, //
};
