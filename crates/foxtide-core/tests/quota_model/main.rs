//! A quota over many instances, without network, on virtual time.
//!
//! The pattern: an organisation asks for several times its quota, its callers lie unevenly,
//! and instances die, start again, are cut off or disagree about who hands out the quota.
//! What the platform counts in any window must stay below its bound, and what a quota
//! allows must be served, also where all callers are at one instance.
//!
//! The figures: a change of the members is known after 2.2 to 2.6 s for a death (the
//! lease) and 0.3 s for a start, and to each instance up to 1.5 s later (the period of
//! those that follow the store, and of those that follow them). A question takes 2 ms in
//! a region and 70 ms between regions. Organisations are sold 1.6 times what they usually
//! ask; a hot one asks 8 times the usual, five times its quota.

mod equal_shares;
mod fleet;
mod rules;
