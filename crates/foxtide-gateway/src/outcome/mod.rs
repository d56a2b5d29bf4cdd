//! How attempts and requests ended, and what decided it.

mod attempt;
mod inputs;
mod reply;
mod second_choice;

pub(crate) use attempt::AttemptEnd;
pub(crate) use inputs::Inputs;
pub(crate) use reply::{
    Refusal,
    Reply, //
};
pub(crate) use second_choice::SecondChoice;
