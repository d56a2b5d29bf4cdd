//! Simulates the rate limit of one upstream over many instances on virtual time.
//!
//! Checks that no window exceeds the bound and that the limit is used, under kills, cuts, lost
//! datagrams and limits that change or end.

mod fleet;
mod rules;
