//! Why a look-up or a request went where it did.
//!
//! A decision rests on figures that change a few times a second and are the
//! same for all requests of a service in between. So these are kept once, as
//! a [`View`], and each look-up and request only adds a small [`Decision`]
//! that names its view. An [`ExplainLog`] keeps the latest of both in bounded
//! rings and joins them to an [`Explanation`] when one is asked for.
//!
//! The request path does this:
//!
//! 1. On a tick, if [`ExplainLog::is_view_due`]: builds a [`View`] of the
//!    service from what the decisions rest on, and calls
//!    [`ExplainLog::publish`].
//! 2. At a decision: [`Decision::new`], then [`Decision::add_attempt`] for each
//!    attempt and its result; at the end [`ExplainLog::record`].
//! 3. Once a second: records what [`ExplainLog::changes`] returns.
//! 4. On `/v1/explain`: [`ExplainLog::select`].
//!
//! `foxtide_events::Explainer` is the thread-safe form.

mod changes;
mod decision;
mod episodes;
mod log;
mod rule;
mod view;

pub use decision::{
    ATTEMPTS_MAX,
    Attempt,
    AttemptResult,
    Decision,
    DecisionKind, //
};
pub use log::{
    ExplainFilter,
    ExplainLog,
    ExplainOptions,
    Explanation, //
};
pub use rule::Rule;
pub use view::{
    Candidate,
    CandidateName,
    Exclusion,
    Figure,
    FigureKind,
    View,
    ViewId, //
};
