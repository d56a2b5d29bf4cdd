//! Sends requests to upstreams and decides what follows from each attempt.

mod attempt;
mod place;
mod prepare;
mod run;

pub(crate) use prepare::Target;
pub(crate) use run::Proxy;
