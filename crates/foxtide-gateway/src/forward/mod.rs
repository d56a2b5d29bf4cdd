//! A request's way to an upstream and back.

mod attempt;
mod inputs;
mod reply;
mod request;
mod run;

pub(crate) use attempt::AttemptEnd;
pub(crate) use inputs::Inputs;
pub(crate) use reply::{
    Refusal,
    Reply, //
};
pub(crate) use request::CallerRequest;
pub(crate) use run::forward;
