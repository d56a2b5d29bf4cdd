//! Requests and coordinators for the tests of admission.

use foxtide_core::admission::{
    AddressedAnswer,
    Answer,
    Coordinator,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::placement::ObjectKey;
use foxtide_core::routing::RequestKind;
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

pub(crate) const SLOTS: u32 = 3;

/// The slots and one request that waits at the upstream.
pub(crate) const ADMITTED_MAX: u64 = 4;

/// The answer to a request that does not wait.
pub(crate) const BUSY: Answer = Answer::Busy { served_in: None };

pub(crate) fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn ticket(number: u64) -> Ticket {
    Ticket {
        requester: "127.0.0.1:7620".parse().unwrap(),
        number,
    }
}

/// A request of low urgency without an object.
pub(crate) fn request(number: u64, route: &str) -> SlotRequest {
    SlotRequest {
        ticket: ticket(number),
        upstream: "i-1".parse().unwrap(),
        born_at: None,
        kind: RequestKind::of_route(route),
        organisation: None,
        organisation_rate: None,
        object: None,
        priority: 2,
        objective_left: ms(2_000),
        time_left: ms(4_000),
        patience: Patience::UntilDeadline,
        limit: None,
    }
}

pub(crate) fn object(number: u64) -> Option<ObjectKey> {
    Some(ObjectKey::from_hash(number))
}

/// Asks for a request on an idle upstream and serves it.
pub(crate) fn serve(
    coordinator: &mut Coordinator,
    request: &SlotRequest,
    from_ms: u64,
    service_ms: u64,
) {
    let answers = coordinator.ask(request, SLOTS, at(from_ms));
    assert!(is_granted(&answers, request.ticket.number));
    coordinator.end(request.ticket, Ending::Served, at(from_ms + service_ms));
}

pub(crate) fn is_granted(answers: &[AddressedAnswer], number: u64) -> bool {
    answers.contains(&(ticket(number), Answer::Granted))
}

pub(crate) fn is_rejected((_, answer): &AddressedAnswer) -> bool {
    matches!(answer, Answer::Rejected { .. })
}
