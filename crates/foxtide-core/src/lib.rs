//! Types and decision logic of foxtide, free of I/O.
//!
//! A decision takes its state, an input and the current time, and returns the
//! actions to take. Callers supply clocks, randomness and I/O.

pub mod admission;
pub mod blocks;
pub mod choice;
pub mod directory;
pub mod dissemination;
pub mod errors;
pub mod events;
pub mod execution;
pub mod explain;
pub mod idempotency;
pub mod ids;
pub mod limits;
pub mod link;
pub mod membership;
pub mod organisation;
pub mod outcome;
pub mod placement;
pub mod poison;
pub mod promises;
pub mod quota;
pub mod reachability;
pub mod records;
pub mod registry;
pub mod retry;
pub mod routing;
pub mod steering;
pub mod store;
pub mod throttle;
pub mod time;
pub mod units;
pub mod withdrawal;

mod owned_tokens;

pub use errors::{
    Error,
    Result, //
};
