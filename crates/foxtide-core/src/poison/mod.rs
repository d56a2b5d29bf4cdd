//! Requests that end the upstreams that work on them (queries of death).
//!
//! Each failure of such a request looks like one of its upstream: the upstream is passed
//! over, the request is sent to another one, and its caller comes back. One request then
//! ends one upstream after the other: 29 of 48 within 20 s, where one in thirty requests of
//! a kind was such a one.
//!
//! What tells it apart is that upstreams end under it wherever it is sent, and that it is
//! never served in between. An instance that sees an upstream end reports it to the
//! aggregators of the request, the same ones in everybody's eyes. An aggregator counts the
//! ends of a request that is not served in between ([`Suspects`]), tells the instances of its region to
//! quarantine the request, and writes that to the platform's store, from which all others
//! learn it, and those that start later ([`Quarantine`]).
//!
//! A quarantine does not end by time. A request may be there for the failures of others, so
//! that it is tried again: one instance at a time, which claims the trial in the store, and a
//! few times at most. One that is served is let through everywhere; one that has used up its
//! trials stays until an operator removes its key. What is repeated after an end waits until
//! a quarantine can have become known ([`RETRY_DELAY`]).
//!
//! Evidence is kept by the whole content of a request ([`Fingerprint`]). Requests for the
//! same object in other words are served all the while, and would be held back for nothing
//! if it were kept by object.

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
