//! Tests steering and the limits.

mod decider;
mod fixture;
mod fleet;
mod limits;
mod node;
mod poisson;
mod rows;
mod scenario;
mod scenarios;
mod spill;
mod tally;
