//! The recorder of events that all parts of a process share.
//!
//! The parts in `foxtide_core::events` are pure; this crate adds the clock,
//! the lock and the log, which the core must not have.
//!
//! Public: [`Recorder`], [`RecorderOptions`], [`WallClock`], [`Explainer`].

mod explainer;
mod recorder;
mod wall;

pub use explainer::Explainer;
pub use recorder::{Recorder, RecorderOptions};
pub use wall::WallClock;
