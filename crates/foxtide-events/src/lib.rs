//! The recorder of events that all parts of a process share.
//!
//! The parts in `foxtide_core::events` are pure; this crate adds the clock,
//! the lock and the log, which the core must not have.
//!
//! Public: [`Recorder`], [`RecorderOptions`], [`WallClock`], [`Explainer`],
//! [`TimeLine`], [`TimeLineOptions`]; for structured lines [`log_event!`],
//! [`LogRateLimiter`], [`LineKind`], [`SuppressedLines`].

mod explainer;
mod lines;
mod recorder;
mod time_line;
mod wall;

pub use explainer::Explainer;
pub use foxtide_core::events::EventCode;
pub use lines::{
    LineKind,
    LogRateLimiter,
    SuppressedLines,
    log_level, //
};
// `log_event!` expands to it in other packages.
#[doc(hidden)]
pub use log;
pub use recorder::{
    Recorder,
    RecorderOptions, //
};
pub use time_line::{
    TimeLine,
    TimeLineOptions, //
};
pub use wall::WallClock;
