//! Numbered events and the time line that they form over all processes.
//!
//! Every process stamps its events with a [`HybridClock`], keeps them in an
//! [`EventRing`] and shows them on request; [`merge`] puts the events of
//! several processes into one order that never shows an effect before its
//! cause. `foxtide-events` holds the thread-safe recorder over these parts.

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
