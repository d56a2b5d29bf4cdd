//! Rate limits that upstreams state in their responses.
//!
//! An upstream may state how many requests per second it accepts from all instances
//! together. The limit holds for as long as its responses state it.
//!
//! The instance that coordinates the upstream's slots also hands out its rate. It learns the
//! limit from the requests for slots, which carry what the requester has heard last
//! ([`LimitReport`]), so that a new coordinator needs no state of its predecessor. Every
//! instance that knows of a limit asks before it sends, also one of another region.
//!
//! The sum stays below the bound during failures because:
//!
//! - a new coordinator starts without tokens and, while its predecessor may still be active,
//!   with a part of the rate ([`Throttle`]);
//! - an instance that the others may no longer consider the coordinator hands out nothing;
//! - an instance without an answer has only the tokens of a small part of the limit that it
//!   owns ([`LocalThrottle`]).

mod bucket;
mod local;
mod statement;

pub use bucket::Throttle;
pub use local::LocalThrottle;
pub use statement::{
    LimitReport,
    LimitStatement,
    StatedLimits, //
};

use crate::units::RequestRate;

/// The rate at which requests are sent to an upstream that states a lower limit, in requests per
/// second. Without any request, the end of a limit would never be known.
const LIMIT_MIN_RPS: f64 = 0.25;

/// Returns the rate to enforce for a stated limit, in requests per second.
fn enforced_rps(limit: RequestRate) -> f64 {
    limit.get().max(LIMIT_MIN_RPS)
}
