//! At-most-once execution of non-idempotent requests that callers retry.
//!
//! A key names its *owner*, the one process that may run it:
//! `entry-3.9f2c8a7b6d5e4f30:0196f0c1-…` (see [`IdempotencyKey`]). The caller mints the key
//! for the instance that it sends the request to, with the owner name from that instance's
//! responses. Ownership therefore never moves; it needs no lease and no record in a store.
//! Any other process redirects the caller to the owner or, if the owner has ended,
//! answers that the outcome is unknown.
//!
//! The owner records the state of each key in an in-memory [`Table`].
//!
//! # Guarantees
//!
//! 1. A key is run at most once. No two processes have the same [`OwnerId`]. A process runs
//!    a key only after [`Begin::Run`], which the table returns again only after the claim
//!    was abandoned as not run. The table evicts keys in the order of their times and
//!    rejects unknown keys up to the newest evicted one.
//! 2. [`Outcome::NotRun`] is reported only by the owner, or for a key that no process owns.
//!    No earlier copy of the request has run, and the rejected copy never will. A later copy
//!    may run.
//!
//! Neither guarantee depends on synchronised clocks, bounded pauses or the store. Clocks
//! only decide when a key expires ([`TableOptions::validity`]) and which keys are too far
//! in the future.
//!
//! [`Outcome::NotRun`]: crate::outcome::Outcome::NotRun

mod fingerprint;
mod key;
mod options;
mod rejection;
mod table;

pub use fingerprint::Fingerprint;
pub use key::{
    IdempotencyKey,
    KeyError,
    OwnerId,
    ProcessNumber, //
};
pub use options::TableOptions;
pub use rejection::{
    Rejection,
    RejectionReason, //
};
pub use table::{
    Begin,
    Claim,
    ReplayableAnswer,
    Table,
    TableUsage, //
};
