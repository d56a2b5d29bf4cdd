//! A request's way to an upstream and back.

mod attempt;
mod request;
mod run;

pub(crate) use request::CallerRequest;
pub(crate) use run::forward;
