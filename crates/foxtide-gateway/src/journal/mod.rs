//! Log lines and metrics for decisions about requests and for changes of the state.
//!
//! `docs/OPERATIONS.md` shows how to trace a request by its identity. Lines about requests
//! are rate-limited; suppressed lines are counted.

mod change_lines;
mod labels;
mod requests;
pub(crate) mod state_changes;
mod statements;

pub(crate) use change_lines::ChangeLines;
pub(crate) use requests::Journal;
