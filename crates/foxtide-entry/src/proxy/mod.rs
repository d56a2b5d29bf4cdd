//! Sends requests to upstreams and decides what follows from each attempt.

mod admission;
mod attempt;
mod give_up;
mod hedging;
mod keyed;
mod keys;
mod prepare;
mod queue;
mod recording;
mod run;

pub(crate) use keys::KeyTable;
pub(crate) use run::Proxy;
