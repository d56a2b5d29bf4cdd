//! Event recording, structured logging and the explain log of a process.
//!
//! `foxtide_core::events` is free of I/O; this crate adds clocks, locks and
//! log output.
//!
//! Public items: [`Recorder`], [`RecorderOptions`], [`WallClock`], [`Explainer`],
//! [`TimeLine`], [`TimeLineOptions`]; for structured log lines [`log_event!`],
//! [`LogRateLimiter`], [`LineKind`], [`SuppressedLines`].

mod explainer;
mod log_lines;
mod recorder;
mod time_line;
mod wall_clock;

pub use explainer::Explainer;
pub use foxtide_core::events::EventCode;
pub use log_lines::{
    LineKind,
    LogRateLimiter,
    SuppressedLines,
    log_level, //
};
// Used by the expansion of `log_event!` in other crates.
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
pub use wall_clock::WallClock;
