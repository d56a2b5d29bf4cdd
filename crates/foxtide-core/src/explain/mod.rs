//! Explanations of routing decisions on look-ups and requests.
//!
//! Decisions are based on figures that change a few times a second and are
//! shared by all requests of a service in between. They are stored once as a
//! [`View`]; each look-up and request adds a small [`Decision`] with the id of
//! its view. An [`ExplainLog`] keeps the latest of both in bounded queues and
//! joins them into an [`Explanation`] on query.
//!
//! The request path calls it as follows:
//!
//! 1. On a tick, if [`ExplainLog::is_view_due`]: builds a [`View`] of the
//!    service and calls [`ExplainLog::publish`].
//! 2. At a decision: [`Decision::new`], then [`Decision::add_attempt`] for each
//!    attempt and its result; at the end [`ExplainLog::record`].
//! 3. Once a second: records what [`ExplainLog::changes`] returns.
//! 4. On `/v1/explain`: [`ExplainLog::select`].
//!
//! `foxtide_events::Explainer` is the thread-safe variant.

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
