//! Sends requests to upstreams and decides what follows from each attempt.

mod admission;
mod attempt;
mod given_up;
mod hedged;
mod journal;
mod keyed;
mod keys;
mod prepare;
mod queue;
mod run;

pub(crate) use keys::KeyTable;
pub(crate) use run::Proxy;
