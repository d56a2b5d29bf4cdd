//! Load balancing across the upstreams of one service in one region.
//!
//! A [`Balancer`] estimates the load of each upstream from this instance's
//! observations (requests in flight, latency, rejections) and, with less weight,
//! from load reports. It excludes upstreams that are leaving, unresponsive or
//! failing far more often than the rest.
//!
//! ```text
//! pick() -> Ticket -> the request is sent -> finish(ticket, completion)
//! next_poll() -> Poll -> the load endpoint is polled -> finish_poll(poll, ..)
//! ```
//!
//! On [`Pick::Wait`] the caller queues the request: all upstreams appear full,
//! and a shared queue uses whichever slot is freed first.
//!
//! Every ticket and every poll must be returned, whatever its result.

mod balancer;
mod candidate;
mod completion;
mod ejection;
mod liveness;
mod load_report;
mod occupancy;
mod options;
mod pick;
mod rate_share;
mod rejection_budget;
mod sharing;
mod status;
mod subset;
mod view;

pub use balancer::Balancer;
pub use completion::{
    Completion,
    CompletionKind,
    PollResult,
    StatedRate, //
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
