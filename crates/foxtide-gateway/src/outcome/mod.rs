//! How attempts and requests ended, and what decided it.

mod attempt;
mod inputs;
mod reply;

pub(crate) use attempt::AttemptEnd;
pub(crate) use inputs::Inputs;
pub(crate) use reply::{
    Refusal,
    Reply, //
};
