//! Forwards requests to upstreams.

mod admit;
mod attempt;
mod attempt_guard;
mod attempt_loop;
mod caller;
mod entry;
mod hedge;
mod homes;
mod pass_on;
mod passed_on;
mod promise;
mod recheck;
mod request;
mod route_match;
mod sender;
mod statements;
mod target;

pub(crate) use caller::CallerWatch;
pub(crate) use entry::forward;
pub(crate) use passed_on::{
    DECLINED,
    LINE_MAX_BYTES,
    PASSED_ON,
    PassedOn, //
};
pub(crate) use request::CallerRequest;
pub(crate) use route_match::RouteMatch;
