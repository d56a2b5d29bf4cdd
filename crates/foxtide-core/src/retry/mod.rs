//! What to do after each attempt of a request.
//!
//! [`Attempts`] follows one request over its attempts and says whether to
//! answer, to retry, to wait or to give up; [`RetryBudget`] bounds retries and
//! hedges of a service together to a share of its recent successes.
//!
//! A request is sent again only where that is safe: it is idempotent, or every
//! earlier attempt provably has not run. It is given up at once, and said not
//! to have run only where no attempt may have run.

mod attempts;
mod budget;
mod hedge;
mod options;

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
pub use hedge::HedgeDelay;
pub use options::{
    RetryBudgetOptions,
    RetryOptions, //
};
