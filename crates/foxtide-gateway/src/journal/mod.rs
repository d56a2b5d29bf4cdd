//! One log line for each decision that touches a request or changes what the
//! instance believes, and the metrics that go with it.
//!
//! `docs/OPERATIONS.md` shows how to get from a request's identity to its
//! cause. Lines about requests are bounded; those left out are counted.

mod labels;
mod requests;
pub(crate) mod state_changes;

pub(crate) use requests::Journal;
