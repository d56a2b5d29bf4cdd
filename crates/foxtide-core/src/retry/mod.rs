//! Retries and hedges of requests.
//!
//! [`Attempts`] tracks one request and decides after each attempt whether to forward the
//! response, retry, wait or give up. [`RetryBudget`] bounds the retries and hedges of a
//! service to a share of its recent successes.
//!
//! A request is sent again only if it is idempotent or if no earlier attempt has run. A
//! request that is given up is reported as not run only if no attempt may have run.

mod attempts;
mod budget;
mod hedge;
mod hedge_delays;
mod options;
mod recent_accesses;

pub use attempts::{
    AttemptId,
    AttemptResult,
    Attempts,
    GiveUp,
    GiveUpReason,
    RequestTerms,
    Step, //
};
pub use budget::RetryBudget;
pub use hedge::{
    HedgeDelay,
    may_hedge, //
};
pub use hedge_delays::{
    HedgeClass,
    HedgeDelays, //
};
pub use options::{
    RetryBudgetOptions,
    RetryOptions, //
};
