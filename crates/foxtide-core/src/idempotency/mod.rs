//! At most one run of each non-idempotent request, whatever its caller retries.
//!
//! A key names the one process that may ever run it, its *owner*:
//! `entry-3.9f2c8a7b6d5e4f30:0196f0c1-…` (see [`IdempotencyKey`]). The caller
//! mints it for the instance that it is about to ask, from the name that this
//! instance puts on each of its answers. Ownership therefore never moves: it
//! is not leased, cannot lapse, and is no record in a store. Any other process
//! sends the caller to the owner or, where the owner is gone, answers that the
//! outcome is unknown.
//!
//! Within the owner, [`Table`] keeps what became of each key, in memory.
//!
//! # What holds
//!
//! 1. A key is run at most once. Two processes never have the same
//!    [`OwnerId`]; one process runs a key only from [`Begin::Run`], and the
//!    table gives that out again only after the claim came back as not run. A
//!    key that the table has forgotten is refused, for a table forgets in the
//!    order of the keys' times and refuses all that lie before the newest key
//!    that it forgot.
//! 2. [`Outcome::NotRun`] is said only by the owner, or for a key that no
//!    process owns. No copy of the key that came before has been run, and the
//!    refused copy never will be. A copy that comes later may be run.
//!
//! Neither needs clocks that agree, a bound on how long a process is paused,
//! or an answer of the store. Clocks only decide how soon a key is too old
//! ([`TableOptions::validity`]) and which keys lie too far in the future.
//!
//! [`Outcome::NotRun`]: crate::outcome::Outcome::NotRun

mod fingerprint;
mod key;
mod options;
mod refusal;
mod table;

pub use fingerprint::Fingerprint;
pub use key::{
    IdempotencyKey,
    KeyError,
    OwnerId,
    ProcessNumber, //
};
pub use options::TableOptions;
pub use refusal::{
    Refusal,
    RefusalReason, //
};
pub use table::{
    Begin,
    Claim,
    ReplayableAnswer,
    Table,
    TableUsage, //
};
