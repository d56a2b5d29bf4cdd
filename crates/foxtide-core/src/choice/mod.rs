//! Choice of an upstream for one service in one region, by one instance.
//!
//! A [`Balancer`] estimates how busy each upstream is from what this instance
//! saw itself (requests in flight, latency, refusals) and, with less weight,
//! from load reports. It keeps upstreams out that leave, that have stopped
//! answering or that fail far more often than the rest.
//!
//! ```text
//! pick() -> Ticket -> the request is sent -> finish(ticket, completion)
//! next_poll() -> Poll -> the load endpoint is asked -> finish_poll(poll, ..)
//! ```
//!
//! A pick that returns [`Pick::Wait`] wants the request queued at the instance:
//! the upstreams are full as far as is known, and a queue before the choice
//! serves whichever slot frees first.
//!
//! Every ticket and every poll has to be given back, whatever became of it.

mod balancer;
mod candidate;
mod completion;
mod ejection;
mod liveness;
mod load_report;
mod occupancy;
mod options;
mod pick;
mod refusal_budget;
mod sharing;
mod status;
mod subset;
mod view;

pub use balancer::Balancer;
pub use completion::{
    Completion,
    CompletionKind,
    PollResult, //
};
pub use load_report::LoadReport;
pub use options::{
    BalancerOptions,
    EjectionOptions,
    LivenessOptions, //
};
pub use pick::{
    Pick,
    Poll,
    StatusChange,
    Ticket, //
};
pub use sharing::{
    Rank,
    Sharing, //
};
pub use status::UpstreamStatus;
