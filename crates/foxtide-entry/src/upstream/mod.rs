//! Connections to upstreams and the exchange of requests and answers.

mod exchange;
mod failure;
mod long_body;
mod pool;

pub(crate) use exchange::{
    RequestIdEcho,
    UpstreamRequest,
    announces_drain,
    exchange,
    stated_rate,
    states_not_run, //
};
pub(crate) use failure::{
    Failure,
    FailureKind, //
};
pub(crate) use long_body::LongBody;
pub(crate) use pool::{
    Freshness,
    Pools, //
};
