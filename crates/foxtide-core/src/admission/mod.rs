//! Which requests an upstream's slots go to, over all instances together.
//!
//! An instance sees an upstream only through its own exchanges, a few a second:
//! what it knows of the queue there is old when it is needed. One instance of the
//! upstream's region, the same in everybody's eyes, is the upstream's coordinator
//! and counts what all have under way. Others ask it for a slot before they send.
//!
//! ```text
//! ask -> Answer::Granted | Answer::Waiting (another answer follows) | Answer::Busy
//!        | Answer::Refused
//! tell -> counted, without a question
//! end -> the slot goes to one that waits
//! ```
//!
//! Short queues are what this buys: on whole days of high load 0.02 to 0.10 more of the
//! worth of all requests is earned than where each instance sends at once, and on the
//! heaviest of them requests that are cut by a limit of time fall to a sixth.
//!
//! It is advice: the upstream stays the truth. A grant lapses by itself, a new
//! coordinator begins with nothing and errs on the free side, and one that asks in
//! vain sends all the same.

mod coordinator;
mod objects;
mod queue;
mod request;
mod service_times;

pub use coordinator::{
    AddressedAnswer, //
    Coordinator,     //
};
pub use request::{
    Answer,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
pub use service_times::{
    ObjectAccess,
    ServiceTimes, //
};
