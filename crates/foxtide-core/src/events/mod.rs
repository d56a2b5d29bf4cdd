//! Numbered events and their merged time line across processes.
//!
//! Every process timestamps its events with a [`HybridClock`] and keeps them in
//! an [`EventRing`]; [`merge`] puts the events of several processes into causal
//! order. `foxtide-events` has the thread-safe recorder.

pub mod backup;
mod catalogue;
mod clock;
mod code;
mod event;
mod filter;
mod merge;
mod repeats;
mod ring;
mod wire;

pub use catalogue::catalogue_page;
pub use clock::{
    CLOCK_LEAD_MAX,
    HybridClock,
    HybridTime, //
};
pub use code::{
    EventCode,
    Level, //
};
pub use event::{
    DETAIL_MAX_BYTES,
    Event,
    EventDraft,
    EventFields,
    RequestId, //
};
pub use filter::EventFilter;
pub use merge::merge;
pub use repeats::RepeatFilter;
pub use ring::{
    EventRing,
    EventRingOptions,
    RingEntry, //
};
pub use wire::{
    EventCopies,
    EventCopiesAck,
    EventMessage, //
};
