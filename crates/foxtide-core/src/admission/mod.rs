//! Admission of requests to upstream slots across all instances.
//!
//! Each upstream has one coordinator: an instance of the upstream's region that all
//! instances derive from the same member list. It counts the requests in progress from all
//! instances, which ask it for a slot before they send a request.
//!
//! ```text
//! ask -> Answer::Granted | Answer::Waiting (another answer follows) | Answer::Busy
//!        | Answer::Rejected | Answer::Throttled | Answer::NotCoordinator
//! record_ungranted -> counted without a grant
//! end -> frees the slot for a waiting request
//! ```
//!
//! A coordinator also hands out the rate of an upstream that limits it ([`crate::throttle`]).
//!
//! Grants are advisory: the upstream may still reject the request. A grant that is not
//! released expires, a new coordinator starts with all slots free, and a request is sent
//! without a grant if the coordinator does not answer.

mod coordinator;
mod fair_share;
mod objects;
mod queue;
mod request;
mod reserve;
mod round_trips;
mod service_times;
mod slowness;

pub use coordinator::{
    AddressedAnswer,
    Coordinator, //
};
pub use request::{
    Answer,
    EndReport,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
pub use round_trips::{
    RoundTripOptions,
    RoundTrips, //
};
pub use service_times::{
    ObjectAccess,
    ServiceTimes, //
};
