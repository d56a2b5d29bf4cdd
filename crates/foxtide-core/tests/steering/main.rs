//! Tests of the steering decisions and of the limits.

mod fixture;
mod limits;
mod rows;
