//! Simulates quotas over many instances on virtual time, without a network.
//!
//! Checks the platform's bound and the served rate under failures and uneven callers.

mod equal_shares;
mod fleet;
mod rules;
