//! The outcomes of attempts and requests.

mod attempt;
mod hedge;
mod reply;
mod second_choice;
mod step;
mod trace;

pub(crate) use attempt::AttemptEnd;
pub(crate) use hedge::{
    HedgeEnd,
    SentHedge, //
};
pub(crate) use reply::{
    Refusal,
    Reply,
    is_promise, //
};
pub(crate) use second_choice::SecondChoice;
pub(crate) use step::Step;
pub(crate) use trace::RequestTrace;
