//! Types and decisions of foxtide.
//!
//! Everything here is pure: a decision takes its state, an input and the
//! current time, and returns what is to be done. Clocks, randomness and I/O
//! belong to the callers.

pub mod admission;
pub mod blocks;
pub mod choice;
pub mod dissemination;
pub mod errors;
pub mod events;
pub mod explain;
pub mod idempotency;
pub mod ids;
pub mod limits;
pub mod membership;
pub mod organisation;
pub mod outcome;
pub mod placement;
pub mod poison;
pub mod promises;
pub mod quota;
pub mod records;
pub mod registry;
pub mod retry;
pub mod routing;
pub mod steering;
pub mod store;
pub mod time;
pub mod units;

mod owned_tokens;

pub use errors::{
    Error,
    Result, //
};
