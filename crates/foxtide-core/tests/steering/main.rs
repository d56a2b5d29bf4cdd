//! Tests of the steering decisions and of the limits.

mod fixture;
mod fleet;
mod limits;
mod rows;
mod scenario;
mod scenarios;
mod tally;
