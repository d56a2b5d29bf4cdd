//! Rate limits that upstreams state in their responses.
//!
//! An upstream may state how many requests per second it accepts from all instances
//! together. The limit holds for as long as its responses state it.

mod statement;

pub use statement::{
    LimitStatement,
    StatedLimits, //
};
