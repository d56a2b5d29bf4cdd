//! Forwards requests to upstreams, with admission, retries, hedging and
//! idempotency keys.

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
